package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is a connection whose reads all return the error that has ended it. The kernel returns such an error only
// once, from whichever call comes first: after a write that failed with ECONNRESET a read of the socket returns
// io.EOF, as if the peer had closed the connection. Only one goroutine may read at a time.
type Conn struct {
	net.Conn
	// writes is held for reading during a write.
	writes sync.RWMutex
	mu     sync.Mutex
	err    error // that has ended the connection; nil: none is known
}

// NewConn returns a Conn over a connection on which no call has failed yet.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// KeepErrors returns a DialFunc that opens the connections of dial as Conns.
func KeepErrors(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Read implements io.Reader. The error is io.EOF only if the peer has closed the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		return n, c.endError()
	}
	if err != nil {
		c.keep(err)
	}
	return n, err
}

// endError returns the error that has ended the connection, io.EOF if there is none.
func (c *Conn) endError() error {
	if s := pollSocket(c.Conn); s.closed || s.hungUp {
		// A write in progress may have got the error. It returns at once, as the connection no longer exists.
		c.writes.Lock()
		defer c.writes.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	return io.EOF
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.RLock()
	defer c.writes.RUnlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.keep(err)
	}
	return n, err
}

// keep keeps an error if it has ended the connection. EPIPE tells of an earlier error, or of a reset after the peer
// had closed the connection.
func (c *Conn) keep(err error) {
	var errno syscall.Errno
	if !errors.As(err, &errno) || errno == syscall.EPIPE || LacksResources(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
}

// HasUnread reports whether there is data or the connection's end to read. Safe for concurrent use.
func (c *Conn) HasUnread() bool { return HasUnread(c.Conn) }

// SyscallConn implements syscall.Conn. The error is errors.ErrUnsupported if the connection is not a socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
