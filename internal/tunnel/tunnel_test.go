package tunnel

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/steady"
	"pearlanding/internal/upstream"
)

const testAddress = "instance:1"

var testInstance = Instance{ID: "i-1", StartedAt: 7}

// testRig is a daemon, two peers and one instance in virtual time. Connections are pipes.
type testRig struct {
	dialer  *Dialer
	peers   map[string]*testPeer
	direct  func(ctx context.Context) (net.Conn, error) // the daemon's own path
	dials   atomic.Int64                                // by that path
	perPeer map[string]*atomic.Int64
}

// testPeer is another daemon.
type testPeer struct {
	server  *Server
	connect func(ctx context.Context) (net.Conn, error) // to the instance
	reaches atomic.Bool                                 // other instances
	earlier bool                                        // it is of an earlier version
}

func refused(context.Context) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

func hangs(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// answers connects to an instance that echoes what it receives.
func answers(context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		_, _ = io.Copy(far, far)
	}()
	return near, nil
}

func newTestRig() *testRig {
	r := &testRig{peers: map[string]*testPeer{"p1": newTestPeer(), "p2": newTestPeer()}, direct: refused, perPeer: map[string]*atomic.Int64{"p1": {}, "p2": {}}}
	clock := steady.NewRunClock(nil)
	direct := NewDirect(func(ctx context.Context, _, _ string) (net.Conn, error) {
		r.dials.Add(1)
		return r.direct(ctx)
	}, clock, zap.NewNop())
	r.dialer = &Dialer{Direct: direct, DirectTimeout: func() time.Duration { return 80 * time.Millisecond }, DialPeer: r.dialPeer,
		InstanceAt: func(address string) (Instance, bool) { return testInstance, address == testAddress },
		Peers:      func() []string { return []string{"p1", "p2"} }, Uniform: func(int) int { return 0 }, RunClock: clock, Log: zap.NewNop(),
		OnDial: func(string, error) {}}
	return r
}

func newTestPeer() *testPeer {
	p := &testPeer{connect: answers}
	p.reaches.Store(true)
	clock := steady.NewRunClock(nil)
	direct := NewDirect(func(ctx context.Context, _, _ string) (net.Conn, error) { return p.connect(ctx) }, clock, zap.NewNop())
	p.server = &Server{AddressOf: func(in Instance) (string, bool) { return testAddress, in == testInstance }, Direct: direct, MaxOpen: 8, RunClock: clock,
		ReachesOther: func(context.Context, string) bool { return p.reaches.Load() }}
	return p
}

// dialPeer connects to a peer as rpc.Serve would serve it.
func (r *testRig) dialPeer(_ context.Context, _, address string) (net.Conn, error) {
	p := r.peers[address]
	if p == nil {
		return nil, syscall.EHOSTUNREACH
	}
	r.perPeer[address].Add(1)
	near, far := net.Pipe()
	go p.serve(far)
	return near, nil
}

func (p *testPeer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	line, err := reader.ReadSlice('\n')
	if err != nil {
		conn.Close()
		return
	}
	if p.earlier {
		defer conn.Close()
		_, _ = conn.Write([]byte(`{"jsonrpc":"2.0","id":1,"error":{"code":-32601,"message":"no such method"}}` + "\n"))
		return
	}
	var request struct {
		Params json.RawMessage `json:"params"`
	}
	_ = json.Unmarshal(line, &request)
	p.server.Serve(context.Background(), conn, reader, request.Params)
}

// dial dials the instance, for at most d.
func (r *testRig) dial(t *testing.T, d time.Duration) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return r.dialer.DialContext(ctx, "tcp", testAddress)
}

// echo checks that a connection reaches the instance.
func echo(t *testing.T, conn net.Conn) {
	t.Helper()
	go func() { _, _ = conn.Write([]byte("ping")) }()
	got := make([]byte, 4)
	_, err := io.ReadFull(conn, got)
	must.NoError(t, err)
	must.Eq(t, "ping", string(got))
}

func TestFailedOrLateDirectPathIsReplacedByAPeer(t *testing.T) {
	for name, c := range map[string]struct {
		direct func(ctx context.Context) (net.Conn, error)
		within time.Duration
	}{
		"refused": {refused, time.Millisecond},
		"hangs":   {hangs, nextPathDelay + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRig()
				r.direct = c.direct
				began := time.Now()
				conn, err := r.dial(t, time.Second)
				must.NoError(t, err)
				must.LessEq(t, c.within, time.Since(began))
				echo(t, conn)
				must.False(t, r.dialer.Stale(conn, testAddress))
				conn.Close()
				began = time.Now()
				second, err := r.dial(t, time.Second)
				must.NoError(t, err)
				must.Zero(t, time.Since(began), must.Sprint("the peer comes first now"))
				second.Close()
				time.Sleep(time.Second)
			})
		})
	}
}

