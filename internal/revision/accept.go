package revision

import "time"

// Verdict is the state of a written change.
type Verdict string

// Verdicts on a change: in force at every daemon, or written but not yet known to be.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictPending  Verdict = "pending"
)

// FenceFactor is the ratio of the fence time to the admission lease. It covers clocks that
// run at different rates.
const FenceFactor = 1.25

// Fence returns the fence time for an admission lease of the given term: this long after a
// quorum acknowledged, every daemon that had no contact has lost its lease.
func Fence(term time.Duration) time.Duration { return time.Duration(float64(term) * FenceFactor) }

// ack is the newest revision that a slot's process is known to have applied.
type ack struct {
	incarnation string
	revision    uint64
	since       time.Time // when this daemon first noted that revision for that process
}

// Acks records which slots have applied which revision, and decides whether the head's is
// accepted. The zero value is ready to use; not safe for concurrent use.
type Acks struct{ slots map[string]ack }

// Record records at now that the slot's process has applied the revision.
func (a *Acks) Record(slot, incarnation string, revision uint64, now time.Time) {
	if a.slots == nil {
		a.slots = map[string]ack{}
	}
	old := a.slots[slot]
	if old.incarnation != incarnation || revision > old.revision {
		a.slots[slot] = ack{incarnation, revision, now}
	}
}

// Decide returns the verdict on the head's revision at now; waiting lists the slots that
// have not acknowledged it. The revision is accepted if either of these holds:
//
//   - every slot has acknowledged or its process is gone (its address refused a
//     connection since this daemon applied the revision; a new process takes the slot
//     only with the current head), and no slot was removed whose process may still run;
//   - a quorum acknowledged, and each of its processes answered again at least the fence
//     time after its acknowledgement, so it ran throughout. A daemon still without the
//     revision either had contact with one of them and learned it, or had contact with
//     none, saw none refuse a connection, and lost its lease.
func (a *Acks) Decide(now time.Time, head Head, term time.Duration, self string, contacts map[string]PeerContact) (v Verdict, waiting []string) {
	if head.Accepted >= head.Revision {
		return VerdictAccepted, nil
	}
	own := a.slots[self]
	accounted := len(head.Fenced) == 0 && own.revision >= head.Revision
	for _, slot := range head.Slots() {
		if a.slots[slot].revision >= head.Revision {
			continue
		}
		waiting = append(waiting, slot)
		accounted = accounted && contacts[slot].processGone() && contacts[slot].RefusedAt.After(own.since)
	}
	outlivedFence := func(slot string) bool {
		acked := a.slots[slot]
		last := contacts[slot]
		if slot == self {
			last = PeerContact{Incarnation: acked.incarnation, AnsweredAt: now}
		}
		return acked.revision >= head.Revision && last.Incarnation == acked.incarnation && last.AnsweredAt.Sub(acked.since) >= Fence(term)
	}
	if accounted || head.quorum(outlivedFence) {
		return VerdictAccepted, nil
	}
	return VerdictPending, waiting
}
