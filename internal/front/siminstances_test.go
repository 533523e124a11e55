package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/gateway"
	"pearlanding/internal/pause"
)

// Times of the simulated instances.
const (
	simConnectTime   = time.Millisecond
	simEventInterval = 40 * time.Millisecond
	simCallTime      = 30 * time.Millisecond
	// simUserTimeout is after how long the kernel ends a connection over a silent link.
	simUserTimeout = 1500 * time.Millisecond
)

// simStreamEvents is the number of events of a stream.
const simStreamEvents = 20

// instanceCut is what happens to the links between a daemon and all instances.
type instanceCut int

const (
	noCut          instanceCut = iota
	packetsVanish              // open connections fall silent, new ones hang
	connectionsEnd             // open connections are reset, new ones refused
	onlyNewRefused             // open connections live on, new ones are refused
	instanceCuts               // number of them
)

// instanceNet is all instances and their connections with the daemons, in virtual time.
type instanceNet struct {
	mu     sync.Mutex
	cuts   map[string]instanceCut // by daemon
	healed map[string]chan struct{}
	// silent are links between one daemon and one instance on which packets vanish.
	silent  map[simLinkEnds]chan struct{} // closed when they are delivered again
	ended   map[string]bool               // instances whose process has ended
	conns   map[*instanceConn]struct{}
	runs    map[string]int    // how often instances began to run a request, by its id
	working map[string]int    // answers that instances work on, by request id
	ranAt   map[string]string // the instance that began to run a request last, by the request's id
	dials   map[string]int    // connections from a daemon that were tried since the last cut
	// answer, if set, is called when an instance receives a request. If it returns true, the
	// request is not answered.
	answer func(c *instanceConn, r *http.Request) bool
}

func newInstanceNet() *instanceNet {
	return &instanceNet{cuts: map[string]instanceCut{}, healed: map[string]chan struct{}{}, silent: map[simLinkEnds]chan struct{}{}, ended: map[string]bool{}, conns: map[*instanceConn]struct{}{},
		runs: map[string]int{}, working: map[string]int{}, ranAt: map[string]string{}, dials: map[string]int{}}
}

// setCut cuts a daemon off from all instances, or connects it again.
func (n *instanceNet) setCut(daemon string, cut instanceCut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if healed := n.healed[daemon]; healed != nil {
		close(healed)
		delete(n.healed, daemon)
	}
	n.cuts[daemon], n.dials[daemon] = cut, 0
	if cut == packetsVanish {
		n.healed[daemon] = make(chan struct{})
	}
	for c := range n.conns {
		if c.daemon != daemon {
			continue
		}
		switch cut {
		case packetsVanish:
			go c.timeOut(n.healed[daemon])
		case connectionsEnd:
			c.end(syscall.ECONNRESET)
		}
	}
}

// awaitLink waits until packets of a connection are delivered, or until it is closed.
func (n *instanceNet) awaitLink(c *instanceConn) {
	for {
		healed := n.silentUntil(c.daemon, c.instance)
		if healed == nil {
			return
		}
		select {
		case <-healed:
		case <-c.closed:
			return
		}
	}
}

// crash ends the process of an instance.
func (n *instanceNet) crash(instance string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended[instance] = true
	for c := range n.conns {
		if c.instance == instance {
			c.end(syscall.ECONNRESET)
		}
	}
}

// runsAt reports whether an instance was the last to begin to run a request.
func (n *instanceNet) runsAt(id, instance string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ranAt[id] == instance
}

// close ends all connections.
func (n *instanceNet) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.end(io.EOF)
	}
}

// dialer returns the function by which a daemon connects to instances.
func (n *instanceNet) dialer(daemon string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, instance string) (net.Conn, error) {
		n.mu.Lock()
		cut, ended := n.cuts[daemon], n.ended[instance]
		n.dials[daemon]++
		n.mu.Unlock()
		if n.silentUntil(daemon, instance) != nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		pause.For(ctx, simConnectTime)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if cut != noCut || ended {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		c := &instanceConn{net: n, daemon: daemon, instance: instance, requests: newSimQueue(), response: newSimQueue(), closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		go n.serve(c)
		return c, nil
	}
}

// simQueue is one direction of a connection.
type simQueue struct {
	mu      sync.Mutex
	buf     []byte
	err     error // after all of buf
	changed chan struct{}
}

func newSimQueue() *simQueue { return &simQueue{changed: make(chan struct{})} }

// write appends p, or ends the direction with err.
func (q *simQueue) write(p []byte, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		return
	}
	q.buf, q.err = append(q.buf, p...), err
	close(q.changed)
	q.changed = make(chan struct{})
}

