package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/membudget"
)

// sendForever writes a text again and again until the connection is closed.
func sendForever(c net.Conn, first, repeated string) {
	_, err := io.WriteString(c, first)
	chunk := []byte(strings.Repeat(repeated, max(1, 32<<10/len(repeated))))
	for err == nil {
		_, err = c.Write(chunk)
	}
}

// allocated returns how many bytes f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// endlessHeads are response heads that never end: what is sent once, and what is repeated.
var endlessHeads = map[string][2]string{
	"status line":       {"HTTP/1.1 200 ", "x"},
	"no response":       {"", "x"},
	"header":            {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
	"headers":           {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	"short headers":     {"HTTP/1.1 200 OK\r\n", "a:\n"},
	"continuation":      {"HTTP/1.1 200 OK\r\nX-A: b\r\n", " c\r\n"},
	"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
}

// Guards against a daemon that is killed for its memory: a head without end took 256 MB in 3 s.
func TestResponseHeadIsBounded(t *testing.T) {
	const maxAllocated = 1 << 20
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			url, _ := startServer(t, func(_ int64, c net.Conn) {
				sendForever(c, head[0], head[1])
				close(closed)
			})
			p := newTestPool()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			n := allocated(func() {
				_, err := p.Do(ctx, newGetCall(address(url)))
				must.ErrorIs(t, err, ErrUnknown)
				must.NoError(t, ctx.Err(), must.Sprint("read until the request ended"))
			})
			must.Less(t, maxAllocated, n, must.Sprint("bytes allocated"))
			<-closed
			must.MapEmpty(t, p.openCount)
		})
	}
}

// Guards against sound responses that are refused: the head may use the whole limit, and what follows it
// does not count, nor do the heads of earlier responses on the connection.
func TestHeadLimitsHoldForHeadsOnly(t *testing.T) {
	body := strings.Repeat("\n", 4*maxHeadBytes)
	start := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\nX-A: "
	filler := strings.Repeat("x", maxHeadBytes-len(start)-len("\r\n\r\n"))
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, start+filler+"\r\n\r\n"+body) })
	p := newTestPool()
	p.Memory = membudget.New(1 << 20)
	for range 3 {
		got, err := readResponse(t, p, newGetCall(address(url)))
		must.NoError(t, err)
		must.Eq(t, len(body), len(got))
		must.Zero(t, p.Memory.Usage().Bodies)
	}
	must.Eq(t, 1, p.ConnectionsOpened())
	tooLong, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, start+filler+"x\r\n\r\n"+body) })
	_, err := readResponse(t, p, newGetCall(address(tooLong)))
	must.ErrorIs(t, err, ErrHeadTooLarge)
	must.ErrorIs(t, err, ErrUnknown)
	must.Zero(t, p.Memory.Usage().Bodies)
}

// Guards against many upstreams that each send a large part of a head and stop, each within its own limit:
// what they hold together is bounded by the budget of the daemon.
func TestLargeHeadsAreAccounted(t *testing.T) {
	large := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nX-A: " + strings.Repeat("x", 40<<10) + "\r\n\r\nok"
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, large) })
	p := newTestPool()
	p.Memory = membudget.New(300 << 10)
	resp, err := p.Do(t.Context(), newGetCall(address(url)))
	must.NoError(t, err)
	held := p.Memory.Usage().Bodies
	must.LessEq(t, held, 36<<10)
	must.True(t, p.Memory.TakeBody(120<<10))
	_, err = p.Do(t.Context(), newGetCall(address(url)))
	must.ErrorIs(t, err, ErrMemory)
	must.ErrorIs(t, err, ErrUnknown)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, 120<<10, p.Memory.Usage().Bodies)
}

// singleByteConn is a connection on which each read returns one byte.
type singleByteConn struct{ net.Conn }

func (singleByteConn) Read(p []byte) (int, error) {
	p[0] = 'x'
	return 1, nil
}

