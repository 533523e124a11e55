package formation

import (
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// warmGrace is how long a warm-up may take beyond the model's warm start.
const warmGrace = 2 * time.Second

// warmSpares makes each spare whose host holds its domain's model load it to its accelerators,
// once: the spare joins a group of one that never opens, and leaves it as soon as it is ready. When
// another group loses a member, the spare can then join as quickly as the remaining members,
// without the model's warm start.
func (p *Planner) warmSpares(models assignment, domains []*freeDomain, busy map[string]bool, now time.Time) []Order {
	if now.Sub(p.started) < spareDelay {
		return nil
	}
	var out []Order
	for _, d := range domains {
		for _, in := range d.free {
			m, staged := stagedModel(in, models[d.name])
			if !staged || m.ReplicaSize < 2 || p.staging[in.ID].model != "" || p.lastModel[in.ID] == m.Name {
				continue
			}
			p.lastModel[in.ID] = m.Name // recorded now, as the entry lists a loaded model only while the instance is in a group
			epoch := p.nextEpoch()
			key := fleet.GroupKey{Name: groupName(warmGroupPrefix, epoch), Epoch: epoch}
			p.warming[key] = now.Add(m.WarmStartTime + warmGrace)
			busy[in.ID] = true
			out = append(out, p.unlessSentRecently(now, Order{Op: OpJoin, Instance: in.ID, Address: in.Address, Group: key, Model: m.Name,
				Members: []string{in.ID}, Reason: "a spare warms its model"})...)
		}
	}
	return out
}

// updateLastModels records the models of the groups in which instances are ready and drops
// instances that are gone.
func (p *Planner) updateLastModels(v *fleet.View) {
	for id := range p.lastModel {
		if v.Instances[id] == nil {
			delete(p.lastModel, id)
		}
	}
	for _, in := range p.instances(v) {
		if m := groupModel(in); m != "" {
			p.lastModel[in.ID] = m
		}
	}
}

// warmGroupPrefix starts the names of groups that warm a spare.
const warmGroupPrefix = "warm"

// stagedModel returns the last of the models that an instance's host holds. It reports false if
// there is none or if the accelerators already hold one of the models.
func stagedModel(in *fleet.Instance, models []routes.Model) (routes.Model, bool) {
	var staged routes.Model
	found := false
	for _, m := range models {
		switch joinCost(in, m.Name) {
		case costLoaded:
			return routes.Model{}, false
		case costStaged:
			staged, found = m, true
		}
	}
	return staged, found
}

// isWarming reports whether a group is one of this planner's warm-ups that needs more time. Once
// the spare is ready or the deadline has passed, the group is dissolved like any incomplete one.
func (p *Planner) isWarming(g *fleet.Group, now time.Time) bool {
	until, ok := p.warming[g.Key]
	return ok && now.Before(until) && len(g.Members) == 1 && g.Members[0].Group.State == fleet.Joining
}
