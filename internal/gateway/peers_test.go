package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/membudget"
	"pearlanding/internal/routes"
)

// The daemon of these tests has 136 MB. Its garbage collector keeps the heap below 0.6 of that.
const (
	smallDaemonBytes  = 136 << 20
	smallDaemonHeap   = smallDaemonBytes * 6 / 10
	smallDaemonBudget = smallDaemonBytes / 5
)

// pipeListener accepts connections that are pipes in memory: a write blocks until the peer reads.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours
}

// peersRig is a daemon behind an HTTP server, with instances of two services that are told by the path of a
// request, "s" and "e", what to answer.
type peersRig struct {
	*simProcess
	listener *pipeListener
	server   *http.Server
	// unread is the longest time for which an instance waited until its answer was read.
	unread atomic.Int64
	// cutOff counts answers that instances cut off because they were not read for cutOffTime.
	cutOff atomic.Int64
	// serve answers a request of service "e"; its instances are not used by others.
	serve func(r *peersRig, id string, c net.Conn)
}

// endlessService is the service whose instances answer without end.
const endlessService = "e"

func newPeersRig(ctx context.Context, instances int, serve func(r *peersRig, id string, c net.Conn)) *peersRig {
	r := &peersRig{listener: newPipeListener(), serve: serve}
	f := newSimFleet()
	all := map[string]*fleet.Instance{}
	for i := range instances {
		for _, service := range []string{simService, endlessService} {
			id := fmt.Sprint(service, i)
			all[id] = &fleet.Instance{ID: id, Address: id, Service: service}
		}
	}
	f.view = fleet.BuildView(1, time.Now(), all, nil, nil)
	sound := streamRoute(3)
	sound.LatencyObjective, sound.EventGapObjective = 0, 0
	sound.Timeout = 8 * time.Second
	endless := sound
	endless.Timeout = 4 * time.Second
	plain := endless
	endless.Name, endless.Prefix, endless.Split = "e", "/e/", []routes.WeightedService{{Service: endlessService, Weight: 1}}
	plain.Name, plain.Prefix, plain.Kind, plain.Split = "p", "/p/", routes.Idempotent, endless.Split
	rule := dispatch.BudgetRule{Ratio: 1, Window: 10 * time.Second}
	r.simProcess = newSimProcess(ctx, f, sound, rule, func(n int) int { return 0 })
	table := routes.Compile(&routes.Config{Version: 1, Routes: []routes.Route{sound, endless, plain}, Services: []routes.Service{{Name: simService}, {Name: endlessService}}})
	r.config.Store(&Config{Table: table, ProvedAt: r.gateway.Clock.Now()})
	r.gateway.Memory = membudget.New(smallDaemonBudget)
	r.gateway.Pool.Memory = r.gateway.Memory
	r.gateway.Pool.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
		daemon, instance := net.Pipe()
		go r.answer(address, instance)
		return daemon, nil
	}
	r.server = &http.Server{Handler: r.gateway, WriteTimeout: time.Minute}
	go func() { _ = r.server.Serve(r.listener) }()
	return r
}

// answer answers the requests on a connection to an instance.
func (r *peersRig) answer(address string, c net.Conn) {
	defer c.Close()
	reader := bufio.NewReaderSize(c, 512)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Id")
		if strings.HasPrefix(address, endlessService) {
			r.serve(r, id, c)
			return
		}
		r.send(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, address))
		for event := 1; event <= soundEvents; event++ {
			time.Sleep(soundInterval)
			if r.send(c, chunk(fmt.Sprintf("id: %d\ndata: %0200d\n\n", event, event))) != nil {
				return
			}
		}
		if r.send(c, "0\r\n\r\n") != nil {
			return
		}
	}
}

// The answers of instances that work.
const (
	soundEvents   = 20
	soundInterval = 70 * time.Millisecond
	// cutOffTime is how long an instance waits until its answer is read.
	cutOffTime = 3 * time.Second
)

