package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"pearlanding/internal/link"
	"pearlanding/internal/steady"
)

// Pool sends requests over kept HTTP/1.1 connections of its own. Unlike the
// standard client it never sends anything twice, tells exactly whether a byte of
// the request may have left, and passes over surplus answers that an upstream
// left on a connection. Safe for concurrent use.
type Pool struct {
	// Connect bounds how long a connection may take to come up; those that came up bound
	// it further.
	Connect time.Duration
	// MaxIdle is how long an idle connection is kept when the upstream names no
	// time of its own.
	MaxIdle time.Duration
	// MaxOpen bounds the connections to one address; 0: no bound. Set before use.
	MaxOpen int
	// Clock tells the time; nil: this machine's.
	Clock *steady.Clock
	// RunClock tells how long a connection takes; nil: as Clock.
	RunClock *steady.RunClock
	// dialer connects; replaced by tests.
	dialer func(ctx context.Context, network, address string) (net.Conn, error)
	mu     sync.Mutex
	idle   map[string][]*kept
	open   map[string]int
	opened uint64 // connections ever opened
	timer  connectTimer
}

// kept is one connection and what may still arrive on it.
type kept struct {
	net.Conn
	address  string
	reader   *bufio.Reader
	deadline time.Time // not used for a new request from then on
}

// Call is one request to one upstream.
type Call struct {
	Address string
	Method  string
	Target  string // as it stands in the request line
	Host    string
	Header  http.Header
	Body    []byte
	// Fresh asks for a new connection: no idle one can turn out closed. It is also
	// given a moment in which an upstream that has too many can reset it, before the
	// request goes out and could have run.
	Fresh bool
	// Own tells whether an answer with this head is to this request; others are
	// passed over. nil takes any.
	Own func(status int, h http.Header) bool
	// Withhold, if set, is asked just before the request is written; true: it must not be.
	Withhold func() bool
}

// maxSurplus is how many foreign answers are passed over before the connection
// is given up.
const maxSurplus = 2

// maxSurplusBytes bounds the body of a foreign answer that is read away.
const maxSurplusBytes = 1 << 20

// idleMargin is taken off the time for which an upstream keeps a connection:
// the request must arrive before the upstream closes it.
const idleMargin = 500 * time.Millisecond

// ErrBusy: the bound on connections is reached; nothing was sent.
const ErrBusy = errors.ConstError("upstream: all connections in use")

// ErrWithheld: Call.Withhold kept the request back; it is ErrNotSent too.
const ErrWithheld = errors.ConstError("upstream: withheld")

// NewPool returns an empty pool.
func NewPool(connect, maxIdle time.Duration) *Pool {
	return &Pool{Connect: connect, MaxIdle: maxIdle, dialer: link.Dialer(0).DialContext, idle: map[string][]*kept{}, open: map[string]int{}}
}

