package ingress

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"pearlanding/internal/link"
	"pearlanding/internal/membudget"
)

// reason is why a guard ended a connection. Its values are those of a metric and stand in refusals.
type reason string

const (
	reasonHeadTooLarge reason = "head_too_large"
	reasonHeadLate     reason = "head_not_received_in_time"
	reasonNoMemory     reason = "memory_for_heads_spent"
	reasonIdle         reason = "idle"
	reasonStalled      reason = "replaced_while_stalled" // no room; in the middle of a request
	reasonReplacedIdle reason = "replaced_while_idle"    // no room; between two requests
	reasonNoRoom       reason = "no_room"                // closed as soon as it was accepted
)

// status returns the status of a refusal. All of them say that the request has not run.
func (r reason) status() int {
	switch r {
	case reasonHeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case reasonHeadLate:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// Limits are what a client may send and how long it may take.
type Limits struct {
	HeadBytes   int           // of a request's line and headers
	HeadTimeout time.Duration // from the first byte of a head to its last; 0: no limit
	IdleTimeout time.Duration // without a request; 0: no limit
}

// Options configure a Guard. Name, Limits, MaxConns, Metrics and Log must be set.
type Options struct {
	Name     string // of the address, in logs and metrics
	Limits   func() Limits
	MaxConns int
	// Memory accounts heads; nil: they are not accounted.
	Memory *membudget.Budget
	// Now returns the time by which requests stand still; nil: the system's. Time for which the process was
	// not scheduled should not count, as it reads nothing meanwhile.
	Now func() time.Time
	// SetRetryAfter tells a refused client when to come back; nil: it is not told.
	SetRetryAfter func(h http.Header)
	Metrics       *metrics.Set
	Log           *zap.Logger
}

// minStall is how long a request must have made no progress to lose its connection before one that is idle.
const minStall = time.Second

// Guard bounds the connections of one address. Create it with NewGuard. Safe for concurrent use.
type Guard struct {
	options Options

	mu      sync.Mutex
	conns   map[*conn]struct{} // those that were not ended to make room
	victims []victim           // candidates to be replaced, the first one first

	countsMu sync.Mutex
	counts   map[reason]int // of connections ended since the last Sweep
}

// victim is a connection that may be replaced while it stays in the phase that it entered at some time.
type victim struct {
	conn   *conn
	phase  phase
	marked time.Time
}

// NewGuard returns a guard without connections and registers its metrics.
func NewGuard(o Options) *Guard {
	g := &Guard{options: o, conns: map[*conn]struct{}{}, counts: map[reason]int{}}
	for _, p := range phases {
		o.Metrics.GetOrCreateGauge(fmt.Sprintf("pearlanding_client_connections{address=%q,phase=%q}", o.Name, p), func() float64 { return float64(g.inPhase(p)) })
	}
	o.Metrics.GetOrCreateGauge(fmt.Sprintf("pearlanding_client_connections_limit{address=%q}", o.Name), func() float64 { return float64(o.MaxConns) })
	return g
}

func (g *Guard) now() time.Time {
	if g.options.Now == nil {
		return time.Now()
	}
	return g.options.Now()
}

// inPhase returns the number of connections in a phase.
func (g *Guard) inPhase(p phase) (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.currentPhase() == p {
			n++
		}
	}
	return n
}

// Listener returns a listener whose connections belong to the guard.
func (g *Guard) Listener(inner net.Listener) net.Listener { return &listener{inner, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. If all connections are in use and none can be replaced, it closes the new
// one and accepts the next.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := link.Accept(l.Listener)
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close() // nothing was read or written
		l.guard.count(reasonNoRoom)
	}
}

// admit returns a connection of the guard, or nil if there is no room.
func (g *Guard) admit(inner net.Conn) *conn {
	now := g.now()
	c := &conn{Conn: inner, guard: g}
	c.enter(phaseNew, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.options.MaxConns && !g.replaceOne(now) {
		return nil
	}
	g.conns[c] = struct{}{}
	return c
}

// remove forgets a connection that is closed.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
}

// victimBatch is how many candidates are chosen at a time, as that looks at all connections.
const victimBatch = 32

// replaceOne closes the connection with the least claim and reports whether there was one. g.mu must be held.
func (g *Guard) replaceOne(now time.Time) bool {
	for range 2 {
		for len(g.victims) > 0 {
			v := g.victims[0]
			g.victims = g.victims[1:]
			if v.conn.replace(v) {
				delete(g.conns, v.conn)
				return true
			}
		}
		g.chooseVictims(now)
	}
	return false
}

// chooseVictims lists the connections with the least claims: those that were refused or have made no progress
// for minStall, then those that are idle, then all others without a whole request, each with the longest first.
func (g *Guard) chooseVictims(now time.Time) {
	type claim struct {
		victim
		rank int
	}
	var claims []claim
	for c := range g.conns {
		c.mu.Lock()
		v, ended := victim{c, c.phase, c.marked}, c.ended != ""
		c.mu.Unlock()
		switch {
		case ended:
			claims = append(claims, claim{v, 0})
		case v.phase == phaseServing:
		case v.phase == phaseIdle:
			claims = append(claims, claim{v, 1})
		case now.Sub(v.marked) >= minStall:
			claims = append(claims, claim{v, 0})
		default:
			claims = append(claims, claim{v, 2})
		}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.marked.Compare(b.marked)
	})
	g.victims = g.victims[:0]
	for _, c := range claims[:min(len(claims), victimBatch)] {
		g.victims = append(g.victims, c.victim)
	}
}