// send sends a part of an answer and notes how long it stayed unread.
func (r *peersRig) send(c net.Conn, text string) error {
	start := time.Now()
	_ = c.SetWriteDeadline(start.Add(cutOffTime))
	_, err := io.WriteString(c, text)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.cutOff.Add(1)
	}
	for waited := int64(time.Since(start)); err == nil; {
		most := r.unread.Load()
		if waited <= most || r.unread.CompareAndSwap(most, waited) {
			break
		}
	}
	return err
}

// request sends a request and returns the connection on which its answer comes.
func (r *peersRig) request(path, id string) net.Conn {
	c := r.listener.dial()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: host\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", path, id)
	return c
}

// readSound reads the answer of an instance that works and returns the longest time between two events.
func (r *peersRig) readSound(id string) (maxGap time.Duration, err error) {
	c := r.request("/s/x", id)
	defer c.Close()
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		return 0, err
	}
	events, last := newEventReader(resp.Body), time.Now()
	for n := 0; ; n++ {
		_, err := events.next()
		if err == io.EOF && n == soundEvents {
			return maxGap, nil
		}
		if err != nil {
			return 0, fmt.Errorf("after %d events: %w", n, err)
		}
		maxGap = max(maxGap, time.Since(last))
		last = time.Now()
	}
}

// runSound runs callers that read in time, and checks that they are served in time.
func (r *peersRig) runSound(t *testing.T, callers int) {
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			gap, err := r.readSound(fmt.Sprint("sound-", i))
			must.NoError(t, err)
			must.LessEq(t, soundInterval+5*time.Millisecond, gap, must.Sprint("longest time between two events"))
		})
	}
	group.Wait()
}

// answerStart is what a caller reads before it stops.
const answerStart = "HTTP/1.1 200 OK\r\n"

// stoppedCallers sends requests whose callers read the start of the answer only.
func (r *peersRig) stoppedCallers(t *testing.T, n int, path string) (conns []net.Conn) {
	for i := range n {
		conns = append(conns, r.request(path, fmt.Sprint("stopped-", i)))
	}
	for _, c := range conns {
		start := make([]byte, len(answerStart))
		_, err := io.ReadFull(c, start)
		must.NoError(t, err)
		must.Eq(t, answerStart, string(start))
	}
	return conns
}

// liveHeap returns the size of the heap without garbage, and of the stacks.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// inPeersRig runs a test in virtual time and checks at the end that nothing is held.
func inPeersRig(t *testing.T, serve func(r *peersRig, id string, c net.Conn), test func(t *testing.T, r *peersRig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		r := newPeersRig(ctx, 100, serve)
		test(t, r)
		must.NoError(t, r.server.Close())
		time.Sleep(2 * time.Minute)
		u := r.gateway.Memory.Usage()
		must.Zero(t, u.Bodies+u.Streams+u.Ending, must.Sprintf("%+v", u))
		r.gateway.Pool.CloseExpired(r.gateway.Clock.Now().Add(time.Hour))
		stop()
		time.Sleep(time.Minute)
	})
}

// Guards against instances that are cut off from, or an exhausted memory, because callers stop reading: each
// of their answers is read to its end, and callers that read are served as if they were alone.
func TestCallersThatStopReadingHarmNobody(t *testing.T) {
	const stopped = 1000
	inPeersRig(t, nil, func(t *testing.T, r *peersRig) {
		base := liveHeap()
		conns := r.stoppedCallers(t, stopped, "/s/x")
		r.runSound(t, 50)
		time.Sleep(2 * cutOffTime)
		must.Zero(t, r.cutOff.Load(), must.Sprint("answers cut off"))
		must.LessEq(t, slowWriteTime+10*time.Millisecond, time.Duration(r.unread.Load()), must.Sprint("longest time for which an answer was not read"))
		u := r.gateway.Memory.Usage()
		must.Zero(t, u.Ended)
		must.Positive(t, u.Streams)
		heap := liveHeap() - base
		t.Logf("%d KB of memory for the daemon and its peers, %d KB of it in the budget", heap>>10, u.Streams>>10)
		must.Less(t, smallDaemonHeap, int(heap))
		for i, c := range conns {
			if i%10 == 0 { // the rest is still complete
				resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(answerStart), c)), nil)
				must.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				must.NoError(t, err)
				must.Eq(t, soundEvents, strings.Count(string(body), "\n\n"))
			}
			c.Close()
		}
	})
}

