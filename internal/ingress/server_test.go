package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
	"pearlanding/internal/membudget"
)

// testGuard is a guard with a server whose handler answers with the method, path and body of a request.
type testGuard struct {
	*Guard
	address string
	handled atomic.Int64
	// clock is added to the time of the guard.
	clock atomic.Int64
	// handler, if set, handles requests instead.
	handler http.HandlerFunc
	limits  atomic.Pointer[Limits]
	server  *http.Server
}

// lenient are limits that no ordinary test reaches.
var lenient = Limits{HeadBytes: 16 << 10, HeadTimeout: time.Hour, IdleTimeout: time.Hour}

func startGuard(t testing.TB, change func(o *Options)) *testGuard {
	g := &testGuard{}
	g.limits.Store(&lenient)
	start := time.Now()
	o := Options{Name: "test", Limits: func() Limits { return *g.limits.Load() }, MaxConns: 100, Metrics: metrics.NewSet(), Log: zap.NewNop(),
		Now:           func() time.Time { return start.Add(time.Since(start) + time.Duration(g.clock.Load())) },
		SetRetryAfter: func(h http.Header) { h.Set("Retry-After", "0.01") }}
	if change != nil {
		change(&o)
	}
	g.Guard = NewGuard(o)
	l, err := Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	g.address = l.Addr().String()
	g.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.handled.Add(1)
		if g.handler != nil {
			g.handler(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
	})}
	g.Protect(g.server)
	go func() { _ = g.server.Serve(g.Listener(l)) }() // ends with Close
	t.Cleanup(func() { g.server.Close() })
	return g
}

// advance moves the guard's time and sweeps.
func (g *testGuard) advance(d time.Duration) {
	g.clock.Add(int64(d))
	g.Sweep()
}

// dial opens a connection with a deadline.
func (g *testGuard) dial(t testing.TB) net.Conn {
	c, err := net.Dial("tcp", g.address)
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return c
}

// until waits until a number of connections is in a phase.
func (g *testGuard) until(t testing.TB, n int, p phase) {
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return g.inPhase(p) == n }), wait.Timeout(time.Minute), wait.Gap(time.Millisecond)), must.Sprint(n, p))
}

func write(t testing.TB, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

// answer reads one answer with its body.
func answer(t testing.TB, r *bufio.Reader) *http.Response {
	resp, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	return resp
}

// Requests of all shapes on one connection, in pieces of any size and also sent ahead, arrive as they are.
func TestRequestsArriveAsSent(t *testing.T) {
	g := startGuard(t, func(o *Options) { o.Memory = membudget.New(64 << 20) })
	rapid.Check(t, func(r *rapid.T) {
		var sent strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 6).Draw(r, "requests") {
			text := rapid.StringOfN(rapid.SampledFrom([]rune("ab\r\n0")), 0, 9000, -1).Draw(r, "body")
			path := fmt.Sprintf("/%d", i)
			extra := strings.Repeat("A: b\r\n", rapid.IntRange(0, 900).Draw(r, "lines"))
			method := "POST"
			switch rapid.IntRange(0, 2).Draw(r, "framing") {
			case 0:
				method, text = "GET", ""
				fmt.Fprintf(&sent, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, extra)
			case 1:
				fmt.Fprintf(&sent, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", path, extra, len(text), text)
			case 2:
				fmt.Fprintf(&sent, "POST %s HTTP/1.1\r\nHost: h\r\n%sTransfer-Encoding: chunked\r\n\r\n", path, extra)
				for rest := text; len(rest) > 0; {
					n := rapid.IntRange(1, len(rest)).Draw(r, "chunk")
					fmt.Fprintf(&sent, "%x\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				sent.WriteString("0\r\n")
				sent.WriteString(rapid.SampledFrom([]string{"", "Trailer: x\r\n"}).Draw(r, "trailer"))
				sent.WriteString("\r\n")
			}
			want = append(want, fmt.Sprintf("%s %s %s", method, path, text))
		}
		c, err := net.Dial("tcp", g.address)
		must.NoError(r, err)
		defer c.Close()
		must.NoError(r, c.SetDeadline(time.Now().Add(time.Minute)))
		piece := rapid.SampledFrom([]int{1 << 20, 4096, 1000, 64}).Draw(r, "piece")
		go func() {
			for rest := sent.String(); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
				if _, err := io.WriteString(c, rest[:min(piece, len(rest))]); err != nil {
					return
				}
			}
		}()
		reader := bufio.NewReader(c)
		for _, w := range want {
			resp, err := http.ReadResponse(reader, nil)
			must.NoError(r, err)
			body, err := io.ReadAll(resp.Body)
			must.NoError(r, err)
			must.Eq(r, http.StatusOK, resp.StatusCode)
			must.Eq(r, w, string(body))
		}
	})
}

// Each refusal says truthfully that the request has not run, and the connection is closed.
func TestRefusedHeads(t *testing.T) {
	for name, c := range map[string]struct {
		limits Limits
		memory int64
		sent   string
		status int
	}{
		"too many bytes":         {lenient, 1 << 20, "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("Name: value\r\n", 2000), http.StatusRequestHeaderFieldsTooLarge},
		"one line without end":   {lenient, 1 << 20, "GET /" + strings.Repeat("x", 30<<10), http.StatusRequestHeaderFieldsTooLarge},
		"too late":               {Limits{HeadBytes: 16 << 10, HeadTimeout: time.Second}, 1 << 20, "GET / HTTP/1.1\r\n", http.StatusRequestTimeout},
		"no room for its bytes":  {lenient, 1 << 10, "GET / HTTP/1.1\r\n" + strings.Repeat("Name: value\r\n", 500), http.StatusServiceUnavailable},
		"no room once it's read": {lenient, 100 << 10, "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGuard(t, func(o *Options) { o.Memory = membudget.New(c.memory) })
			g.limits.Store(&c.limits)
			conn := g.dial(t)
			write(t, conn, c.sent)
			if c.limits.HeadTimeout == time.Second {
				g.until(t, 1, phaseHead)
				g.advance(time.Minute)
			}
			reader := bufio.NewReader(conn)
			resp := answer(t, reader)
			must.Eq(t, c.status, resp.StatusCode)
			must.True(t, resp.Close)
			must.Eq(t, resp.StatusCode == http.StatusServiceUnavailable, resp.Header.Get("Retry-After") != "")
			_, err := reader.ReadByte()
			must.Error(t, err)
			must.Zero(t, g.handled.Load())
			must.Zero(t, g.options.Memory.Usage().Bodies+g.options.Memory.Usage().Ending)
		})
	}
}

// A head of as many lines as its limit on bytes allows is served where there is room.
func TestHeadOfManyLinesIsServed(t *testing.T) {
	g := startGuard(t, func(o *Options) { o.Memory = membudget.New(16 << 20) })
	c := g.dial(t)
	write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 4000)+"\r\n")
	must.Eq(t, http.StatusOK, answer(t, bufio.NewReader(c)).StatusCode)
	g.until(t, 1, phaseIdle)
	must.Zero(t, g.options.Memory.Usage().Bodies)
}

