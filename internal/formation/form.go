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
	price   float64 // of members that change their models, in instances
	worth   float64 // gain by the group, less its price, for each of its members
	same    int     // groups of the model in the domain
	free    int     // free instances of the domain
	waits   bool    // some members are not free yet
}

// form plans new groups from free instances until none fits, then considers which
// groups should give way to others, and loads models to hosts.
func (p *Planner) form(v *fleet.View, engine *routes.Engine, busy map[string]bool, now time.Time) []Order {
	loading := p.loading(v, now)
	cold := p.Idle && p.cold(v)
	p.sawCold = p.sawCold || cold
	taken := map[string]bool{} // by groups that wait for a member to become free
	out := p.finishSwitches(v, busy, now)
	for {
		best := p.best(v, engine, p.available(v, busy, taken, now), cold)
		if best == nil {
			break
		}
		if best.waits {
			p.awaited[best.model.Name]++
			for _, in := range best.members {
				taken[in.ID] = true
			}
			continue
		}
		if !p.mayLoad(engine, cold, loading, best.loads, now) {
			return out
		}
		loading += best.loads
		p.began(best.loads, now)
		out = append(out, p.begin(best, busy, now)...)
	}
	p.considerSwitch(v, engine, busy, now)
	free := p.free(v, busy, now)
	out = append(out, p.warm(free, busy, now)...)
	return append(out, p.stage(v, engine, free, cold, loading, now)...)
}

// begin records a new group and returns the joins of its members.
func (p *Planner) begin(o *option, busy map[string]bool, now time.Time) []Order {
	epoch := p.nextEpoch()
	f := &forming{key: fleet.Key{Name: name(o.model.Name, epoch), Epoch: epoch}, model: o.model, since: now, loads: o.loads}
	for _, in := range o.members {
		f.members = append(f.members, in.ID)
	}
	p.forming[f.key] = f
	var out []Order
	for _, in := range o.members {
		busy[in.ID] = true
		if p.lastModel(in) != o.model.Name {
			delete(p.lastModels, in.ID) // known again once it is ready
		}
		out = append(out, p.send(now, p.join(f, in, "new group"))...)
	}
	return out
}

// free lists the instances that may join a group, by domain. Those that a switch
// needs are not among them.
func (p *Planner) free(v *fleet.View, busy map[string]bool, now time.Time) map[string][]*fleet.Instance {
	out := map[string][]*fleet.Instance{}
	for _, in := range v.Services[p.Service] {
		if p.mayJoin(in, busy, now) && !p.reserved(in.ID) {
			out[in.Domain] = append(out[in.Domain], in)
		}
	}
	return out
}

// available lists the instances that are free or will be in a moment, by domain, but
// those that are taken. Without those to come, the first few that a broken group frees
// would form a small group, and the large one could not be formed again.
func (p *Planner) available(v *fleet.View, busy, taken map[string]bool, now time.Time) map[string][]*fleet.Instance {
	out := p.free(v, busy, now)
	for _, in := range v.Services[p.Service] {
		if p.freeing[in.ID] && busy[in.ID] && !in.Draining && in.Domain != "" && !p.mayReturn(in.ID, now) && !p.reserved(in.ID) {
			out[in.Domain] = append(out[in.Domain], in)
		}
	}
	for domain, list := range out {
		out[domain] = slices.DeleteFunc(list, func(in *fleet.Instance) bool { return taken[in.ID] })
	}
	return out
}

// mayJoin tells whether an instance may join a group now.
func (p *Planner) mayJoin(in *fleet.Instance, busy map[string]bool, now time.Time) bool {
	return !busy[in.ID] && !in.Draining && in.Domain != "" && (in.Group.Name == "" || p.hasLeft(in)) && !p.mayReturn(in.ID, now)
}

// best returns the best group to form next, nil if there is none. Groups that
// need no load go first; then the model whose next group is worth most for each
// member.
func (p *Planner) best(v *fleet.View, engine *routes.Engine, free map[string][]*fleet.Instance, cold bool) *option {
	demands := p.demands(v, engine)
	var best *option
	for _, domain := range sortedDomains(free) {
		for _, m := range engine.Models {
			o := p.choose(m, engine.Models, free[domain])
			if o == nil || o.loads > 0 && !cold {
				continue // those that lack the model load it to their hosts first
			}
			o.worth = (demands[m.Name].gain(1) - o.price) / float64(m.Size)
			if o.worth <= 0 {
				continue
			}
			o.same, o.free = p.groupsIn(v, domain, m.Name), len(free[domain])
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
		cmp.Compare(b.worth, a.worth),
		cmp.Compare(b.model.Size, a.model.Size),
		cmp.Compare(a.same, b.same),
		cmp.Compare(b.free, a.free),
	) < 0
}

// groupsIn counts the groups of a model in a domain, those forming included.
func (p *Planner) groupsIn(v *fleet.View, domain, model string) int {
	n := 0
	for _, f := range p.forming {
		if in := v.Instances[f.members[0]]; f.model.Name == model && in != nil && in.Domain == domain {
			n++
		}
	}
	for key, g := range v.Groups {
		if g.Model == model && g.Head != nil && g.Head.Domain == domain && p.forming[key] == nil && g.Complete() {
			n++
		}
	}
	return n
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
