package formation

import (
	"time"

	"pearlanding/internal/fleet"
)

// dissolve frees the members of a group that can't serve. The head goes first, as
// long as its entry is known: once it has left, no late order can open the group
// again. Members leave too before they may join elsewhere, since a head whose
// entry is missing may still be open, out of the store's reach.
func (p *Planner) dissolve(g *fleet.Group, busy map[string]bool, now time.Time) []Order {
	hold(g, busy)
	if g.Head != nil && !p.hasLeft(g.Head) && g.Head.Group.State != fleet.Broken {
		return p.endHead(g, now)
	}
	var out []Order
	for _, m := range g.Members {
		if p.hasLeft(m) {
			delete(busy, m.ID)
			continue
		}
		out = append(out, p.send(now, Order{Op: OpLeave, Instance: m.ID, Address: m.Address, Group: g.Key, Version: m.Version, Reason: "its group ended"})...)
	}
	return out
}

// endHead closes a group whose member leaves by plan, so that streams may finish,
// and makes the head of any other leave at once.
func (p *Planner) endHead(g *fleet.Group, now time.Time) []Order {
	state, whole := g.Head.Group.State, g.Size == len(g.Members)
	head := Order{Op: OpLeave, Instance: g.Head.ID, Address: g.Head.Address, Group: g.Key, Version: g.Head.Version, Reason: "group is not complete"}
	if whole && !p.closedLong(g, now) {
		switch state {
		case fleet.Open:
			if _, ok := p.closing[g.Key]; !ok {
				p.closing[g.Key] = now
			}
			head.Op, head.Reason = OpClose, "a member leaves"
		case fleet.Closing:
			return nil
		}
	}
	return p.send(now, head)
}

// leave is a group that an instance left, and the version of its entry before: a newer
// entry that shows the group tells that the instance is in it again.
type leave struct {
	group   fleet.Key
	version uint64
}

// hasLeft tells whether an instance left the group that its entry still shows.
func (p *Planner) hasLeft(in *fleet.Instance) bool {
	return in.Group.Name != "" && p.left[in.ID] == leave{in.Group.Key(), in.Version}
}

// Ended takes in what came of an order, before any entry shows it.
func (p *Planner) Ended(o Order, outcome Outcome) {
	if o.Op == OpLeave && outcome != Unanswered {
		p.left[o.Instance] = leave{o.Group, o.Version} // a refused leave: it is not in the group
	}
}

// closePatience is how long a group that loses a member to a planned leave may
// finish its streams. Source: a leaving member stays 10 s at most for its head.
const closePatience = 8 * time.Second

// closedLong tells whether the group was asked to close long ago.
func (p *Planner) closedLong(g *fleet.Group, now time.Time) bool {
	at, ok := p.closing[g.Key]
	return ok && now.Sub(at) > closePatience
}
