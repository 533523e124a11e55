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
			p.recordLoads(1, now)
			state.recount([]*fleet.Instance{in}, func() {
				p.staging[in.ID] = stagingLoad{model: m.Name, since: now, timeout: 2*m.LoadTime + formGrace}
			})
			p.placement.stagingStarted(d.name, m.Name)
			out = append(out, Order{Op: OpStage, Instance: in.ID, Address: in.Address, Model: m.Name, Reason: "a free instance is missing its domain's model"})
		}
	}
	return out
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
