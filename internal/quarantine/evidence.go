package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the records.
const (
	// maxCrashesPerTrait bounds the crashes kept for one trait; later ones are ignored.
	// Daemons that evicted the oldest instead would send them to one another forever, as
	// their times of one crash differ by some ms.
	maxCrashesPerTrait = 32
	// timeTolerance is how far two daemons' times of the same event may differ: messages take
	// some ms, and ages are sent in whole milliseconds.
	timeTolerance = 50 * time.Millisecond
	// suspicionTTL is how long a trait that is not quarantined is kept after the last change
	// of its record.
	suspicionTTL = 10 * time.Minute
)

// Incarnation identifies one run of an instance under its id.
type Incarnation struct {
	Instance  string `json:"instance"`
	StartedAt int64  `json:"born,omitempty"` // Unix ms of the start; 0: unknown
}

// Crash is the crash of an instance while a request with a trait was in progress there.
type Crash struct {
	Incarnation Incarnation
	At          time.Time
	Sent        time.Time // when the request was sent to the instance
}

// counters decide whether a trait is quarantined. They only grow, so that updates of several
// daemons can be merged in any order.
type counters struct {
	Quarantines uint64 `json:"refused,omitempty"`  // how often it was quarantined
	Released    uint64 `json:"released,omitempty"` // number of the last of these quarantines that was lifted
}

// quarantined reports whether requests with the trait must not be sent.
func (c counters) quarantined() bool { return c.Quarantines > c.Released }

// merge takes the larger counters of both and reports whether that changed c.
func (c *counters) merge(other counters) bool {
	before := *c
	c.Quarantines, c.Released = max(c.Quarantines, other.Quarantines), max(c.Released, other.Released)
	return *c != before
}

// record is the known state of one trait.
type record struct {
	counters
	Label
	workspace string
	crashes   []Crash // oldest first
	// cleared are incarnations of crashes that a success cleared. They do not count against the trait, but are
	// explained by it if it is quarantined after all.
	cleared []Incarnation
	// companions are the other traits, in order, that every request with this one had at the
	// crashes so far, except those that ran well without it since the first crash. They cannot be told
	// apart from this trait as the cause.
	companions  []Digest
	lastSuccess time.Time // crashes up to this time don't count
	changedAt   time.Time
	clusterWide bool        // all daemons were told of the record and must know what becomes of it
	stored      storedState // what the store is known to hold
	seq         uint64      // sequence number of the record's last change
}

// storedState is what the store holds of a record.
type storedState struct {
	counters
	crashes int // number of crashes
}

// Evidence records the crashes and successes of requests by their traits and decides which traits
// are quarantined. It is safe for concurrent use; callers pass in the time.
type Evidence struct {
	nonEmpty atomic.Bool // if false, a request's content needs no digest

	mu             sync.Mutex
	records        map[Digest]*record
	successes      successHistory
	reconsidered   []Digest // released since the last decision
	seq            uint64   // sequence number of the last change
	clusterWideSeq uint64   // sequence number of the last change that all daemons must receive
	changed        chan struct{}
}

// NewEvidence returns evidence without records.
func NewEvidence() *Evidence {
	return &Evidence{records: map[Digest]*record{}, changed: make(chan struct{}, 1)}
}

// Empty reports whether there are no records. Callers then compute no digest of a content, so that
// the quarantine costs little until an instance crashes.
func (e *Evidence) Empty() bool { return !e.nonEmpty.Load() }

// Changed is signalled after each change; signals may be merged. It serves one receiver.
func (e *Evidence) Changed() <-chan struct{} { return e.changed }

// Quarantined returns the quarantined trait because of which a request with these traits must not be
// sent. Where several traits could not be told apart, only requests with all of them are refused.
func (e *Evidence) Quarantined(t Traits) (Digest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for d := range t.all() {
		if r := e.records[d]; r != nil && r.quarantined() && t.hasAll(r.companions) {
			return d, true
		}
	}
	return Digest{}, false
}