// With all connections in use a new one replaces that with the least claim.
func TestNewConnectionReplacesTheLeastClaim(t *testing.T) {
	g := startGuard(t, func(o *Options) { o.MaxConns = 4 })
	release := make(chan bool)
	g.handler = func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/hold" {
			<-release
		}
	}
	defer close(release)
	closed := func(c net.Conn) {
		t.Helper()
		must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := io.Copy(io.Discard, c)
		must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
	}
	serving, idle, head, body := g.dial(t), g.dial(t), g.dial(t), g.dial(t)
	write(t, serving, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	g.until(t, 1, phaseServing)
	write(t, idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.until(t, 1, phaseIdle)
	write(t, head, "GET / HTTP/1.1\r\n")
	g.until(t, 1, phaseHead)
	g.clock.Add(int64(time.Millisecond))
	write(t, body, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789")
	g.until(t, 1, phaseBody)

	g.clock.Add(int64(minStall))
	for _, next := range []net.Conn{head, body, idle} {
		c := g.dial(t)
		write(t, c, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		closed(next)
	}
	g.until(t, 4, phaseServing)
	refused := g.dial(t)
	closed(refused)
	g.until(t, 4, phaseServing)
}

// Idle connections are closed by the limit as it is now, unless a request is on its way.
func TestIdleConnectionsFollowTheLimit(t *testing.T) {
	g := startGuard(t, nil)
	c := g.dial(t)
	reader := bufio.NewReader(c)
	write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	answer(t, reader)
	g.until(t, 1, phaseIdle)
	g.advance(30 * time.Minute)
	write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.Eq(t, http.StatusOK, answer(t, reader).StatusCode)
	g.until(t, 1, phaseIdle)
	g.limits.Store(&Limits{HeadBytes: 1 << 10, IdleTimeout: time.Minute})
	g.advance(2 * time.Minute)
	_, err := reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	g.until(t, 0, phaseIdle)
}

// An answer that does not wait for the body arrives at once, and what follows of the body is not taken for
// another request.
func TestRestOfARefusedBodyIsNoRequest(t *testing.T) {
	for name, head := range map[string]string{"by length": "Content-Length: 1000", "in chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			g := startGuard(t, nil)
			g.handler = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			c := g.dial(t)
			write(t, c, "POST / HTTP/1.1\r\nHost: h\r\n"+head+"\r\n\r\n")
			reader := bufio.NewReader(c)
			must.Eq(t, http.StatusServiceUnavailable, answer(t, reader).StatusCode)
			_, _ = io.WriteString(c, "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n") // may be closed already
			_, _ = io.Copy(io.Discard, reader)
			must.Eq(t, 1, g.handled.Load())
		})
	}
}
