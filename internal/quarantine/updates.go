package quarantine

import (
	"slices"
	"time"
)

// Update is the state of one trait as one daemon sends it to another. Times are sent as ages
// in milliseconds before the message was built; the receiver subtracts them from the time at
// which it arrived.
type Update struct {
	Digest    Digest `json:"digest"`
	Workspace string `json:"workspace,omitempty"`
	Label
	Crashes      []CrashUpdate `json:"ends,omitempty"`
	Companions   []Digest      `json:"with,omitempty"`
	Cleared      []Incarnation `json:"cleared,omitempty"`
	Succeeded    bool          `json:"good,omitempty"` // a request with the trait last ran without a crash SuccessAgeMS ago
	SuccessAgeMS int64         `json:"good_age_ms,omitempty"`
	counters
	// StoredCrashes and Stored are the number of crashes and the counters that the store is
	// known to hold.
	StoredCrashes int      `json:"saved_ends,omitempty"`
	Stored        counters `json:"saved,omitzero"`
}

// CrashUpdate is a Crash on the wire.
type CrashUpdate struct {
	Incarnation
	AgeMS     int64 `json:"age_ms"`
	SentAgeMS int64 `json:"sent_age_ms"`
}

// Limits on one message: 256 updates of some 200 bytes each, fewer if they are longer.
const (
	maxUpdates     = 256
	maxUpdateBytes = 64 << 10
)

// UpdatesSince returns the state of the traits that changed after a sequence number, the
// earliest changes first, and the sequence number up to which the receiver then knows all
// changes. With clusterWide it leaves out the traits that only relays need.
func (e *Evidence) UpdatesSince(seq uint64, clusterWide bool, now time.Time) (updates []Update, upTo uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	type changedRecord struct {
		digest Digest
		record *record
	}
	var changed []changedRecord
	for d, r := range e.records {
		if r.seq > seq && (!clusterWide || r.clusterWide) {
			changed = append(changed, changedRecord{d, r})
		}
	}
	slices.SortFunc(changed, func(a, b changedRecord) int { return int(int64(a.record.seq) - int64(b.record.seq)) })
	bytes := 0
	for i, c := range changed {
		bytes += c.record.size()
		if i == maxUpdates || i > 0 && bytes > maxUpdateBytes {
			return updates, changed[i-1].record.seq
		}
		updates = append(updates, c.record.update(c.digest, now))
	}
	return updates, max(e.seq, seq)
}

// size estimates the bytes of the record's update.
func (r *record) size() int {
	const fixed, perCrash, perDigest = 200, 90, 35
	return fixed + perCrash*len(r.crashes) + perDigest*(len(r.companions)+len(r.cleared))
}

// SplitParts separates the updates about contents from those about parts of prompts.
func SplitParts(updates []Update) (contents, parts []Update) {
	for _, u := range updates {
		if u.Part == "" {
			contents = append(contents, u)
		} else {
			parts = append(parts, u)
		}
	}
	return contents, parts
}

// Seq returns the sequence number of the last change, and of the last one that all daemons
// must receive.
func (e *Evidence) Seq() (all, clusterWide uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seq, e.clusterWideSeq
}

// update returns the record as an update for other daemons.
func (r *record) update(d Digest, now time.Time) Update {
	u := Update{Digest: d, Workspace: r.workspace, Label: r.Label, Companions: slices.Clone(r.companions), Cleared: slices.Clone(r.cleared), counters: r.counters, StoredCrashes: r.stored.crashes, Stored: r.stored.counters}
	for _, crash := range r.crashes {
		u.Crashes = append(u.Crashes, CrashUpdate{crash.Incarnation, now.Sub(crash.At).Milliseconds(), now.Sub(crash.Sent).Milliseconds()})
	}
	if !r.lastSuccess.IsZero() {
		u.Succeeded, u.SuccessAgeMS = true, now.Sub(r.lastSuccess).Milliseconds()
	}
	return u
}

// Merge applies another daemon's updates.
func (e *Evidence) Merge(updates []Update, now time.Time) (v Verdicts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range updates {
		if e.mergeUpdate(u, now) {
			v.Quarantined = append(v.Quarantined, u.Digest)
		}
	}
	return e.decide(v, now)
}

// mergeUpdate applies one update and reports whether its counters put the trait into
// quarantine; e.mu is held.
func (e *Evidence) mergeUpdate(u Update, now time.Time) bool {
	r := e.getOrCreate(u.Digest, u.Workspace, u.Label)
	wasQuarantined := r.quarantined()
	stale := u.Released < r.Released // sent before a release that this daemon knows
	if u.Released > r.Released {
		r.setCrashes(nil)
	}
	if r.counters.merge(u.counters) {
		e.markChanged(r, now)
	}
	if u.Succeeded {
		e.applySuccess(u.Digest, r, msBefore(now, u.SuccessAgeMS), now)
	}
	if r.addCleared(u.Cleared) {
		e.markChanged(r, now)
	}
	if !stale {
		e.mergeCrashes(r, u, now)
	}
	r.stored.counters.merge(u.Stored)
	r.stored.crashes = max(r.stored.crashes, u.StoredCrashes)
	return !wasQuarantined && r.quarantined()
}

// mergeCrashes adds an update's crashes to a record; e.mu is held. If the sender does not know of a success
// that this daemon knows and that matters for them, it is told.
func (e *Evidence) mergeCrashes(r *record, u Update, now time.Time) {
	cleared := false
	slices.SortStableFunc(u.Crashes, func(a, b CrashUpdate) int { return int(b.AgeMS - a.AgeMS) })
	for _, crash := range u.Crashes {
		c := Crash{crash.Incarnation, msBefore(now, crash.AgeMS), msBefore(now, crash.SentAgeMS)}
		cleared = cleared || !c.At.After(r.lastSuccess)
		e.addCrash(u.Digest, r, c, u.Companions, now)
	}
	if r.lastSuccess.IsZero() || u.Succeeded && !cleared {
		return
	}
	if cleared && r.quarantined() && len(r.crashes) == 0 {
		r.Released = r.Quarantines
	}
	if !u.Succeeded || r.lastSuccess.Sub(msBefore(now, u.SuccessAgeMS)) > timeTolerance {
		e.markChanged(r, now)
	}
}

// msBefore returns the time that lies ms milliseconds before now.
func msBefore(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
