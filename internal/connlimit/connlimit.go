// Package connlimit sets deadlines on server connections: for the start of a request, for the
// whole request and for each write. The timeouts of the HTTP library do not apply on its standard
// transport (a connection that had sent half a request stayed open for good), so the connections
// enforce them.
package connlimit

import (
	"net"
	"time"
)

// Limits are the time limits of a connection.
type Limits struct {
	Idle  time.Duration // until the first byte of a request
	Read  time.Duration // from the first byte of a request to its last
	Write time.Duration // for each write
}

// Bound returns a listener whose connections enforce the limits.
func Bound(inner net.Listener, l Limits) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limits Limits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits}, nil
}

// conn sets the deadlines of reads and writes. Reads belong to one request until something is
// written. Reads and writes must come from one goroutine, as in an HTTP/1 server.
type conn struct {
	net.Conn
	limits       Limits
	requestStart time.Time // first byte of the current request; zero: not received yet
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	deadline := c.requestStart.Add(c.limits.Read)
	if c.requestStart.IsZero() {
		deadline = time.Now().Add(c.limits.Idle)
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.requestStart.IsZero() {
		c.requestStart = time.Now()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.requestStart = time.Time{}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.limits.Write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
