// Package connlimit bounds what connections to an HTTP server can take: time until a request starts, for the
// whole request and for each write; memory of the requests being received; and the number of connections.
// The HTTP library's own timeouts have no effect on its standard transport: a connection that had sent half
// a request stayed open for good.
//
// It does not know where a request ends. All reads until the next write count as one request, and a connection
// whose server is not reading has a request in progress.
package connlimit

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/link"
	"pearlanding/internal/membudget"
)

// Limits are the limits of a listener's connections.
type Limits struct {
	Idle  time.Duration // until the first byte of a request
	Read  time.Duration // from the first byte of a request to its last
	Write time.Duration // for each write
	// MaxConns is the number of connections; 0: no limit. When all are in use, a new one replaces one that
	// stands still in the middle of a request, or else the one that has been idle longest.
	MaxConns int
	// Memory accounts requests beyond their first 4 KB; nil: they are not accounted.
	Memory *membudget.Budget
}

const (
	// minStall is how long a request must have stood still to lose its connection before one that is idle.
	minStall = time.Second
	// unaccountedBytes of a request are not accounted.
	unaccountedBytes = 4 << 10
	// requestMemoryFactor is the memory of a request for each of its bytes, in the buffers of the connection
	// and of the request: the HTTP library takes five for a body in chunks.
	requestMemoryFactor = 6
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
)

// ErrNoMemory means that a request was refused because too much is held for others.
const ErrNoMemory = errors.ConstError("connlimit: memory for requests exhausted")

// noMemoryResponse refuses a request that was not received whole.
const noMemoryResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// NewListener returns a listener whose connections enforce the limits.
func NewListener(inner net.Listener, l Limits) net.Listener {
	return &listener{Listener: inner, limits: l, conns: map[*conn]struct{}{}}
}

type listener struct {
	net.Listener
	limits Limits

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept implements net.Listener. If all connections are in use and none may be replaced, it closes the new
// one and accepts the next.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := link.Accept(l.Listener)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, listener: l, changedAt: time.Now()}
		if l.admit(c) {
			return c, nil
		}
		_ = inner.Close() // nothing was read or written
	}
}

// admit adds a connection if there is room for it.
func (l *listener) admit(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.MaxConns > 0 && len(l.conns) >= l.limits.MaxConns {
		least := l.leastClaim(time.Now())
		if least == nil {
			return false
		}
		delete(l.conns, least)
		_ = least.Conn.Close() // its server is reading and sees the error
	}
	l.conns[c] = struct{}{}
	return true
}

// leastClaim returns the connection to be replaced by a new one, or nil if all have a request in progress.
func (l *listener) leastClaim(now time.Time) (least *conn) {
	var leastRank int
	var leastAt time.Time
	for c := range l.conns {
		rank, at := c.claim(now)
		if rank != inProgress && (least == nil || rank < leastRank || rank == leastRank && at.Before(leastAt)) {
			least, leastRank, leastAt = c, rank, at
		}
	}
	return least
}

// Claims of connections, the least first.
const (
	stalled = iota
	idle
	receiving
	inProgress
)

// claim returns the claim of a connection and since when it has it.
func (c *conn) claim(now time.Time) (rank int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.reading && c.bytes > 0:
		rank = inProgress
	case c.bytes == 0:
		rank = idle
	case now.Sub(c.changedAt) >= minStall:
		rank = stalled
	default:
		rank = receiving
	}
	return rank, c.changedAt
}

// conn sets the deadlines of reads and writes. Reads and writes must come from one goroutine, as in an
// HTTP/1 server.
type conn struct {
	net.Conn
	listener         *listener
	requestStartedAt time.Time // when the first byte of the current request was received; zero: not yet
	answering        bool      // the last call was a write

	mu        sync.Mutex
	reading   bool
	bytes     int       // received of the current request
	changedAt time.Time // when something was received last, or the last request ended
	upload    *membudget.Upload
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	limits := &c.listener.limits
	c.beginRead()
	deadline := c.requestStartedAt.Add(limits.Read)
	if c.requestStartedAt.IsZero() {
		deadline = time.Now().Add(limits.Idle)
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.requestStartedAt.IsZero() {
		c.requestStartedAt = time.Now()
	}
	if !c.endRead(n) {
		c.refuse()
		return 0, ErrNoMemory
	}
	return n, err
}

// beginRead notes that the server waits for bytes.
func (c *conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answering { // a new request
		c.answering = false
		c.upload.Release()
		c.upload, c.bytes, c.changedAt = nil, 0, time.Now()
	}
	c.reading = true
	c.upload.Receiving()
}

// endRead accounts n bytes. It returns false if there is no room for them.
func (c *conn) endRead(n int) bool {
	now := time.Now()
	c.mu.Lock()
	c.reading = false
	if n > 0 {
		c.bytes, c.changedAt = c.bytes+n, now
	}
	if c.bytes > unaccountedBytes && c.upload == nil {
		c.upload = c.listener.limits.Memory.NewUpload(now, func() { _ = c.Conn.Close() })
	}
	upload := c.upload
	c.mu.Unlock()
	if !upload.Received() {
		return false
	}
	if n == 0 {
		return true
	}
	upload.Progress(now)
	return upload.Grow(requestMemoryFactor*n, now)
}

// refuse answers a request that was not received whole.
func (c *conn) refuse() {
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = io.WriteString(c.Conn, noMemoryResponse) // the connection is closed in any case
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.requestStartedAt, c.answering = time.Time{}, true
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.listener.limits.Write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.mu.Lock()
	c.upload.Release()
	c.mu.Unlock()
	return c.Conn.Close()
}
