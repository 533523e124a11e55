package front

import (
	"bytes"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// simRate is a link that transmits messages one after another; the zero value takes no time.
type simRate struct {
	bytesPerSecond float64
	mu             sync.Mutex
	idleAt         time.Time // when everything sent so far has arrived
}

// transmit returns when the given number of bytes has arrived.
func (r *simRate) transmit(bytes int) {
	if r.bytesPerSecond == 0 {
		return
	}
	r.mu.Lock()
	if now := time.Now(); r.idleAt.Before(now) {
		r.idleAt = now
	}
	r.idleAt = r.idleAt.Add(time.Duration(float64(bytes) / r.bytesPerSecond * float64(time.Second)))
	arrives := r.idleAt
	r.mu.Unlock()
	time.Sleep(time.Until(arrives))
}

// simConn is a connection whose writes take time on a link. Write returns at once: its caller may
// hold a mutex, and virtual time does not advance while others wait for that.
type simConn struct {
	net.Conn
	link   *simRate
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
}

// simConnQueue is the number of writes that a connection buffers.
const simConnQueue = 1 << 12

func newSimConn(c net.Conn, link *simRate) *simConn {
	out := &simConn{Conn: c, link: link, queue: make(chan []byte, simConnQueue), closed: make(chan struct{})}
	go out.send()
	return out
}

// send transmits the buffered writes in order.
func (c *simConn) send() {
	for {
		select {
		case p := <-c.queue:
			c.link.transmit(len(p))
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
	mu           sync.Mutex
	listeners    map[string]*simListener
	blocked      map[string]bool // addresses that nobody reaches
	conns        map[string][]net.Conn
	limitedConns []net.Conn          // all connections with a limited rate
	links        map[string]*simRate // links on which addresses answer; none: answers take no time
}

func newSimNet() *simNet {
	return &simNet{listeners: map[string]*simListener{}, blocked: map[string]bool{}, conns: map[string][]net.Conn{}}
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

// setLink gives an address a link of a rate in Mbit/s.
func (n *simNet) setLink(address string, mbps float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = map[string]*simRate{}
	}
	n.links[address] = &simRate{bytesPerSecond: mbps * 1e6 / 8}
}

// close closes all connections with a limited rate.
func (n *simNet) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.limitedConns {
		c.Close()
	}
}

// setBlocked makes an address unreachable, or reachable again; open connections are closed.
func (n *simNet) setBlocked(address string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[address] = blocked
	n.mu.Unlock()
	n.closeConns(address)
	n.mu.Lock()
}

// dial connects to an address. A blocked address does not answer until ctx ends.
func (n *simNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, blocked, link := n.listeners[address], n.blocked[address], n.links[address]
	n.mu.Unlock()
	if l == nil || blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	if link != nil {
		far = newSimConn(far, link)
		n.mu.Lock()
		n.limitedConns = append(n.limitedConns, far)
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

// closeConns closes all connections to an address.
func (n *simNet) closeConns(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.Close()
	}
	n.conns[address] = nil
}
