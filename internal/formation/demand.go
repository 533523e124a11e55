package formation

import (
	"maps"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// demand is how much one model's work weighs and how many groups serve it, those
// included that form or will form by a switch under way.
type demand struct {
	weight float64 // instances that its share of the work calls for
	size   int     // instances of a group
	groups int
}

// spareWorth is what an instance of a group beyond the model's need is still worth, in
// instances that are needed: a little room for bursts.
const spareWorth = 0.02

// worth is that of a number of groups, in instances. Up to the model's need each further
// group is worth less than the one before: the first ones decide whether there is
// service at all, the last ones only how long requests wait.
func (d demand) worth(groups int) float64 {
	n := float64(groups * d.size)
	lacking := max(1-n/d.weight, 0)
	return d.weight*(1-lacking*lacking) + spareWorth*n
}

// gain is the worth of n more groups.
func (d demand) gain(n int) float64 { return d.worth(d.groups+n) - d.worth(d.groups) }

// loss is the worth of n groups that serve now.
func (d demand) loss(n int) float64 { return d.worth(d.groups) - d.worth(max(d.groups-n, 0)) }

// demands returns the demand for each model by its name.
func (p *Planner) demands(v *fleet.View, engine *routes.Engine) map[string]demand {
	usable, sizes := 0, map[string]int{}
	for _, in := range v.Services[p.Service] {
		if !in.Draining && in.Domain != "" {
			sizes[in.Domain]++
		}
	}
	for _, n := range sizes {
		usable += packed(n, engine.Models)
	}
	groups := p.groupCounts(v)
	out := map[string]demand{}
	weights := targets(engine, usable)
	for _, m := range engine.Models {
		out[m.Name] = demand{weights[m.Name], m.Size, groups[m.Name]}
	}
	return out
}

// packed returns how many of n instances of a domain fit into groups of any models. The
// rest can't serve whatever is planned, and is no capacity that a model lacks.
func packed(n int, models []routes.Model) int {
	fits := make([]bool, n+1)
	fits[0] = true
	most := 0
	for i := 1; i <= n; i++ {
		for _, m := range models {
			if m.Size > 0 && i >= m.Size && fits[i-m.Size] {
				fits[i], most = true, i
			}
		}
	}
	return most
}

// groupCounts counts the groups of each model that serve, form, or will form as soon as
// their members are free. Those that a switch ends are not counted.
func (p *Planner) groupCounts(v *fleet.View) map[string]int {
	out := maps.Clone(p.awaited)
	for _, f := range p.forming {
		out[f.model.Name]++
	}
	for _, s := range p.switches {
		out[s.model.Name]++
	}
	for key, g := range v.Groups {
		if g.Service == p.Service && p.forming[key] == nil && g.Complete() && !p.ending(key) {
			out[g.Model]++
		}
	}
	return out
}

// standing is the part of its capacity that a model loses for each member of its
// groups, as one dead member makes the whole group stand. Source: a pair of sixty
// engines lost every three seconds, and about half a second to two until a group
// with a spare at hand forms again. 0.05, and more for domains that large groups
// fill badly, left the models of small groups short.
const standing = 0.02

// leastShare stands in for a share that is not told.
const leastShare = 0.01

// targets splits a number of instances by the models' shares of the work. Models with
// larger groups get a little more.
func targets(engine *routes.Engine, total int) map[string]float64 {
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
