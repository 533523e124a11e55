package quarantine

import (
	"slices"
	"time"
)

// Update is the state of one content as one daemon sends it to another. Times are sent as ages
// in milliseconds before the message was built; the receiver subtracts them from the time at
// which it arrived.
type Update struct {
	Digest       Digest        `json:"digest"`
	Workspace    string        `json:"workspace,omitempty"`
	Crashes      []CrashUpdate `json:"ends,omitempty"`
	Succeeded    bool          `json:"good,omitempty"` // the content last ran without a crash SuccessAgeMS ago
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

// maxUpdates bounds the updates in one message: 256 of some 200 bytes each.
const maxUpdates = 256

// UpdatesSince returns the state of the contents that changed after a sequence number, the
// earliest changes first, and the sequence number up to which the receiver then knows all
// changes. With clusterWide it leaves out the contents that only relays need.
func (e *Evidence) UpdatesSince(seq uint64, clusterWide bool, now time.Time) (updates []Update, upTo uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	type changedRecord struct {
		digest Digest
		record *record
	}
	var changed []changedRecord
	for d, r := range e.records {
		if r.seq > seq && (!clusterWide || r.clusterWide()) {
			changed = append(changed, changedRecord{d, r})
		}
	}
	slices.SortFunc(changed, func(a, b changedRecord) int { return int(int64(a.record.seq) - int64(b.record.seq)) })
	upTo = max(e.seq, seq)
	if len(changed) > maxUpdates {
		changed = changed[:maxUpdates]
		upTo = changed[maxUpdates-1].record.seq
	}
	for _, c := range changed {
		updates = append(updates, c.record.update(c.digest, now))
	}
	return updates, upTo
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
	u := Update{Digest: d, Workspace: r.workspace, counters: r.counters, StoredCrashes: r.stored.crashes, Stored: r.stored.counters}
	for _, crash := range r.crashes {
		u.Crashes = append(u.Crashes, CrashUpdate{crash.Incarnation, now.Sub(crash.At).Milliseconds(), now.Sub(crash.Sent).Milliseconds()})
	}
	if !r.lastSuccess.IsZero() {
		u.Succeeded, u.SuccessAgeMS = true, now.Sub(r.lastSuccess).Milliseconds()
	}
	return u
}

// Merge applies another daemon's updates and returns the contents that they put into
// quarantine.
func (e *Evidence) Merge(updates []Update, now time.Time) (quarantined []Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range updates {
		if e.mergeUpdate(u, now) {
			quarantined = append(quarantined, u.Digest)
		}
	}
	return append(quarantined, e.quarantineCulprits(now)...)
}

// mergeUpdate applies one update and reports whether its counters put the content into
// quarantine; e.mu is held.
func (e *Evidence) mergeUpdate(u Update, now time.Time) bool {
	r := e.getOrCreate(u.Digest, u.Workspace)
	wasQuarantined, wasClusterWide := r.quarantined(), r.clusterWide()
	stale := u.Released < r.Released // sent before a release that this daemon knows
	if u.Released > r.Released {
		r.crashes = nil
	}
	if r.counters.merge(u.counters) {
		e.markChanged(r, wasClusterWide, now)
	}
	if u.Succeeded {
		e.applySuccess(r, msBefore(now, u.SuccessAgeMS), now)
	}
	for _, crash := range u.Crashes {
		if !stale {
			e.addCrash(r, Crash{crash.Incarnation, msBefore(now, crash.AgeMS), msBefore(now, crash.SentAgeMS)}, now)
		}
	}
	r.stored.counters.merge(u.Stored)
	r.stored.crashes = max(r.stored.crashes, u.StoredCrashes)
	return !wasQuarantined && r.quarantined()
}

// msBefore returns the time that lies ms milliseconds before now.
func msBefore(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
