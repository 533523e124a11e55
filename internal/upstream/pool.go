package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/link"
	"pearlanding/internal/membudget"
	"pearlanding/internal/steady"
)

// Pool sends requests over its own pool of HTTP/1.1 connections. Unlike the standard client it
// never sends a request twice, reports whether any byte of the request may have been sent, and
// skips responses to other requests that an upstream left on a connection. Safe for concurrent
// use.
type Pool struct {
	// MaxConnectTime is the upper limit of the connect timeout, which adapts to the connect times
	// of earlier connections.
	MaxConnectTime time.Duration
	// MaxIdleTime is how long an idle connection is kept. A shorter Keep-Alive timeout of the
	// upstream takes precedence.
	MaxIdleTime time.Duration
	// MaxOpenPerAddress limits the open connections to one address; 0 means no limit. Must be
	// set before use.
	MaxOpenPerAddress int
	// Clock is the time source; nil means the system clock.
	Clock *steady.Clock
	// RunClock measures connect times and stops while this process is not scheduled; nil means
	// Clock.
	RunClock *steady.RunClock
	// Memory accounts large heads of responses; nil: they are not accounted. Set before use.
	Memory *membudget.Budget
	// Dial opens a connection; NewPool sets it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Stale reports whether an idle connection to an address must not be used any more; nil: never.
	// Set before use.
	Stale        func(conn net.Conn, address string) bool
	mu           sync.Mutex
	idleConns    map[string][]*pooledConn
	openCount    map[string]int
	openedTotal  uint64 // connections opened so far, including failed attempts
	connectTimes connectTimeout
}

// pooledConn is a connection of the pool with its read buffer.
type pooledConn struct {
	net.Conn
	address    string
	head       headLimiter
	reader     *bufio.Reader // of head
	reuseUntil time.Time     // no new request is sent from then on
}

// newConn returns a connection of the pool over one that was opened.
func (p *Pool) newConn(conn net.Conn, address string) *pooledConn {
	c := &pooledConn{Conn: conn, address: address, head: headLimiter{conn: conn, budget: p.Memory}}
	c.reader = bufio.NewReaderSize(&c.head, readBufferBytes)
	return c
}

// Call is one request to an upstream.
type Call struct {
	Address       string
	Method        string
	RequestTarget string // verbatim for the request line
	Host          string
	Header        http.Header
	Body          []byte
	// NewConnection requests a new connection, because an idle one may turn out to be closed
	// after the request was written. The new connection is watched for a moment before the
	// request is written, so that an upstream with too many connections can reset it first.
	NewConnection bool
	// AvoidIdle requests a new connection, because idle ones may have failed with the one that an
	// earlier send of the same request used.
	AvoidIdle bool
	// IsOwnResponse reports whether a response belongs to this request; others are skipped. nil
	// accepts any response.
	IsOwnResponse func(status int, h http.Header) bool
	// Withhold is called just before the request is written. If it returns true, the request is
	// not written and the error is ErrWithheld. nil means never.
	Withhold func() bool
}

// maxForeignResponses is how many responses to other requests are skipped before the connection
// is closed. Interim responses (1xx) count as well.
const maxForeignResponses = 2

// maxForeignBodyBytes limits the body of a skipped response.
const maxForeignBodyBytes = 1 << 20

// idleTimeoutMargin is subtracted from the upstream's idle timeout: a request must arrive
// before the upstream closes the connection.
const idleTimeoutMargin = 500 * time.Millisecond

// ErrConnectionLimit means that the limit on open connections is reached; no byte was sent.
const ErrConnectionLimit = errors.ConstError("upstream: too many open connections")

// ErrWithheld means that Call.Withhold returned true; such an error is ErrNotSent, too.
const ErrWithheld = errors.ConstError("upstream: request withheld")

// ErrNoPath means that no instance can be reached now, directly or otherwise; such an error is
// ErrNotSent, too, and says nothing about the upstream. Dial may return it.
const ErrNoPath = errors.ConstError("upstream: no path to any instance")

// NewPool returns an empty pool with the given MaxConnectTime and MaxIdleTime.
func NewPool(maxConnectTime, maxIdleTime time.Duration) *Pool {
	return &Pool{MaxConnectTime: maxConnectTime, MaxIdleTime: maxIdleTime, Dial: link.Dialer(0).DialContext, idleConns: map[string][]*pooledConn{}, openCount: map[string]int{}}
}

// ConnectionsOpened returns how many connections have been opened so far, including failed attempts.
func (p *Pool) ConnectionsOpened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedTotal
}

