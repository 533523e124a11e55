package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// staging is a load to a host that this planner has ordered.
type staging struct {
	model    string
	since    time.Time
	patience time.Duration
}

// settle is how long after its start a planner loads no spares: not all entries
// may have come yet, and groups need the weight store first.
const settle = 2 * time.Second

// stage loads its domain's model to the host of each free instance that lacks it,
// so that it can join a group without a load. The model that lacks most goes first.
func (p *Planner) stage(v *fleet.View, engine *routes.Engine, models assignment, free map[string][]*fleet.Instance, cold bool, loading int, now time.Time) []Order {
	if now.Sub(p.started) < settle {
		return nil
	}
	needs := p.needs(v, engine)
	domains := sortedDomains(free)
	slices.SortStableFunc(domains, func(a, b string) int {
		return cmp.Compare(needs[models[b][0].Name].part(), needs[models[a][0].Name].part())
	})
	var out []Order
	for _, domain := range domains {
		for _, in := range free[domain] {
			if p.staging[in.ID].model != "" || useful(in, models[domain]) {
				continue
			}
			if !p.mayLoad(engine, cold, loading, 1, now) {
				return out
			}
			m := p.scarcest(v, engine, models[domain])
			loading++
			p.began(1, now)
			p.staging[in.ID] = staging{model: m.Name, since: now, patience: 2*m.Load + formPatience}
			out = append(out, Order{Op: OpStage, Instance: in.ID, Address: in.Address, Model: m.Name, Reason: "a free instance lacks its domain's model"})
		}
	}
	return out
}

// scarcest returns the model of a domain that lacks most of its target.
func (p *Planner) scarcest(v *fleet.View, engine *routes.Engine, models []routes.Model) routes.Model {
	if len(models) == 1 {
		return models[0]
	}
	needs := p.needs(v, engine)
	return slices.MaxFunc(models, func(a, b routes.Model) int { return cmp.Compare(needs[a.Name].part(), needs[b.Name].part()) })
}

// useful tells whether an instance holds one of its domain's models.
func useful(in *fleet.Instance, models []routes.Model) bool {
	for _, m := range models {
		if joinCost(in, m.Name) <= costStaged {
			return true
		}
	}
	return false
}
