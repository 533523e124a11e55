// Package connlimit bounds how long the peer of a server's connection may take:
// to begin a request, to send it whole, and to take each write. The HTTP library's
// own timeouts are not in force on its standard transport (seen: a connection that
// sent half a request stood open for good), so the connections do it themselves.
package connlimit

import (
	"net"
	"time"
)

// Limits of one connection.
type Limits struct {
	Idle  time.Duration // until the first byte of a request
	Read  time.Duration // from its first byte to its last
	Write time.Duration // for each write
}

// Bound returns a listener whose connections are bounded.
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

// conn bounds reads and writes. Reads belong to one request until something is
// written; one goroutine reads and writes, as an HTTP/1 server does.
type conn struct {
	net.Conn
	limits Limits
	begun  time.Time // when the request's first byte came; zero: not yet
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	deadline := c.begun.Add(c.limits.Read)
	if c.begun.IsZero() {
		deadline = time.Now().Add(c.limits.Idle)
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.begun.IsZero() {
		c.begun = time.Now()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.begun = time.Time{}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.limits.Write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
