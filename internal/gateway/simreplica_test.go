package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/pause"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
	"pearlanding/internal/upstream"
)

// simService is the service of all simulated replicas.
const simService = "s"

// simConnectTime is how long a connection to a simulated replica takes.
const simConnectTime = time.Millisecond

// simFleet holds simulated replicas, which serve streams in virtual time.
type simFleet struct {
	mu    sync.Mutex
	ids   []string
	view  *fleet.View
	sends []*simSend
	conns []*simConn
	// connect decides on a connection to a replica; serve answers a request there. Both are
	// called in their own goroutines.
	connect func(ctx context.Context, replica string) error
	serve   func(s *simSend)
}

// newSimFleet returns a fleet of replicas with these ids, which are also their addresses.
func newSimFleet(ids ...string) *simFleet {
	f := &simFleet{ids: ids, connect: func(context.Context, string) error { return nil }}
	f.setDraining("")
	return f
}

// setDraining makes the view tell that these replicas drain.
func (f *simFleet) setDraining(draining ...string) {
	instances := map[string]*fleet.Instance{}
	for _, id := range f.ids {
		instances[id] = &fleet.Instance{ID: id, Address: id, Service: simService}
	}
	for _, id := range draining {
		if instances[id] != nil {
			instances[id].Draining = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = fleet.BuildView(1, time.Now(), instances, nil, nil)
}

func (f *simFleet) currentView() *fleet.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// sendsOf returns the sends of a request that reached a replica.
func (f *simFleet) sendsOf(requestID string) (out []*simSend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sends {
		if s.requestID == requestID {
			out = append(out, s)
		}
	}
	return out
}

// openSends returns the sends on whose answers replicas still work.
func (f *simFleet) openSends() (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sends {
		if !s.over.Load() {
			out = append(out, fmt.Sprintf("%s at %s", s.requestID, s.replica))
		}
	}
	return out
}

// close closes all connections.
func (f *simFleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.requests.fail(io.EOF)
	}
}

// byteQueue is one direction of a connection. Like a socket's buffer it holds what was written
// until it is read.
type byteQueue struct {
	mu      sync.Mutex
	buf     []byte
	err     error // after all of buf
	changed chan struct{}
}

func newByteQueue() *byteQueue { return &byteQueue{changed: make(chan struct{})} }

func (q *byteQueue) write(p []byte, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		return
	}
	q.buf, q.err = append(q.buf, p...), err
	close(q.changed)
	q.changed = make(chan struct{})
}

func (q *byteQueue) fail(err error) { q.write(nil, err) }

// await waits until there is something to read, or an error.
func (q *byteQueue) await() {
	for {
		q.mu.Lock()
		ready, changed := len(q.buf) > 0 || q.err != nil, q.changed
		q.mu.Unlock()
		if ready {
			return
		}
		<-changed
	}
}

// Read implements io.Reader. Like a socket it returns the error of a reset once, and then io.EOF.
func (q *byteQueue) Read(p []byte) (int, error) {
	q.await()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.buf) == 0 {
		err := q.err
		if err == syscall.ECONNRESET {
			q.err = io.EOF
		}
		return 0, err
	}
	n := copy(p, q.buf)
	q.buf = q.buf[n:]
	return n, nil
}

// simConn is a daemon's end of a connection to a replica.
type simConn struct {
	net.Conn           // unused methods
	process            *simProcess
	replica            string
	requests, response *byteQueue
	closed             chan struct{} // by the daemon
	once               sync.Once
}

// Read returns nothing while the process does not read, and no data after Close.
func (c *simConn) Read(p []byte) (int, error) {
	c.response.await()
	select {
	case <-c.process.whenReadable():
	case <-c.closed:
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return c.response.Read(p)
	}
}

// HasUnread reports whether there is data or the connection's end to read.
func (c *simConn) HasUnread() bool {
	c.response.mu.Lock()
	defer c.response.mu.Unlock()
	return len(c.response.buf) > 0 || c.response.err != nil
}

func (c *simConn) Write(p []byte) (int, error) {
	c.process.awaitScheduled()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		c.requests.write(p, nil)
		return len(p), nil
	}
}

// SetWriteDeadline does nothing, as writes never block.
func (c *simConn) SetWriteDeadline(time.Time) error { return nil }

