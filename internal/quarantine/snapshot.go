package quarantine

import (
	"cmp"
	"encoding/json"
	"iter"
	"slices"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Snapshot is the store's record of traits with which requests crashed instances, which survives a
// restart of all processes. Traits with a single crash that were never quarantined are not in it. Daemons that
// know contents only ignore the parts, which those that know them then write again.
type Snapshot struct {
	Contents []StoredTrait `json:"contents"`
	Parts    []StoredTrait `json:"parts,omitempty"`
}

// StoredTrait is one trait of a Snapshot.
type StoredTrait struct {
	Digest    Digest `json:"digest"`
	Workspace string `json:"workspace,omitempty"`
	Label
	Crashes    []Incarnation `json:"ends,omitempty"`
	Companions []Digest      `json:"with,omitempty"` // requests without all of these traits are sent
	RanWell    bool          `json:"good,omitempty"` // a request with the trait ran without a crash before
	ChangedAt  time.Time     `json:"changed"`        // the writer's time of day, for operators only
	counters
}

// Quarantined reports whether the trait is quarantined.
func (c *StoredTrait) Quarantined() bool { return c.counters.quarantined() }

// All returns the contents and the parts, which can be changed in place.
func (s *Snapshot) All() iter.Seq[*StoredTrait] {
	return func(yield func(*StoredTrait) bool) {
		for _, list := range [][]StoredTrait{s.Contents, s.Parts} {
			for i := range list {
				if !yield(&list[i]) {
					return
				}
			}
		}
	}
}

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

// Release lifts the quarantine of a trait and reports whether it was quarantined. What was quarantined with it,
// as the two could not be told apart, is released too.
func (s *Snapshot) Release(d Digest, now time.Time) bool {
	var released *StoredTrait
	for c := range s.All() {
		if c.Digest == d && c.Quarantined() {
			released = c
		}
	}
	if released == nil {
		return false
	}
	companions := released.Companions
	for c := range s.All() {
		together := slices.Contains(c.Companions, d) && slices.Contains(companions, c.Digest)
		if c == released || c.Quarantined() && together {
			c.Released, c.Crashes, c.Companions, c.ChangedAt = c.Quarantines, nil, nil, now
		}
	}
	return true
}

// LoadSnapshot merges the store's snapshot.
func (e *Evidence) LoadSnapshot(s Snapshot, now time.Time) (v Verdicts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := map[Digest]bool{}
	for c := range s.All() {
		held[c.Digest] = true
		if e.loadTrait(*c, now) {
			v.Quarantined = append(v.Quarantined, c.Digest)
		}
	}
	for d, r := range e.records {
		if !held[d] {
			r.stored = storedState{}
		}
	}
	return e.decide(v, now)
}

// loadTrait merges one trait and reports whether its counters put it into quarantine; e.mu
// is held. The store keeps no times of crashes, so they are taken as independent and recent.
// They are ignored if this daemon knows of a success or has the trait in quarantine.
func (e *Evidence) loadTrait(c StoredTrait, now time.Time) (quarantined bool) {
	known := e.records[c.Digest]
	u := Update{Digest: c.Digest, Workspace: c.Workspace, Label: c.Label, Companions: c.Companions, counters: c.counters}
	if c.RanWell {
		u.Succeeded, u.SuccessAgeMS = true, int64(len(c.Crashes)+1)*independentInterval.Milliseconds()
	}
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
	for _, d := range e.storedDigests() {
		if e.records[d].hasUnsaved() {
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
	return r.durable() && !r.quarantined() && len(r.crashes) > r.stored.crashes
}

// ForgetSaved notes that the store may have lost what was saved: it came back from a copy.
func (e *Evidence) ForgetSaved() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.records {
		r.stored = storedState{}
	}
}

// maxSnapshotBytes bounds a snapshot, roughly. The store takes no value over objectapi.MaxValueBytes.
const maxSnapshotBytes = objectapi.MaxValueBytes / 2

// storedDigests returns the traits that the store should hold: those that were ever in quarantine and, as far
// as there is room, those with the most crashes; e.mu is held.
func (e *Evidence) storedDigests() (out []Digest) {
	for d, r := range e.records {
		if r.durable() {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Digest) int {
		x, y := e.records[a], e.records[b]
		return cmp.Or(cmp.Compare(min(y.Quarantines, 1), min(x.Quarantines, 1)), len(y.crashes)-len(x.crashes), a.compare(b))
	})
	bytes := 0
	for i, d := range out {
		if bytes += e.records[d].size(); bytes > maxSnapshotBytes && e.records[d].Quarantines == 0 {
			return out[:i]
		}
	}
	return out
}

// Snapshot returns what the store should hold, in order of digest; wall is the time of day to
// note as the time of the change.
func (e *Evidence) Snapshot(wall time.Time) Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s Snapshot
	for _, d := range e.storedDigests() {
		r := e.records[d]
		c := StoredTrait{Digest: d, Workspace: r.workspace, Label: r.Label, Companions: slices.Clone(r.companions), RanWell: !r.lastSuccess.IsZero(),
			counters: r.counters, ChangedAt: wall}
		for _, crash := range r.crashes {
			c.Crashes = append(c.Crashes, crash.Incarnation)
		}
		if r.Part == "" {
			s.Contents = append(s.Contents, c)
		} else {
			s.Parts = append(s.Parts, c)
		}
	}
	for _, list := range [][]StoredTrait{s.Contents, s.Parts} {
		slices.SortFunc(list, func(a, b StoredTrait) int { return a.Digest.compare(b.Digest) })
	}
	return s
}

// MarkSaved notes that the store holds a snapshot. This counts as a change of its contents, so
// that other relays learn of it and need not write the same.
func (e *Evidence) MarkSaved(s Snapshot, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range s.All() {
		if r := e.records[c.Digest]; r != nil {
			r.stored.counters.merge(c.counters)
			r.stored.crashes = max(r.stored.crashes, len(c.Crashes))
			e.markChanged(r, now)
		}
	}
}
