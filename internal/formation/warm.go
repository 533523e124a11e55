package formation

import (
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// warmPatience is how long a spare may warm beyond what it should take.
const warmPatience = 2 * time.Second

// warm lets each spare whose host holds its domain's model load it to its
// accelerators: as a group of its own, of one, that never opens and that it leaves as
// soon as it is ready. When a group loses a member, the spare then joins as quickly as
// those that stay, and not only after the model's warm start.
func (p *Planner) warm(models assignment, domains []*freeDomain, busy map[string]bool, now time.Time) []Order {
	if now.Sub(p.started) < settle {
		return nil
	}
	var out []Order
	for _, d := range domains {
		for _, in := range d.free {
			m, staged := stagedOf(in, models[d.name])
			if !staged || m.Size < 2 || p.staging[in.ID].model != "" || p.warmed[in.ID] == m.Name {
				continue
			}
			p.warmed[in.ID] = m.Name // once: an entry tells of a model only while in a group
			epoch := p.nextEpoch()
			key := fleet.Key{Name: name(warmName, epoch), Epoch: epoch}
			p.warming[key] = now.Add(m.Warm + warmPatience)
			busy[in.ID] = true
			out = append(out, p.send(now, Order{Op: OpJoin, Instance: in.ID, Address: in.Address, Group: key, Model: m.Name,
				Members: []string{in.ID}, Reason: "a spare warms its model"})...)
		}
	}
	return out
}

// remember notes the models of the groups that instances were ready in, and forgets
// those that are gone.
func (p *Planner) remember(v *fleet.View) {
	for id := range p.warmed {
		if v.Instances[id] == nil {
			delete(p.warmed, id)
		}
	}
	for _, in := range v.Services[p.Service] {
		if state := in.Group.State; in.Group.Name != "" && len(in.Models) > 0 && (state == fleet.Ready || state == fleet.Open) {
			p.warmed[in.ID] = in.Models[0]
		}
	}
}

// warmName begins the names of groups that warm a spare.
const warmName = "warm"

// stagedOf returns the one of the models that an instance's host holds, if its
// accelerators don't hold any of them.
func stagedOf(in *fleet.Instance, models []routes.Model) (routes.Model, bool) {
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

// stillWarming tells whether a group is one of this planner's that warms a spare and
// needs more time. Once it is ready, or takes too long, it is dissolved as any group
// that is not complete.
func (p *Planner) stillWarming(g *fleet.Group, now time.Time) bool {
	until, ok := p.warming[g.Key]
	return ok && now.Before(until) && len(g.Members) == 1 && g.Members[0].Group.State == fleet.Joining
}
