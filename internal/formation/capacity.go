package formation

import (
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// heldCount is a count that falls only after it was lower for capacityHold.
type heldCount struct {
	value int
	below time.Time // since when it is lower; zero: it is not
}

// hold returns the count of a key, held up after it fell.
func (pl *placement) hold(key modelDomain, value int, now time.Time) int {
	h := pl.held[key]
	switch {
	case h == nil:
		h = &heldCount{value: value}
		pl.held[key] = h
	case value >= h.value:
		h.value, h.below = value, time.Time{}
	case h.below.IsZero():
		h.below = now
	case now.Sub(h.below) > capacityHold:
		h.value, h.below = value, time.Time{}
	}
	return h.value
}

// domainCapacities returns what each domain holds and is to hold. Domains that were lost a moment ago
// are included.
func (p *Planner) domainCapacities(state *planState, models assignment, byDomain map[string][]*fleet.Instance, now time.Time) map[string]*domainCapacity {
	pl, engine := &p.placement, state.engine
	out := make(map[string]*domainCapacity, len(byDomain))
	for name, instances := range byDomain {
		pl.zones[name] = instances[0].Zone
	}
	for name, zone := range pl.zones {
		size := pl.hold(modelDomain{domain: name}, len(byDomain[name]), now)
		if size == 0 {
			delete(pl.zones, name)
			delete(pl.held, modelDomain{domain: name})
			continue
		}
		d := &domainCapacity{name: name, zone: zone, size: size, fixed: p.Evacuated[zone] || len(byDomain[name]) == 0, settling: -1,
			serving: make([][]*fleet.Group, len(engine.Models))}
		if m, ok := pl.movedAt[name]; ok && now.Sub(m.at) < settleTime {
			d.settling = m.to
		}
		d.staged, d.usable = p.countHolders(engine, byDomain[name])
		out[name] = d
	}
	p.addServing(state, out)
	for name, d := range out {
		d.layout = p.presentLayout(state, models[name], d, now)
	}
	return out
}

// countHolders returns how many of some instances hold or load each model, and how many of these are usable.
func (p *Planner) countHolders(engine *routes.Engine, instances []*fleet.Instance) (staged, usable []int) {
	staged, usable = make([]int, len(engine.Models)), make([]int, len(engine.Models))
	for _, in := range instances {
		for i, m := range engine.Models {
			if p.holdsOrLoads(in, m.Name) {
				staged[i]++
				usable[i] += boolToInt(p.usable(in, m.Name))
			}
		}
	}
	return staged, usable
}

// holdsOrLoads reports whether an instance is in a group of a model, or its host holds or loads it.
func (p *Planner) holdsOrLoads(in *fleet.Instance, model string) bool {
	return in.Group.Name != "" && slices.Contains(in.Models, model) || in.HasStaged(model) || p.staging[in.ID].model == model
}

// usable reports whether a model that an instance holds says something about what its domain is to
// hold: hosts of groups may hold other models since before the first request.
func (p *Planner) usable(in *fleet.Instance, model string) bool {
	if !p.Prestages {
		return true
	}
	if group := groupModel(in); group != "" {
		return group == model
	}
	last := p.lastModel[in.ID]
	return last == "" || last == model || p.placement.layouts[in.Domain] != nil
}

// addServing adds the serving groups of the view to their domains and drops the records of closed ones.
func (p *Planner) addServing(state *planState, domains map[string]*domainCapacity) {
	pl := &p.placement
	for key := range pl.retiring {
		if state.view.Groups[key] == nil {
			delete(pl.retiring, key)
		}
	}
	for _, key := range sortedKeys(state.view) {
		g := state.view.Groups[key]
		if g.Service != p.Service || g.Head == nil || domains[g.Head.Domain] == nil {
			continue
		}
		d := domains[g.Head.Domain]
		if pl.retiring[key] {
			d.closing = append(d.closing, key)
		} else if i := slices.Index(pl.models, g.Model); i >= 0 && g.Serving() {
			d.serving[i] = append(d.serving[i], g)
		}
	}
}

// presentLayout returns the layout of a domain: the one chosen by a move, else a whole domain of its
// model. Of a domain that holds several models, it is what groups there are.
func (p *Planner) presentLayout(state *planState, models []routes.Model, d *domainCapacity, now time.Time) layout {
	pl := &p.placement
	if l, ok := pl.layouts[d.name]; ok {
		return l.fit(state.engine.Models, d.size)
	}
	l := make(layout, len(pl.models))
	first := slices.Index(pl.models, p.assigned[d.name])
	if len(models) > 0 {
		first = slices.Index(pl.models, models[0].Name)
	}
	shared, any := len(models) > 1, false
	for i, m := range state.engine.Models {
		shared = shared || i != first && d.usable[i] >= m.ReplicaSize
	}
	if shared {
		for i, name := range pl.models {
			l[i] = pl.hold(modelDomain{d.name, name}, state.groupCount[modelDomain{d.name, name}], now)
			any = any || l[i] > 0
		}
	}
	if !any && first >= 0 {
		l[first] = 1
	}
	return l.fit(state.engine.Models, d.size)
}

// missing returns the index of the model of which a domain's layout lacks most instances that hold or
// load it; -1: there is none.
func (d *domainCapacity) missing() int {
	best, most := -1, 0
	for i, lack := range d.lack {
		if lack > most {
			best, most = i, lack
		}
	}
	return best
}

// scarcest returns the index of the model of a domain's layout with the fewest instances beyond those
// that its groups need.
func (d *domainCapacity) scarcest(models []routes.Model) int {
	best, least := d.layout.main(models), 1<<30
	for i, m := range models {
		if beyond := d.usable[i] - d.layout[i]*m.ReplicaSize; d.layout[i] > 0 && beyond < least {
			best, least = i, beyond
		}
	}
	return best
}

// stagingStarted counts a load to the host of an instance.
func (pl *placement) stagingStarted(domain, model string) {
	if d := pl.domains[domain]; d != nil {
		i := slices.Index(pl.models, model)
		d.staged[i]++
		d.usable[i]++
		if d.lack != nil {
			d.lack[i]--
		}
	}
}

// ModelCapacity is the capacity of one model in groups.
type ModelCapacity struct {
	Model    string
	Required float64 // by the smoothed demand; 0: unknown
	Planned  float64 // in all domains' layouts
	Serving  float64 // outside of evacuated zones
}

// Capacities returns the capacity of each model as of the last plan; none if models are not placed by
// demand.
func (p *Planner) Capacities() []ModelCapacity {
	pl := &p.placement
	if pl.domains == nil {
		return nil
	}
	out, serving := make([]ModelCapacity, len(pl.models)), pl.servingGroups()
	for i, name := range pl.models {
		out[i] = ModelCapacity{Model: name, Planned: float64(pl.totals[i]), Serving: float64(serving[i])}
		if pl.needs != nil {
			out[i].Required = pl.needs[i].groups
		}
	}
	return out
}
