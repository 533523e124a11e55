package formation

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pearlanding/internal/fleet"
)

// planMetrics counts what the daemon that plans sees and does. The manager's
// goroutine owns it; order may be called from any.
type planMetrics struct {
	set   *metrics.Set
	lives map[fleet.Key]time.Time // groups that serve, since when they were seen to
	loads map[*Planner]int        // counted so far, of the planners of this term
}

func newPlanMetrics(set *metrics.Set) *planMetrics {
	return &planMetrics{set: set, lives: map[fleet.Key]time.Time{}, loads: map[*Planner]int{}}
}

// order counts one order by what came of it.
func (m *planMetrics) order(op Op, outcome Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_orders_total{op=%q,outcome=%q}", string(op), outcome)).Inc()
}

// took notes how long one plan of all services took.
func (m *planMetrics) took(d time.Duration) {
	m.set.GetOrCreateHistogram("pearlanding_plan_seconds").Update(d.Seconds())
}

// planned counts a planner's loads from the weight store, and the groups it sees.
func (m *planMetrics) planned(p *Planner, s summary) {
	m.set.GetOrCreateCounter("pearlanding_weight_loads_total").Add(p.loadsBegun - m.loads[p])
	m.loads[p] = p.loadsBegun
	m.groups(s, 1)
	m.set.GetOrCreateGauge(fmt.Sprintf("pearlanding_instances_free{service=%q}", s.service), nil).Set(float64(s.free))
}

// groups sets the gauges of a summary; factor 0 clears them.
func (m *planMetrics) groups(s summary, factor float64) {
	for _, model := range s.models {
		if model.model == "" {
			continue
		}
		for state, n := range map[string]int{"serving": model.serving, "forming": model.forming, "standing": model.standing} {
			name := fmt.Sprintf("pearlanding_groups{service=%q,model=%q,state=%q}", s.service, model.model, state)
			m.set.GetOrCreateGauge(name, nil).Set(factor * float64(n))
		}
	}
}

// viewed notes which groups serve, and how long those did that don't any more.
func (m *planMetrics) viewed(v *fleet.View, now time.Time) {
	for key, g := range v.Groups {
		if _, known := m.lives[key]; g.Serving() && !known {
			m.lives[key] = now
		}
	}
	for key, since := range m.lives {
		if g := v.Groups[key]; g == nil || !g.Serving() {
			m.set.GetOrCreateHistogram("pearlanding_group_life_seconds").Update(now.Sub(since).Seconds())
			delete(m.lives, key)
		}
	}
}

// ended clears what only the daemon that plans can tell.
func (m *planMetrics) ended(told map[string]summary) {
	for _, s := range told {
		m.groups(s, 0)
	}
	clear(m.lives)
}