// The direct path is used as soon as it works again, found out by one connection and not by all
// requests.
func TestDirectPathIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRig()
		conn, err := r.dial(t, time.Second)
		must.NoError(t, err)
		r.direct = answers
		time.Sleep(directRetryInterval)
		dials := r.dials.Load()
		for range 5 {
			r.dialer.Stale(conn, testAddress)
		}
		synctest.Wait()
		must.Eq(t, dials+1, r.dials.Load())
		must.True(t, r.dialer.Stale(conn, testAddress))
		conn.Close()
		direct, err := r.dial(t, time.Second)
		must.NoError(t, err)
		_, isTunnel := direct.(*Conn)
		must.False(t, isTunnel)
		direct.Close()
		time.Sleep(time.Second)
	})
}

// A refused connection is reported only on the word of a peer that reaches other instances.
func TestRefusalIsReportedOnlyIfAPeerConfirmsIt(t *testing.T) {
	for name, c := range map[string]struct {
		connect func(ctx context.Context) (net.Conn, error)
		reaches bool
		refused bool
		noPath  bool
	}{
		"peer is refused, reaches others":     {refused, true, true, false},
		"peer is refused, reaches none":       {refused, false, false, true},
		"instance does not answer, no others": {hangs, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRig()
				for _, p := range r.peers {
					p.connect = c.connect
					p.reaches.Store(c.reaches)
				}
				r.dialer.Direct.setLost(time.Now())
				_, err := r.dial(t, time.Second)
				must.Eq(t, c.refused, errors.Is(err, syscall.ECONNREFUSED), must.Sprint(err))
				must.Eq(t, c.noPath, errors.Is(err, upstream.ErrNoPath), must.Sprint(err))
				time.Sleep(time.Second)
			})
		})
	}
}

// Without any path a dial fails at once.
func TestDialWithoutAnyPathFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRig()
		r.direct = hangs
		r.dialer.Direct.setLost(time.Now())
		for _, p := range r.peers {
			p.server.Direct.setLost(time.Now())
		}
		_, err := r.dial(t, time.Second)
		must.ErrorIs(t, err, upstream.ErrNoPath)
		began := time.Now()
		_, err = r.dial(t, time.Second)
		must.ErrorIs(t, err, upstream.ErrNoPath)
		must.Zero(t, time.Since(began))
		time.Sleep(time.Second)
	})
}

// Guards against requests that are refused as if no instance were reachable, because three instances of
// a zone that has no power or is partitioned do not answer, while others work over open connections. No
// answer within the timeout is no refusal: it is reported as the instance's own failure.
func TestUnansweredDialIsTheInstancesFailureWhileOthersWork(t *testing.T) {
	for _, works := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestRig()
			r.peers = nil // none is reached
			r.direct = answers
			other, err := r.dialer.Direct.DialContext(t.Context(), "tcp", "other:1")
			must.NoError(t, err)
			defer other.Close()
			r.direct = hangs
			for _, address := range []string{"dead:1", "dead:2", "dead:3"} {
				ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
				_, err := r.dialer.Direct.DialContext(ctx, "tcp", address)
				cancel()
				must.Error(t, err)
				if works {
					echo(t, other)
				}
			}
			_, err = r.dial(t, time.Second)
			must.Eq(t, !works, errors.Is(err, upstream.ErrNoPath))
			must.False(t, errors.Is(err, syscall.ECONNREFUSED))
			time.Sleep(time.Second) // until the dials in the background end
		})
	}
}

// Peers that can't help are skipped: cut off, at their limit, with another view, or of an earlier
// version.
func TestNextPeerIsAsked(t *testing.T) {
	for name, fail := range map[string]func(p *testPeer){
		"cut off":         func(p *testPeer) { p.server.Direct.setLost(time.Now()) },
		"no free tunnel":  func(p *testPeer) { p.server.MaxOpen = 0 },
		"other view":      func(p *testPeer) { p.server.AddressOf = func(Instance) (string, bool) { return "", false } },
		"earlier version": func(p *testPeer) { p.earlier = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRig()
				fail(r.peers["p1"])
				conn, err := r.dial(t, time.Second)
				must.NoError(t, err)
				must.Eq(t, "p2", conn.(*Conn).Peer())
				must.Eq(t, 1, r.perPeer["p1"].Load())
				conn.Close()
				time.Sleep(time.Second)
			})
		})
	}
}

// A peer connects only to instances of its view, whatever a caller asks for.
func TestServerIsNoOpenProxy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPeer()
		var connected atomic.Int64
		p.connect = func(context.Context) (net.Conn, error) {
			connected.Add(1)
			return refused(t.Context())
		}
		for _, params := range []string{`{"instance":"i-1","started_at":8}`, `{"instance":"i-2","started_at":7,"address":"instance:1"}`, `{"address":"instance:1"}`, `{}`, `[]`, `null`, ``, `"instance:1"`} {
			near, far := net.Pipe()
			go p.server.Serve(t.Context(), far, far, json.RawMessage(params))
			text, err := io.ReadAll(near)
			must.NoError(t, err)
			var reply openReply
			must.NoError(t, json.Unmarshal(text, &reply))
			must.Eq(t, codeUnknownInstance, reply.Error.Code, must.Sprint(params))
		}
		must.Zero(t, connected.Load())
	})
}