// Verdicts are the traits whose quarantine a change of the evidence began or ended.
type Verdicts struct {
	Quarantined []Digest
	Released    []Digest // as a request with the trait ran well
	Superseded  []Digest // released, as other quarantined traits explain their crashes
}

// RecordCrash records that an instance crashed with suspects in progress.
func (e *Evidence) RecordCrash(incarnation Incarnation, at time.Time, suspects []Suspect) Verdicts {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range suspects {
		for d, label := range s.Traits.all() {
			r := e.getOrCreate(d, s.Workspace, label)
			e.addCrash(d, r, Crash{Incarnation: incarnation, At: at, Sent: s.Sent}, s.Traits.without(d), at)
		}
	}
	return e.decide(Verdicts{}, at)
}

// Suspect is a request that was in progress at an instance when it crashed.
type Suspect struct {
	Traits    Traits
	Workspace string
	Sent      time.Time // when the request was sent to the instance
}

// RecordSuccess records that a request ran without a crash, which clears the crashes of its traits so
// far and lifts their quarantine. Others may be quarantined then, as the released ones no longer explain
// their crashes.
func (e *Evidence) RecordSuccess(t Traits, at time.Time) (v Verdicts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for d := range t.all() {
		if r := e.records[d]; r != nil && e.applySuccess(d, r, at, at) {
			v.Released = append(v.Released, d)
		}
	}
	if len(v.Released) == 0 {
		return v
	}
	return e.decide(v, at)
}

// applySuccess records a success of a trait and reports whether it released it; e.mu is held. A
// success within timeTolerance of the last known one is the same one, received again. One that
// changes nothing but the time is not told: daemons that hold an older crash are told when they send it.
func (e *Evidence) applySuccess(d Digest, r *record, success, now time.Time) (released bool) {
	if success.Sub(r.lastSuccess) <= timeTolerance {
		return false
	}
	first, before := r.lastSuccess.IsZero(), len(r.crashes)
	r.lastSuccess = success
	var kept []Crash
	var cleared []Incarnation
	for _, crash := range r.crashes {
		if crash.At.After(success) {
			kept = append(kept, crash)
		} else {
			cleared = append(cleared, crash.Incarnation)
		}
	}
	r.addCleared(cleared)
	r.setCrashes(kept)
	if released = r.quarantined() && (len(r.crashes) < before || success.Equal(now)); released {
		r.Released = r.Quarantines
	}
	if first || released || len(r.crashes) < before {
		e.markChanged(r, now)
		e.clearCompanion(d, success, now)
	}
	return released
}

// addCleared notes incarnations of cleared crashes, at most maxCrashesPerTrait, and reports whether any is
// new.
func (r *record) addCleared(list []Incarnation) (changed bool) {
	for _, i := range list {
		if len(r.cleared) < maxCrashesPerTrait && !slices.Contains(r.cleared, i) {
			r.cleared, changed = append(r.cleared, i), true
		}
	}
	return changed
}

// setCrashes replaces the crashes by some of them.
func (r *record) setCrashes(crashes []Crash) {
	r.crashes = crashes
	if len(crashes) == 0 {
		r.companions = nil
	}
}

// clearCompanion removes a trait that ran well from the companions of all others that crashed
// before; e.mu is held.
func (e *Evidence) clearCompanion(d Digest, success, now time.Time) {
	for _, r := range e.records {
		if i, found := slices.BinarySearchFunc(r.companions, d, Digest.compare); found && r.crashes[0].At.Before(success) {
			r.companions = slices.Delete(slices.Clone(r.companions), i, i+1)
			e.markChanged(r, now)
		}
	}
}

// getOrCreate returns the record of a trait and creates a missing one; e.mu is held.
func (e *Evidence) getOrCreate(d Digest, workspace string, label Label) *record {
	r := e.records[d]
	if r == nil {
		r = &record{workspace: workspace, Label: label, lastSuccess: e.successes.last(workspace, d)}
		e.records[d] = r
		e.nonEmpty.Store(true)
	}
	return r
}

