package backpressure

import (
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// maxIncarnations bounds each of the maps of a Gate. When one is full, the limit or leaving
// incarnation with the oldest report is evicted; a new backoff is ignored.
const maxIncarnations = 8192

// Gate decides whether a request may be sent to an instance now. Create one with NewGate. Safe for
// concurrent use.
type Gate struct {
	log *zap.Logger
	// daemons returns the number of known daemons that send requests, including this one.
	daemons func() int
	// uniform returns a random duration in [low, high).
	uniform func(low, high time.Duration) time.Duration

	// Cold tracks which instances are cold and the permits for them.
	Cold Cold

	// version rises with each incarnation of which something becomes known.
	version atomic.Uint64

	mu     sync.Mutex
	limits map[Incarnation]*limit
	// backoffs holds until when this daemon must not send to an incarnation.
	backoffs map[Incarnation]time.Time
	// leaving holds the incarnations that reported to be leaving, by instance.
	leaving map[string]leavingIncarnation
	// permitsAskedAt is when the last answered request for permits was sent, whether or not any were
	// granted.
	permitsAskedAt time.Time
	olderSent      int // number of older updates sent so far
	changed        chan struct{}
}

// NewGate returns a gate that knows no limits. uniform returns a random duration in [low, high).
func NewGate(daemons func() int, uniform func(low, high time.Duration) time.Duration, log *zap.Logger) *Gate {
	return &Gate{log: log, daemons: daemons, uniform: uniform, limits: map[Incarnation]*limit{}, backoffs: map[Incarnation]time.Time{}, leaving: map[string]leavingIncarnation{}, changed: make(chan struct{}, 1)}
}

// Version returns a number that rises with each incarnation of which something becomes known. While
// it is unchanged, nothing becomes known of an incarnation for which KnowsAny returned false.
func (g *Gate) Version() uint64 { return g.version.Load() }

// KnowsAny reports whether a limit, the end of one, a backoff or leaving is known of any of the
// incarnations.
func (g *Gate) KnowsAny(incarnations iter.Seq[Incarnation]) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for inc := range incarnations {
		_, backingOff := g.backoffs[inc]
		if g.limits[inc] != nil || backingOff || g.isLeaving(inc) {
			return true
		}
	}
	return false
}

// HasNoLimits reports whether neither a limit nor the end of one is known.
func (g *Gate) HasNoLimits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.limits) == 0
}

// Changed is signalled when a limit is set, changed or ended.
func (g *Gate) Changed() <-chan struct{} { return g.changed }

// Observe records the signals of an answer to a request that was sent at a time and answered now.
func (g *Gate) Observe(inc Incarnation, s Signals, sent, now time.Time) {
	if s.Leaving {
		g.markLeaving(inc, now)
	}
	if s.Cold > 0 {
		g.Cold.signal(inc.Instance, min(s.Cold, MaxCold), now)
	}
	if s.Backoff > 0 {
		g.startBackoff(inc, min(s.Backoff, MaxBackoff), now)
	}
	switch {
	case s.Limit > 0:
		g.setLimit(inc, clampLimit(s.Limit), now, 0, now, "answer")
	case s.Conclusive:
		g.endLimit(inc, sent, false, now, "answer")
	}
}

// Sweep removes expired backoffs, and ended limits that are no longer forwarded.
func (g *Gate) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropExpiredBackoffs(now)
	for inc, l := range g.limits {
		if l.perSecond == 0 && now.Sub(l.asOf) >= endTTL {
			delete(g.limits, inc)
		}
	}
}

// refusesAll reports whether an incarnation is leaving or this daemon is backing off from it; g.mu
// is held.
func (g *Gate) refusesAll(inc Incarnation, now time.Time) bool {
	return now.Before(g.backoffs[inc]) || g.isLeaving(inc)
}

// CanSend reports whether a request could be sent to an incarnation now.
func (g *Gate) CanSend(inc Incarnation, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refusesAll(inc, now) {
		return false
	}
	l := g.limits[inc]
	return l == nil || l.perSecond == 0 || l.remaining(now) > 0 || g.maySendWithoutPermit(l, now)
}

// Take reserves one request to an incarnation now; ok is false if none may be sent. permit reports
// whether the incarnation has a limit, which the request counts against.
func (g *Gate) Take(inc Incarnation, now time.Time) (permit, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refusesAll(inc, now) {
		return false, false
	}
	l := g.limits[inc]
	switch {
	case l == nil || l.perSecond == 0:
		return false, true
	case l.remaining(now) > 0:
		l.batches[0].count--
		return true, true
	case g.maySendWithoutPermit(l, now):
		l.unpermittedAt = time.Time{}
		return true, true
	}
	return false, false
}

// Revoked reports whether a request that was reserved by Take must not be written because of signals
// received since. permit is what Take returned.
func (g *Gate) Revoked(inc Incarnation, permit bool, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refusesAll(inc, now) {
		return true
	}
	l := g.limits[inc]
	return !permit && l != nil && l.perSecond > 0
}

// NextSend is when requests may be sent again.
type NextSend struct {
	After time.Duration // 0: may be sent now
	// ThisDaemon reports whether this daemon may send then; otherwise some daemon may.
	ThisDaemon bool
}

// NextSend returns when requests may first be sent again to any of the incarnations that are limited
// or backed off from. It is zero if there is none.
func (g *Gate) NextSend(incarnations []Incarnation, now time.Time) (earliest NextSend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, inc := range incarnations {
		if g.isLeaving(inc) {
			continue
		}
		next := NextSend{max(g.backoffs[inc].Sub(now), 0), true}
		if l := g.limits[inc]; l != nil && l.perSecond > 0 {
			next = NextSend{max(next.After, time.Duration(float64(time.Second)/l.perSecond)), false}
		}
		if next.After > 0 && (earliest.After == 0 || next.After < earliest.After) {
			earliest = next
		}
	}
	return earliest
}
