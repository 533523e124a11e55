package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pearlanding/internal/objectapi"
)

// maxRemovals bounds how many removals are remembered: each instance that ends leaves one, and
// a peer that is further behind lists from the store. A live object takes one place however
// often it changes.
const maxRemovals = 2048

// configProof is the newest version of the configuration that a read showed.
type configProof struct {
	seq      uint64 // incremented by each read
	version  uint64 // of the store's object
	provedAt time.Time
}

// unknownSpan is a span of revisions, both ends excluded, of which only the resulting state is
// known.
type unknownSpan struct{ from, to uint64 }

// maxUnknownSpans bounds the spans that are remembered; the planner adds one with each listing
// that it makes.
const maxUnknownSpans = 16

// history holds what a daemon can send its peers about the entries: the latest change of each
// object. A list of all changes would overflow while the groups of many instances form, and
// each peer would list the store again. Safe for concurrent use; time is passed in.
type history struct {
	mu           sync.Mutex
	known        bool // false: nothing is known yet
	complete     bool // latest holds every live object, not only those that changed
	latest       map[string]objectapi.Event
	removals     int           // number of removals in latest
	base         uint64        // revision from which on all changes are known
	end          uint64        // revision up to which all changes are known
	unknownSpans []unknownSpan // between base and end; objects created and removed within are unknown
	provedAt     time.Time
	config       configProof
	packedAfter  map[uint64][]byte // packed answers for the current state, by the revision asked for
	changed      chan struct{}     // closed at the next change
}

func newHistory() *history {
	return &history{latest: map[string]objectapi.Event{}, packedAfter: map[uint64][]byte{}, changed: make(chan struct{})}
}

// reset starts over with the objects known at a revision; h.mu is held.
func (h *history) reset(objects []objectapi.Object, revision uint64, complete bool) {
	h.known, h.complete, h.base, h.end, h.removals, h.unknownSpans = true, complete, revision, revision, 0, nil
	h.latest = make(map[string]objectapi.Event, len(objects))
	for _, o := range objects {
		h.latest[o.Key] = objectapi.Event{Object: o}
	}
}

// seed starts over from a listing that may be stale, unless as much is known already. Such a
// listing proves nothing.
func (h *history) seed(l objectapi.Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known && h.end >= l.Revision {
		return
	}
	h.reset(l.Objects, l.Revision, true)
	h.invalidate()
}

// applyListing merges a current listing. Earlier changes are kept if all objects were known: the
// objects missing from the listing were removed since. It returns whether the store has come back from a copy
// since the last change.
func (h *history) applyListing(l objectapi.Listing, asked time.Time) (restored bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	restored = h.known && objectapi.Era(l.Revision) > objectapi.Era(h.end)
	if !h.complete || l.Revision < h.end {
		h.reset(l.Objects, l.Revision, true)
	} else {
		h.mergeListing(l)
	}
	h.provedAt = laterOf(h.provedAt, asked)
	h.invalidate()
	return restored
}

// mergeListing records what changed up to a listing; h.mu is held.
func (h *history) mergeListing(l objectapi.Listing) {
	present := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		present[o.Key] = true
		h.put(objectapi.Event{Object: o})
	}
	for key, e := range h.latest {
		if !e.Removed && !present[key] && e.Object.Version < l.Revision {
			h.put(objectapi.Event{Object: objectapi.Object{Key: key, Version: l.Revision}, Removed: true})
		}
	}
	if l.Revision > h.end {
		h.addUnknownSpan(unknownSpan{h.end, l.Revision})
	}
	h.end = max(h.end, l.Revision)
}

// addUnknownSpan adds a span, and drops the oldest one beyond the limit; h.mu is held.
func (h *history) addUnknownSpan(span unknownSpan) {
	h.unknownSpans = append(h.unknownSpans, span)
	if len(h.unknownSpans) > maxUnknownSpans {
		h.base = max(h.base, h.unknownSpans[0].to)
		h.unknownSpans = h.unknownSpans[1:]
	}
}

// noteSkipped records that only the result of the changes between two revisions is known.
func (h *history) noteSkipped(from, to uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addUnknownSpan(unknownSpan{from, to})
}

// diff returns the changes that lead from the known objects to those of a listing. known is
// false if not every object is known.
func (h *history) diff(l objectapi.Listing) (events []objectapi.Event, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || !h.complete {
		return nil, false
	}
	present := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		present[o.Key] = true
		if old, seen := h.latest[o.Key]; !seen || old.Object.Version < o.Version {
			events = append(events, objectapi.Event{Object: o})
		}
	}
	for key, e := range h.latest {
		if !e.Removed && !present[key] && e.Object.Version <= l.Revision {
			events = append(events, objectapi.Event{Object: objectapi.Object{Key: key, Version: l.Revision}, Removed: true})
		}
	}
	return events, true
}

// applyChanges merges the changes after a revision, as proved at a time.
func (h *history) applyChanges(after uint64, c objectapi.Changes, proved time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || after > h.end {
		h.reset(nil, after, false)
	}
	h.provedAt = laterOf(h.provedAt, proved)
	if len(c.Events) == 0 && !c.ClosesGap {
		return
	}
	for _, e := range c.Events {
		h.put(e)
	}
	h.end = max(h.end, c.Revision)
	h.pruneRemovals()
	h.invalidate()
}

