package rpc

import (
	"bytes"
	"sync"
	"time"

	"github.com/creachadair/jrpc2/channel"
	"github.com/juju/errors"

	"pearlanding/internal/link"
	"pearlanding/internal/membudget"
)

// Limits bound what connections to a server of calls can take.
type Limits struct {
	// MaxConns is the number of connections. When all are in use, a new one replaces one that has sent no
	// call, or else that whose last call is the oldest.
	MaxConns int
	// Memory accounts calls that are being received, beyond their first 4 KB; nil: they are not accounted.
	Memory *membudget.Budget
	// Now returns the time by which calls make progress; nil: the system's.
	Now func() time.Time
}

// DefaultLimits apply where Serve is given none.
var DefaultLimits = Limits{MaxConns: 1024}

const (
	// maxCallBytes bounds one call.
	maxCallBytes = 4 << 20
	// unaccountedCallBytes of a call are not accounted.
	unaccountedCallBytes = 4 << 10
	// callMemoryFactor is the memory that a call takes while it is received, for each of its bytes.
	callMemoryFactor = 2
	// maxQueuedCalls bounds the calls of one connection that were received and are not answered.
	maxQueuedCalls = 64
	// writeTimeout bounds each write of an answer.
	writeTimeout = 10 * time.Second
)

// Errors of connections that exceed a limit.
const (
	errCallTooLong = errors.ConstError("rpc: call exceeds 4 MB")
	errNoMemory    = errors.ConstError("rpc: memory for calls exhausted")
)

// callMeter counts what is received of the current call. Its methods are called by one goroutine, except
// those that say otherwise.
type callMeter struct {
	limits Limits
	end    func() // closes the connection

	mu       sync.Mutex
	bytes    int               // of the current call
	upload   *membudget.Upload // nil: nothing is accounted
	calls    bool              // a whole call was received
	lastCall time.Time         // when the last call, or the connection, began to be received
	off      bool
}

func (m *callMeter) now() time.Time {
	if m.limits.Now == nil {
		return time.Now()
	}
	return m.limits.Now()
}

// received counts bytes. It returns an error if the connection must be closed.
func (m *callMeter) received(p []byte) error {
	now := m.now()
	m.mu.Lock()
	if m.off || len(p) == 0 {
		m.mu.Unlock()
		return nil
	}
	if last := bytes.LastIndexByte(p, '\n'); last >= 0 {
		m.upload.Release()
		m.upload, m.bytes, m.calls, m.lastCall = nil, 0, true, now
		p = p[last+1:]
	}
	m.bytes += len(p)
	total, upload := m.bytes, m.upload
	if total > unaccountedCallBytes && upload == nil {
		upload = m.limits.Memory.NewUpload(now, m.end)
		m.upload = upload
	}
	m.mu.Unlock()
	switch {
	case total > maxCallBytes:
		return errCallTooLong
	case total > unaccountedCallBytes && !upload.Grow(callMemoryFactor*len(p), now):
		return errNoMemory
	}
	upload.Progress(now)
	return nil
}

// stop ends the counting. Safe for concurrent use.
func (m *callMeter) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upload.Release()
	m.upload, m.off = nil, true
}

// claim returns whether a whole call was received, and when the last one was; replaceable is false for a
// connection that is not used for calls. Safe for concurrent use.
func (m *callMeter) claim() (calls bool, last time.Time, replaceable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls, m.lastCall, !m.off
}

// Read implements net.Conn.
func (c *acceptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if exceeded := c.meter.received(p[:n]); exceeded != nil {
		return 0, exceeded
	}
	return n, err
}

// Write implements net.Conn.
func (c *acceptedConn) Write(p []byte) (int, error) {
	if _, _, calls := c.meter.claim(); calls {
		if err := c.Conn.SetWriteDeadline(link.DeadlineAfter(writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// passOn ends the limits on calls, as the connection is used for something else.
func (c *acceptedConn) passOn() {
	c.meter.stop()
	_ = c.Conn.SetWriteDeadline(time.Time{}) // a closed connection needs none
}

// makeRoom closes the connection with the least claim if all are in use. It returns false if there is none
// that may be closed. l.mu must be held.
func (l *closingListener) makeRoom() bool {
	if len(l.conns) < l.limits.MaxConns {
		return true
	}
	var least *acceptedConn
	var leastCalls bool
	var leastAt time.Time
	for c := range l.conns {
		calls, at, replaceable := c.meter.claim()
		if !replaceable {
			continue
		}
		if least == nil || leastCalls && !calls || leastCalls == calls && at.Before(leastAt) {
			least, leastCalls, leastAt = c, calls, at
		}
	}
	if least == nil {
		return false
	}
	delete(l.conns, least)
	_ = least.Conn.Close() // its reader sees the error
	return true
}

// queueLimit bounds the calls of a connection that wait for their answers.
type queueLimit struct {
	channel.Channel
	queued chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newQueueLimit(c channel.Channel) *queueLimit {
	return &queueLimit{Channel: c, queued: make(chan struct{}, maxQueuedCalls), closed: make(chan struct{})}
}

// Recv implements channel.Channel. It waits while maxQueuedCalls calls have no answer.
func (q *queueLimit) Recv() ([]byte, error) {
	select {
	case q.queued <- struct{}{}:
	case <-q.closed:
		return nil, channel.ErrClosed
	}
	return q.Channel.Recv()
}

// Send implements channel.Channel.
func (q *queueLimit) Send(p []byte) error {
	select {
	case <-q.queued:
	default: // not the answer to a call
	}
	return q.Channel.Send(p)
}

// Close implements channel.Channel.
func (q *queueLimit) Close() error {
	q.once.Do(func() { close(q.closed) })
	return q.Channel.Close()
}
