package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pearlanding/internal/objectapi"
)

// removalsMost bounds how many removals are remembered: an engine that ends leaves one,
// and a peer that is further behind than so many lists from the store. An object that
// lives takes one place however often it changes.
const removalsMost = 2048

// configProof is the newest version of the configuration that a read showed.
type configProof struct {
	seq     uint64 // rises with each read
	version uint64 // of the store's object
	proved  time.Time
}

// hole is a span of revisions, both ends excluded, of which only the result is known.
type hole struct{ from, to uint64 }

// holesMost bounds the holes that are remembered; a daemon that plans lists now and then.
const holesMost = 16

// history is what a daemon can tell its peers of the entries: of each object its latest
// change. A list of all changes would be overrun while the groups of many instances form, and
// each peer would list the store anew. Safe for concurrent use; time is passed in.
type history struct {
	mu       sync.Mutex
	known    bool
	complete bool // latest holds every object that lives, not only those that changed
	latest   map[string]objectapi.Event
	removals int    // in latest
	base     uint64 // revision from which on all changes are known
	end      uint64 // revision up to which they are
	holes    []hole // within: what was made and removed again is not known
	proved   time.Time
	config   configProof
	packed   map[uint64][]byte // answers made of the state as it is, by revision asked for
	news     chan struct{}     // closed at the next change
}

func newHistory() *history {
	return &history{latest: map[string]objectapi.Event{}, packed: map[uint64][]byte{}, news: make(chan struct{})}
}

// begin starts anew with what is known at a revision; h.mu is held.
func (h *history) begin(objects []objectapi.Object, revision uint64, complete bool) {
	h.known, h.complete, h.base, h.end, h.removals, h.holes = true, complete, revision, revision, 0, nil
	h.latest = make(map[string]objectapi.Event, len(objects))
	for _, o := range objects {
		h.latest[o.Key] = objectapi.Event{Object: o}
	}
}

// seeded takes a listing that may be old, as a start: it proves nothing.
func (h *history) seeded(l objectapi.Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known && h.end >= l.Revision {
		return
	}
	h.begin(l.Objects, l.Revision, true)
	h.wake()
}

// listed takes a listing as of now. What came before is kept where all objects were known:
// those that the listing lacks were removed since.
func (h *history) listed(l objectapi.Listing, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.complete || l.Revision < h.end {
		h.begin(l.Objects, l.Revision, true)
	} else {
		h.compare(l)
	}
	h.proved = latest(h.proved, asked)
	h.wake()
}

// compare notes what changed up to a listing; h.mu is held.
func (h *history) compare(l objectapi.Listing) {
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
		h.open(hole{h.end, l.Revision})
	}
	h.end = max(h.end, l.Revision)
}

// open notes a hole; h.mu is held.
func (h *history) open(o hole) {
	h.holes = append(h.holes, o)
	if len(h.holes) > holesMost {
		h.base = max(h.base, h.holes[0].to)
		h.holes = h.holes[1:]
	}
}

// skipped notes that of the changes between two revisions only the result is known.
func (h *history) skipped(from, to uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open(hole{from, to})
}

// difference returns what leads from the known objects to those of a listing; false: not every
// object is known.
func (h *history) difference(l objectapi.Listing) (events []objectapi.Event, known bool) {
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

// followed takes in the changes after a revision, as they were at a time.
func (h *history) followed(after uint64, c objectapi.Changes, proved time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || after > h.end {
		h.begin(nil, after, false)
	}
	h.proved = latest(h.proved, proved)
	if len(c.Events) == 0 {
		return
	}
	for _, e := range c.Events {
		h.put(e)
	}
	h.end = max(h.end, c.Revision)
	h.forget()
	h.wake()
}

// put notes a change unless a later one of the same object is known; h.mu is held.
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

// forget drops the older half of the removals when they are too many; h.mu is held.
func (h *history) forget() {
	if h.removals <= removalsMost {
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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteConfig takes in a read of the configuration.
func (h *history) noteConfig(version uint64, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config = configProof{h.config.seq + 1, version, asked}
	h.wakeAll()
}

// wake lets everyone look again at what has changed; h.mu is held.
func (h *history) wake() {
	clear(h.packed)
	h.wakeAll()
}

// nudge lets everyone look again, though no entry changed.
func (h *history) nudge() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeAll()
}

func (h *history) wakeAll() {
	close(h.news)
	h.news = make(chan struct{})
}

// after returns the latest change of each object that changed after a revision, in their
// order, with the revision that they lead to. gap: what was removed since is not known.
func (h *history) after(revision uint64) (events []objectapi.Event, end uint64, gap bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since(revision)
}

// since is after; h.mu is held.
func (h *history) since(revision uint64) (events []objectapi.Event, end uint64, gap bool) {
	if !h.hasAllAfterLocked(revision) {
		return nil, 0, true
	}
	for _, e := range h.latest {
		// Beyond the end lies what a listing's later pages showed: it is told again.
		if e.Object.Version > revision && e.Object.Version <= h.end {
			events = append(events, e)
		}
	}
	slices.SortFunc(events, func(a, b objectapi.Event) int { return cmp.Compare(a.Object.Version, b.Object.Version) })
	return events, max(h.end, revision), false
}

// snapshot returns every object that lives, as it was at a revision or later; false: not every
// one is known.
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

// size returns the bytes of all entries that are known.
func (h *history) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	size := 0
	for key, e := range h.latest {
		size += len(key) + len(e.Object.Value)
	}
	return size
}

// hasAllAfter tells whether all changes after a revision are known.
func (h *history) hasAllAfter(revision uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasAllAfterLocked(revision)
}

// hasAllAfterLocked is hasAllAfter; h.mu is held.
func (h *history) hasAllAfterLocked(revision uint64) bool {
	inHole := func(o hole) bool { return o.from < revision && revision < o.to }
	return h.known && revision >= h.base && !slices.ContainsFunc(h.holes, inHole)
}

// told is an answer to a peer.
type told struct {
	changes []byte // packed; nil: none
	end     uint64 // revision that they lead to
	gap     bool
}

// tell returns what came after a revision as one answer. Peers that keep up ask for the
// same, which is packed once for all of them.
func (h *history) tell(revision uint64) (told, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if changes, ok := h.packed[revision]; ok {
		return told{changes: changes, end: max(h.end, revision)}, nil
	}
	events, end, gap := h.since(revision)
	if gap || len(events) == 0 {
		return told{end: end, gap: gap}, nil
	}
	changes, err := pack(events)
	if err != nil {
		return told{}, err
	}
	h.packed[revision] = changes
	return told{changes: changes, end: end}, nil
}

// state returns what is proved, and a channel that is closed when it changes.
func (h *history) state() (entries time.Time, config configProof, news <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proved, h.config, h.news
}