// Guards against an upstream that sends a head in small pieces and uses up the budget of the daemon: what is
// accounted follows the bytes that were received, not the room that was offered for them.
func TestHeadInSmallPiecesIsAccountedByItsSize(t *testing.T) {
	memory := membudget.New(8 << 20)
	l := &headLimiter{conn: singleByteConn{}, budget: memory}
	l.begin()
	p := make([]byte, readBufferBytes)
	for range maxHeadBytes {
		n, err := l.Read(p)
		must.NoError(t, err)
		must.Eq(t, 1, n)
	}
	must.Eq(t, headMemoryFactor*(maxHeadBytes-unaccountedHeadBytes), memory.Usage().Bodies)
	_, err := l.Read(p)
	must.ErrorIs(t, err, ErrHeadTooLarge)
	l.release()
	must.Zero(t, memory.Usage().Bodies)
}

// slowConn is a connection whose peer reads nothing, or all.
type slowConn struct {
	net.Conn
	deadlines []time.Duration // set so far, from then on; 0: none
	failed    bool
	written   int
}

func (c *slowConn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.deadlines = append(c.deadlines, 0)
	} else {
		c.deadlines = append(c.deadlines, time.Until(t).Round(100*time.Millisecond))
	}
	return nil
}

func (c *slowConn) Write(p []byte) (int, error) {
	if c.failed {
		return 1, os.ErrDeadlineExceeded
	}
	c.written += len(p)
	return len(p), nil
}

// Guards against requests that wait until their deadline for an upstream that does not read them, and
// against a time limit that stays set for the next request on the connection.
func TestWritingALargeRequestIsLimited(t *testing.T) {
	c := &slowConn{}
	p := &pooledConn{Conn: c}
	call := &Call{Method: http.MethodPost, RequestTarget: "/", Host: "h", Body: make([]byte, 4<<20)}
	must.NoError(t, p.writeRequest(call))
	must.Eq(t, []time.Duration{6 * time.Second, 0}, c.deadlines)
	must.Eq(t, len(encodeHead(call))+len(call.Body), c.written)
	c.failed = true
	must.ErrorIs(t, p.writeRequest(call), os.ErrDeadlineExceeded)

	short := &slowConn{}
	call.Body = make([]byte, maxWholeRequest)
	must.NoError(t, (&pooledConn{Conn: short}).writeRequest(call))
	must.SliceEmpty(t, short.deadlines)
	head := encodeHead(call)
	must.LessEq(t, cap(head), len(head)+len(call.Body), must.Sprint("a short request is written without another copy"))
}

// Guards against an outcome that is reported as "not run" after a part of the request was sent.
func TestUpstreamThatDoesNotReadTheRequestIsUnknown(t *testing.T) {
	address := startListener(t, func(c *net.TCPConn) { _ = c.SetReadBuffer(4 << 10) })
	p := newTestPool()
	p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return shortDeadlineConn{conn}, nil
	}
	call := newGetCall(address)
	call.Method, call.Body = http.MethodPost, make([]byte, 16<<20)
	_, err := p.Do(t.Context(), call)
	must.ErrorIs(t, err, ErrUnknown)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.MapEmpty(t, p.openCount)
}

// shortDeadlineConn shortens the time limit of writes to a hundredth.
type shortDeadlineConn struct{ net.Conn }

func (c shortDeadlineConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() {
		t = time.Now().Add(time.Until(t) / 100)
	}
	return c.Conn.SetWriteDeadline(t)
}

// Guards against instances that are suspected because this process has no descriptor left for a connection.
func TestLackOfDescriptorsSaysNothingAboutTheUpstream(t *testing.T) {
	p := NewPool(time.Second, time.Second)
	p.Dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	_, err := p.Do(t.Context(), &Call{Address: "a", Method: http.MethodGet, RequestTarget: "/", Host: "h"})
	must.ErrorIs(t, err, ErrNotSent)
	must.ErrorIs(t, err, ErrNoPath)
}
