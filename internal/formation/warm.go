package formation

import (
	"time"

	"pearlanding/internal/fleet"
)

// warmPatience is how long a spare may warm beyond what it should take.
const warmPatience = 2 * time.Second

// warmTime bounds a warm start where the planner doesn't look at the model's own.
const warmTime = 2 * time.Second

// warmName begins the names of groups that warm a spare.
const warmName = "warm"

// warm lets each spare whose host holds a model, and of which no other is known, load it
// to its accelerators: as a group of its own, of one, that never opens and that it
// leaves as soon as it is ready. When a group loses a member, the spare then joins as
// quickly as those that stay, and its host is free for another model.
func (p *Planner) warm(free map[string][]*fleet.Instance, busy map[string]bool, now time.Time) []Order {
	if now.Sub(p.started) < settle {
		return nil
	}
	var out []Order
	for _, domain := range sortedDomains(free) {
		for _, in := range free[domain] {
			if len(in.Staged) == 0 || p.lastModel(in) != "" || p.staging[in.ID].model != "" || p.warmTried[in.ID] {
				continue
			}
			p.warmTried[in.ID] = true
			epoch := p.nextEpoch()
			key := fleet.Key{Name: name(warmName, epoch), Epoch: epoch}
			p.warming[key] = now.Add(warmTime + warmPatience)
			busy[in.ID] = true
			out = append(out, p.send(now, Order{Op: OpJoin, Instance: in.ID, Address: in.Address, Group: key, Model: in.Staged[0],
				Members: []string{in.ID}, Reason: "a spare warms its model"})...)
		}
	}
	return out
}

// stillWarming tells whether a group is one of this planner's that warms a spare and
// needs more time. Once it is ready, or takes too long, it is dissolved as any group
// that is not complete.
func (p *Planner) stillWarming(g *fleet.Group, now time.Time) bool {
	until, ok := p.warming[g.Key]
	return ok && now.Before(until) && len(g.Members) == 1 && g.Members[0].Group.State == fleet.Joining
}