// Guards against a daemon that is killed for its memory because callers stop reading answers that are
// together larger than its budget: the streams that hold most are ended, and others are served.
func TestCallersThatStopReadingLargeAnswersAreEnded(t *testing.T) {
	const stopped = 100
	endless := func(r *peersRig, id string, c net.Conn) {
		err := r.send(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: e\r\nTransfer-Encoding: chunked\r\n\r\n", id))
		for event := 1; err == nil; event++ {
			time.Sleep(10 * time.Millisecond)
			err = r.send(c, chunk(fmt.Sprintf("id: %d\ndata: %02000d\n\n", event, event)))
		}
	}
	inPeersRig(t, endless, func(t *testing.T, r *peersRig) {
		base, most := liveHeap(), int64(0)
		conns := r.stoppedCallers(t, stopped, "/e/x")
		for range 3 {
			r.runSound(t, 20)
			u := r.gateway.Memory.Usage()
			most = max(most, u.Streams+u.Ending)
			must.Less(t, smallDaemonHeap, int(liveHeap()-base))
		}
		must.LessEq(t, slowWriteTime+10*time.Millisecond, time.Duration(r.unread.Load()))
		must.Zero(t, r.cutOff.Load(), must.Sprint("answers cut off"))
		must.LessEq(t, smallDaemonBudget+maxHeldBytes, most)
		must.Positive(t, r.gateway.Memory.Usage().Ended)
		must.SliceEmpty(t, r.gateway.Picker.Unhealthy(r.gateway.runClockNow()), must.Sprint("instances are blamed"))
		for _, c := range conns {
			c.Close()
		}
	})
}

// endlessAnswers are answers that never end, as bytes that are sent again and again.
var endlessAnswers = []struct{ head, repeated string }{
	{"HTTP/1.1 200 ", "x"},
	{"", "x"},
	{"HTTP/1.1 200 OK\r\nX-A: ", "x"},
	{"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1000000000\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: e\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: e\r\n\r\n", "data: x\n"},
	{"HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: e\r\n\r\n", "\n"},
	{"HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: e\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"HTTP/1.1 503 Busy\r\nX-Id: %s\r\n\r\n", "x"},
}

// Guards against a daemon that is killed for its memory, or serves others late, because instances answer
// without end: their answers are refused or end in an error.
func TestInstancesThatAnswerWithoutEndHarmNobody(t *testing.T) {
	var kinds atomic.Int64
	endless := func(_ *peersRig, id string, c net.Conn) {
		a := endlessAnswers[int(kinds.Add(1))%len(endlessAnswers)]
		head := a.head
		if strings.Contains(head, "%s") {
			head = fmt.Sprintf(head, id)
		}
		chunk := strings.Repeat(a.repeated, max(1, 8<<10/len(a.repeated)))
		_, err := io.WriteString(c, head)
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, chunk)
		}
	}
	inPeersRig(t, endless, func(t *testing.T, r *peersRig) {
		base := liveHeap()
		var group sync.WaitGroup
		for i := range 100 {
			group.Go(func() {
				path := "/e/x"
				if i%2 == 0 {
					path = "/p/x"
				}
				c := r.request(path, fmt.Sprint("endless-", i))
				defer c.Close()
				resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
				must.NoError(t, err)
				must.Eq(t, 5, resp.StatusCode/100)
			})
		}
		for range 3 {
			r.runSound(t, 20)
			u := r.gateway.Memory.Usage()
			must.LessEq(t, smallDaemonBudget, u.Bodies+u.Streams)
			must.Less(t, smallDaemonHeap, int(liveHeap()-base))
		}
		group.Wait()
	})
}
