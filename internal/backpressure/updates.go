package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Update is what one daemon sends another about a limit.
type Update struct {
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

// ReceivedAt is when updates were sent: between two times, by the receiver's clock.
type ReceivedAt struct{ Earliest, Latest time.Time }

// endedFor is how long the end of a limit is told on.
const endedFor = 30 * time.Second

// newerBy is by how much an update of the same limit must be newer to be merged. Each time one is
// passed on its age is counted a little too small, so it seems newer than it is.
const newerBy = 500 * time.Millisecond

// What one message holds.
const (
	// newsFor is how long a change is in every message.
	newsFor = 2 * time.Second
	// olderUpdates is how many other updates a message holds, in turns: a daemon that missed a
	// change, or has just started, receives it later, and messages don't grow with the limits.
	olderUpdates = 2
)

// Updates returns what to send another daemon now: what changed lately, and a few older updates.
func (g *Gate) Updates(now time.Time) []Update {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.limits) == 0 {
		return nil
	}
	out := make([]Update, 0, len(g.limits))
	var old []Life
	for life, l := range g.limits {
		switch {
		case l.limit == 0 && now.Sub(l.at) >= endedFor:
		case now.Sub(l.changed) < newsFor:
			out = append(out, l.update(life, now))
		default:
			old = append(old, life)
		}
	}
	slices.SortFunc(old, compareLives)
	for i := range min(olderUpdates, len(old)) {
		life := old[(g.sent+i)%len(old)]
		out = append(out, g.limits[life].update(life, now))
	}
	g.sent += olderUpdates
	return out
}

func (l *limit) update(life Life, now time.Time) Update {
	return Update{life.Instance, life.Born, l.limit, now.Sub(l.at).Microseconds()}
}

func compareLives(a, b Life) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Born, b.Born))
}

// Merge takes in what another daemon sent. A limit counts as named as late, an end as shown as
// early as it may have been.
func (g *Gate) Merge(updates []Update, received ReceivedAt) {
	for _, u := range updates {
		life, age := Life{u.Instance, u.Born}, time.Duration(u.AgeUS)*time.Microsecond
		if u.Limit > 0 {
			g.named(life, clampLimit(u.Limit), received.Latest.Add(-age), newerBy, received.Latest, "daemons")
		} else {
			g.ended(life, received.Earliest.Add(-age), true, received.Latest, "daemons")
		}
	}
}

func clampLimit(limit float64) float64 { return min(max(limit, LeastLimit), MostLimit) }
