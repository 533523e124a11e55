package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// planState holds the counts of one plan over all instances. It is built once per plan and updated
// as the plan starts groups and loads, so that the cost of a plan grows with the number of
// instances and not with instances times new groups.
type planState struct {
	planner     *Planner
	view        *fleet.View
	engine      *routes.Engine
	targets     map[string]float64  // of each model, in instances
	planned     map[string][]string // models of the forming groups of each instance, by id
	holderCount map[string]float64  // instances that hold each model; an instance counts for the first of its models
	groupCount  map[modelDomain]int // complete or forming groups
	domains     []*freeDomain       // with free instances, sorted by name
}

// freeDomain is a domain with free instances.
type freeDomain struct {
	name       string
	free       []*fleet.Instance // instances that may join a group
	candidates []*candidate      // the cheapest group of each model that fits; nil: not computed yet
}

// modelDomain is a key for the groups of a model in a domain.
type modelDomain struct {
	domain, model string
}

// newPlanState computes the counts of a view. busy holds the instances that must not be moved.
func (p *Planner) newPlanState(v *fleet.View, engine *routes.Engine, busy map[string]bool, now time.Time) *planState {
	s := &planState{planner: p, view: v, engine: engine, planned: map[string][]string{}, holderCount: map[string]float64{},
		groupCount: map[modelDomain]int{}}
	free := p.freeByDomain(v, busy, now)
	for _, domain := range sortedDomains(free) {
		s.domains = append(s.domains, &freeDomain{name: domain, free: free[domain]})
	}
	for _, f := range p.forming {
		s.addForming(f)
	}
	for key, g := range v.Groups {
		if g.Head != nil && p.forming[key] == nil && g.Complete() && !p.placement.retiring[key] {
			s.groupCount[modelDomain{g.Head.Domain, g.Model}]++
		}
	}
	total := 0
	for _, in := range p.instances(v) {
		if in.Draining {
			continue
		}
		total++
		if m, ok := s.countedModel(in); ok {
			s.holderCount[m]++
		}
	}
	s.targets = p.targets(engine, total)
	return s
}

// addForming counts a forming group.
func (s *planState) addForming(f *formingGroup) {
	if in := s.view.Instances[f.members[0]]; in != nil {
		s.groupCount[modelDomain{in.Domain, f.model.Name}]++
	}
	for _, id := range f.members {
		s.planned[id] = append(s.planned[id], f.model.Name)
	}
}

// holds reports whether an instance or its host holds a model or was ordered to load it.
func (s *planState) holds(in *fleet.Instance, model string) bool {
	return joinCost(in, model) <= costStaged || s.planner.staging[in.ID].model == model || slices.Contains(s.planned[in.ID], model)
}

// countedModel returns the model for which an instance counts as a holder, if any.
func (s *planState) countedModel(in *fleet.Instance) (string, bool) {
	if m := groupModel(in); s.planner.Prestages && m != "" && len(s.planned[in.ID]) == 0 {
		return m, true // its host may hold another one
	}
	for _, m := range s.engine.Models {
		if s.holds(in, m.Name) {
			return m.Name, true
		}
	}
	return "", false
}

// groupModel returns the model of the group that an instance is a ready member of, empty if there is
// none.
func groupModel(in *fleet.Instance) string {
	if state := in.Group.State; in.Group.Name == "" || len(in.Models) == 0 || state != fleet.Ready && state != fleet.Open {
		return ""
	}
	return in.Models[0]
}

// recount applies a change of which models the instances hold, and updates holderCount.
func (s *planState) recount(instances []*fleet.Instance, change func()) {
	for _, in := range instances {
		if m, ok := s.countedModel(in); ok {
			s.holderCount[m]--
		}
	}
	change()
	for _, in := range instances {
		if m, ok := s.countedModel(in); ok {
			s.holderCount[m]++
		}
	}
}

// groupStarted records a group that was started from a candidate.
func (s *planState) groupStarted(f *formingGroup, c *candidate) {
	s.recount(c.members, func() { s.addForming(f) })
	d := c.domain
	d.free, d.candidates = slices.DeleteFunc(d.free, func(in *fleet.Instance) bool { return slices.Contains(c.members, in) }), nil
	if len(d.free) == 0 {
		s.domains = slices.DeleteFunc(s.domains, func(other *freeDomain) bool { return other == d })
	}
}

// deficits returns the deficit of each model. Free instances count as holders of a model too, as
// they join a group soon or are spares.
func (s *planState) deficits() map[string]deficit {
	out := make(map[string]deficit, len(s.targets))
	for name, target := range s.targets {
		out[name] = deficit{target: target, missing: target - s.holderCount[name]}
	}
	return out
}

// candidates returns the cheapest group of each of a domain's models that fits.
func (s *planState) candidates(d *freeDomain, models []routes.Model) []*candidate {
	out := make([]*candidate, 0, len(models))
	for _, m := range models {
		if c := s.planner.chooseMembers(m, d.free); c != nil {
			c.domain, c.groupsInDomain, c.freeInDomain = d, s.groupCount[modelDomain{d.name, m.Name}], len(d.free)
			out = append(out, c)
		}
	}
	return out
}

// bestCandidate returns the group to form next, nil if there is none. Groups without loads go
// first, then those of the model with the largest deficit ratio.
func (s *planState) bestCandidate(models assignment, cold bool) *candidate {
	deficits := s.deficits()
	var best *candidate
	for _, d := range s.domains {
		if d.candidates == nil {
			d.candidates = s.candidates(d, models[d.name])
		}
		for _, c := range d.candidates {
			if c.loads > 0 && !cold {
				continue // members without the model load it to their hosts first
			}
			if !s.mayForm(d, c.model) {
				continue
			}
			c.deficitRatio = deficits[c.model.Name].ratio()
			if best == nil || better(c, best) {
				best = c
			}
		}
	}
	return best
}

// mostMissingModel returns the model that a free instance of a domain is to hold: the one that a chosen
// layout lacks most, else the one of the domain's models with the largest deficit ratio.
func (s *planState) mostMissingModel(domain string, models []routes.Model) routes.Model {
	if len(models) == 1 {
		return models[0]
	}
	if pl := &s.planner.placement; pl.layouts[domain] != nil && pl.domains[domain] != nil {
		return s.engine.Models[pl.domains[domain].scarcest(s.engine.Models)]
	}
	deficits := s.deficits()
	return slices.MaxFunc(models, func(a, b routes.Model) int { return cmp.Compare(deficits[a.Name].ratio(), deficits[b.Name].ratio()) })
}

// deficit is a model's target and the missing part of it, in instances.
type deficit struct {
	target  float64
	missing float64
}

// ratio returns the missing fraction of the target, 0 without a target.
func (d deficit) ratio() float64 {
	if d.target <= 0 {
		return 0
	}
	return d.missing / d.target
}
