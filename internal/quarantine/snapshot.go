package quarantine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Snapshot is the store's record of contents that crashed instances, which survives a restart
// of all processes. Contents with a single crash that were never quarantined are not in it.
type Snapshot struct {
	Contents []StoredContent `json:"contents"`
}

// StoredContent is one content of a Snapshot.
type StoredContent struct {
	Digest    Digest        `json:"digest"`
	Workspace string        `json:"workspace,omitempty"`
	Crashes   []Incarnation `json:"ends,omitempty"`
	ChangedAt time.Time     `json:"changed"` // the writer's time of day, for operators only
	counters
}

// Quarantined reports whether the content is quarantined.
func (c *StoredContent) Quarantined() bool { return c.counters.quarantined() }

// ParseSnapshot parses the store's value; an empty value is an empty snapshot. It fails if the
// value is not the JSON of a snapshot.
func ParseSnapshot(value []byte) (Snapshot, error) {
	var s Snapshot
	if len(value) == 0 {
		return s, nil
	}
	err := json.Unmarshal(value, &s)
	return s, errors.Annotate(err, "invalid quarantine record in the store")
}

// Release lifts the quarantine of a content and reports whether it was quarantined.
func (s *Snapshot) Release(d Digest, now time.Time) bool {
	for i := range s.Contents {
		c := &s.Contents[i]
		if c.Digest == d && c.Quarantined() {
			c.Released, c.Crashes, c.ChangedAt = c.Quarantines, nil, now
			return true
		}
	}
	return false
}

// LoadSnapshot merges the store's snapshot and returns the contents that this puts into
// quarantine.
func (e *Evidence) LoadSnapshot(s Snapshot, now time.Time) (quarantined []Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range s.Contents {
		if e.loadContent(c, now) {
			quarantined = append(quarantined, c.Digest)
		}
	}
	return append(quarantined, e.quarantineCulprits(now)...)
}

// loadContent merges one content and reports whether its counters put it into quarantine; e.mu
// is held. The store keeps no times of crashes, so they are taken as independent and recent.
// They are ignored if this daemon knows of a success or has the content in quarantine.
func (e *Evidence) loadContent(c StoredContent, now time.Time) (quarantined bool) {
	known := e.records[c.Digest]
	u := Update{Digest: c.Digest, Workspace: c.Workspace, counters: c.counters}
	if known == nil || known.lastSuccess.IsZero() && !known.quarantined() {
		for i, incarnation := range c.Crashes {
			age := int64(len(c.Crashes)-i) * independentInterval.Milliseconds()
			u.Crashes = append(u.Crashes, CrashUpdate{incarnation, age, age})
		}
	}
	quarantined = e.mergeUpdate(u, now)
	r := e.records[c.Digest]
	r.stored.counters.merge(c.counters)
	r.stored.crashes = max(r.stored.crashes, len(c.Crashes))
	return quarantined
}

// HasUnsaved reports whether the store is missing something that must survive this process.
func (e *Evidence) HasUnsaved() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.records {
		if r.hasUnsaved() {
			return true
		}
	}
	return false
}

// hasUnsaved reports whether the store is missing a change of the record. The number of crashes
// matters only until the content is quarantined.
func (r *record) hasUnsaved() bool {
	stored := r.stored.counters
	if stored.merge(r.counters) {
		return true
	}
	return r.clusterWide() && !r.quarantined() && len(r.crashes) > r.stored.crashes
}

// ForgetSaved notes that the store may have lost what was saved: it came back from a copy.
func (e *Evidence) ForgetSaved() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.records {
		r.stored = storedState{}
	}
}

// Snapshot returns what the store should hold, in order of digest; wall is the time of day to
// note as the time of the change.
func (e *Evidence) Snapshot(wall time.Time) Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s Snapshot
	for d, r := range e.records {
		if !r.clusterWide() {
			continue
		}
		c := StoredContent{Digest: d, Workspace: r.workspace, counters: r.counters, ChangedAt: wall}
		for _, crash := range r.crashes {
			c.Crashes = append(c.Crashes, crash.Incarnation)
		}
		s.Contents = append(s.Contents, c)
	}
	slices.SortFunc(s.Contents, func(a, b StoredContent) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return s
}

// MarkSaved notes that the store holds a snapshot. This counts as a change of its contents, so
// that other relays learn of it and need not write the same.
func (e *Evidence) MarkSaved(s Snapshot, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range s.Contents {
		if r := e.records[c.Digest]; r != nil {
			r.stored.counters.merge(c.counters)
			r.stored.crashes = max(r.stored.crashes, len(c.Crashes))
			e.markChanged(r, r.clusterWide(), now)
		}
	}
}
