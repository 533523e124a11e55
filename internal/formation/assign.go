package formation

import (
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// assignment lists the models of each domain's groups. A domain holds one model wherever there
// are enough domains: then each member that outlives its group can join the next one without a
// load, and each spare fits every group.
type assignment map[string][]routes.Model

// assign chooses the model of each domain. A domain keeps its assigned model, or the one that
// most of its instances hold. Each remaining domain gets a model that is short of its share,
// spread over zones. Models whose demand exceeds their capacity then get parts of other domains.
func (p *Planner) assign(state *planState, now time.Time) assignment {
	v, engine := state.view, state.engine
	byDomain := map[string][]*fleet.Instance{}
	for _, in := range p.instances(v) {
		if in.Domain != "" && !in.Draining {
			byDomain[in.Domain] = append(byDomain[in.Domain], in)
		}
	}
	out := assignment{}
	missing := p.targets(engine, len(byDomain)) // in domains, which are all of about the same size
	zones := map[string]map[string]int{}        // zone, model: domains
	assignDomain := func(domain string, m routes.Model) {
		out[domain] = []routes.Model{m}
		missing[m.Name]--
		zone := byDomain[domain][0].Zone
		if zones[zone] == nil {
			zones[zone] = map[string]int{}
		}
		zones[zone][m.Name]++
	}
	domains := sortedDomains(byDomain)
	for _, d := range domains {
		if m, ok := engine.Model(p.assigned[d]); ok {
			assignDomain(d, m)
		} else if m, ok := state.dominantModel(byDomain[d]); ok {
			assignDomain(d, m)
		}
	}
	for _, d := range domains {
		if out[d] == nil {
			assignDomain(d, p.mostMissing(engine, missing, zones[byDomain[d][0].Zone]))
		}
		p.assigned[d] = out[d][0].Name
	}
	out = out.addUnassigned(engine, byDomain, missing)
	p.place(state, out, byDomain, now)
	return out
}

// stallLossPerMember is the fraction of its capacity that a model loses for each member of its
// groups, as one dead member stalls the whole group. It follows from two of sixty engines that
// fail every three seconds, and half a second to two seconds until a group with a free spare
// forms again. 0.05, with more for domains that large groups don't divide evenly, left models
// with small groups short.
const stallLossPerMember = 0.02

// targets splits a total among the models by their shares of the work. Models with larger
// groups get slightly more, to make up for stalls.
func (p *Planner) targets(engine *routes.Engine, total int) map[string]float64 {
	out, sum := map[string]float64{}, 0.0
	for _, m := range engine.Models {
		out[m.Name] = max(m.WorkShare, minShare) * (1 + stallLossPerMember*float64(m.ReplicaSize))
		sum += out[m.Name]
	}
	for name, weight := range out {
		out[name] = float64(total) * weight / sum
	}
	return out
}

// minShare is the least share of a model, also if its share is unknown.
const minShare = 0.01

// dominantModel returns the model that most of the given instances hold. It reports false if no
// model is held by enough instances for a group.
func (s *planState) dominantModel(instances []*fleet.Instance) (routes.Model, bool) {
	var best routes.Model
	maxHolders := 0
	for _, m := range s.engine.Models {
		n := 0
		for _, in := range instances {
			if group := groupModel(in); s.planner.Prestages && group != "" {
				n += boolToInt(group == m.Name)
			} else if s.holds(in, m.Name) {
				n++
			}
		}
		if n >= m.ReplicaSize && n > maxHolders {
			best, maxHolders = m, n
		}
	}
	return best, maxHolders > 0
}

// mostMissing returns the model for a domain without one. Of the models that are short by at least
// minDomainDeficit it prefers the one with the fewest domains in the zone. Otherwise it returns
// the one with the largest deficit.
func (p *Planner) mostMissing(engine *routes.Engine, missing map[string]float64, inZone map[string]int) routes.Model {
	best := engine.Models[0]
	for _, m := range engine.Models[1:] {
		enoughMissing, bestEnoughMissing := missing[m.Name] >= minDomainDeficit, missing[best.Name] >= minDomainDeficit
		switch {
		case enoughMissing != bestEnoughMissing:
			if enoughMissing {
				best = m
			}
		case enoughMissing && inZone[m.Name] != inZone[best.Name]:
			if inZone[m.Name] < inZone[best.Name] {
				best = m
			}
		case missing[m.Name] > missing[best.Name]:
			best = m
		}
	}
	return best
}

// minDomainDeficit is the deficit, in domains, from which a model is preferred for one more domain.
const minDomainDeficit = 0.5

// addUnassigned adds each model that got no domain to the largest domain, which then holds
// several: with fewer domains than models some domains must be shared.
func (a assignment) addUnassigned(engine *routes.Engine, byDomain map[string][]*fleet.Instance, missing map[string]float64) assignment {
	for _, m := range engine.Models {
		if missing[m.Name] <= 0 || slices.ContainsFunc(sortedDomains(byDomain), func(d string) bool {
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
