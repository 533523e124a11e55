package formation

import "pearlanding/internal/fleet"

// forgetRestarted drops what was ordered from earlier incarnations of restarted instances: a new
// incarnation holds no model and stages none. Joins are kept, as the new incarnation may still carry
// out one that was sent to the earlier incarnation and not answered.
func (p *Planner) forgetRestarted(v *fleet.View) {
	for id := range p.incarnations {
		if v.Instances[id] == nil {
			delete(p.incarnations, id)
		}
	}
	for _, in := range p.instances(v) {
		startedAt, known := p.incarnations[in.ID]
		p.incarnations[in.ID] = in.StartedAt
		if known && startedAt != in.StartedAt {
			delete(p.lastModel, in.ID)
			delete(p.staging, in.ID)
			delete(p.leftGroups, in.ID)
		}
	}
}