func (c *simConn) Close() error {
	c.process.awaitScheduled()
	c.once.Do(func() {
		close(c.closed)
		c.requests.fail(io.EOF)
		c.response.fail(net.ErrClosed)
	})
	return nil
}

// simSend is one request at a replica.
type simSend struct {
	conn        *simConn
	replica     string
	requestID   string
	lastEventID int
	sentEvents  atomic.Int64
	failed      atomic.Bool // the replica did not finish its answer by its own fault
	notRun      atomic.Bool // the replica answered that it did not run it
	over        atomic.Bool
	closedAt    atomic.Pointer[time.Time] // when the daemon closed the connection
}

// serveConn answers the requests on one connection.
func (f *simFleet) serveConn(c *simConn) {
	reader := bufio.NewReader(c.requests)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		s := &simSend{conn: c, replica: c.replica, requestID: r.Header.Get("X-Id"), lastEventID: from}
		f.mu.Lock()
		f.sends = append(f.sends, s)
		f.mu.Unlock()
		f.serve(s)
		select {
		case <-c.closed:
			now := time.Now()
			s.closedAt.CompareAndSwap(nil, &now)
		default:
		}
		s.over.Store(true)
	}
}

// wait waits until d has passed. It returns false if the daemon closed the connection.
func (s *simSend) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	return waitFor(s, timer.C)
}

// waitFor waits for a signal. It returns false if the daemon closed the connection.
func waitFor[T any](s *simSend, signal <-chan T) bool {
	select {
	case <-signal:
		return true
	case <-s.conn.closed:
		now := time.Now()
		s.closedAt.CompareAndSwap(nil, &now)
		return false
	}
}

func (s *simSend) header() {
	s.conn.response.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", s.requestID, s.replica), nil)
}

// simEvent returns the event with an id of a request's answer. A comment names its replica.
func simEvent(requestID string, id int, replica string) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n: %s\n\n", id, requestID, id, replica)
}

func (s *simSend) event(id int) {
	s.sentEvents.Add(1)
	s.chunk(simEvent(s.requestID, id, s.replica))
}

// chunk sends a part of the answer's body.
func (s *simSend) chunk(text string) { s.conn.response.write([]byte(chunk(text)), nil) }

// chunk returns a text in the encoding of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// events sends events, each after an interval. It returns false if the daemon closed the
// connection.
func (s *simSend) events(from, to int, interval time.Duration) bool {
	for id := from; id <= to; id++ {
		if !s.wait(interval) {
			return false
		}
		s.event(id)
	}
	return true
}

// finish ends a complete answer.
func (s *simSend) finish() { s.conn.response.write([]byte("0\r\n\r\n"), nil) }

// reset breaks the connection off.
func (s *simSend) reset() {
	s.failed.Store(true)
	s.conn.response.fail(syscall.ECONNRESET)
}

