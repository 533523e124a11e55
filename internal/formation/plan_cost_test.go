package formation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// Guards against plans that count all instances again for each group, with which no group formed
// among 3,000 instances. The test counts allocations instead of time, as they are the same on
// every run.
func TestPlanCostIsLinearInInstances(t *testing.T) {
	const few, factor, tolerance = 200, 10, 1.5
	now := time.Unix(1000, 0)
	for name, serving := range map[string]int{"at the start": 0, "half serve": 2, "all serve": 1} {
		t.Run(name, func(t *testing.T) {
			plan, check := map[int]float64{}, map[int]float64{}
			for _, instances := range []int{few, few * factor} {
				engine := simModels()
				engine.LoadsAtOnce = instances // so that no ceiling ends the plan early
				table := routes.Compile(&routes.Config{Services: []routes.Service{{Name: simService, Engine: engine}}})
				part := 0
				if serving > 0 {
					part = instances / serving
				}
				v := benchView(instances, part, engine)
				plan[instances] = testing.AllocsPerRun(1, func() {
					p := NewPlanner(simService, 2, nil, now)
					p.Idle = true
					p.Plan(v, engine, now)
				})
				check[instances] = testing.AllocsPerRun(1, func() { hasPendingWork(v, table, now) })
			}
			must.LessEq(t, tolerance*factor*plan[few], plan[few*factor], must.Sprint("a plan"))
			must.LessEq(t, tolerance*factor*check[few], check[few*factor], must.Sprint("a check for pending work"))
		})
	}
}
