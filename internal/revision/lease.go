package revision

import (
	"slices"
	"time"
)

// PeerContact is a daemon's last contact with one peer. Times are read from the daemon's own
// monotonic clock when the call was sent, so the answer is at least that recent.
type PeerContact struct {
	Incarnation string
	Revision    uint64    // revision that the peer had applied
	AnsweredAt  time.Time // last call that was answered; zero: none
	RefusedAt   time.Time // last call whose connection was refused
}

// processGone reports whether the last attempt to reach the peer found no process.
func (h PeerContact) processGone() bool { return h.RefusedAt.After(h.AnsweredAt) }

// Lease is a daemon's right to admit requests under its revision. The zero value has
// expired. Not safe for concurrent use.
type Lease struct {
	platformReadAt time.Time
	validUntil     time.Time
}

// RecordPlatformRead records that the platform's head at time asOf was no newer than the revision
// that this daemon has applied. The read may be a peer's, received as an age.
func (l *Lease) RecordPlatformRead(asOf time.Time) {
	if asOf.After(l.platformReadAt) {
		l.platformReadAt = asOf
	}
}

// PlatformAsOf returns the latest time given to RecordPlatformRead.
func (l *Lease) PlatformAsOf() time.Time { return l.platformReadAt }

// ValidUntil returns when the lease ends.
func (l *Lease) ValidUntil() time.Time { return l.validUntil }

// Renew extends the lease by the evidence known at now. The lease then ends term (the
// length of the admission lease) after the oldest evidence used. Any of these suffices:
//
//   - platform: this daemon or a peer read the head;
//   - majority: a majority of both registries answered, none of them at a newer revision;
//   - accounted: every registered peer answered or refused the connection. This only
//     extends a valid lease and never starts one.
func (l *Lease) Renew(now time.Time, term time.Duration, head Head, self string, contacts map[string]PeerContact) {
	l.extend(l.platformReadAt.Add(term), !l.platformReadAt.IsZero())
	since := now.Add(-term)
	oldest := now
	fresh := func(slot string) bool {
		if slot == self {
			return true
		}
		h := contacts[slot]
		if h.AnsweredAt.Before(since) || h.AnsweredAt.IsZero() || h.Revision > head.Revision {
			return false
		}
		if h.AnsweredAt.Before(oldest) {
			oldest = h.AnsweredAt
		}
		return true
	}
	if head.quorum(fresh) {
		l.extend(oldest.Add(term), true)
		return
	}
	if now.Before(l.validUntil) && allAccountedFor(head, self, contacts, since, &oldest) {
		l.extend(oldest.Add(term), true)
	}
}

func (l *Lease) extend(until time.Time, ok bool) {
	if ok && until.After(l.validUntil) {
		l.validUntil = until
	}
}

// allAccountedFor reports whether every other daemon that could take part in accepting a
// newer revision answered or refused a connection since the given time, and lowers oldest
// to the oldest of these contacts. A slot of AcceptedSlots or Fenced that is no longer
// registered can't be reached; with any such slot the result is false.
func allAccountedFor(head Head, self string, contacts map[string]PeerContact, since time.Time, oldest *time.Time) bool {
	for _, slot := range slices.Concat(head.Slots(), head.AcceptedSlots, head.Fenced) {
		if slot == self {
			continue
		}
		h := contacts[slot]
		last := h.AnsweredAt
		if h.RefusedAt.After(last) {
			last = h.RefusedAt
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

// ValidAt reports whether requests may be admitted at now.
func (l *Lease) ValidAt(now time.Time) bool { return now.Before(l.validUntil) }
