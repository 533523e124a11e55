package rpc

import (
	"net"
	"sync"

	"pearlanding/internal/link"
)

// closingListener is a listener that can close the connections it accepted, see closeAll.
type closingListener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*acceptedConn]bool
	closed bool
}

// acceptedConn is an accepted connection. Close removes it from its listener.
type acceptedConn struct {
	net.Conn
	listener *closingListener
}

func newClosingListener(l net.Listener) *closingListener {
	return &closingListener{Listener: l, conns: map[*acceptedConn]bool{}}
}

// Accept implements net.Listener.
func (l *closingListener) Accept() (net.Conn, error) {
	c, err := link.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	accepted := &acceptedConn{c, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close() // unused, so the error means nothing
		return nil, net.ErrClosed
	}
	l.conns[accepted] = true
	return accepted, nil
}

// closeAll closes the listener and all connections that it accepted. It ignores the errors:
// each of them may be closed already.
func (l *closingListener) closeAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		_ = c.Conn.Close()
	}
	clear(l.conns)
}

// Close implements net.Conn.
func (c *acceptedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
