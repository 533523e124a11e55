package backpressure

import (
	"time"

	"go.uber.org/zap"
)

// leavingIncarnation is an incarnation that reported to be leaving.
type leavingIncarnation struct {
	startedAt int64
	since     time.Time // time of the first report
}

// markLeaving records that an incarnation is leaving. The record applies until the incarnation ends.
func (g *Gate) markLeaving(inc Incarnation, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isLeaving(inc) {
		return
	}
	if _, known := g.leaving[inc.Instance]; !known && len(g.leaving) >= maxIncarnations {
		delete(g.leaving, oldest(g.leaving, func(l leavingIncarnation) time.Time { return l.since }))
	}
	g.leaving[inc.Instance] = leavingIncarnation{inc.StartedAt, now}
	g.version.Add(1)
	g.log.Info("instance is leaving", zap.String("instance", inc.Instance), zap.Int64("born", inc.StartedAt))
}

// isLeaving reports whether an incarnation is leaving; one with unknown start time may be any
// incarnation of its instance. g.mu is held.
func (g *Gate) isLeaving(inc Incarnation) bool {
	leaving, known := g.leaving[inc.Instance]
	return known && (leaving.startedAt == inc.StartedAt || leaving.startedAt == 0 || inc.StartedAt == 0)
}

// oldest returns the key whose value has the earliest time.
func oldest[K comparable, V any](entries map[K]V, at func(V) time.Time) (key K) {
	var earliest time.Time
	for k, v := range entries {
		if t := at(v); earliest.IsZero() || t.Before(earliest) {
			key, earliest = k, t
		}
	}
	return key
}
