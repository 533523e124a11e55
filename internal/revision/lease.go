package revision

import (
	"slices"
	"time"
)

// Hearing is the last a daemon heard from one peer. Times are on the daemon's
// own monotonic clock and are those of the moment the question was sent, so the
// answer is at least that fresh.
type Hearing struct {
	Incarnation string
	Revision    uint64    // the peer had applied this revision
	At          time.Time // zero: never heard
	Refused     time.Time // last time its address refused a connection
}

// stopped tells whether the last try to reach the peer found no process.
func (h Hearing) stopped() bool { return h.Refused.After(h.At) }

// Lease is a daemon's right to admit requests under its revision. The zero
// value holds nothing.
type Lease struct {
	platformAsOf time.Time
	validUntil   time.Time
}

// PlatformRead notes that the platform's head, as of that moment, was no newer
// than the revision this daemon has applied. It may come from a peer, as an age.
func (l *Lease) PlatformRead(asOf time.Time) {
	if asOf.After(l.platformAsOf) {
		l.platformAsOf = asOf
	}
}

// PlatformAsOf returns the moment of the freshest platform evidence.
func (l *Lease) PlatformAsOf() time.Time { return l.platformAsOf }

// ValidUntil returns when the lease ends.
func (l *Lease) ValidUntil() time.Time { return l.validUntil }

// Renew extends the lease from what is known at now. term is the admission
// lease. Evidence, any of:
//
//   - platform: the head was read, by this daemon or a peer;
//   - majority: a majority of both registries was heard, none of it ahead;
//   - accounted: every registered peer was heard or refuses connections; this
//     only extends a lease that still holds and never starts one.
func (l *Lease) Renew(now time.Time, term time.Duration, head Head, self string, heard map[string]Hearing) {
	l.extend(l.platformAsOf.Add(term), !l.platformAsOf.IsZero())
	since := now.Add(-term)
	oldest := now
	fresh := func(slot string) bool {
		if slot == self {
			return true
		}
		h := heard[slot]
		if h.At.Before(since) || h.At.IsZero() || h.Revision > head.Revision {
			return false
		}
		if h.At.Before(oldest) {
			oldest = h.At
		}
		return true
	}
	if head.quorum(fresh) {
		l.extend(oldest.Add(term), true)
		return
	}
	if now.Before(l.validUntil) && accountedFor(head, self, heard, since, &oldest) {
		l.extend(oldest.Add(term), true)
	}
}

func (l *Lease) extend(until time.Time, ok bool) {
	if ok && until.After(l.validUntil) {
		l.validUntil = until
	}
}

// accountedFor tells whether every other daemon that could take part in accepting
// a newer revision was heard or refused a connection since the given time; oldest
// is lowered to the oldest of these. Slots of the base and fenced ones that are no
// longer registered can't be reached, so with any of them nothing is known.
func accountedFor(head Head, self string, heard map[string]Hearing, since time.Time, oldest *time.Time) bool {
	for _, slot := range slices.Concat(head.Slots(), head.Base, head.Fenced) {
		if slot == self {
			continue
		}
		h := heard[slot]
		last := h.At
		if h.Refused.After(last) {
			last = h.Refused
		}
		if _, registered := head.Members[slot]; !registered || last.IsZero() || last.Before(since) || h.Revision > head.Revision {
			return false
		}
		if last.Before(*oldest) {
			*oldest = last
		}
	}
	return true
}

// Holds tells whether requests may be admitted at now.
func (l *Lease) Holds(now time.Time) bool { return now.Before(l.validUntil) }
