package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// census is what one plan counts of all instances. It is made once per plan and kept up to date
// while the plan begins groups and loads, so that the cost of a plan grows with the fleet and not
// with the fleet times the groups that are begun.
type census struct {
	planner *Planner
	view    *fleet.View
	engine  *routes.Engine
	targets map[string]float64  // of each model, in instances
	planned map[string][]string // models of the groups that instances are to join, by instance
	holders map[string]float64  // instances that hold a model; each counts for the first of its models
	groups  map[place]int       // complete or forming
	domains []*freeDomain       // with free instances, by name
}

// freeDomain is a domain's free instances.
type freeDomain struct {
	name    string
	free    []*fleet.Instance // that may join a group
	options []*option         // the cheapest group of each model that fits; nil: not chosen yet
}

// place is where groups of a model are.
type place struct {
	domain, model string
}

// census makes the census of a view.
func (p *Planner) census(v *fleet.View, engine *routes.Engine, busy map[string]bool, now time.Time) *census {
	c := &census{planner: p, view: v, engine: engine, planned: map[string][]string{}, holders: map[string]float64{},
		groups: map[place]int{}}
	free := p.free(v, busy, now)
	for _, domain := range sortedDomains(free) {
		c.domains = append(c.domains, &freeDomain{name: domain, free: free[domain]})
	}
	for _, f := range p.forming {
		c.expect(f)
	}
	for key, g := range v.Groups {
		if g.Head != nil && p.forming[key] == nil && g.Complete() {
			c.groups[place{g.Head.Domain, g.Model}]++
		}
	}
	total := 0
	for _, in := range v.Services[p.Service] {
		if in.Draining {
			continue
		}
		total++
		if m, ok := c.counted(in); ok {
			c.holders[m]++
		}
	}
	c.targets = p.targets(engine, total)
	return c
}

// expect counts a group that is forming.
func (c *census) expect(f *forming) {
	if in := c.view.Instances[f.members[0]]; in != nil {
		c.groups[place{in.Domain, f.model.Name}]++
	}
	for _, id := range f.members {
		c.planned[id] = append(c.planned[id], f.model.Name)
	}
}

// holds tells whether an instance holds a model, or will by what was ordered.
func (c *census) holds(in *fleet.Instance, model string) bool {
	return joinCost(in, model) <= costStaged || c.planner.staging[in.ID].model == model || slices.Contains(c.planned[in.ID], model)
}

// counted returns the model among whose holders an instance counts.
func (c *census) counted(in *fleet.Instance) (string, bool) {
	for _, m := range c.engine.Models {
		if c.holds(in, m.Name) {
			return m.Name, true
		}
	}
	return "", false
}

// recount applies a change after which instances may hold other models.
func (c *census) recount(instances []*fleet.Instance, change func()) {
	for _, in := range instances {
		if m, ok := c.counted(in); ok {
			c.holders[m]--
		}
	}
	change()
	for _, in := range instances {
		if m, ok := c.counted(in); ok {
			c.holders[m]++
		}
	}
}

// begun takes in a group that was begun as an option told.
func (c *census) begun(f *forming, o *option) {
	c.recount(o.members, func() { c.expect(f) })
	d := o.domain
	d.free, d.options = slices.DeleteFunc(d.free, func(in *fleet.Instance) bool { return slices.Contains(o.members, in) }), nil
	if len(d.free) == 0 {
		c.domains = slices.DeleteFunc(c.domains, func(other *freeDomain) bool { return other == d })
	}
}

// needs returns what each model lacks of its share of the instances. Those that hold it and are
// free count too: they soon join or stand by.
func (c *census) needs() map[string]need {
	out := make(map[string]need, len(c.targets))
	for name, target := range c.targets {
		out[name] = need{target: target, lacking: target - c.holders[name]}
	}
	return out
}

// choose lists the cheapest group of each of a domain's models, without those that do not fit.
func (c *census) choose(d *freeDomain, models []routes.Model) []*option {
	out := make([]*option, 0, len(models))
	for _, m := range models {
		if o := choose(m, d.free, c.planner.warmed); o != nil {
			o.domain, o.same, o.free = d, c.groups[place{d.name, m.Name}], len(d.free)
			out = append(out, o)
		}
	}
	return out
}

// best returns the best group to form next, nil if there is none. Groups that
// need no load go first; then the model that lacks most of its target.
func (c *census) best(models assignment, cold bool) *option {
	needs := c.needs()
	var best *option
	for _, d := range c.domains {
		if d.options == nil {
			d.options = c.choose(d, models[d.name])
		}
		for _, o := range d.options {
			if o.loads > 0 && !cold {
				continue // those that lack the model load it to their hosts first
			}
			o.lack = needs[o.model.Name].part()
			if best == nil || better(o, best) {
				best = o
			}
		}
	}
	return best
}

// scarcest returns the model of a domain that lacks most of its target.
func (c *census) scarcest(models []routes.Model) routes.Model {
	if len(models) == 1 {
		return models[0]
	}
	needs := c.needs()
	return slices.MaxFunc(models, func(a, b routes.Model) int { return cmp.Compare(needs[a.Name].part(), needs[b.Name].part()) })
}

// need is what a model should have and lacks, in instances.
type need struct {
	target  float64
	lacking float64
}

// part is the part of the target that is missing.
func (n need) part() float64 {
	if n.target <= 0 {
		return 0
	}
	return n.lacking / n.target
}