// tunnelTo opens a tunnel to an instance that the test plays, and returns both ends.
func tunnelTo(t *testing.T, r *testRig) (near *Conn, instance net.Conn) {
	t.Helper()
	ends := make(chan net.Conn, 1)
	r.peers["p1"].connect = func(context.Context) (net.Conn, error) {
		peerEnd, instanceEnd := net.Pipe()
		ends <- instanceEnd
		return peerEnd, nil
	}
	conn, err := r.dial(t, time.Second)
	must.NoError(t, err)
	return conn.(*Conn), <-ends
}

// Guards against a response without a length that is taken for complete because the peer was killed.
func TestEndOfTunnelTellsWhoEnded(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(near *Conn, instance net.Conn)
		want error
	}{
		"the instance closes": {func(_ *Conn, instance net.Conn) { instance.Close() }, io.EOF},
		"the peer ends":       {func(near *Conn, _ net.Conn) { near.Conn.Close() }, io.ErrClosedPipe},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, instance := tunnelTo(t, newTestRig())
				go func() { _, _ = instance.Write([]byte("part")) }()
				part := make([]byte, 4)
				_, err := io.ReadFull(near, part)
				must.NoError(t, err)
				c.end(near, instance)
				_, err = near.Read(part)
				must.ErrorIs(t, err, c.want)
				near.Close()
				time.Sleep(time.Second)
			})
		})
	}
	var out frameRecorder
	must.NoError(t, newFrameWriter(&out).copyFrom(failingReader{syscall.ECONNRESET}))
	conn := &Conn{reader: bufio.NewReader(&out)}
	_, err := conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, syscall.ECONNRESET)
	conn = &Conn{reader: bufio.NewReader(&frameRecorder{})}
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.ErrUnexpectedEOF, must.Sprint("without the last frame the peer was lost"))
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// frameRecorder holds what was written until it is read.
type frameRecorder struct {
	mu  sync.Mutex
	buf []byte
}

func (r *frameRecorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf = append(r.buf, p...)
	return len(p), nil
}

func (r *frameRecorder) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.buf) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.buf)
	r.buf = r.buf[n:]
	return n, nil
}

// Guards against work at an instance for a caller that left.
func TestClosedTunnelClosesTheInstancesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRig()
		near, instance := tunnelTo(t, r)
		near.Close()
		_, err := instance.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
		synctest.Wait()
		must.Zero(t, r.peers["p1"].server.Open())
		time.Sleep(time.Second)
	})
}

// A peer that stops lets requests in progress end and gets no further ones.
func TestStoppingPeerDrainsItsTunnels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRig()
		near, instance := tunnelTo(t, r)
		server := r.peers["p1"].server
		server.Close()
		synctest.Wait() // the mark is on its way
		drained := make(chan struct{})
		go func() {
			server.Drain(t.Context())
			close(drained)
		}()
		go func() { _, _ = instance.Write([]byte("rest")) }()
		rest := make([]byte, 4)
		_, err := io.ReadFull(near, rest)
		must.NoError(t, err)
		must.Eq(t, "rest", string(rest))
		must.False(t, near.Idle(), must.Sprint("no further request may be sent"))
		select {
		case <-drained:
			t.Fatal("drained with a tunnel open")
		default:
		}
		near.Close()
		<-drained
		r.peers["p2"].server.MaxOpen = 0
		_, err = r.dial(t, time.Second)
		must.Error(t, err, must.Sprint("a stopping peer opens no tunnels"))
		time.Sleep(time.Second)
	})
}

// All connections silent, or several instances failing with no sign of life in between, shows that the
// direct paths are lost; a sign of life shows that they are not.
func TestLossOfDirectPaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost, reaches atomic.Int64
		d := NewDirect(refuseAll, steady.NewRunClock(nil), zap.NewNop())
		d.OnLost = func() { lost.Add(1) }
		d.TryOthers = func(string) bool { return reaches.Load() > 0 }
		d.noteFailure("a")
		d.noteFailure("b")
		d.noteFailure("b")
		must.False(t, d.Lost(), must.Sprint("two instances may fail"))
		d.noteFailure("c")
		must.True(t, d.Lost())
		d.reached("data")
		must.False(t, d.Lost())
		must.Eq(t, 1, lost.Load())

		time.Sleep(time.Second)
		d.begin("a")
		time.Sleep(time.Second)
		must.False(t, d.InDoubt(), must.Sprint("one instance may be silent"))
		d.begin("b")
		reaches.Store(1)
		must.True(t, d.InDoubt())
		synctest.Wait()
		must.False(t, d.Lost(), must.Sprint("others accept connections"))
		time.Sleep(time.Second)
		reaches.Store(0)
		must.True(t, d.InDoubt())
		synctest.Wait()
		must.True(t, d.Lost())
		must.Eq(t, 2, lost.Load())
	})
}

func refuseAll(ctx context.Context, _, _ string) (net.Conn, error) { return refused(ctx) }