// respond sends a response without a body.
func (s *simSend) respond(status int, headers string) {
	s.failed.Store(true)
	s.conn.response.write(fmt.Appendf(nil, "HTTP/1.1 %d status\r\nX-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, s.requestID, headers), nil)
}

// refuse answers that the request was not run.
func (s *simSend) refuse() {
	s.notRun.Store(true)
	s.respond(http.StatusServiceUnavailable, "Not-Executed: 1\r\n")
}

// hang sends nothing until the daemon closes the connection.
func (s *simSend) hang() {
	s.failed.Store(true)
	waitFor[struct{}](s, nil)
}

// simProcess is a daemon's process, which at times is not scheduled or reads late.
type simProcess struct {
	fleet     *simFleet
	gateway   *Gateway
	config    atomic.Pointer[Config]
	evidence  *quarantine.Evidence
	ctx       context.Context
	runClock  *steady.RunClock
	stopClock context.CancelFunc
	mu        sync.Mutex
	log       []string
	stretches int           // stretches without scheduling that last now
	scheduled chan struct{} // closed while the process is scheduled
	suspended atomic.Int64  // nanoseconds for which the machine was suspended
	lateReads int           // stretches without reading that last now
	readable  chan struct{} // closed while the process reads
}

// newSimProcess starts a daemon that runs until ctx ends. Its retries are limited by rule.
func newSimProcess(ctx context.Context, f *simFleet, route routes.Route, rule dispatch.BudgetRule, uniform func(n int) int) *simProcess {
	start := time.Now()
	p := &simProcess{fleet: f, ctx: ctx, scheduled: make(chan struct{}), readable: make(chan struct{}), evidence: quarantine.NewEvidence()}
	suspended := func() time.Duration { return time.Duration(p.suspended.Load()) }
	clock := steady.NewClockFrom(func() (time.Time, time.Duration) {
		return time.Now().Round(0).Add(suspended()), time.Since(start)
	}, func() time.Duration { return time.Since(start) + suspended() })
	p.runClock = steady.NewRunClock(clock)
	close(p.scheduled)
	close(p.readable)
	p.startClock()
	pool := upstream.NewPool(400*time.Millisecond, time.Minute)
	pool.Clock, pool.RunClock = clock, p.runClock
	pool.Dial = p.dial
	table := routes.Compile(&routes.Config{Version: 1, Routes: []routes.Route{route}, Services: []routes.Service{{Name: simService}}})
	p.config.Store(&Config{Table: table, ProvedAt: clock.Now()})
	p.gateway = &Gateway{
		Codec: simCodec{}, Gate: newGate(), Picker: dispatch.NewPicker("", uniform), Budgets: &dispatch.Budgets{}, Pool: pool,
		Limits: func() Limits { return Limits{RetryBudget: rule} }, Stopping: func() bool { return false }, View: f.currentView,
		Metrics: NewMetrics(metrics.NewSet()), Log: p.logger(), Clock: clock, RunClock: p.runClock,
		Quarantine: quarantine.NewDetector(p.evidence, func(context.Context, string) error { return nil }, clock.Now, zap.NewNop()),
		Config:     func() Config { return *p.config.Load() },
	}
	return p
}

// logger returns a logger whose lines are kept for the output of a failing test.
func (p *simProcess) logger() *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(simLog{p}), zap.InfoLevel))
}

// simLog is the log of a process.
type simLog struct{ process *simProcess }

func (l simLog) Write(line []byte) (int, error) {
	l.process.mu.Lock()
	defer l.process.mu.Unlock()
	l.process.log = append(l.process.log, string(line))
	return len(line), nil
}

// logOf returns what the process logged about a request.
func (p *simProcess) logOf(requestID string) (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.log {
		if strings.Contains(line, strconv.Quote(requestID)) {
			out = append(out, line)
		}
	}
	return out
}

func (p *simProcess) startClock() {
	ctx, stop := context.WithCancel(p.ctx)
	p.stopClock = stop
	go p.runClock.Run(ctx)
}

