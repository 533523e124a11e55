package formation

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"

	"pearlanding/internal/fleet"
)

func TestMetricsOfPlanning(t *testing.T) {
	set := metrics.NewSet()
	m := newPlanMetrics(set)
	s := newSim(t, 2, 4)
	p := NewPlanner(simService, 1, nil, s.now)
	s.run(p, 20*time.Second)
	seen := p.summarize(s.view(), s.engine)
	m.observePlanner(p, seen)
	m.observePlanner(p, seen) // loads must not be counted twice
	m.observeView(s.view(), s.now)
	for _, e := range s.engines {
		if e.in.Group.State == fleet.Open && e.in.Models[0] == "large" {
			e.alive = false
		}
	}
	m.observeView(s.view(), s.now.Add(7*time.Second))
	m.observeOrder(OpJoin, Refused)
	text := exposition(set)
	must.StrContains(t, text, `pearlanding_groups{service="engines",model="large",state="serving"} 1`)
	must.StrContains(t, text, `pearlanding_groups{service="engines",model="small",state="serving"} 2`)
	must.StrContains(t, text, "pearlanding_weight_loads_total 8\n")
	must.StrContains(t, text, `pearlanding_group_life_seconds_sum 7`)
	must.StrContains(t, text, `pearlanding_orders_total{op="join",outcome="refused"} 1`)
	m.reset(map[string]summary{simService: seen})
	must.StrContains(t, exposition(set), `pearlanding_groups{service="engines",model="large",state="serving"} 0`)
}

func exposition(set *metrics.Set) string {
	var b strings.Builder
	set.WritePrometheus(&b)
	return b.String()
}
