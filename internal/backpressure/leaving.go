package backpressure

import (
	"time"

	"go.uber.org/zap"
)

// departure is the life of an instance that leaves.
type departure struct {
	born int64
	at   time.Time // when it said so first
}

// leaves takes in that a life leaves, which holds until it ends.
func (g *Gate) leaves(life Life, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isLeaving(life) {
		return
	}
	if _, known := g.leaving[life.Instance]; !known && len(g.leaving) >= maxLives {
		delete(g.leaving, oldest(g.leaving, func(d departure) time.Time { return d.at }))
	}
	g.leaving[life.Instance] = departure{life.Born, now}
	g.version.Add(1)
	g.log.Info("instance says that it leaves", zap.String("instance", life.Instance), zap.Int64("born", life.Born))
}

// isLeaving tells whether a life said that it leaves; one whose start is not told may be any life
// of its instance. g.mu is held.
func (g *Gate) isLeaving(life Life) bool {
	d, known := g.leaving[life.Instance]
	return known && (d.born == life.Born || d.born == 0 || life.Born == 0)
}

// oldest returns the key whose value has the earliest time.
func oldest[K comparable, V any](m map[K]V, at func(V) time.Time) (key K) {
	var first time.Time
	for k, v := range m {
		if t := at(v); first.IsZero() || t.Before(first) {
			key, first = k, t
		}
	}
	return key
}
