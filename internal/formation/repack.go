package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// groupSwitch ends groups of one model so that their members, with free instances of
// the same domain, form a group of another.
type groupSwitch struct {
	model   routes.Model
	members []string    // of the group to be
	ends    []fleet.Key // groups that give way
	since   time.Time
}

// Limits of switches.
const (
	// switchMargin is how much more worth the new group must have than what gives way:
	// a switch takes about three seconds (streams end, instances leave and join) of the
	// fifteen or so that a set of groups lasts until the next instance is lost.
	switchMargin = 1.3
	// switchPart of the instances may be switching at a time, as they serve nobody
	// meanwhile; one switch is always allowed.
	switchPart = 0.1
	// switchPatience is how long a switch may wait for its instances: streams may take
	// closePatience to end, and leaves a moment.
	switchPatience = closePatience + 2*time.Second
)

// ending tells whether a group gives way to another.
func (p *Planner) ending(key fleet.Key) bool {
	return slices.ContainsFunc(p.switches, func(s *groupSwitch) bool { return slices.Contains(s.ends, key) })
}

// reserved tells whether an instance is needed by a switch under way.
func (p *Planner) reserved(id string) bool {
	return slices.ContainsFunc(p.switches, func(s *groupSwitch) bool { return slices.Contains(s.members, id) })
}

// finishSwitches forms the group of each switch whose members are all free, and gives
// up those that have lost one or wait too long. Groups that were to end and still can
// serve are opened again.
func (p *Planner) finishSwitches(v *fleet.View, busy map[string]bool, now time.Time) []Order {
	var out []Order
	p.switches = slices.DeleteFunc(p.switches, func(s *groupSwitch) bool {
		members, free := make([]*fleet.Instance, 0, len(s.members)), true
		for _, id := range s.members {
			in := v.Instances[id]
			if in == nil || in.Draining || !p.capable(in, s.model.Name) {
				return true
			}
			free = free && p.mayJoin(in, busy, now)
			members = append(members, in)
		}
		if free {
			out = append(out, p.begin(&option{model: s.model, members: members}, busy, now)...)
			return true
		}
		return now.Sub(s.since) > switchPatience
	})
	return out
}

// considerSwitch begins the switch that is worth most, if one is worth its cost.
func (p *Planner) considerSwitch(v *fleet.View, engine *routes.Engine, busy map[string]bool, now time.Time) {
	if now.Sub(p.started) < settle || p.cold(v) {
		return
	}
	switching := 0
	for _, s := range p.switches {
		switching += len(s.members)
	}
	if switching > 0 && float64(switching) > switchPart*float64(len(v.Services[p.Service])) {
		return
	}
	demands := p.demands(v, engine)
	free := p.free(v, busy, now)
	var best *groupSwitch
	bestNet := 0.0
	for _, domain := range p.domains(v) {
		for _, m := range engine.Models {
			s, net := p.switchTo(v, m, domain, free[domain], demands, now)
			if s != nil && (best == nil || net > bestNet) {
				best, bestNet = s, net
			}
		}
	}
	if best != nil {
		p.switches = append(p.switches, best)
	}
}

// domains lists the domains of the service's instances, in order.
func (p *Planner) domains(v *fleet.View) []string {
	byDomain := map[string][]*fleet.Instance{}
	for _, in := range v.Services[p.Service] {
		if in.Domain != "" {
			byDomain[in.Domain] = append(byDomain[in.Domain], in)
		}
	}
	return sortedDomains(byDomain)
}

// switchTo returns the best switch to a model in a domain and its net worth, nil if
// none is worth its cost.
func (p *Planner) switchTo(v *fleet.View, m routes.Model, domain string, free []*fleet.Instance, demands map[string]demand, now time.Time) (*groupSwitch, float64) {
	s := &groupSwitch{model: m, since: now}
	var members []*fleet.Instance
	add := func(list []*fleet.Instance) {
		for _, in := range list {
			if p.capable(in, m.Name) {
				members = append(members, in)
			}
		}
	}
	add(free)
	ended := map[string]int{}
	loss := 0.0
	for _, g := range p.givers(v, m, domain, now) {
		if len(members) >= m.Size {
			break
		}
		add(g.Members)
		s.ends = append(s.ends, g.Key)
		d := demands[g.Model]
		loss += d.loss(ended[g.Model]+1) - d.loss(ended[g.Model])
		ended[g.Model]++
	}
	if len(members) < m.Size || len(s.ends) == 0 {
		return nil, 0
	}
	gain := demands[m.Name].gain(1) - p.price(members[:m.Size], m)
	if gain < switchMargin*loss {
		return nil, 0
	}
	for _, in := range members[:m.Size] {
		s.members = append(s.members, in.ID)
	}
	return s, gain - loss
}

// givers lists the groups of other models in a domain that could give way to one of a
// model: those with most members capable of it first, the smaller first.
func (p *Planner) givers(v *fleet.View, m routes.Model, domain string, now time.Time) []*fleet.Group {
	var out []*fleet.Group
	able := map[fleet.Key]int{}
	for _, key := range sortedKeys(v) {
		g := v.Groups[key]
		if g.Service != p.Service || g.Model == m.Name || !g.Serving() || g.Head.Domain != domain || p.ending(key) {
			continue
		}
		for _, in := range g.Members {
			if p.capable(in, m.Name) && !p.mayReturn(in.ID, now) && in.Domain == domain {
				able[key]++
			}
		}
		if able[key] > 0 {
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b *fleet.Group) int {
		return cmp.Or(cmp.Compare(a.Size-able[a.Key], b.Size-able[b.Key]), cmp.Compare(a.Size, b.Size))
	})
	return out
}
