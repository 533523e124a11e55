package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Update is a limit as one daemon sends it to another.
type Update struct {
	Instance  string  `json:"instance"`
	StartedAt int64   `json:"born,omitempty"`
	Limit     float64 `json:"limit,omitempty"` // requests a second; 0: the limit ended
	// AgeUS is the age in microseconds: of a limit since the answer that named it, of an end since
	// the sending of the request whose answer named none.
	AgeUS int64 `json:"age_us"`
}

// Permits is a number of requests that a daemon may send to a limited instance.
type Permits struct {
	Instance  string `json:"instance"`
	StartedAt int64  `json:"born,omitempty"`
	Count     int    `json:"count"`
}

// ReceivedAt bounds the time at which updates were sent, by the receiver's clock.
type ReceivedAt struct{ Earliest, Latest time.Time }

// endTTL is how long the end of a limit is forwarded.
const endTTL = 30 * time.Second

// minNewer is how much newer an update of the same limit must be to be merged. Each forwarding
// underestimates its age a little, so an update seems newer than it is.
const minNewer = 500 * time.Millisecond

// Contents of one message.
const (
	// changeTTL is how long a change is part of every message.
	changeTTL = 2 * time.Second
	// olderUpdates is the number of other updates in a message; all limits take turns. A daemon
	// that missed a change or has just started receives it later, and messages don't grow with the
	// number of limits.
	olderUpdates = 2
)

// Updates returns the updates to send to another daemon now: recent changes and a few older ones.
func (g *Gate) Updates(now time.Time) []Update {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.limits) == 0 {
		return nil
	}
	out := make([]Update, 0, len(g.limits))
	var old []Incarnation
	for inc, l := range g.limits {
		switch {
		case l.perSecond == 0 && now.Sub(l.asOf) >= endTTL:
		case now.Sub(l.changedAt) < changeTTL:
			out = append(out, l.update(inc, now))
		default:
			old = append(old, inc)
		}
	}
	slices.SortFunc(old, compareIncarnations)
	for i := range min(olderUpdates, len(old)) {
		inc := old[(g.olderSent+i)%len(old)]
		out = append(out, g.limits[inc].update(inc, now))
	}
	g.olderSent += olderUpdates
	return out
}

func (l *limit) update(inc Incarnation, now time.Time) Update {
	return Update{inc.Instance, inc.StartedAt, l.perSecond, now.Sub(l.asOf).Microseconds()}
}

func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.StartedAt, b.StartedAt))
}

// Merge merges the updates of another daemon. Within the bounds of received, a limit is dated as late
// as possible and the end of a limit as early as possible.
func (g *Gate) Merge(updates []Update, received ReceivedAt) {
	for _, u := range updates {
		inc, age := Incarnation{u.Instance, u.StartedAt}, time.Duration(u.AgeUS)*time.Microsecond
		if u.Limit > 0 {
			g.setLimit(inc, clampLimit(u.Limit), received.Latest.Add(-age), minNewer, received.Latest, "daemons")
		} else {
			g.endLimit(inc, received.Earliest.Add(-age), true, received.Latest, "daemons")
		}
	}
}

func clampLimit(limit float64) float64 { return min(max(limit, MinLimit), MaxLimit) }
