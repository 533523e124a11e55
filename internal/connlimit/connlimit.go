// Package connlimit enforces time limits on server connections: until a request starts, for the
// whole request and for each write. The HTTP library's own timeouts have no effect on its standard
// transport: a connection that had sent half a request stayed open for good.
package connlimit

import (
	"net"
	"time"

	"pearlanding/internal/link"
)

// Limits are the time limits of a connection.
type Limits struct {
	Idle  time.Duration // until the first byte of a request
	Read  time.Duration // from the first byte of a request to its last
	Write time.Duration // for each write
}

// NewListener returns a listener whose connections enforce the limits.
func NewListener(inner net.Listener, l Limits) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limits Limits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := link.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits}, nil
}

// conn sets the deadlines of reads and writes. All reads until the next write count as one request.
// Reads and writes must come from one goroutine, as in an HTTP/1 server.
type conn struct {
	net.Conn
	limits           Limits
	requestStartedAt time.Time // when the first byte of the current request was received; zero: not yet
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	deadline := c.requestStartedAt.Add(c.limits.Read)
	if c.requestStartedAt.IsZero() {
		deadline = time.Now().Add(c.limits.Idle)
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.requestStartedAt.IsZero() {
		c.requestStartedAt = time.Now()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.requestStartedAt = time.Time{}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.limits.Write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
