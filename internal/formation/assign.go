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

// assign gives each domain its model. A domain keeps the model that half of its
// instances hold; the others go to the model that lacks most of its share,
// spread over zones.
func (p *Planner) assign(v *fleet.View, engine *routes.Engine) assignment {
	byDomain := map[string][]*fleet.Instance{}
	total := 0
	for _, in := range v.Services[p.Service] {
		if in.Domain != "" && !in.Draining {
			byDomain[in.Domain] = append(byDomain[in.Domain], in)
			total++
		}
	}
	out := assignment{}
	lacking := targets(engine, total)
	zones := map[string]map[string]int{} // zone, model: domains
	take := func(domain string, m routes.Model) {
		out[domain] = []routes.Model{m}
		lacking[m.Name] -= float64(len(byDomain[domain]))
		zone := byDomain[domain][0].Zone
		if zones[zone] == nil {
			zones[zone] = map[string]int{}
		}
		zones[zone][m.Name]++
	}
	domains := sortedDomains(byDomain)
	for _, d := range domains {
		if m, ok := p.held(byDomain[d], engine); ok {
			take(d, m)
		}
	}
	for _, d := range domains {
		if out[d] == nil {
			take(d, p.lackMost(engine, lacking, zones[byDomain[d][0].Zone], len(byDomain[d])))
		}
	}
	return out.mix(engine, byDomain, lacking)
}

// targets is how many instances each model should have.
func targets(engine *routes.Engine, total int) map[string]float64 {
	shares := 0.0
	for _, m := range engine.Models {
		shares += m.Share
	}
	out := map[string]float64{}
	for _, m := range engine.Models {
		part := 1 / float64(len(engine.Models))
		if shares > 0 {
			part = m.Share / shares
		}
		out[m.Name] = float64(total) * part
	}
	return out
}

// held returns the model that half or more of a domain's instances hold.
func (p *Planner) held(instances []*fleet.Instance, engine *routes.Engine) (routes.Model, bool) {
	for _, m := range engine.Models {
		n := 0
		for _, in := range instances {
			if p.holds(in, m.Name) {
				n++
			}
		}
		if 2*n >= len(instances) && n >= m.Size {
			return m, true
		}
	}
	return routes.Model{}, false
}

// holds tells whether an instance holds a model, or will by what was ordered.
func (p *Planner) holds(in *fleet.Instance, model string) bool {
	if joinCost(in, model) <= costStaged || p.staging[in.ID].model == model {
		return true
	}
	for _, f := range p.forming {
		if f.model.Name == model && slices.Contains(f.members, in.ID) {
			return true
		}
	}
	return false
}

// lackMost picks the model for a domain of n instances: one that lacks at least
// half of them and has the fewest domains in the zone, otherwise the one that
// lacks most.
func (p *Planner) lackMost(engine *routes.Engine, lacking map[string]float64, inZone map[string]int, n int) routes.Model {
	best := engine.Models[0]
	for _, m := range engine.Models[1:] {
		enough, bestEnough := lacking[m.Name] >= float64(n)/2, lacking[best.Name] >= float64(n)/2
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

// mix lets the largest domain hold a model that got no domain of its own, beside
// what it holds: with few domains some must be shared.
func (a assignment) mix(engine *routes.Engine, byDomain map[string][]*fleet.Instance, lacking map[string]float64) assignment {
	for _, m := range engine.Models {
		if lacking[m.Name] < 1 || slices.ContainsFunc(sortedDomains(byDomain), func(d string) bool {
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
