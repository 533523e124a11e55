package rpc

import (
	"net"
	"sync"
)

// closingListener is a listener whose accepted connections end with it.
type closingListener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*acceptedConn]bool
	closed bool
}

// acceptedConn is a connection that its listener closes, unless it is closed before.
type acceptedConn struct {
	net.Conn
	listener *closingListener
}

func newClosingListener(l net.Listener) *closingListener {
	return &closingListener{Listener: l, conns: map[*acceptedConn]bool{}}
}

// Accept implements net.Listener.
func (l *closingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &acceptedConn{c, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close() // nobody has written to it
		return nil, net.ErrClosed
	}
	l.conns[accepted] = true
	return accepted, nil
}

// closeAll closes the listener and all connections that it accepted. Their errors tell nothing:
// each may have ended already.
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
