package formation

import "pearlanding/internal/fleet"

// notice looks for instances that started again under their ids, and forgets what was
// ordered from the life before: the next one holds no model and stages none. Joins are
// not forgotten: one without an answer may be carried out by the next life.
func (p *Planner) notice(v *fleet.View) {
	for id := range p.born {
		if v.Instances[id] == nil {
			delete(p.born, id)
		}
	}
	for _, in := range v.Services[p.Service] {
		born, known := p.born[in.ID]
		p.born[in.ID] = in.Born
		if known && born != in.Born {
			delete(p.warmed, in.ID)
			delete(p.staging, in.ID)
			delete(p.left, in.ID)
		}
	}
}