// replace closes the connection for a new one and reports whether it did. It does not if the client has
// sent something since it was chosen.
func (c *conn) replace(v victim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != "" {
		_ = c.Conn.Close() // it reads on for a moment only so that its refusal arrives
		return true
	}
	if c.phase != v.phase || !c.marked.Equal(v.marked) || c.phase == phaseIdle && link.HasUnread(c.Conn) {
		return false
	}
	c.ended = reasonStalled
	if c.phase == phaseIdle {
		c.ended = reasonReplacedIdle
	}
	c.guard.count(c.ended)
	_ = c.Conn.Close() // whoever reads from it sees the error
	return true
}

// count counts a connection that was ended.
func (g *Guard) count(r reason) {
	g.options.Metrics.GetOrCreateCounter(fmt.Sprintf("pearlanding_client_connections_ended_total{address=%q,reason=%q}", g.options.Name, r)).Inc()
	g.countsMu.Lock()
	defer g.countsMu.Unlock()
	g.counts[r]++
}

// Sweep ends connections that took too long by the limits as they are now, and logs how many the guard has
// ended since the last call. It should be called each second.
func (g *Guard) Sweep() {
	now, limits := g.now(), g.options.Limits()
	g.mu.Lock()
	for c := range g.conns {
		if r := c.overdue(now, limits); r != "" {
			c.end(r)
		}
	}
	g.mu.Unlock()
	g.countsMu.Lock()
	defer g.countsMu.Unlock()
	delete(g.counts, reasonIdle) // ordinary
	for r, n := range g.counts {
		g.options.Log.Warn("client connections ended", zap.String("address", g.options.Name), zap.String("reason", string(r)), zap.Int("count", n))
	}
	clear(g.counts)
}

// overdue returns why the connection must be ended now, empty if it must not.
func (c *conn) overdue(now time.Time, l Limits) reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	took := now.Sub(c.since)
	switch {
	case c.ended != "":
	case c.phase == phaseHead && l.HeadTimeout > 0 && took > l.HeadTimeout:
		return reasonHeadLate
	case (c.phase == phaseIdle || c.phase == phaseNew) && l.IdleTimeout > 0 && took > l.IdleTimeout && !link.HasUnread(c.Conn):
		return reasonIdle
	}
	return ""
}
