package formation

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pearlanding/internal/fleet"
)

// planMetrics exports what the daemon that holds the lease sees and orders. The manager's
// goroutine owns it; only observeOrder may be called from others.
type planMetrics struct {
	set          *metrics.Set
	servingSince map[fleet.GroupKey]time.Time // when each serving group was first seen to serve
	loadsCounted map[*Planner]int             // loads counted so far, by planner
	capacities   map[string][]ModelCapacity   // last reported, by service
}

func newPlanMetrics(set *metrics.Set) *planMetrics {
	return &planMetrics{set: set, servingSince: map[fleet.GroupKey]time.Time{}, loadsCounted: map[*Planner]int{}, capacities: map[string][]ModelCapacity{}}
}

// observeOrder counts one order by its outcome.
func (m *planMetrics) observeOrder(op Op, outcome Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_orders_total{op=%q,outcome=%q}", string(op), outcome)).Inc()
}

// observePanic counts a plan of a service that panicked.
func (m *planMetrics) observePanic(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_plan_panics_total{service=%q}", service)).Inc()
}

// observePlan records the duration of one plan of all services.
func (m *planMetrics) observePlan(d time.Duration) {
	m.set.GetOrCreateHistogram("pearlanding_plan_seconds").Update(d.Seconds())
}

// observePlanner counts a planner's new loads from the weight store and sets the gauges of a summary.
func (m *planMetrics) observePlanner(p *Planner, s summary) {
	m.set.GetOrCreateCounter("pearlanding_weight_loads_total").Add(p.loadsStarted - m.loadsCounted[p])
	m.loadsCounted[p] = p.loadsStarted
	m.setGroups(s, 1)
	m.set.GetOrCreateGauge(fmt.Sprintf("pearlanding_instances_free{service=%q}", s.service), nil).Set(float64(s.free))
}

// setGroups sets a summary's gauges of groups; factor 0 clears them.
func (m *planMetrics) setGroups(s summary, factor float64) {
	for _, model := range s.models {
		if model.model == "" {
			continue
		}
		for state, n := range map[string]int{"serving": model.serving, "forming": model.forming, "standing": model.notServing} {
			name := fmt.Sprintf("pearlanding_groups{service=%q,model=%q,state=%q}", s.service, model.model, state)
			m.set.GetOrCreateGauge(name, nil).Set(factor * float64(n))
		}
	}
}

// observeView tracks which groups serve and records the lifetime of those that no longer do.
func (m *planMetrics) observeView(v *fleet.View, now time.Time) {
	for key, g := range v.Groups {
		if _, known := m.servingSince[key]; g.Serving() && !known {
			m.servingSince[key] = now
		}
	}
	for key, since := range m.servingSince {
		if g := v.Groups[key]; g == nil || !g.Serving() {
			m.set.GetOrCreateHistogram("pearlanding_group_life_seconds").Update(now.Sub(since).Seconds())
			delete(m.servingSince, key)
		}
	}
}

// observeMove counts a decision to move capacity between models.
func (m *planMetrics) observeMove(move Move) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_capacity_moves_total{service=%q,from=%q,to=%q}", move.Service, move.From, move.To)).Inc()
}

// setCapacities sets the gauges of the models' capacity; factor 0 clears them.
func (m *planMetrics) setCapacities(service string, list []ModelCapacity, factor float64) {
	for _, c := range list {
		for name, value := range map[string]float64{"required": c.Required, "planned": c.Planned, "serving": c.Serving} {
			m.set.GetOrCreateGauge(fmt.Sprintf("pearlanding_model_capacity{service=%q,model=%q,kind=%q}", service, c.Model, name), nil).Set(factor * value)
		}
	}
}

// reset clears the gauges of groups and capacities and the tracked lifetimes, which only the holder
// of the lease may report.
func (m *planMetrics) reset(last map[string]summary) {
	for _, s := range last {
		m.setGroups(s, 0)
	}
	for service, list := range m.capacities {
		m.setCapacities(service, list, 0)
	}
	clear(m.capacities)
	clear(m.servingSince)
}