// Do sends the request once and returns its response after reading the header. The error is
// ErrNotSent, ErrWithheld or ErrConnectionLimit if no byte was sent, ErrForeignResponse if only responses to other
// requests were received, and otherwise ErrUnknown, also for a response with an invalid status or a broken head. When ctx
// ends, the connection is closed, also while the body is read. The caller must close the body.
func (p *Pool) Do(ctx context.Context, call *Call) (*http.Response, error) {
	c, err := p.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	if call.Withhold != nil && call.Withhold() {
		p.keepIdle(c, p.MaxIdleTime)
		return nil, errors.WithType(errors.WithType(errors.Errorf("request to %s withheld", call.Address), ErrWithheld), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	resp, err := c.exchange(call)
	if err != nil {
		stop()
		p.discard(c)
		return nil, err
	}
	resp.Body = &pooledBody{ReadCloser: resp.Body, pool: p, conn: c, stopCancel: stop, header: resp.Header, reusable: reusable(resp), framing: FramingOf(resp)}
	return resp, nil
}

// acquire returns an idle connection that is still open, or opens one.
func (p *Pool) acquire(ctx context.Context, call *Call) (*pooledConn, error) {
	for !call.NewConnection && !call.AvoidIdle {
		c := p.popIdle(call.Address)
		if c == nil {
			break
		}
		if p.Clock.Now().Before(c.reuseUntil) && !link.HasUnread(c.Conn) && !p.isStale(c) {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserveSlot(call.Address) {
		return nil, errors.WithType(errors.Errorf("too many open connections to %s", call.Address), ErrConnectionLimit)
	}
	conn, err := p.dial(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	c := p.newConn(conn, call.Address)
	if call.NewConnection && !staysOpen(ctx, conn) {
		p.discard(c)
		return nil, errors.WithType(errors.Errorf("new connection closed by %s", call.Address), ErrNotSent)
	}
	return c, nil
}

func (p *Pool) isStale(c *pooledConn) bool { return p.Stale != nil && p.Stale(c.Conn, c.address) }

// ConnectTimeout returns for how long a connection may take to be established now.
func (p *Pool) ConnectTimeout() time.Duration { return p.connectTimes.timeout(p.MaxConnectTime) }

// idleConn is a connection that is told when its request has ended, and returns whether it may be kept for
// another one.
type idleConn interface{ Idle() (keep bool) }

// Probe opens a connection to an address and keeps it for the next request. The error is
// ErrConnectionLimit, or ErrNotSent together with the dialer's error, such as syscall.ECONNREFUSED if
// nothing listens there.
func (p *Pool) Probe(ctx context.Context, address string) error {
	if !p.reserveSlot(address) {
		return errors.WithType(errors.Errorf("too many open connections to %s", address), ErrConnectionLimit)
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.keepIdle(p.newConn(conn, address), p.MaxIdleTime)
	return nil
}

// dial opens a connection in a reserved slot. If that fails, it releases the slot and returns
// ErrNotSent.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	clock := p.RunClock
	if clock == nil {
		clock = steady.NewRunClock(p.Clock)
	}
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := clock.Now()
	// Measured by RunClock: a process that is not scheduled can't see the connection established.
	stop := clock.AfterFunc(p.ConnectTimeout(), func() { cancel(errConnectTimeout) })
	defer stop()
	conn, err := p.Dial(attempt, "tcp", address)
	if err != nil {
		p.releaseSlot(address)
		if cause := context.Cause(attempt); errors.Is(cause, errConnectTimeout) {
			err = errors.Annotatef(cause, "dial tcp %s", address)
		}
		if link.LacksResources(err) {
			err = errors.WithType(err, ErrNoPath)
		}
		return nil, errors.WithType(err, ErrNotSent)
	}
	p.connectTimes.observe(clock.Now().Sub(start))
	return conn, nil
}

// errConnectTimeout means that a connection was not established in time.
const errConnectTimeout = errors.ConstError("upstream: connection timed out")

// newConnWatchTime is how long a new connection is watched before a request that must not be
// retried is written: several round trips within a region.
const newConnWatchTime = 4 * time.Millisecond

// staysOpen reports whether a new connection is still open after newConnWatchTime.
func staysOpen(ctx context.Context, conn net.Conn) bool {
	timer := time.NewTimer(newConnWatchTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return !link.HasUnread(conn)
}

// readBufferBytes fits several events of a stream, or the header of a response.
const readBufferBytes = 4 << 10

// popIdle returns the most recently used idle connection to an address, or nil if there is none.
func (p *Pool) popIdle(address string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idleConns[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idleConns[address] = list[:len(list)-1]
	return c
}

// reserveSlot counts a connection to an address as open, before it is dialed. It returns false
// if MaxOpenPerAddress is reached.
func (p *Pool) reserveSlot(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxOpenPerAddress > 0 && p.openCount[address] >= p.MaxOpenPerAddress {
		return false
	}
	p.openCount[address]++
	p.openedTotal++
	return true
}

// releaseSlot undoes reserveSlot.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[address]--; p.openCount[address] <= 0 {
		delete(p.openCount, address)
	}
}

// discard closes a connection and releases its slot.
func (p *Pool) discard(c *pooledConn) {
	_ = c.Close()
	c.head.release()
	p.releaseSlot(c.address)
}

// keepIdle keeps a connection for the next request. It discards the connection if there are
// unread bytes, if keepFor is not positive, or if enough others are idle.
func (p *Pool) keepIdle(c *pooledConn, keepFor time.Duration) {
	c.head.release()
	if c.reader.Buffered() > 0 || keepFor <= 0 {
		p.discard(c)
		return
	}
	if idle, ok := c.Conn.(idleConn); ok && !idle.Idle() {
		p.discard(c)
		return
	}
	c.reuseUntil = p.Clock.Now().Add(keepFor)
	p.mu.Lock()
	full := len(p.idleConns[c.address]) >= maxIdlePerAddress
	if !full {
		p.idleConns[c.address] = append(p.idleConns[c.address], c)
	}
	p.mu.Unlock()
	if full {
		p.discard(c)
	}
}

// maxIdlePerAddress limits the idle connections to one upstream, which accepts only a limited
// number from all callers together.
const maxIdlePerAddress = 3

// CloseExpired closes idle connections whose idle timeout has passed.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*pooledConn
	p.mu.Lock()
	for address, list := range p.idleConns {
		live := list[:0]
		for _, c := range list {
			if now.After(c.reuseUntil) {
				expired = append(expired, c)
			} else {
				live = append(live, c)
			}
		}
		if len(live) == 0 {
			delete(p.idleConns, address)
		} else {
			p.idleConns[address] = live
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// exchange writes the request and reads the header of its response.
func (c *pooledConn) exchange(call *Call) (*http.Response, error) {
	if err := c.writeRequest(call); err != nil {
		return nil, errors.WithType(err, ErrUnknown)
	}
	c.head.begin()
	for foreign := 0; ; foreign++ {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
		if c.head.err != nil {
			err = c.head.err // ReadResponse may have seen a malformed line first
		}
		if err == nil {
			err = checkHead(resp)
		}
		if err != nil {
			return nil, errors.WithType(err, ErrUnknown)
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		c.head.inHead = false
		if call.IsOwnResponse == nil || call.IsOwnResponse(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBodyBytes))
		if foreign >= maxForeignResponses || err != nil || n == maxForeignBodyBytes || !reusable(resp) {
			return nil, errors.WithType(errors.New("response to another request"), ErrForeignResponse)
		}
		c.head.inHead = true
	}
}

// EndIsMarked reports whether a length or chunks mark the end of a response's body, or the end of its head does as
// it answers HEAD. Otherwise it ends with the connection, which an upstream that crashes ends, too.
func EndIsMarked(resp *http.Response) bool {
	return FramingOf(resp) != Unframed || resp.Request != nil && resp.Request.Method == http.MethodHead
}

// reusable reports whether the connection can carry another request after this response.
func reusable(resp *http.Response) bool { return !resp.Close && EndIsMarked(resp) }

// idleTimeout returns how long an idle connection may be kept, from the Keep-Alive header of the
// upstream's last response and MaxIdleTime.
func (p *Pool) idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(time.Duration(s)*time.Second-idleTimeoutMargin, p.MaxIdleTime)
		}
	}
	return p.MaxIdleTime
}

// pooledBody is a response body that returns its connection to the pool when it is closed after
// it was read to its end, and otherwise discards the connection.
type pooledBody struct {
	io.ReadCloser
	pool       *Pool
	conn       *pooledConn
	stopCancel func() bool
	header     http.Header
	reusable   bool
	framing    Framing
	ending     Ending // empty: its end was not read
	readToEnd  bool
	closed     bool
	sinceYield int // bytes read since other goroutines could run
}

// yieldBytes is how many bytes of a body are read before other goroutines may run. A goroutine with endless
// input otherwise runs for 10 ms at a time: 100 of them would delay the events of other streams by a second.
const yieldBytes = 16 << 10

// Read implements io.Reader. The error is ErrUnknown if the response was truncated.
func (b *pooledBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if b.sinceYield += n; b.sinceYield >= yieldBytes {
		b.sinceYield = 0
		runtime.Gosched()
	}
	if err != nil && b.ending == "" {
		b.ending = b.endingOf(err)
	}
	if err == io.EOF {
		b.readToEnd = true
	} else if err != nil {
		err = errors.WithType(err, ErrUnknown)
	}
	return n, err
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.stopCancel() && b.readToEnd && b.reusable {
		b.pool.keepIdle(b.conn, b.pool.idleTimeout(b.header))
		return nil
	}
	b.pool.discard(b.conn)
	return nil
}

// HasUnread reports whether there is something to read on a response's connection: more of the
// body, or its end. Safe for concurrent use with reads of the body.
func HasUnread(resp *http.Response) bool {
	b, ok := resp.Body.(*pooledBody)
	return ok && link.HasUnread(b.conn.Conn)
}

// tunneledConn is a connection through another daemon.
type tunneledConn interface{ Peer() string }

// Peer returns the address of the daemon through which a response comes, empty if it comes directly.
func Peer(resp *http.Response) string {
	if b, ok := resp.Body.(*pooledBody); ok {
		if c, ok := b.conn.Conn.(tunneledConn); ok {
			return c.Peer()
		}
	}
	return ""
}

// Buffered returns how many bytes of the connection can be read without blocking.
func Buffered(resp *http.Response) int {
	if b, ok := resp.Body.(*pooledBody); ok {
		return b.conn.reader.Buffered()
	}
	return 0
}
