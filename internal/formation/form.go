package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// option is a group that could be formed now.
type option struct {
	model   routes.Model
	members []*fleet.Instance
	loads   int     // members that would load from the weight store
	need    float64 // instances that the model's share lacks
	free    int     // free instances of the domain
}

// form plans new groups from free instances until none fits.
func (p *Planner) form(v *fleet.View, engine *routes.Engine, busy map[string]bool, now time.Time) []Order {
	var out []Order
	loading := p.loading(v)
	free := p.free(v, busy)
	for {
		best := p.best(v, engine, free, engine.LoadsAtOnce-loading)
		if best == nil {
			return out
		}
		loading += best.loads
		f := p.begin(best, now)
		for _, in := range best.members {
			busy[in.ID] = true
			out = append(out, p.send(now, p.join(f, in, "new group"))...)
		}
		free = p.free(v, busy)
	}
}

// begin records a new group.
func (p *Planner) begin(o *option, now time.Time) *forming {
	epoch := p.nextEpoch()
	f := &forming{key: fleet.Key{Name: name(o.model.Name, epoch), Epoch: epoch}, model: o.model, since: now, loads: o.loads}
	for _, in := range o.members {
		f.members = append(f.members, in.ID)
	}
	p.forming[f.key] = f
	return f
}

// free lists the instances that may join a group, by domain.
func (p *Planner) free(v *fleet.View, busy map[string]bool) map[string][]*fleet.Instance {
	out := map[string][]*fleet.Instance{}
	for _, in := range v.Services[p.Service] {
		if !busy[in.ID] && !in.Draining && in.Domain != "" {
			out[in.Domain] = append(out[in.Domain], in)
		}
	}
	return out
}

// loading counts the loads from the weight store under way.
func (p *Planner) loading(v *fleet.View) int {
	n := 0
	for _, f := range p.forming {
		for _, id := range f.members {
			if in := v.Instances[id]; f.loads > 0 && in != nil && !in.HasStaged(f.model.Name) {
				n++
			}
		}
	}
	return n
}

// best returns the best group to form next, nil if there is none. Groups that
// need no load go first; then the model that lacks most of its share. loads is
// how many loads may begin; a group that needs more begins when none is under way.
func (p *Planner) best(v *fleet.View, engine *routes.Engine, free map[string][]*fleet.Instance, loads int) *option {
	need := p.needs(v, engine)
	var best *option
	for _, domain := range sortedDomains(free) {
		for _, m := range engine.Models {
			o := choose(m, free[domain])
			if o == nil || o.loads > loads && loads < engine.LoadsAtOnce {
				continue
			}
			o.need, o.free = need[m.Name], len(free[domain])
			if best == nil || better(o, best) {
				best = o
			}
		}
	}
	return best
}

func better(a, b *option) bool {
	return cmp.Or(
		cmp.Compare(boolToInt(b.loads == 0), boolToInt(a.loads == 0)),
		cmp.Compare(b.need/float64(b.model.Size), a.need/float64(a.model.Size)),
		cmp.Compare(a.loads, b.loads),
		cmp.Compare(b.free, a.free),
	) < 0
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func sortedDomains(free map[string][]*fleet.Instance) []string {
	out := make([]string, 0, len(free))
	for d := range free {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// choose picks the members of a group of the model among free instances of one
// domain: those loaded with it first, then those whose host has it.
func choose(m routes.Model, free []*fleet.Instance) *option {
	if len(free) < m.Size {
		return nil
	}
	list := slices.Clone(free)
	slices.SortStableFunc(list, func(a, b *fleet.Instance) int { return cmp.Compare(joinCost(a, m.Name), joinCost(b, m.Name)) })
	o := &option{model: m, members: list[:m.Size]}
	for _, in := range o.members {
		if joinCost(in, m.Name) > costStaged {
			o.loads++
		}
	}
	return o
}

// Ranks of how long an instance takes to join a group of a model.
const (
	costLoaded = iota // its last group was of the model
	costStaged        // the model is on its host
	costEmpty         // nothing is staged: a load loses nothing
	costOther         // a load drops another staged model
)

func joinCost(in *fleet.Instance, model string) int {
	switch {
	case slices.Contains(in.Models, model):
		return costLoaded
	case in.HasStaged(model):
		return costStaged
	case len(in.Staged) == 0:
		return costEmpty
	}
	return costOther
}

// needs returns how many instances each model lacks of its share.
func (p *Planner) needs(v *fleet.View, engine *routes.Engine) map[string]float64 {
	total, shares := 0.0, 0.0
	for _, in := range v.Services[p.Service] {
		if !in.Draining {
			total++
		}
	}
	for _, m := range engine.Models {
		shares += m.Share
	}
	need := map[string]float64{}
	for _, m := range engine.Models {
		if shares > 0 {
			need[m.Name] = total * m.Share / shares
		} else {
			need[m.Name] = total / float64(len(engine.Models))
		}
	}
	counted := map[fleet.Key]bool{}
	for key, f := range p.forming {
		counted[key] = true
		need[f.model.Name] -= float64(len(f.members))
	}
	for key, g := range v.Groups {
		if g.Service == p.Service && !counted[key] && g.Complete() {
			need[g.Model] -= float64(g.Size)
		}
	}
	return need
}
