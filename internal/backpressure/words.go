package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Word is what one daemon tells another of a limit.
type Word struct {
	Instance string  `json:"instance"`
	Born     int64   `json:"born,omitempty"`
	Limit    float64 `json:"limit,omitempty"` // requests a second; 0: the limit ended
	// AgeUS is how long ago this was known, in microseconds: a limit since an answer named it,
	// an end since the request was sent whose answer named none.
	AgeUS int64 `json:"age_us"`
}

// Permits are sends to a limited instance that a daemon may make.
type Permits struct {
	Instance string `json:"instance"`
	Born     int64  `json:"born,omitempty"`
	Count    int    `json:"count"`
}

// Told is when words were told: between two times, by the listener's clock.
type Told struct{ Earliest, Latest time.Time }

// endedFor is how long the end of a limit is told on.
const endedFor = 30 * time.Second

// freshFor is by how much a word of the same limit must be newer to be taken in. Words age by
// their way: each time one is passed on it seems younger than it is.
const freshFor = 500 * time.Millisecond

// What one message tells.
const (
	// newsFor is how long a change is told with every message.
	newsFor = 2 * time.Second
	// oldWords is how many other words a message tells, in turns: whoever missed a change, or
	// has just started, hears of it later, and messages don't grow with what is known.
	oldWords = 2
)

// Words returns what to tell another daemon now: what changed of late, and a few other words.
func (g *Gate) Words(now time.Time) []Word {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.limits) == 0 {
		return nil
	}
	out := make([]Word, 0, len(g.limits))
	var old []Life
	for life, l := range g.limits {
		switch {
		case l.limit == 0 && now.Sub(l.at) >= endedFor:
		case now.Sub(l.changed) < newsFor:
			out = append(out, l.word(life, now))
		default:
			old = append(old, life)
		}
	}
	slices.SortFunc(old, compareLives)
	for i := range min(oldWords, len(old)) {
		life := old[(g.told+i)%len(old)]
		out = append(out, g.limits[life].word(life, now))
	}
	g.told += oldWords
	return out
}

func (l *limit) word(life Life, now time.Time) Word {
	return Word{life.Instance, life.Born, l.limit, now.Sub(l.at).Microseconds()}
}

func compareLives(a, b Life) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Born, b.Born))
}

// Merge takes in what another daemon told. A limit counts as named as late, an end as shown as
// early as it may have been.
func (g *Gate) Merge(words []Word, told Told) {
	for _, w := range words {
		life, age := Life{w.Instance, w.Born}, time.Duration(w.AgeUS)*time.Microsecond
		if w.Limit > 0 {
			g.named(life, clampLimit(w.Limit), told.Latest.Add(-age), freshFor, told.Latest, "daemons")
		} else {
			g.ended(life, told.Earliest.Add(-age), true, told.Latest, "daemons")
		}
	}
}

func clampLimit(limit float64) float64 { return min(max(limit, LeastLimit), MostLimit) }