// hasUnread reports whether there is data or the end to read.
func (q *simQueue) hasUnread() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.buf) > 0 || q.err != nil
}

// Read implements io.Reader.
func (q *simQueue) Read(p []byte) (int, error) {
	for {
		q.mu.Lock()
		if len(q.buf) > 0 {
			n := copy(p, q.buf)
			q.buf = q.buf[n:]
			q.mu.Unlock()
			return n, nil
		}
		err, changed := q.err, q.changed
		q.mu.Unlock()
		if err != nil {
			return 0, err
		}
		<-changed
	}
}

// instanceConn is a daemon's end of a connection to an instance.
type instanceConn struct {
	net.Conn           // unused methods
	net                *instanceNet
	daemon, instance   string
	requests, response *simQueue
	closed             chan struct{} // by the daemon or by the end of the connection
	once               sync.Once
}

// end ends the connection with an error.
func (c *instanceConn) end(err error) {
	c.once.Do(func() { close(c.closed) })
	c.response.write(nil, err)
	c.requests.write(nil, io.EOF)
}

// timeOut ends the connection as the kernel does if the link stays silent.
func (c *instanceConn) timeOut(healed <-chan struct{}) {
	timer := time.NewTimer(simUserTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		c.end(syscall.ETIMEDOUT)
	case <-healed:
	}
}

func (c *instanceConn) Read(p []byte) (int, error) { return c.response.Read(p) }

// HasUnread reports whether there is data or the connection's end to read.
func (c *instanceConn) HasUnread() bool { return c.response.hasUnread() }

func (c *instanceConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	data := append([]byte(nil), p...)
	if c.net.silentUntil(c.daemon, c.instance) == nil {
		c.requests.write(data, nil)
		return len(p), nil
	}
	go func() {
		c.net.awaitLink(c)
		c.requests.write(data, nil)
	}()
	return len(p), nil
}

func (c *instanceConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.response.write(nil, net.ErrClosed)
	c.requests.write(nil, io.EOF)
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

// send sends a part of a response. It returns false if the connection has ended.
func (c *instanceConn) send(text string) bool {
	c.net.awaitLink(c)
	select {
	case <-c.closed:
		return false
	default:
		c.response.write([]byte(text), nil)
		return true
	}
}

// wait waits until d has passed. It returns false if the connection has ended.
func (c *instanceConn) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}

// serve answers the requests on one connection.
func (n *instanceNet) serve(c *instanceConn) {
	reader := bufio.NewReader(c.requests)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if n.answer != nil && n.answer(c, r) {
			continue
		}
		n.run(c, r)
	}
}

// run runs one request.
func (n *instanceNet) run(c *instanceConn, r *http.Request) {
	id := r.Header.Get("X-Id")
	n.mu.Lock()
	n.runs[id]++
	n.working[id]++
	n.ranAt[id] = c.instance
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.working[id]--
	}()
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		if c.wait(simCallTime) {
			c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: %s\r\nContent-Length: 2\r\n\r\nok", id, c.instance))
		}
		return
	}
	c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, c.instance))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= simStreamEvents; event++ {
		text := simEventText(id, event)
		if !c.wait(simEventInterval) || !c.send(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) {
			return
		}
	}
	c.send("0\r\n\r\n")
}

// simEventText returns an event of a request's stream.
func simEventText(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", event, id, event)
}

// simCodec carries a request's id, the last event and the signature in plain headers.
type simCodec struct{}

func (simCodec) Request(r *http.Request) *gateway.Request {
	return &gateway.Request{ID: r.Header.Get("X-Id"), Method: r.Method, Host: r.Host, Path: r.URL.Path, RequestTarget: r.URL.Path, Header: r.Header, CallerTimeout: simCallerTimeout}
}

func (simCodec) UpstreamHeader(req *gateway.Request, s gateway.SendOptions) http.Header {
	h := http.Header{"X-Id": {req.ID}}
	if s.LastEventID != "" {
		h.Set("Last-Event-Id", s.LastEventID)
	}
	return h
}

func (simCodec) IsResponseTo(id string, _ int, h http.Header) bool { return h.Get("X-Id") == id }

func (simCodec) SaysNotRun(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get("Not-Executed") != ""
}

func (simCodec) Signed(h http.Header) bool { return h.Get("Signature") != "" }

func (simCodec) Signals(int, http.Header) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}

func (simCodec) UnknownHeaders(http.Header) []string { return nil }

func (simCodec) CallerHeader(h http.Header) http.Header {
	return http.Header{"Signature": h["Signature"]}
}

func (simCodec) SetRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", fmt.Sprint(d.Seconds()))
}
