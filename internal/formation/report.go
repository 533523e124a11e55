package formation

import (
	"time"

	"go.uber.org/zap"

	"pearlanding/internal/demand"
)

// slowPlan is the duration from which a plan is logged: half of planInterval.
const slowPlan = planInterval / 2

// observePlan records the duration of a plan and logs a slow one.
func (m *Manager) observePlan(began time.Time) {
	took := m.Clock.Since(began)
	m.counts.observePlan(took)
	if took > slowPlan {
		m.Log.Warn("slow plan", zap.Duration("took", took), zap.Uint64("term", m.term))
	}
}

// logSummary logs a summary that differs from the last one logged.
func (m *Manager) logSummary(s summary, revision uint64) {
	if m.logged[s.service] == s {
		return
	}
	if m.logged == nil {
		m.logged = map[string]summary{}
	}
	m.logged[s.service] = s
	m.Log.Info("groups", zap.Object("seen", s), zap.Uint64("term", m.term), zap.Uint64("view_revision", revision))
}

// setPlacementInputs passes the reported demand and the evacuated zones to a planner.
func (m *Manager) setPlacementInputs(p *Planner, now time.Time) {
	p.Demand, p.Prestages = nil, m.Demand != nil && m.followsDemand()
	if p.Prestages {
		p.Demand = append([]demand.Rate{}, m.Demand(now)...) // not nil: models are placed by demand
	}
	p.Evacuated = m.evacuated()
}

// followsDemand reports whether models are placed by demand.
func (m *Manager) followsDemand() bool { return m.FollowsDemand == nil || m.FollowsDemand() }

// reportPlacement logs the moves that a planner decided and sets the gauges of its models' capacity.
func (m *Manager) reportPlacement(p *Planner, revision uint64) {
	for _, move := range p.TakeMoves() {
		if !move.Canceled {
			m.counts.observeMove(move)
		}
		m.Log.Info("capacity moves to another model", zap.String("service", move.Service), zap.String("domain", move.Domain), zap.String("zone", move.Zone),
			zap.String("from", move.From), zap.String("to", move.To), zap.Int("groups_closed", move.Closed), zap.Int("groups_gained", move.Gained),
			zap.Float64("required_to", move.Required), zap.Float64("required_from", move.DonorRequired),
			zap.Float64("work_to", move.Work), zap.Float64("work_from", move.DonorWork), zap.Float64("refused_to", move.Refused), zap.Float64("unreported_to", move.Unreported), zap.Bool("canceled", move.Canceled),
			zap.Uint64("term", m.term), zap.Uint64("view_revision", revision))
	}
	m.counts.capacities[p.Service] = p.Capacities()
	m.counts.setCapacities(p.Service, m.counts.capacities[p.Service], 1)
}
