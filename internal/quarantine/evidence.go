package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the decision.
const (
	// EndsToRefuse is under how many ended instances a request is refused. Two would refuse
	// a request whose only repeat met the same one that ends instances, by chance.
	EndsToRefuse = 3
	// tiedEnds is the same where another request was in progress at each of the same ends:
	// one more tells them apart.
	tiedEnds = 4
	// apart is how far from one another two ends lie that both count, unless the second
	// one's send left after the first end: many instances that crash at one moment say
	// nothing of a request that is in progress at all of them.
	apart = 250 * time.Millisecond
	// keptEnds bounds the ends kept of one request, the first ones. Daemons that dropped the
	// oldest would tell them one another anew for ever, as their times differ by some ms.
	keptEnds = 32
	// sameTime is within what one moment may be told differently by two daemons: messages
	// take some ms, and ages are whole milliseconds.
	sameTime = 50 * time.Millisecond
	// forgetAfter is how long a request that is not refused is kept after its last end.
	forgetAfter = 10 * time.Minute
)

// Life is one life of an instance's id.
type Life struct {
	Instance string `json:"instance"`
	Born     int64  `json:"born,omitempty"` // Unix ms; 0: not told
}

// End is the end of an instance under a request.
type End struct {
	Life Life
	At   time.Time
	Sent time.Time // when the request was sent there
}

// state is what decides whether a content is refused. Its counters only grow, so that
// words of several daemons can be merged in any order.
type state struct {
	Refused  uint64 `json:"refused,omitempty"`  // how often it was refused
	Released uint64 `json:"released,omitempty"` // up to which of these it was released
}

// refuses tells whether the content may not be sent.
func (s state) refuses() bool { return s.Refused > s.Released }

// merge takes in another daemon's word; true: it changed something.
func (s *state) merge(other state) bool {
	before := *s
	s.Refused, s.Released = max(s.Refused, other.Refused), max(s.Released, other.Released)
	return *s != before
}

// record is what is known of one content.
type record struct {
	state
	workspace string
	ends      []End     // oldest first
	good      time.Time // the last good end; ends before it don't count
	touched   time.Time
	saved     saved  // what the store is known to hold
	seq       uint64 // of the last change
}

// saved is what the store holds of a record.
type saved struct {
	state
	ends int
}

// Evidence is what is known of all contents. Safe for concurrent use; time is passed in.
type Evidence struct {
	busy atomic.Bool // something is known: digests need to be computed

	mu      sync.Mutex
	records map[Digest]*record
	seq     uint64 // of the last change
	hotSeq  uint64 // of the last change that all daemons must hear of
	changed chan struct{}
}

// NewEvidence returns evidence of nothing.
func NewEvidence() *Evidence {
	return &Evidence{records: map[Digest]*record{}, changed: make(chan struct{}, 1)}
}

// Empty tells that nothing is known, so that no digest need be computed: a day without an
// end costs nothing.
func (e *Evidence) Empty() bool { return !e.busy.Load() }

// Changed is signalled after a change. It has one receiver.
func (e *Evidence) Changed() <-chan struct{} { return e.changed }

// Refuses tells whether a content may not be sent.
func (e *Evidence) Refuses(d Digest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records[d]
	return r != nil && r.refuses()
}

// Ended takes in the end of an instance under some requests, and returns those that are
// refused from now on.
func (e *Evidence) Ended(life Life, at time.Time, under []Suspect) []Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range under {
		e.add(e.record(s.Digest, s.Workspace), End{Life: life, At: at, Sent: s.Sent}, at)
	}
	return e.decide(at)
}

// Suspect is a request that was in progress at an instance as it ended.
type Suspect struct {
	Digest    Digest
	Workspace string
	Sent      time.Time
}

// Good takes in that a content ended well; what came before is no mark any more. true: it
// was refused, and is not.
func (e *Evidence) Good(d Digest, at time.Time) (released bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records[d]
	if r == nil {
		return false
	}
	return e.clear(r, at, at)
}

// clear applies a good end; e.mu is held.
func (e *Evidence) clear(r *record, good, now time.Time) (released bool) {
	if good.Sub(r.good) <= sameTime {
		return false
	}
	hot := r.hot()
	r.good = good
	r.ends = slices.DeleteFunc(r.ends, func(end End) bool { return !end.At.After(good) })
	if released = r.refuses(); released {
		r.Released = r.Refused
	}
	e.touch(r, hot, now)
	return released
}

