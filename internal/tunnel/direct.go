package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/link"
	"pearlanding/internal/steady"
)

// Parameters of the detection that all direct paths are lost.
const (
	// minFailedInstances is how many instances must fail, without a sign of life from any in
	// between, until the direct paths count as lost.
	minFailedInstances = 3
	// silenceInDoubt is how long all connections with a request in progress, to minActiveInstances or
	// more, must be silent until the direct paths are in doubt.
	silenceInDoubt     = 200 * time.Millisecond
	minActiveInstances = 2
	// tryOthersInterval is the minimum time between two calls of TryOthers.
	tryOthersInterval = 500 * time.Millisecond
	// reachedRecently is how long a sign of life counts as recent.
	reachedRecently = 500 * time.Millisecond
)

// Direct is this daemon's own path to all instances: it dials, and observes its connections to tell
// the failure of an instance from the loss of all paths. Safe for concurrent use.
type Direct struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// RunClock measures silence: a process that is not scheduled reads nothing.
	RunClock *steady.RunClock
	Log      *zap.Logger
	// OnLost is called when the paths are lost.
	OnLost func()
	// TryOthers connects to some instances at other addresses, and reports whether any accepted or there are
	// none. It tells the failure or silence of instances from the loss of all paths. nil: not.
	TryOthers func(address string) (reached bool)

	mu          sync.Mutex
	active      map[string]int // connections with a request in progress, by address
	activeSince time.Time      // when active became non-empty
	reachedAt   time.Time      // last sign of life of any instance
	// failed holds the addresses that failed since reachedAt, and failedDials those whose new
	// connections failed since one succeeded: open connections may live on beside refused ones.
	failed, failedDials map[string]bool
	lost                bool
	lostAt              time.Time // when the paths were last lost
	triedOthersAt       time.Time // when TryOthers was last called
}

// NewDirect returns the path that dial opens.
func NewDirect(dial func(ctx context.Context, network, address string) (net.Conn, error), clock *steady.RunClock, log *zap.Logger) *Direct {
	return &Direct{Dial: dial, RunClock: clock, Log: log, OnLost: func() {}, active: map[string]int{}, failed: map[string]bool{}, failedDials: map[string]bool{}}
}

// DialContext connects to an instance and observes the connection.
func (d *Direct) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dial(ctx, network, address)
	if err != nil {
		if !errors.Is(context.Cause(ctx), context.Canceled) && !link.LacksResources(err) {
			d.dialFailed(address)
		}
		return nil, err
	}
	d.mu.Lock()
	clear(d.failedDials)
	d.mu.Unlock()
	d.reached("connected")
	return &directConn{Conn: conn, path: d, address: address}, nil
}

// Lost reports whether no instance can be reached directly, as far as connections show.
func (d *Direct) Lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

// LostAt returns when the paths were last lost, by RunClock; zero: never.
func (d *Direct) LostAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lostAt
}

// Usable reports whether new connections to instances can be expected to succeed, so that other
// daemons may use this one as a peer.
func (d *Direct) Usable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.lost && len(d.failedDials) < minFailedInstances
}

// ReachedWithin reports whether an instance showed a sign of life in the last span of time.
func (d *Direct) ReachedWithin(span time.Duration) bool {
	now := d.RunClock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.reachedAt.IsZero() && now.Sub(d.reachedAt) < span
}

// InDoubt reports whether the paths are lost, or all connections with a request in progress are silent. In
// that case it tries to connect to others. It is called regularly.
func (d *Direct) InDoubt() bool {
	now := d.RunClock.Now()
	d.mu.Lock()
	silentSince := d.reachedAt
	if silentSince.Before(d.activeSince) {
		silentSince = d.activeSince
	}
	silent := len(d.active) >= minActiveInstances && now.Sub(silentSince) > silenceInDoubt
	lost := d.lost
	tryOthers := silent && !lost && d.mayTryOthers(now)
	d.mu.Unlock()
	if tryOthers {
		go d.tryOthers("")
	}
	return lost || silent
}

