package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// A move interrupts nothing. The hosts of groups that a domain's layout no longer has load the new model
// while the groups serve (stageMoves). Groups whose hosts all hold it are closed, as many as their model
// can spare (retireGroups), and leave once their requests have finished. Their instances are then free and
// join groups of the new model from their hosts (formGroups).

// stageMoves orders loads to the hosts of groups that are to be closed, and to free instances that
// hold a model of which the domain has enough.
func (p *Planner) stageMoves(state *planState, cold bool, inFlight int, now time.Time) (out []Order) {
	pl := &p.placement
	if len(pl.layouts) == 0 || now.Sub(p.started) < spareDelay {
		return nil
	}
	for _, name := range p.placedDomains() {
		d := pl.domains[name]
		to := d.missing()
		if to < 0 || d.fixed {
			continue
		}
		m := state.engine.Models[to]
		for _, in := range p.hostsToMove(state, d, to) {
			if d.lack[to] <= 0 {
				break
			}
			if !p.mayLoad(state.engine, cold, inFlight, 1, now) {
				return out
			}
			inFlight++
			d.lack[to]--
			out = append(out, p.stageOrder(in, m, "its domain moves to the model", now))
		}
	}
	return out
}

// placedDomains returns the names of the domains with a chosen layout, sorted.
func (p *Planner) placedDomains() []string {
	out := make([]string, 0, len(p.placement.layouts))
	for name := range p.placement.layouts {
		if p.placement.domains[name] != nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// hostsToMove returns the instances of a domain to whose hosts a model is loaded, the best ones first:
// members of groups to be closed, then free instances, which are the spares of these groups until then.
func (p *Planner) hostsToMove(state *planState, d *domainCapacity, to int) (out []*fleet.Instance) {
	model := state.engine.Models[to].Name
	add := func(list []*fleet.Instance) {
		for _, in := range list {
			if !p.holdsOrLoads(in, model) && !in.Draining && p.staging[in.ID].model == "" {
				out = append(out, in)
			}
		}
	}
	for i := range state.engine.Models {
		if i != to {
			for _, g := range p.surplusGroups(state, d, i, to) {
				add(g.Members)
			}
		}
	}
	add(state.freeIn(d.name))
	return out
}

// surplusGroups returns the serving groups of a model that a domain's layout no longer has. Those with
// the most hosts that hold the other model come first.
func (p *Planner) surplusGroups(state *planState, d *domainCapacity, model, to int) []*fleet.Group {
	surplus := state.groupCount[modelDomain{d.name, p.placement.models[model]}] - d.layout[model]
	if surplus <= 0 {
		return nil
	}
	held := func(g *fleet.Group) (n int) {
		for _, in := range g.Members {
			n += boolToInt(p.holdsOrLoads(in, p.placement.models[to]))
		}
		return n
	}
	list := slices.Clone(d.serving[model])
	slices.SortStableFunc(list, func(a, b *fleet.Group) int { return cmp.Compare(held(b), held(a)) })
	return list[:min(surplus, len(list))]
}

// retireGroups orders groups to close whose hosts hold the model to which their domain moves. Within
// a domain they close one after the other, or as many at once as a group of the other model needs.
func (p *Planner) retireGroups(state *planState, now time.Time) (out []Order) {
	pl := &p.placement
	if len(pl.layouts) == 0 || pl.needs == nil {
		return nil
	}
	serving := pl.servingGroups()
	for _, name := range p.placedDomains() {
		d := pl.domains[name]
		if d.fixed {
			continue
		}
		for from := range pl.models {
			out = append(out, p.retireInDomain(state, d, from, serving, now)...)
		}
	}
	return append(out, p.resendCloses(state.view, now)...)
}

// servingGroups returns the number of groups of each model that serve outside of evacuated zones.
func (pl *placement) servingGroups() []int {
	out := make([]int, len(pl.models))
	for _, d := range pl.domains {
		if _, evacuated := pl.evacuated[d.zone]; evacuated {
			continue
		}
		for i, groups := range d.serving {
			out[i] += len(groups)
		}
	}
	return out
}

// retireInDomain closes groups of one model in a domain and lowers the count of serving ones. It closes
// those whose hosts suffice for the next group of another model, and further ones once that has formed.
func (p *Planner) retireInDomain(state *planState, d *domainCapacity, from int, serving []int, now time.Time) (out []Order) {
	pl := &p.placement
	for to, m := range state.engine.Models {
		available := state.freeWith(d.name, m) + p.closingWith(state.view, d, m)
		if to == from || state.groupCount[modelDomain{d.name, m.Name}] >= d.layout[to] || available >= m.ReplicaSize {
			continue
		}
		var chosen []*fleet.Group
		for _, g := range p.surplusGroups(state, d, from, to) {
			if available < m.ReplicaSize && len(g.Lapsed) == 0 {
				chosen = append(chosen, g)
				available += hostsWith(g, m)
			}
		}
		if available < m.ReplicaSize || float64(serving[from]-len(chosen)) < pl.minServing(from, to, serving) {
			continue
		}
		for _, g := range chosen {
			serving[from]--
			pl.retiring[g.Key] = true
			out = append(out, p.closeOrder(g, now)...)
		}
	}
	return out
}

// minServing returns how many groups of a model serve at least while its domains move to another one: what it
// needs. If the other one is more urgent and lacks capacity, it is what the layouts leave.
func (pl *placement) minServing(from, to int, serving []int) float64 {
	if pl.needs[to].urgency < pl.needs[from].urgency && float64(serving[to]) < pl.needs[to].groups {
		return max(min(pl.minimum[from], float64(pl.totals[from])), 1)
	}
	return pl.minimum[from]
}

// hostsWith returns the number of members of a group whose hosts hold a model.
func hostsWith(g *fleet.Group, m routes.Model) (n int) {
	for _, in := range g.Members {
		n += boolToInt(in.HasStaged(m.Name))
	}
	return n
}

// closingWith returns the number of members of a domain's closing groups whose hosts hold a model.
func (p *Planner) closingWith(v *fleet.View, d *domainCapacity, m routes.Model) (n int) {
	for _, key := range d.closing {
		n += hostsWith(v.Groups[key], m)
	}
	return n
}

// freeIn returns the free instances of a domain.
func (s *planState) freeIn(domain string) []*fleet.Instance {
	i, found := slices.BinarySearchFunc(s.domains, domain, func(d *freeDomain, name string) int { return cmp.Compare(d.name, name) })
	if !found {
		return nil
	}
	return s.domains[i].free
}

// freeWith returns the number of free instances of a domain that hold a model.
func (s *planState) freeWith(domain string, m routes.Model) (n int) {
	for _, in := range s.freeIn(domain) {
		n += boolToInt(joinCost(in, m.Name) <= costStaged)
	}
	return n
}

// countLacking sets how many more instances of a domain must hold each model for its layout. Those in
// other groups that stay don't count.
func (p *Planner) countLacking(state *planState, d *domainCapacity, instances []*fleet.Instance) {
	d.lack = make([]int, len(d.layout))
	for to, m := range state.engine.Models {
		stays := map[fleet.GroupKey]bool{}
		for i, groups := range d.serving {
			if i == to {
				continue
			}
			surplus := p.surplusGroups(state, d, i, to)
			for _, g := range groups {
				stays[g.Key] = !slices.Contains(surplus, g)
			}
		}
		d.lack[to] = d.layout[to] * m.ReplicaSize
		for _, in := range instances {
			if p.holdsOrLoads(in, m.Name) && !stays[in.Group.Key()] {
				d.lack[to]--
			}
		}
	}
}

// closeOrder returns the order that closes a group whose instances move.
func (p *Planner) closeOrder(g *fleet.Group, now time.Time) []Order {
	if _, ok := p.closing[g.Key]; !ok {
		p.closing[g.Key] = now
	}
	return p.unlessSentRecently(now, Order{Op: OpClose, Instance: g.Head.ID, Address: g.Head.Address, Group: g.Key, Version: g.Head.Version, Reason: "its instances move to another model"})
}

// resendCloses closes groups again that still serve after the order to close.
func (p *Planner) resendCloses(v *fleet.View, now time.Time) (out []Order) {
	for _, key := range sortedKeys(v) {
		if g := v.Groups[key]; p.placement.retiring[key] && g.Serving() {
			out = append(out, p.closeOrder(g, now)...)
		}
	}
	return out
}
