package rpc

import (
	"net"
	"sync"

	"pearlanding/internal/link"
)

// closingListener is a listener that limits the connections it accepted and can close them, see closeAll.
type closingListener struct {
	net.Listener
	limits Limits
	mu     sync.Mutex
	conns  map[*acceptedConn]bool
	closed bool
}

// acceptedConn is an accepted connection. Close removes it from its listener.
type acceptedConn struct {
	net.Conn
	listener *closingListener
	meter    *callMeter
}

func newClosingListener(l net.Listener, limits Limits) *closingListener {
	return &closingListener{Listener: l, limits: limits, conns: map[*acceptedConn]bool{}}
}

// Accept implements net.Listener.
func (l *closingListener) Accept() (net.Conn, error) {
	for {
		c, err := link.Accept(l.Listener)
		if err != nil {
			return nil, err
		}
		accepted, err := l.admit(c)
		if err != nil {
			return nil, err
		}
		if accepted != nil {
			return accepted, nil
		}
	}
}

// admit returns an accepted connection, or nil if there is no room for it. It closes c if it returns none.
func (l *closingListener) admit(c net.Conn) (*acceptedConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close() // unused, so the error means nothing
		return nil, net.ErrClosed
	}
	if !l.makeRoom() {
		_ = c.Close()
		return nil, nil
	}
	meter := &callMeter{limits: l.limits, end: func() { _ = c.Close() }}
	meter.lastCall = meter.now()
	accepted := &acceptedConn{c, l, meter}
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
	c.meter.stop()
	return c.Conn.Close()
}