// put records a change unless a later one of the same object is known; h.mu is held.
func (h *history) put(e objectapi.Event) {
	old, known := h.latest[e.Object.Key]
	if known && old.Object.Version >= e.Object.Version {
		return
	}
	if known && old.Removed {
		h.removals--
	}
	if e.Removed {
		h.removals++
	}
	h.latest[e.Object.Key] = e
}

// pruneRemovals drops the older half of the removals when there are more than maxRemovals; h.mu
// is held.
func (h *history) pruneRemovals() {
	if h.removals <= maxRemovals {
		return
	}
	var versions []uint64
	for _, e := range h.latest {
		if e.Removed {
			versions = append(versions, e.Object.Version)
		}
	}
	slices.Sort(versions)
	h.base = max(h.base, versions[len(versions)/2])
	for key, e := range h.latest {
		if e.Removed && e.Object.Version <= h.base {
			delete(h.latest, key)
			h.removals--
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteConfig records a read of the configuration.
func (h *history) noteConfig(version uint64, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config = configProof{h.config.seq + 1, version, asked}
	h.notifyLocked()
}

// invalidate drops packed answers and wakes all waiters; h.mu is held.
func (h *history) invalidate() {
	clear(h.packedAfter)
	h.notifyLocked()
}

// notify wakes all waiters although no entry changed.
func (h *history) notify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifyLocked()
}

func (h *history) notifyLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// changesAfter returns the latest change of each object that changed after a revision, in order
// of revision, and the revision that the changes lead to. gap: not all changes after the revision
// are known, and end is a later revision, after which they are; 0: nothing is known.
func (h *history) changesAfter(revision uint64) (events []objectapi.Event, end uint64, gap bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changesAfterLocked(revision)
}

// changesAfterLocked is changesAfter; h.mu is held.
func (h *history) changesAfterLocked(revision uint64) (events []objectapi.Event, end uint64, gap bool) {
	if !h.hasAllAfterLocked(revision) {
		return nil, h.knownFromLocked(revision), true
	}
	for _, e := range h.latest {
		// A listing's later pages can show changes beyond the end; these are sent later, when
		// the watch reaches them.
		if e.Object.Version > revision && e.Object.Version <= h.end {
			events = append(events, e)
		}
	}
	slices.SortFunc(events, func(a, b objectapi.Event) int { return cmp.Compare(a.Object.Version, b.Object.Version) })
	return events, max(h.end, revision), false
}

// snapshot returns every live object, as of a revision or later. known is false if not every
// object is known.
func (h *history) snapshot() (events []objectapi.Event, revision uint64, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || !h.complete {
		return nil, 0, false
	}
	for _, e := range h.latest {
		if !e.Removed {
			events = append(events, e)
		}
	}
	slices.SortFunc(events, func(a, b objectapi.Event) int { return cmp.Compare(a.Object.Version, b.Object.Version) })
	return events, h.end, true
}

// size returns the bytes of all known entries.
func (h *history) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	size := 0
	for key, e := range h.latest {
		size += len(key) + len(e.Object.Value)
	}
	return size
}

// hasAllAfter reports whether all changes after a revision are known.
func (h *history) hasAllAfter(revision uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasAllAfterLocked(revision)
}

// hasAllAfterLocked is hasAllAfter; h.mu is held.
func (h *history) hasAllAfterLocked(revision uint64) bool {
	isWithin := func(span unknownSpan) bool { return span.from < revision && revision < span.to }
	return h.known && revision >= h.base && !slices.ContainsFunc(h.unknownSpans, isWithin)
}

// knownFromLocked returns the next revision after one in a gap from which on all changes are known;
// 0: none. h.mu is held.
func (h *history) knownFromLocked(revision uint64) uint64 {
	if !h.known {
		return 0
	}
	revision = max(revision, h.base)
	for _, span := range h.unknownSpans {
		if span.from < revision && revision < span.to {
			revision = span.to
		}
	}
	return revision
}

// packedChanges is an answer to a peer.
type packedChanges struct {
	changes []byte // nil: none
	end     uint64 // revision that the changes lead to, or after a gap
	gap     bool
}

// packChangesAfter returns the changes after a revision as one answer. Peers that keep up ask
// for the same revision, which is packed once for all of them.
func (h *history) packChangesAfter(revision uint64) (packedChanges, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if changes, ok := h.packedAfter[revision]; ok {
		return packedChanges{changes: changes, end: max(h.end, revision)}, nil
	}
	events, end, gap := h.changesAfterLocked(revision)
	if gap || len(events) == 0 {
		return packedChanges{end: end, gap: gap}, nil
	}
	changes, err := pack(events)
	if err != nil {
		return packedChanges{}, err
	}
	h.packedAfter[revision] = changes
	return packedChanges{changes: changes, end: end}, nil
}

// proofs returns the times of the newest proofs, and a channel that is closed when they change.
func (h *history) proofs() (entries time.Time, config configProof, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.provedAt, h.config, h.changed
}
