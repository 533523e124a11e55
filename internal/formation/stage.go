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
func (p *Planner) stage(c *census, models assignment, cold bool, loading int, now time.Time) []Order {
	if now.Sub(p.started) < settle {
		return nil
	}
	needs := c.needs()
	domains := slices.Clone(c.domains)
	slices.SortStableFunc(domains, func(a, b *freeDomain) int {
		return cmp.Compare(needs[models[b.name][0].Name].part(), needs[models[a.name][0].Name].part())
	})
	var out []Order
	for _, d := range domains {
		for _, in := range d.free {
			if p.staging[in.ID].model != "" || useful(in, models[d.name]) {
				continue
			}
			if !p.mayLoad(c.engine, cold, loading, 1, now) {
				return out
			}
			m := c.scarcest(models[d.name])
			loading++
			p.began(1, now)
			c.recount([]*fleet.Instance{in}, func() {
				p.staging[in.ID] = staging{model: m.Name, since: now, patience: 2*m.Load + formPatience}
			})
			out = append(out, Order{Op: OpStage, Instance: in.ID, Address: in.Address, Model: m.Name, Reason: "a free instance lacks its domain's model"})
		}
	}
	return out
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
