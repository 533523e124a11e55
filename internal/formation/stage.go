package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// stagingLoad is a load to a host that this planner has ordered.
type stagingLoad struct {
	model   string
	since   time.Time
	timeout time.Duration
}

// spareDelay is how long after its creation a planner neither stages nor warms models on spares:
// some entries may not have arrived yet, and forming groups need the weight store first.
const spareDelay = 2 * time.Second

// stageSpares orders a load of the domain's model to the host of each free instance that holds
// none of the domain's models, so that it can join a group without a load. The model with the
// largest deficit ratio goes first.
func (p *Planner) stageSpares(state *planState, models assignment, cold bool, inFlight int, now time.Time) []Order {
	if now.Sub(p.started) < spareDelay {
		return nil
	}
	deficits := state.deficits()
	domains := slices.Clone(state.domains)
	slices.SortStableFunc(domains, func(a, b *freeDomain) int {
		return cmp.Compare(deficits[models[b.name][0].Name].ratio(), deficits[models[a.name][0].Name].ratio())
	})
	var out []Order
	for _, d := range domains {
		for _, in := range d.free {
			if p.staging[in.ID].model != "" || p.holdsAny(in, models[d.name]) {
				continue
			}
			if !p.mayLoad(state.engine, cold, inFlight, 1, now) {
				return out
			}
			m := state.mostMissingModel(d.name, models[d.name])
			inFlight++
			state.recount([]*fleet.Instance{in}, func() {
				out = append(out, p.stageOrder(in, m, "a free instance is missing its domain's model", now))
			})
			p.placement.stagingStarted(d.name, m.Name)
		}
	}
	return out
}

// stageOrder records a load of a model to the host of an instance, and returns the order for it.
func (p *Planner) stageOrder(in *fleet.Instance, m routes.Model, reason string, now time.Time) Order {
	p.recordLoads(1, now)
	p.staging[in.ID] = stagingLoad{model: m.Name, since: now, timeout: 2*m.LoadTime + formGrace}
	return Order{Op: OpStage, Instance: in.ID, Address: in.Address, Model: m.Name, Reason: reason}
}

// holdsAny reports whether an instance or its host holds one of the models.
func (p *Planner) holdsAny(in *fleet.Instance, models []routes.Model) bool {
	for _, m := range models {
		if joinCost(in, m.Name) <= costStaged || p.Prestages && p.lastModel[in.ID] == m.Name {
			return true
		}
	}
	return false
}
