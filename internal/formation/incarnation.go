package formation

import "pearlanding/internal/fleet"

// forgetRestarted drops what was ordered from earlier incarnations of restarted instances: a new
// incarnation holds no model and stages none. Joins are kept, as the new incarnation may carry
// out one that is still unanswered.
func (p *Planner) forgetRestarted(v *fleet.View) {
	for id := range p.incarnations {
		if v.Instances[id] == nil {
			delete(p.incarnations, id)
		}
	}
	for _, in := range v.Services[p.Service] {
		startedAt, known := p.incarnations[in.ID]
		p.incarnations[in.ID] = in.Born
		if known && startedAt != in.Born {
			delete(p.lastModel, in.ID)
			delete(p.staging, in.ID)
			delete(p.left, in.ID)
		}
	}
}
