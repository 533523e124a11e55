package backpressure

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

// startBackoff starts a backoff that an incarnation asked for. Of two backoffs, the later end
// applies.
func (g *Gate) startBackoff(inc Incarnation, duration time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.backoffs) >= maxIncarnations {
		g.dropExpiredBackoffs(now)
	}
	until, known := g.backoffs[inc]
	if !known && len(g.backoffs) >= maxIncarnations {
		return
	}
	if !now.Before(until) {
		g.log.Info("instance asks for backoff", zap.String("instance", inc.Instance), zap.Int64("rest_ms", duration.Milliseconds()))
	}
	if end := now.Add(duration); end.After(until) {
		g.backoffs[inc] = end
	}
	if !known {
		g.version.Add(1)
	}
}

// dropExpiredBackoffs removes backoffs that have ended; g.mu is held.
func (g *Gate) dropExpiredBackoffs(now time.Time) {
	maps.DeleteFunc(g.backoffs, func(_ Incarnation, until time.Time) bool { return !now.Before(until) })
}

// BackoffCount returns the number of incarnations from which this daemon is backing off.
func (g *Gate) BackoffCount(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropExpiredBackoffs(now)
	return len(g.backoffs)
}
