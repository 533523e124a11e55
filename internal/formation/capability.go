package formation

import (
	"cmp"
	"slices"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// Ranks of how long an instance takes to join a group of a model.
const (
	costLoaded = iota // its last group was of the model: a fifth of a second
	costStaged        // the model is on its host: the model's warm start
	costEmpty         // a load from the weight store, which loses nothing
	costOther         // such a load, which drops another model from the host
)

// joinCost ranks how long an instance takes to join a group of a model.
func (p *Planner) joinCost(in *fleet.Instance, model string) int {
	switch {
	case p.lastModel(in) == model:
		return costLoaded
	case in.HasStaged(model):
		return costStaged
	case len(in.Staged) == 0:
		return costEmpty
	}
	return costOther
}

// capable tells whether an instance can join a group of a model without a load.
func (p *Planner) capable(in *fleet.Instance, model string) bool {
	return p.joinCost(in, model) <= costStaged
}

// capabilities counts the models that an instance is capable of.
func (p *Planner) capabilities(in *fleet.Instance, models []routes.Model) int {
	n := 0
	for _, m := range models {
		if p.capable(in, m.Name) {
			n++
		}
	}
	return n
}

// lastModel is the model of an instance's last group, empty if this planner does not
// know it. An entry tells of a model only while the instance is in a group.
func (p *Planner) lastModel(in *fleet.Instance) string {
	if len(in.Models) > 0 {
		return in.Models[0]
	}
	return p.lastModels[in.ID]
}

// remember notes the models of the groups that instances were ready in, and forgets
// the instances that are gone for good. One whose entry only lapsed keeps its model.
func (p *Planner) remember(v *fleet.View) {
	for id := range p.lastModels {
		if _, lapsed := v.Removed[id]; v.Instances[id] == nil && !lapsed {
			delete(p.lastModels, id)
			delete(p.warmTried, id)
		}
	}
	for _, in := range v.Services[p.Service] {
		if state := in.Group.State; in.Group.Name != "" && len(in.Models) > 0 && (state == fleet.Ready || state == fleet.Open) {
			p.lastModels[in.ID] = in.Models[0]
		}
	}
}

// choose picks the members of a group of a model among free instances of one domain:
// the quickest to join first, of these those that are capable of the fewest models, so
// that the others stay for whatever is needed next. nil: they are too few.
func (p *Planner) choose(m routes.Model, models []routes.Model, free []*fleet.Instance) *option {
	if len(free) < m.Size {
		return nil
	}
	list := slices.Clone(free)
	slices.SortStableFunc(list, func(a, b *fleet.Instance) int {
		return cmp.Or(cmp.Compare(p.joinCost(a, m.Name), p.joinCost(b, m.Name)),
			cmp.Compare(boolToInt(p.freeing[a.ID]), boolToInt(p.freeing[b.ID])),
			cmp.Compare(p.capabilities(a, models), p.capabilities(b, models)))
	})
	o := &option{model: m, members: list[:m.Size]}
	for _, in := range o.members {
		if !p.capable(in, m.Name) {
			o.loads++
		}
		o.waits = o.waits || p.freeing[in.ID]
	}
	o.price = p.price(o.members, m)
	return o
}

// changePrice is what it costs, in instances, that a member of a new group changes its
// model: it takes over the one on its host and is capable of no other until a load from
// the weight store, of which only few run at a time, has brought one.
const changePrice = 0.4

// price is the cost of a group's members that change their models.
func (p *Planner) price(members []*fleet.Instance, m routes.Model) float64 {
	sum := 0.0
	for _, in := range members {
		if last := p.lastModel(in); last != "" && last != m.Name {
			sum += changePrice
		}
	}
	return sum
}