// Opened returns how many connections were ever opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Do sends the request once and returns the head of its answer. The error is
// ErrNotSent, ErrWithheld or ErrBusy when not a byte left, otherwise ErrUnknown. ctx bounds
// the whole exchange, the body's reading included: when it ends, the connection
// is closed. The caller closes the body.
func (p *Pool) Do(ctx context.Context, call *Call) (*http.Response, error) {
	c, err := p.take(ctx, call)
	if err != nil {
		return nil, err
	}
	if call.Withhold != nil && call.Withhold() {
		p.put(c, p.MaxIdle)
		return nil, errors.WithType(errors.WithType(errors.Errorf("request to %s", call.Address), ErrWithheld), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	resp, err := c.exchange(call)
	if err != nil {
		stop()
		p.drop(c)
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, pool: p, conn: c, stop: stop, header: resp.Header, keep: reusable(resp)}
	return resp, nil
}

// take returns an idle connection that seems alive, or opens one.
func (p *Pool) take(ctx context.Context, call *Call) (*kept, error) {
	for !call.Fresh {
		c := p.pop(call.Address)
		if c == nil {
			break
		}
		if p.Clock.Now().Before(c.deadline) && alive(c.Conn) {
			return c, nil
		}
		p.drop(c)
	}
	if !p.reserve(call.Address) {
		return nil, errors.WithType(errors.Errorf("connections to %s", call.Address), ErrBusy)
	}
	conn, err := p.dial(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	c := &kept{Conn: conn, address: call.Address, reader: bufio.NewReaderSize(conn, readBuffer)}
	if call.Fresh && !settled(ctx, conn) {
		p.drop(c)
		return nil, errors.WithType(errors.Errorf("%s closed a new connection", call.Address), ErrNotSent)
	}
	return c, nil
}

// Probe opens a connection to an address and keeps it for the next request. Its error is
// ErrNotSent, and the dialer's own: syscall.ECONNREFUSED where nothing listens.
func (p *Pool) Probe(ctx context.Context, address string) error {
	if !p.reserve(address) {
		return errors.WithType(errors.Errorf("connections to %s", address), ErrBusy)
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.put(&kept{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBuffer)}, p.MaxIdle)
	return nil
}

// dial opens a connection that was reserved, or releases it.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	clock := p.RunClock
	if clock == nil {
		clock = steady.NewRunClock(p.Clock)
	}
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	begun := clock.Now()
	// A process that is not scheduled does not see that the connection came up.
	stop := clock.AfterFunc(p.timer.limit(p.Connect), func() { cancel(errConnectTimeout) })
	defer stop()
	conn, err := p.dialer(attempt, "tcp", address)
	if err != nil {
		p.release(address)
		if cause := context.Cause(attempt); errors.Is(cause, errConnectTimeout) {
			err = errors.Annotatef(cause, "dial tcp %s", address)
		}
		return nil, errors.WithType(err, ErrNotSent)
	}
	p.timer.note(clock.Now().Sub(begun))
	return conn, nil
}

// errConnectTimeout: a connection did not come up in time.
const errConnectTimeout = errors.ConstError("upstream: connection timed out")

// settleFor is how long a new connection is watched before a request that must not
// be repeated goes out: some round trips within a region.
const settleFor = 4 * time.Millisecond

// settled tells whether a new connection stays open for a moment.
func settled(ctx context.Context, conn net.Conn) bool {
	timer := time.NewTimer(settleFor)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return alive(conn)
}

// readBuffer holds a few events of a stream, or the head of an answer.
const readBuffer = 4 << 10

func (p *Pool) pop(address string) *kept {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) reserve(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxOpen > 0 && p.open[address] >= p.MaxOpen {
		return false
	}
	p.open[address]++
	p.opened++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) drop(c *kept) {
	_ = c.Close()
	p.release(c.address)
}

// put keeps a connection for the next request.
func (p *Pool) put(c *kept, keepFor time.Duration) {
	if c.reader.Buffered() > 0 || keepFor <= 0 {
		p.drop(c)
		return
	}
	c.deadline = p.Clock.Now().Add(keepFor)
	p.mu.Lock()
	full := len(p.idle[c.address]) >= idlePerAddress
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full {
		p.drop(c)
	}
}

// idlePerAddress is how many idle connections are kept to one upstream, which
// accepts only so many from all callers together.
const idlePerAddress = 3

// Sweep closes idle connections that are past their time.
func (p *Pool) Sweep(now time.Time) {
	var old []*kept
	p.mu.Lock()
	for address, list := range p.idle {
		live := list[:0]
		for _, c := range list {
			if now.After(c.deadline) {
				old = append(old, c)
			} else {
				live = append(live, c)
			}
		}
		if len(live) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = live
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// alive tells whether an idle connection is still open and has nothing to read:
// a closed one or one with a surplus answer must not carry the next request.
func alive(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

// exchange writes the request and reads the head of its answer.
func (c *kept) exchange(call *Call) (*http.Response, error) {
	if _, err := c.Write(encode(call)); err != nil {
		return nil, errors.WithType(err, ErrUnknown)
	}
	for surplus := 0; ; surplus++ {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, errors.WithType(err, ErrUnknown)
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if call.Own == nil || call.Own(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBytes))
		if surplus >= maxSurplus || err != nil || n == maxSurplusBytes || !reusable(resp) {
			return nil, errors.WithType(errors.New("answer to another request"), ErrCrossed)
		}
	}
}

// encode renders the request for one write.
func encode(call *Call) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(call.Body))
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for name, values := range call.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// framed tells whether the answer's end can be told from its connection's.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func reusable(resp *http.Response) bool { return !resp.Close && framed(resp) }

// keepFor reads how long the upstream keeps the connection idle.
func (p *Pool) keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(time.Duration(s)*time.Second-idleMargin, p.MaxIdle)
		}
	}
	return p.MaxIdle
}

// body gives the connection back when the answer was read to its end.
type body struct {
	io.ReadCloser
	pool   *Pool
	conn   *kept
	stop   func() bool
	header http.Header
	keep   bool
	ended  bool
	closed bool
}

// Read implements io.Reader. Its error is ErrUnknown if the answer was cut short.
func (b *body) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if err == io.EOF {
		b.ended = true
	} else if err != nil {
		err = errors.WithType(err, ErrUnknown)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.stop() && b.ended && b.keep {
		b.pool.put(b.conn, b.pool.keepFor(b.header))
		return nil
	}
	b.pool.drop(b.conn)
	return nil
}

// Buffered is how many bytes of the connection can be read without waiting.
func Buffered(resp *http.Response) int {
	if b, ok := resp.Body.(*body); ok {
		return b.conn.reader.Buffered()
	}
	return 0
}
