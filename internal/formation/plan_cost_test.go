package formation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/demand"
	"pearlanding/internal/routes"
)

// Guards against plans that count all instances again for each group, with which no group formed
// among 3,000 instances. The test counts allocations instead of time, as they are the same on
// every run.
func TestPlanCostIsLinearInInstances(t *testing.T) {
	const few, factor, tolerance = 200, 10, 1.5
	now := time.Unix(1000, 0)
	for name, servingDivisor := range map[string]int{"at the start": 0, "half serve": 2, "all serve": 1, "capacity moves": 1} {
		t.Run(name, func(t *testing.T) {
			planAllocs, checkAllocs := map[int]float64{}, map[int]float64{}
			for _, instances := range []int{few, few * factor} {
				engine := simModels()
				engine.ConcurrentLoads = instances // so that no ceiling ends the plan early
				table := routes.Compile(&routes.Config{Services: []routes.Service{{Name: simService, Engine: engine}}})
				serving := 0
				if servingDivisor > 0 {
					serving = instances / servingDivisor
				}
				v := benchView(instances, serving, engine)
				planAllocs[instances] = testing.AllocsPerRun(1, func() {
					p := NewPlanner(simService, 2, nil, now)
					p.BeforeFirstRequest = true
					p.Plan(v, engine, now)
					if name != "capacity moves" {
						return
					}
					p.Demand = []demand.Rate{{Key: demand.Key{Service: simService, Model: "large"}, Requests: 1, Work: float64(instances) / 8}}
					for i := range 2 * historySamples {
						p.Plan(v, engine, now.Add(time.Duration(i)*sampleInterval))
					}
					must.SliceNotEmpty(t, p.placement.moves)
				})
				checkAllocs[instances] = testing.AllocsPerRun(1, func() { (&Manager{}).hasPendingWork(v, table, now) })
			}
			must.LessEq(t, tolerance*factor*planAllocs[few], planAllocs[few*factor], must.Sprint("a plan"))
			must.LessEq(t, tolerance*factor*checkAllocs[few], checkAllocs[few*factor], must.Sprint("a check for pending work"))
		})
	}
}
