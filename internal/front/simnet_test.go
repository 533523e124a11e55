package front

import (
	"bytes"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// simRate is a link that carries what is sent in turn; its zero value takes no time.
type simRate struct {
	bytesPerSecond float64
	mu             sync.Mutex
	free           time.Time // when all that was sent so far has arrived
}

// carry returns when so many bytes have arrived.
func (r *simRate) carry(bytes int) {
	if r.bytesPerSecond == 0 {
		return
	}
	r.mu.Lock()
	if now := time.Now(); r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(float64(bytes) / r.bytesPerSecond * float64(time.Second)))
	arrives := r.free
	r.mu.Unlock()
	time.Sleep(time.Until(arrives))
}

// simConn is a connection whose writes take their time on a link. They return at once, as what
// writes may hold a lock, and time stands still while others wait for it.
type simConn struct {
	net.Conn
	link   *simRate
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
}

// simConnQueue is how many writes a connection takes before they wait.
const simConnQueue = 1 << 12

func newSimConn(c net.Conn, link *simRate) *simConn {
	out := &simConn{Conn: c, link: link, queue: make(chan []byte, simConnQueue), closed: make(chan struct{})}
	go out.send()
	return out
}

// send carries the writes in turn.
func (c *simConn) send() {
	for {
		select {
		case p := <-c.queue:
			c.link.carry(len(p))
			if _, err := c.Conn.Write(p); err != nil {
				c.Close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *simConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.queue <- bytes.Clone(p):
		return len(p), nil
	}
}

func (c *simConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// simNet carries the calls between daemons in virtual time.
type simNet struct {
	mu        sync.Mutex
	listeners map[string]*simListener
	parted    map[string]bool // addresses that nobody reaches any more
	conns     map[string][]net.Conn
	slow      []net.Conn          // all connections on links
	links     map[string]*simRate // on which addresses answer; none: it takes no time
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

// setLink gives an address a link of so many Mbit/s.
func (n *simNet) setLink(address string, mbps float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = map[string]*simRate{}
	}
	n.links[address] = &simRate{bytesPerSecond: mbps * 1e6 / 8}
}

// close ends all connections on links.
func (n *simNet) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.slow {
		c.Close()
	}
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
	l, parted, link := n.listeners[address], n.parted[address], n.links[address]
	n.mu.Unlock()
	if l == nil || parted {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	if link != nil {
		far = newSimConn(far, link)
		n.mu.Lock()
		n.slow = append(n.slow, far)
		n.mu.Unlock()
	}
	n.mu.Lock()
	n.conns[address] = append(n.conns[address], near)
	n.mu.Unlock()
	select {
	case l.accepts <- far:
		return near, nil
	case <-l.closed:
		far.Close()
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		far.Close()
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
