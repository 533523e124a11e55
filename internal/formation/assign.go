package formation

import (
	"slices"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// assignment says which models the groups of each domain hold. A domain holds one
// model wherever there are domains enough: then every member that outlives its
// group can join the next one without a load, and every spare fits every group.
type assignment map[string][]routes.Model

// assign gives each domain its model. A domain keeps the model it was given, or
// the one that most of its instances hold; the others go to the model that lacks
// most of its share, spread over zones.
func (p *Planner) assign(c *census) assignment {
	v, engine := c.view, c.engine
	byDomain := map[string][]*fleet.Instance{}
	for _, in := range v.Services[p.Service] {
		if in.Domain != "" && !in.Draining {
			byDomain[in.Domain] = append(byDomain[in.Domain], in)
		}
	}
	out := assignment{}
	lacking := p.targets(engine, len(byDomain)) // in domains: they are of about one size
	zones := map[string]map[string]int{}        // zone, model: domains
	take := func(domain string, m routes.Model) {
		out[domain] = []routes.Model{m}
		lacking[m.Name]--
		zone := byDomain[domain][0].Zone
		if zones[zone] == nil {
			zones[zone] = map[string]int{}
		}
		zones[zone][m.Name]++
	}
	domains := sortedDomains(byDomain)
	for _, d := range domains {
		if m, ok := engine.Model(p.given[d]); ok {
			take(d, m)
		} else if m, ok := c.held(byDomain[d]); ok {
			take(d, m)
		}
	}
	for _, d := range domains {
		if out[d] == nil {
			take(d, p.lackMost(engine, lacking, zones[byDomain[d][0].Zone]))
		}
		p.given[d] = out[d][0].Name
	}
	return out.mix(engine, byDomain, lacking)
}

// standing is the part of its capacity that a model loses for each member of its
// groups, as one dead member makes the whole group stand. Source: a pair of sixty
// engines lost every three seconds, and about half a second to two until a group
// with a spare at hand forms again. 0.05, and more for domains that large groups
// fill badly, left the models of small groups short.
const standing = 0.02

// targets splits a total by the models' shares of the work. Models with larger
// groups get a little more.
func (p *Planner) targets(engine *routes.Engine, total int) map[string]float64 {
	out, sum := map[string]float64{}, 0.0
	for _, m := range engine.Models {
		out[m.Name] = max(m.Share, leastShare) * (1 + standing*float64(m.Size))
		sum += out[m.Name]
	}
	for name, weight := range out {
		out[name] = float64(total) * weight / sum
	}
	return out
}

// leastShare stands in for a share that is not told.
const leastShare = 0.01

// held returns the model that most of a domain's instances hold, if they are
// enough for a group.
func (c *census) held(instances []*fleet.Instance) (routes.Model, bool) {
	var best routes.Model
	most := 0
	for _, m := range c.engine.Models {
		n := 0
		for _, in := range instances {
			if c.holds(in, m.Name) {
				n++
			}
		}
		if n >= m.Size && n > most {
			best, most = m, n
		}
	}
	return best, most > 0
}

// lackMost picks the model for a domain: one that lacks at least half a domain and
// has the fewest in the zone, otherwise the one that lacks most.
func (p *Planner) lackMost(engine *routes.Engine, lacking map[string]float64, inZone map[string]int) routes.Model {
	best := engine.Models[0]
	for _, m := range engine.Models[1:] {
		enough, bestEnough := lacking[m.Name] >= halfDomain, lacking[best.Name] >= halfDomain
		switch {
		case enough != bestEnough:
			if enough {
				best = m
			}
		case enough && inZone[m.Name] != inZone[best.Name]:
			if inZone[m.Name] < inZone[best.Name] {
				best = m
			}
		case lacking[m.Name] > lacking[best.Name]:
			best = m
		}
	}
	return best
}

// halfDomain is how much of a domain a model must lack to be given one.
const halfDomain = 0.5

// mix lets the largest domain hold a model that got no domain of its own, beside
// what it holds: with few domains some must be shared.
func (a assignment) mix(engine *routes.Engine, byDomain map[string][]*fleet.Instance, lacking map[string]float64) assignment {
	for _, m := range engine.Models {
		if lacking[m.Name] <= 0 || slices.ContainsFunc(sortedDomains(byDomain), func(d string) bool {
			return slices.ContainsFunc(a[d], func(o routes.Model) bool { return o.Name == m.Name })
		}) {
			continue
		}
		largest := ""
		for _, d := range sortedDomains(byDomain) {
			if largest == "" || len(byDomain[d]) > len(byDomain[largest]) {
				largest = d
			}
		}
		if largest != "" {
			a[largest] = append(a[largest], m)
		}
	}
	return a
}
