package backpressure

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

// rest takes in that a life asks for rest from now on. Of two rests the later end holds.
func (g *Gate) rest(life Life, lasts time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.rests) >= maxLives {
		g.endRests(now)
	}
	until, known := g.rests[life]
	if !known && len(g.rests) >= maxLives {
		return
	}
	if !now.Before(until) {
		g.log.Info("instance asks for rest", zap.String("instance", life.Instance), zap.Int64("rest_ms", lasts.Milliseconds()))
	}
	if end := now.Add(lasts); end.After(until) {
		g.rests[life] = end
	}
	if !known {
		g.version.Add(1)
	}
}

// endRests forgets the rests that are over; g.mu is held.
func (g *Gate) endRests(now time.Time) {
	maps.DeleteFunc(g.rests, func(_ Life, until time.Time) bool { return !now.Before(until) })
}

// Resting returns how many lives want no request from this daemon.
func (g *Gate) Resting(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endRests(now)
	return len(g.rests)
}
