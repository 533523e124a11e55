package quarantine

import (
	"slices"
	"time"
)

// Word is what one daemon tells another of a content. Ages are in milliseconds before the
// message was made; the receiver counts them back from when it came.
type Word struct {
	Digest    Digest    `json:"digest"`
	Workspace string    `json:"workspace,omitempty"`
	Ends      []EndWord `json:"ends,omitempty"`
	Good      bool      `json:"good,omitempty"` // it ended well, GoodAge ago
	GoodAge   int64     `json:"good_age_ms,omitempty"`
	state
	// SavedEnds and Saved are what the store is known to hold.
	SavedEnds int   `json:"saved_ends,omitempty"`
	Saved     state `json:"saved,omitzero"`
}

// EndWord is an End on the wire.
type EndWord struct {
	Life
	Age     int64 `json:"age_ms"`
	SentAge int64 `json:"sent_age_ms"`
}

// wordsMost bounds the words of one message: 256 of some 200 bytes each.
const wordsMost = 256

// Since returns what changed after a sequence number, the earliest changes first, and the
// number that they lead to. hot leaves out what only relays need.
func (e *Evidence) Since(seq uint64, hot bool, now time.Time) (words []Word, upTo uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	type numbered struct {
		d Digest
		r *record
	}
	var changed []numbered
	for d, r := range e.records {
		if r.seq > seq && (!hot || r.hot()) {
			changed = append(changed, numbered{d, r})
		}
	}
	slices.SortFunc(changed, func(a, b numbered) int { return int(int64(a.r.seq) - int64(b.r.seq)) })
	upTo = max(e.seq, seq)
	if len(changed) > wordsMost {
		changed = changed[:wordsMost]
		upTo = changed[wordsMost-1].r.seq
	}
	for _, c := range changed {
		words = append(words, c.r.word(c.d, now))
	}
	return words, upTo
}

// Seq returns the number of the last change, and of the last one that all daemons must hear.
func (e *Evidence) Seq() (all, hot uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seq, e.hotSeq
}

func (r *record) word(d Digest, now time.Time) Word {
	w := Word{Digest: d, Workspace: r.workspace, state: r.state, SavedEnds: r.saved.ends, Saved: r.saved.state}
	for _, end := range r.ends {
		w.Ends = append(w.Ends, EndWord{end.Life, now.Sub(end.At).Milliseconds(), now.Sub(end.Sent).Milliseconds()})
	}
	if !r.good.IsZero() {
		w.Good, w.GoodAge = true, now.Sub(r.good).Milliseconds()
	}
	return w
}

// Merge takes in another daemon's words, and returns what is refused from now on and was
// not before.
func (e *Evidence) Merge(words []Word, now time.Time) (refused []Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range words {
		if e.merge(w, now) {
			refused = append(refused, w.Digest)
		}
	}
	return append(refused, e.decide(now)...)
}

// merge takes in one word; true: the content is refused now and was not. e.mu is held.
func (e *Evidence) merge(w Word, now time.Time) bool {
	r := e.record(w.Digest, w.Workspace)
	before, hot := r.refuses(), r.hot()
	stale := w.Released < r.Released // its ends were released since
	if w.Released > r.Released {
		r.ends = nil
	}
	if r.state.merge(w.state) {
		e.touch(r, hot, now)
	}
	if w.Good {
		e.clear(r, ago(now, w.GoodAge), now)
	}
	for _, end := range w.Ends {
		if !stale {
			e.add(r, End{end.Life, ago(now, end.Age), ago(now, end.SentAge)}, now)
		}
	}
	r.saved.state.merge(w.Saved)
	r.saved.ends = max(r.saved.ends, w.SavedEnds)
	return !before && r.refuses()
}

func ago(now time.Time, ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