// unschedule makes the process run not at all for d: it reads nothing, connects to nothing and
// its clock of running time stands still. It returns after d.
func (p *simProcess) unschedule(d time.Duration) {
	p.mu.Lock()
	if p.stretches++; p.stretches == 1 {
		p.stopClock()
		p.scheduled = make(chan struct{})
	}
	p.mu.Unlock()
	p.readLate(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stretches--; p.stretches == 0 {
		p.startClock()
		close(p.scheduled)
	}
}

// suspend moves the clock of the process as a suspension of its machine does. Its timers, and the replicas,
// stand still meanwhile.
func (p *simProcess) suspend(d time.Duration) { p.suspended.Add(int64(d)) }

// readLate makes the process read and connect to nothing for d although it runs: the Go scheduler
// serves due timers before sockets, so that a process with many runnable goroutines is in time for
// its timers and late for its sockets. It returns after d.
func (p *simProcess) readLate(d time.Duration) {
	p.mu.Lock()
	if p.lateReads++; p.lateReads == 1 {
		p.readable = make(chan struct{})
	}
	p.mu.Unlock()
	time.Sleep(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lateReads--; p.lateReads == 0 {
		close(p.readable)
	}
}

// awaitScheduled waits until the process is scheduled.
func (p *simProcess) awaitScheduled() {
	p.mu.Lock()
	scheduled := p.scheduled
	p.mu.Unlock()
	<-scheduled
}

// whenReadable returns a channel that is closed while the process reads and connects.
func (p *simProcess) whenReadable() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readable
}

func (p *simProcess) dial(ctx context.Context, _, address string) (net.Conn, error) {
	<-p.whenReadable()
	err := p.fleet.connect(ctx, address)
	if err == nil {
		pause.For(ctx, simConnectTime)
		err = ctx.Err()
	}
	<-p.whenReadable()
	if err != nil {
		return nil, err
	}
	c := &simConn{process: p, replica: address, requests: newByteQueue(), response: newByteQueue(), closed: make(chan struct{})}
	p.fleet.mu.Lock()
	p.fleet.conns = append(p.fleet.conns, c)
	p.fleet.mu.Unlock()
	go p.fleet.serveConn(c)
	return c, nil
}

// simCodec carries a request's id, the last event and the signature in plain headers.
type simCodec struct{}

func (simCodec) Request(r *http.Request) *Request {
	return &Request{ID: r.Header.Get("X-Id"), Method: r.Method, Host: r.Host, Path: r.URL.Path, RequestTarget: r.URL.Path, Header: r.Header, LastEventID: r.Header.Get("Last-Event-Id")}
}

func (simCodec) UpstreamHeader(req *Request, s SendOptions) http.Header {
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

func (simCodec) SetRetryAfter(http.Header, time.Duration) {}

// simCaller is the caller of one stream.
type simCaller struct {
	id      string
	process *simProcess
	events  int // of a complete answer
	// lastEventID is the last event that the caller has from before; 0: none.
	lastEventID int
	leave       context.CancelFunc
	header      http.Header
	mu          sync.Mutex
	status      int
	body        bytes.Buffer
	lastAt      time.Time
	maxGap      time.Duration // between two writes of the answer
	aborted     bool
	doneAt      time.Time
	done        chan struct{}
	onWrite     func() // called before each write of the answer; nil: nothing
	// From its blockedFrom-th write on the caller reads nothing until writeDeadline is closed. 0: it reads.
	blockedFrom   int
	writes        int
	writeDeadline chan struct{}
	expired       sync.Once
}

// call sends a request for a stream of some events and reads its answer.
func (p *simProcess) call(id string, events int) *simCaller {
	return p.callAs(&simCaller{id: id, events: events})
}

// callAs sends the request of a caller whose id and events are set.
func (p *simProcess) callAs(c *simCaller) *simCaller {
	ctx, leave := context.WithCancel(p.ctx)
	c.process, c.leave, c.header, c.done = p, leave, http.Header{}, make(chan struct{})
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://host/s/"+c.id, nil)
	r.Header.Set("X-Id", c.id)
	if c.lastEventID > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(c.lastEventID))
	}
	go func() {
		defer close(c.done)
		defer leave()
		defer func() {
			if err := recover(); err != nil {
				if e, ok := err.(error); !ok || !errors.Is(e, http.ErrAbortHandler) {
					panic(err)
				}
				c.aborted = true
			}
			c.doneAt = time.Now()
		}()
		<-p.whenReadable()
		p.gateway.ServeHTTP(c, r)
	}()
	return c
}

func (c *simCaller) Header() http.Header { return c.header }

func (c *simCaller) WriteHeader(status int) { c.status = status }

func (c *simCaller) Write(p []byte) (int, error) {
	if c.onWrite != nil {
		c.onWrite()
	}
	if c.writes++; c.blockedFrom > 0 && c.writes >= c.blockedFrom {
		<-c.writeDeadline
		return 0, os.ErrDeadlineExceeded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.lastAt.IsZero() {
		c.maxGap = max(c.maxGap, now.Sub(c.lastAt))
	}
	c.lastAt = now
	return c.body.Write(p)
}

func (c *simCaller) Flush() {}

// SetWriteDeadline is called through http.ResponseController.
func (c *simCaller) SetWriteDeadline(t time.Time) error {
	if c.writeDeadline != nil && !t.After(time.Now()) {
		c.expired.Do(func() { close(c.writeDeadline) })
	}
	return nil
}

// received returns the replica of each event that the caller has received. Each must be there once
// and in order.
func (c *simCaller) received(t *testing.T) (replicas []string) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status != http.StatusOK {
		return nil
	}
	for event := range strings.SplitAfterSeq(c.body.String(), "\n\n") {
		if event == "" {
			break
		}
		_, replica, _ := strings.Cut(strings.TrimSuffix(event, "\n\n"), "\n: ")
		replicas = append(replicas, replica)
		must.Eq(t, simEvent(c.id, len(replicas), replica), event, must.Sprintf("%s: not the events of the answer in their order: %q", c.id, c.body.String()))
	}
	must.LessEq(t, c.events, len(replicas))
	return replicas
}

// complete reports whether the caller received the whole answer.
func (c *simCaller) complete(t *testing.T) bool { return !c.aborted && len(c.received(t)) == c.events }
