package front

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// simNet carries the calls between daemons in virtual time.
type simNet struct {
	mu        sync.Mutex
	listeners map[string]*simListener
	parted    map[string]bool // addresses that nobody reaches any more
	conns     map[string][]net.Conn
}

func newSimNet() *simNet {
	return &simNet{listeners: map[string]*simListener{}, parted: map[string]bool{}, conns: map[string][]net.Conn{}}
}

// simListener is one daemon's address.
type simListener struct {
	address simAddress
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type simAddress string

func (a simAddress) Network() string { return "sim" }
func (a simAddress) String() string  { return string(a) }

func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *simListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *simListener) Addr() net.Addr { return l.address }

func (n *simNet) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &simListener{address: simAddress(address), accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// part lets nobody reach an address, or lets them again; open connections end.
func (n *simNet) part(address string, parted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted[address] = parted
	n.mu.Unlock()
	n.reset(address)
	n.mu.Lock()
}

// dial connects to an address. One that is parted says nothing until ctx ends.
func (n *simNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, parted := n.listeners[address], n.parted[address]
	n.mu.Unlock()
	if l == nil || parted {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	n.mu.Lock()
	n.conns[address] = append(n.conns[address], near)
	n.mu.Unlock()
	select {
	case l.accepts <- far:
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// reset ends all connections to an address.
func (n *simNet) reset(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.Close()
	}
	n.conns[address] = nil
}
