package revision

import "time"

// Verdict is the state of a written change.
type Verdict string

// Verdicts on a change.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictPending  Verdict = "pending"
)

// Acks collects which slots have applied which revision, and decides.
// The zero value is usable; it belongs to one goroutine.
type Acks struct {
	applied map[string]uint64
	// quorumAt is when a quorum for the revision was first complete.
	quorumAt map[uint64]time.Time
}

// FenceFactor is how much longer than the admission lease the fence is, against
// clocks that run at different rates.
const FenceFactor = 1.25

// Fence is how long after a quorum the daemons not heard have surely lost their
// admission lease of the given term.
func Fence(term time.Duration) time.Duration { return time.Duration(float64(term) * FenceFactor) }

// Note records that the slot has applied the revision.
func (a *Acks) Note(slot string, revision uint64) {
	if a.applied == nil {
		a.applied, a.quorumAt = map[string]uint64{}, map[uint64]time.Time{}
	}
	if revision > a.applied[slot] {
		a.applied[slot] = revision
	}
}

// Decide judges the head's revision at now; waiting names the slots that have
// not acknowledged it.
func (a *Acks) Decide(now time.Time, head Head, term time.Duration) (v Verdict, waiting []string) {
	if head.Accepted >= head.Revision {
		return VerdictAccepted, nil
	}
	has := func(slot string) bool { return a.applied[slot] >= head.Revision }
	for _, slot := range head.Slots() {
		if !has(slot) {
			waiting = append(waiting, slot)
		}
	}
	if len(waiting) == 0 && len(head.Fenced) == 0 {
		return VerdictAccepted, nil
	}
	if !head.quorum(has) {
		return VerdictPending, waiting
	}
	if a.quorumAt == nil {
		a.quorumAt = map[uint64]time.Time{}
	}
	first, seen := a.quorumAt[head.Revision]
	if !seen {
		a.quorumAt = map[uint64]time.Time{head.Revision: now}
		return VerdictPending, waiting
	}
	if now.Sub(first) >= Fence(term) {
		return VerdictAccepted, nil
	}
	return VerdictPending, waiting
}
