package revision

import "time"

// Verdict is the state of a written change.
type Verdict string

// Verdicts on a change.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictPending  Verdict = "pending"
)

// FenceFactor is how much longer than the admission lease the fence is, against
// clocks that run at different rates.
const FenceFactor = 1.25

// Fence is how long after a quorum the daemons not heard have surely lost their
// admission lease of the given term.
func Fence(term time.Duration) time.Duration { return time.Duration(float64(term) * FenceFactor) }

// ack is the last a decider knows of one slot's revision.
type ack struct {
	incarnation string
	revision    uint64
	since       time.Time // when that revision was first noted of that process
}

// Acks collects which slots have applied which revision, and decides about the
// head's. The zero value is usable; it belongs to one goroutine.
type Acks struct{ slots map[string]ack }

// Note records at now that the slot's process has applied the revision.
func (a *Acks) Note(slot, incarnation string, revision uint64, now time.Time) {
	if a.slots == nil {
		a.slots = map[string]ack{}
	}
	old := a.slots[slot]
	if old.incarnation != incarnation || revision > old.revision {
		a.slots[slot] = ack{incarnation, revision, now}
	}
}

// Decide judges the head's revision at now; waiting names the slots that have
// not acknowledged it. It is accepted if any of these holds:
//
//   - every slot has acknowledged or is stopped (its address refused a connection
//     since the decider had the revision: the process was gone, and a new one takes
//     the slot only with the current head), and no slot was removed whose process
//     may still run;
//   - a quorum acknowledged, and each of its processes was heard again a fence
//     time after its acknowledgement. So all of them lived through that time: any
//     daemon still without the revision either heard one of them, and learned it,
//     or heard nothing and refused nothing, and lost its lease.
func (a *Acks) Decide(now time.Time, head Head, term time.Duration, self string, heard map[string]Hearing) (v Verdict, waiting []string) {
	if head.Accepted >= head.Revision {
		return VerdictAccepted, nil
	}
	mine := a.slots[self]
	accounted := len(head.Fenced) == 0 && mine.revision >= head.Revision
	for _, slot := range head.Slots() {
		if a.slots[slot].revision >= head.Revision {
			continue
		}
		waiting = append(waiting, slot)
		accounted = accounted && heard[slot].stopped() && heard[slot].Refused.After(mine.since)
	}
	lived := func(slot string) bool {
		k := a.slots[slot]
		last := heard[slot]
		if slot == self {
			last = Hearing{Incarnation: k.incarnation, At: now}
		}
		return k.revision >= head.Revision && last.Incarnation == k.incarnation && last.At.Sub(k.since) >= Fence(term)
	}
	if accounted || head.quorum(lived) {
		return VerdictAccepted, nil
	}
	return VerdictPending, waiting
}