// addCrash adds a crash at which all requests with the trait had the companions, unless a success
// followed it; e.mu is held.
func (e *Evidence) addCrash(d Digest, r *record, crash Crash, companions []Digest, now time.Time) {
	if !crash.At.After(r.lastSuccess) {
		return
	}
	changed := false
	if len(r.crashes) == 0 {
		r.companions = slices.Clone(companions)
	} else if lost := r.keepCompanions(companions); len(lost) > 0 {
		changed = true
		e.reconsider(d, r, lost)
	}
	known := slices.ContainsFunc(r.crashes, func(other Crash) bool { return other.Incarnation == crash.Incarnation })
	if !known && len(r.crashes) < maxCrashesPerTrait {
		r.crashes = append(r.crashes, crash)
		slices.SortFunc(r.crashes, func(a, b Crash) int {
			return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Incarnation.Instance, b.Incarnation.Instance))
		})
		changed = true
	}
	e.dropClearedCompanions(r)
	if changed {
		e.markChanged(r, now)
	}
}

// keepCompanions keeps only the companions that are in the list as well, which is in order, and returns
// the others.
func (r *record) keepCompanions(list []Digest) (lost []Digest) {
	var kept []Digest
	for _, d := range r.companions {
		if _, found := slices.BinarySearchFunc(list, d, Digest.compare); found {
			kept = append(kept, d)
		} else {
			lost = append(lost, d)
		}
	}
	r.companions = kept
	return lost
}

// reconsider lifts the quarantine of a trait that was put there together with one from which a crash has
// told it apart; e.mu is held. The other one still explains the crashes that they share, so that one crash
// of another cause does not refuse everything that a harmless one of the two is in.
func (e *Evidence) reconsider(d Digest, r *record, lost []Digest) {
	together := func(other Digest) bool {
		o := e.records[other]
		return o != nil && o.quarantined() && o.hasCompanion(d)
	}
	if r.quarantined() && slices.ContainsFunc(lost, together) {
		r.Released = r.Quarantines
		e.reconsidered = append(e.reconsidered, d)
	}
}

// dropClearedCompanions removes the companions that ran well since the record's first crash; e.mu is
// held.
func (e *Evidence) dropClearedCompanions(r *record) {
	if len(r.crashes) == 0 {
		return
	}
	first := r.crashes[0].At
	r.companions = slices.DeleteFunc(r.companions, func(d Digest) bool {
		other := e.records[d]
		return other != nil && other.lastSuccess.After(first)
	})
}

// markChanged numbers a change of a record and signals it; e.mu is held.
func (e *Evidence) markChanged(r *record, now time.Time) {
	e.seq++
	r.seq, r.changedAt = e.seq, now
	r.clusterWide = r.clusterWide || r.durable()
	if r.clusterWide {
		e.clusterWideSeq = e.seq
	}
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// durable reports whether one more crash may put the trait into quarantine, or it was in quarantine
// before. All daemons must know such a record and what becomes of it, and the store holds it. Other
// records are sent only to the relays, which merge them.
func (r *record) durable() bool {
	return len(r.crashes) >= CrashesToQuarantine-1 || r.Quarantines > 0
}

// Counts returns the numbers of suspected and of quarantined traits.
func (e *Evidence) Counts() (suspected, quarantined int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.records {
		switch {
		case r.quarantined():
			quarantined++
		case len(r.crashes) > 0:
			suspected++
		}
	}
	return suspected, quarantined
}

// QuarantinedParts returns the number of quarantined parts of prompts.
func (e *Evidence) QuarantinedParts() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.records {
		if r.quarantined() && r.Part != "" {
			n++
		}
	}
	return n
}

// QuarantinedDigests lists the quarantined traits, in order of digest.
func (e *Evidence) QuarantinedDigests() []Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Digest
	for _, d := range slices.SortedFunc(maps.Keys(e.records), Digest.compare) {
		if e.records[d].quarantined() {
			out = append(out, d)
		}
	}
	return out
}