// record returns the record of a content, made if need be; e.mu is held.
func (e *Evidence) record(d Digest, workspace string) *record {
	r := e.records[d]
	if r == nil {
		r = &record{workspace: workspace}
		e.records[d] = r
		e.busy.Store(true)
	}
	return r
}

// add notes an end; e.mu is held. One that a good end followed is none.
func (e *Evidence) add(r *record, end End, now time.Time) {
	known := func(o End) bool { return o.Life == end.Life }
	if !end.At.After(r.good) || len(r.ends) >= keptEnds || slices.ContainsFunc(r.ends, known) {
		return
	}
	hot := r.hot()
	r.ends = append(r.ends, end)
	slices.SortFunc(r.ends, func(a, b End) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Life.Instance, b.Life.Instance)) })
	e.touch(r, hot, now)
}

// touch notes a change of a record, which was hot before; e.mu is held.
func (e *Evidence) touch(r *record, hot bool, now time.Time) {
	e.seq++
	r.seq, r.touched = e.seq, now
	if hot || r.hot() {
		e.hotSeq = e.seq
	}
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// hot tells whether all daemons must know of a record: one more end, or a good one, may
// decide. The others are known to the relays, which add them up.
func (r *record) hot() bool { return len(r.ends) >= EndsToRefuse-1 || r.Refused > 0 }

// counted returns how many ends count that nothing explains.
func (r *record) counted(explained map[Life]bool) int {
	n := 0
	var last End
	for _, end := range r.ends {
		if explained[end.Life] {
			continue
		}
		if n == 0 || end.Sent.After(last.At) || end.At.Sub(last.At) >= apart {
			n, last = n+1, end
		}
	}
	return n
}

// decide refuses what explains enough ends, the most first: whatever was in progress beside
// it is not marked by them any more. e.mu is held.
func (e *Evidence) decide(now time.Time) (refused []Digest) {
	explained := map[Life]bool{}
	for _, r := range e.records {
		if r.refuses() {
			r.explain(explained)
		}
	}
	for {
		d, ok := e.worst(explained)
		if !ok {
			return refused
		}
		r := e.records[d]
		hot := r.hot()
		r.Refused++
		r.explain(explained)
		e.touch(r, hot, now)
		refused = append(refused, d)
	}
}

func (r *record) explain(explained map[Life]bool) {
	for _, end := range r.ends {
		explained[end.Life] = true
	}
}

// worst returns the content with the most ends that nothing explains, if it is to be
// refused; e.mu is held.
func (e *Evidence) worst(explained map[Life]bool) (worst Digest, found bool) {
	most := EndsToRefuse - 1
	for d, r := range e.records {
		if len(r.ends) < EndsToRefuse || r.refuses() {
			continue
		}
		n := r.counted(explained)
		if n < EndsToRefuse || n < tiedEnds && e.tied(d, r) {
			continue
		}
		if n > most || n == most && slices.Compare(d[:], worst[:]) < 0 {
			worst, most, found = d, n, true
		}
	}
	return worst, found
}

// tied tells whether another content that is not refused was in progress at each of a
// record's ends; e.mu is held.
func (e *Evidence) tied(d Digest, r *record) bool {
	for other, o := range e.records {
		if other == d || o.refuses() || len(o.ends) < len(r.ends) {
			continue
		}
		if !slices.ContainsFunc(r.ends, func(end End) bool { return !o.has(end.Life) }) {
			return true
		}
	}
	return false
}

func (r *record) has(l Life) bool {
	return slices.ContainsFunc(r.ends, func(end End) bool { return end.Life == l })
}

// Counts tells how many contents are marked and how many are refused.
func (e *Evidence) Counts() (marked, refused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.records {
		switch {
		case r.refuses():
			refused++
		case len(r.ends) > 0:
			marked++
		}
	}
	return marked, refused
}

// Refused lists what is refused, in order.
func (e *Evidence) Refused() []Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Digest
	for _, d := range slices.SortedFunc(maps.Keys(e.records), func(a, b Digest) int { return slices.Compare(a[:], b[:]) }) {
		if e.records[d].refuses() {
			out = append(out, d)
		}
	}
	return out
}
