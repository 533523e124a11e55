package formation

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"pearlanding/internal/demand"
)

// A move is logged once with the demand that it rests on, and the metrics show the capacity of each model
// at the daemon that plans only.
func TestReportOfPlacement(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	set := metrics.NewSet()
	s := startedSim(t)
	s.demand = after(0, nil, work(3.7, 13.1))
	m := &Manager{Log: zap.New(core), counts: newPlanMetrics(set), Demand: func(time.Time) []demand.Rate { return s.rates() }}
	for range 24 {
		m.setPlacementInputs(s.planner, s.now)
		s.planner.Plan(s.view(), s.engine, s.now)
		m.reportPlacement(s.planner, 7)
		s.step(placementTick)
	}
	lines := logged.FilterMessage("capacity moves to another model").All()
	must.Len(t, 3, lines)
	must.Eq(t, 13.1, lines[0].ContextMap()["work_to"].(float64))
	must.StrContains(t, exposition(set), `pearlanding_capacity_moves_total{service="engines",from="large",to="small"} 3`)
	must.StrContains(t, exposition(set), `pearlanding_model_capacity{service="engines",model="small",kind="planned"} 22`)
	must.StrContains(t, exposition(set), `pearlanding_model_capacity{service="engines",model="small",kind="serving"} 16`)
	must.StrContains(t, exposition(set), `pearlanding_model_capacity{service="engines",model="small",kind="required"} 16.75`)
	m.counts.reset(nil)
	must.StrContains(t, exposition(set), `pearlanding_model_capacity{service="engines",model="small",kind="planned"} 0`)
}

// Without sources of the demand and of evacuations, models are placed by their configured shares.
func TestPlacementWithoutInputs(t *testing.T) {
	p := NewPlanner(simService, 1, nil, time.Unix(1000, 0))
	(&Manager{}).setPlacementInputs(p, time.Unix(1000, 0))
	must.Nil(t, p.Demand)
	must.Nil(t, p.Evacuated)
}
