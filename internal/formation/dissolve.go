package formation

import (
	"time"

	"pearlanding/internal/fleet"
)

// dissolve returns the orders that free the members of a group that can't serve. The head leaves
// first, if its entry is known: after that no late order can open the group again. Each member
// must leave before it may join another group, as a head whose entry is missing may be cut off
// from the store and still open. Members that have left are no longer busy.
func (p *Planner) dissolve(v *fleet.View, g *fleet.Group, busy map[string]bool, now time.Time) []Order {
	markBusy(g, busy)
	if g.Head != nil && !p.hasLeft(g.Head) && g.Head.Group.State != fleet.Broken {
		return p.stopHead(v, g, now)
	}
	var out []Order
	for _, m := range g.Members {
		if p.hasLeft(m) {
			delete(busy, m.ID)
			continue
		}
		out = append(out, p.unlessSentRecently(now, leaveEndedGroup(g, m))...)
	}
	for _, in := range g.Conflicting { // after a start, the member of a rank may be taken for the conflicting one
		if in.Service == p.Service && !p.hasLeft(in) {
			out = append(out, p.unlessSentRecently(now, leaveEndedGroup(g, in))...)
		}
	}
	return out
}

// leaveEndedGroup returns the order by which an instance leaves a group that has ended.
func leaveEndedGroup(g *fleet.Group, in *fleet.Instance) Order {
	return Order{Op: OpLeave, Instance: in.ID, Address: in.Address, Group: g.Key, Version: in.Version, Reason: "its group ended"}
}

// stopHead returns the order that stops a group's head, if one is due. An open group that still has
// all its members, as when one of them drains or has left without a notice, is closed: its streams
// may finish within closeTimeout. The head of any other group leaves at once.
func (p *Planner) stopHead(v *fleet.View, g *fleet.Group, now time.Time) []Order {
	state, canFinish := g.Head.Group.State, g.Size == len(g.Members)+countLeft(v, g)
	head := Order{Op: OpLeave, Instance: g.Head.ID, Address: g.Head.Address, Group: g.Key, Version: g.Head.Version, Reason: "group is not complete"}
	if canFinish && !p.closeTimedOut(g, now) {
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
	return p.unlessSentRecently(now, head)
}

// countLeft returns how many members of a group have left without a notice.
func countLeft(v *fleet.View, g *fleet.Group) int {
	n := 0
	for _, gone := range v.Removed {
		if gone.Left && gone.Instance.Group.Key() == g.Key {
			n++
		}
	}
	return n
}

// leftGroup is a group that an instance left and the version of its entry from before. A newer
// entry with the same group shows that the instance has rejoined.
type leftGroup struct {
	group   fleet.GroupKey
	version uint64
}

// hasLeft reports whether an instance has left the group that its entry still shows.
func (p *Planner) hasLeft(in *fleet.Instance) bool {
	return in.Group.Name != "" && p.leftGroups[in.ID] == leftGroup{in.Group.Key(), in.Version}
}

// RecordOutcome records, after an answered leave, that the instance is no longer in the group, which
// its entry may not show yet. It ignores all other outcomes.
func (p *Planner) RecordOutcome(o Order, outcome Outcome) {
	if o.Op == OpLeave && outcome != Unanswered {
		p.leftGroups[o.Instance] = leftGroup{o.Group, o.Version} // a refused leave means that the instance is not in the group
	}
}

// closeTimeout is how long a group with a draining member may finish its streams. It is shorter than
// the 10 s that a draining member waits at most for its head.
const closeTimeout = 8 * time.Second

// closeTimedOut reports whether the group was ordered to close more than closeTimeout ago.
func (p *Planner) closeTimedOut(g *fleet.Group, now time.Time) bool {
	at, ok := p.closing[g.Key]
	return ok && now.Sub(at) > closeTimeout
}