// mayTryOthers reports whether a call of TryOthers is due, and records that it is made; d.mu is held.
func (d *Direct) mayTryOthers(now time.Time) bool {
	if d.TryOthers == nil || now.Sub(d.triedOthersAt) < tryOthersInterval {
		return false
	}
	d.triedOthersAt = now
	return true
}

// tryOthers marks the paths as lost if no instance at another address accepts a connection.
func (d *Direct) tryOthers(address string) {
	began := d.RunClock.Now()
	if d.TryOthers(address) {
		return
	}
	now := d.RunClock.Now()
	d.mu.Lock()
	became := !d.reachedAt.After(began) && d.setLost(now)
	d.mu.Unlock()
	if became {
		d.logLost("no_instance_accepts_connections")
	}
}

// setLost marks the paths as lost and reports whether they were not; d.mu is held.
func (d *Direct) setLost(now time.Time) (became bool) {
	became = !d.lost
	if became {
		d.lost, d.lostAt = true, now
	}
	return became
}

func (d *Direct) logLost(shownBy string) {
	d.Log.Warn("direct paths to instances lost", zap.String("decision", "reach_them_through_peers"), zap.String("shown_by", shownBy))
	d.OnLost()
}

// reached records a sign of life of an instance.
func (d *Direct) reached(sign string) {
	now := d.RunClock.Now()
	d.mu.Lock()
	wasLost, lostAt := d.lost, d.lostAt
	d.lost, d.reachedAt = false, now
	clear(d.failed)
	d.mu.Unlock()
	if wasLost {
		d.Log.Warn("direct paths to instances work again", zap.String("decision", "reach_them_directly"), zap.String("shown_by", sign), zap.Int64("lost_ms", now.Sub(lostAt).Milliseconds()))
	}
}

// dialFailed records that a new connection to an address failed.
func (d *Direct) dialFailed(address string) {
	now := d.RunClock.Now()
	d.mu.Lock()
	d.failedDials[address] = true
	tryOthers := len(d.failedDials) < minFailedInstances && d.mayTryOthers(now)
	d.mu.Unlock()
	d.noteFailure(address)
	if tryOthers {
		go d.tryOthers(address)
	}
}

// noteFailure records that a connection to an address failed or broke off.
func (d *Direct) noteFailure(address string) {
	now := d.RunClock.Now()
	d.mu.Lock()
	d.failed[address] = true
	became := len(d.failed) >= minFailedInstances && d.setLost(now)
	d.mu.Unlock()
	if became {
		d.logLost("instances_failed")
	}
}

// begin and end count the connections with a request in progress.
func (d *Direct) begin(address string) {
	now := d.RunClock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.active) == 0 {
		d.activeSince = now
	}
	d.active[address]++
}

func (d *Direct) end(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[address]--; d.active[address] <= 0 {
		delete(d.active, address)
	}
}

// directConn is an observed connection to an instance.
type directConn struct {
	net.Conn
	path    *Direct
	address string
	mu      sync.Mutex
	active  bool // a request is in progress
	closed  bool
}

func (c *directConn) Write(p []byte) (int, error) {
	c.setActive(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed()
	}
	return n, err
}

func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case n > 0:
		c.path.reached("data")
	case err == io.EOF:
		c.path.reached("closed")
	case err != nil:
		c.failed()
	}
	return n, err
}

// failed records that the connection broke off, unless this daemon closed it.
func (c *directConn) failed() {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if !closed {
		c.path.noteFailure(c.address)
	}
}

// setActive records whether a request is in progress.
func (c *directConn) setActive(active bool) {
	c.mu.Lock()
	changed := c.active != active && !(active && c.closed)
	if changed {
		c.active = active
	}
	c.mu.Unlock()
	switch {
	case changed && active:
		c.path.begin(c.address)
	case changed:
		c.path.end(c.address)
	}
}

// Idle records that no request is in progress any more. The connection may be kept.
func (c *directConn) Idle() (keep bool) {
	c.setActive(false)
	return true
}

func (c *directConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.setActive(false)
	return c.Conn.Close()
}

// HasUnread reports whether there is data or the connection's end to read.
func (c *directConn) HasUnread() bool { return link.HasUnread(c.Conn) }
