package backpressure

import (
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// maxLives bounds what is kept of each kind; the life heard of longest ago goes first.
const maxLives = 8192

// Gate decides whether a request may be sent to an instance now. Make one with NewGate; safe
// for concurrent use.
type Gate struct {
	log *zap.Logger
	// daemons returns how many daemons are known to send, this one included.
	daemons func() int
	// uniform returns a duration in [least, most) by chance.
	uniform func(least, most time.Duration) time.Duration

	// version rises with each life that comes to be known.
	version atomic.Uint64

	mu     sync.Mutex
	limits map[Life]*limit
	// rests is until when instances want no request from this daemon.
	rests map[Life]time.Time
	// leaving is the lives that said they leave, by instance.
	leaving map[string]departure
	// grantedAt is when a question for permits was answered last, with or without any.
	grantedAt time.Time
	sent      int // how many older updates were sent in turns
	changed   chan struct{}
}

// NewGate returns a gate that knows of no limit.
func NewGate(daemons func() int, uniform func(least, most time.Duration) time.Duration, log *zap.Logger) *Gate {
	return &Gate{log: log, daemons: daemons, uniform: uniform, limits: map[Life]*limit{}, rests: map[Life]time.Time{}, leaving: map[string]departure{}, changed: make(chan struct{}, 1)}
}

// Version rises with each life that comes to be known: of one that was not, nothing is known for
// as long as it stays.
func (g *Gate) Version() uint64 { return g.version.Load() }

// KnowsAny tells whether anything is known of some lives.
func (g *Gate) KnowsAny(lives iter.Seq[Life]) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for life := range lives {
		_, rests := g.rests[life]
		if g.limits[life] != nil || rests || g.isLeaving(life) {
			return true
		}
	}
	return false
}

// Quiet tells whether no limit is known, nor the end of one.
func (g *Gate) Quiet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.limits) == 0
}

// Changed is signalled when a limit is named, changed or ended.
func (g *Gate) Changed() <-chan struct{} { return g.changed }

// Observe takes in what the answer to a request says that was sent at a time and answered now.
func (g *Gate) Observe(life Life, s Signals, sent, now time.Time) {
	if s.Leaving {
		g.leaves(life, now)
	}
	if s.Rest > 0 {
		g.rest(life, min(s.Rest, MostRest), now)
	}
	switch {
	case s.Limit > 0:
		g.named(life, clampLimit(s.Limit), now, 0, now, "answer")
	case s.Conclusive:
		g.ended(life, sent, false, now, "answer")
	}
}

// Sweep forgets rests that are over, and limits that ended and are not told on any more.
func (g *Gate) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endRests(now)
	for life, l := range g.limits {
		if l.limit == 0 && now.Sub(l.at) >= endedFor {
			delete(g.limits, life)
		}
	}
}

// shut tells whether a life wants no request at all now; g.mu is held.
func (g *Gate) shut(life Life, now time.Time) bool {
	return now.Before(g.rests[life]) || g.isLeaving(life)
}

// Open tells whether a request could be sent to a life now.
func (g *Gate) Open(life Life, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut(life, now) {
		return false
	}
	l := g.limits[life]
	return l == nil || l.limit == 0 || l.remaining(now) > 0 || g.mayUnleased(l, now)
}

// Take takes the right to send one request to a life now; false: there is none. permit tells
// that the life limits its requests, and one of its permits was used.
func (g *Gate) Take(life Life, now time.Time) (permit, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut(life, now) {
		return false, false
	}
	l := g.limits[life]
	switch {
	case l == nil || l.limit == 0:
		return false, true
	case l.remaining(now) > 0:
		l.permits[0].count--
		return true, true
	case g.mayUnleased(l, now):
		l.aloneAt = time.Time{}
		return true, true
	}
	return false, false
}

// Closed tells whether a request that took the right to be sent to a life, with a permit or
// without, must not be written now: what the life said came to be known since.
func (g *Gate) Closed(life Life, permit bool, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut(life, now) {
		return true
	}
	l := g.limits[life]
	return !permit && l != nil && l.limit > 0
}

// Free is when requests may be sent again.
type Free struct {
	In time.Duration // 0: nothing keeps them back
	// Here: this daemon may send then; otherwise some daemon may.
	Here bool
}

// FreeIn returns when the first of some lives may be sent requests again.
func (g *Gate) FreeIn(lives []Life, now time.Time) (first Free) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, life := range lives {
		if g.isLeaving(life) {
			continue
		}
		free := Free{max(g.rests[life].Sub(now), 0), true}
		if l := g.limits[life]; l != nil && l.limit > 0 {
			free = Free{max(free.In, time.Duration(float64(time.Second)/l.limit)), false}
		}
		if free.In > 0 && (first.In == 0 || free.In < first.In) {
			first = free
		}
	}
	return first
}
