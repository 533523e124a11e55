package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// responsePart is the beginning of a response of each framing, up to its second byte.
var responsePart = map[Framing]string{
	FramedByLength: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nok",
	FramedByChunks: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	Unframed:       "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok",
}

// responseRest completes the response, if its framing marks the end.
var responseRest = map[Framing]string{FramedByLength: "ok", FramedByChunks: "0\r\n\r\n"}

// Guards against logs and metrics that can't tell a reset, a lost peer or a canceled request from the end of a response.
func TestEndingTellsWhatEndedAResponse(t *testing.T) {
	inOrder := func(c *net.TCPConn) { _ = c.Close() }
	broken := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	nothing := func(*net.TCPConn) {}
	for name, c := range map[string]struct {
		framing  Framing
		more     string // sent after responsePart
		end      func(c *net.TCPConn)
		wrap     func(net.Conn) net.Conn // the daemon's end of the connection
		canceled bool
		want     Ending
		complete bool // for the reader of the body
	}{
		"whole by its length":            {framing: FramedByLength, more: responseRest[FramedByLength], end: nothing, want: EndedByMark, complete: true},
		"whole by its length, closed":    {framing: FramedByLength, more: responseRest[FramedByLength], end: inOrder, want: EndedByMark, complete: true},
		"whole by its chunks":            {framing: FramedByChunks, more: responseRest[FramedByChunks], end: nothing, want: EndedByMark, complete: true},
		"whole by its chunks, closed":    {framing: FramedByChunks, more: responseRest[FramedByChunks], end: inOrder, want: EndedByMark, complete: true},
		"unframed, closed":               {framing: Unframed, end: inOrder, want: EndedByClose, complete: true},
		"length, closed early":           {framing: FramedByLength, end: inOrder, want: EndedByClose},
		"chunks, closed early":           {framing: FramedByChunks, end: inOrder, want: EndedByClose},
		"chunks, closed inside one":      {framing: FramedByChunks, more: "9\r\nnot", end: inOrder, want: EndedByClose},
		"length, reset":                  {framing: FramedByLength, end: broken, want: EndedByReset},
		"chunks, reset":                  {framing: FramedByChunks, end: broken, want: EndedByReset},
		"unframed, reset":                {framing: Unframed, end: broken, want: EndedByReset},
		"length, canceled":               {framing: FramedByLength, end: nothing, canceled: true, want: EndedByCancel},
		"chunks, canceled":               {framing: FramedByChunks, end: nothing, canceled: true, want: EndedByCancel},
		"unframed, canceled":             {framing: Unframed, end: nothing, canceled: true, want: EndedByCancel},
		"chunks, invalid":                {framing: FramedByChunks, more: "no chunk\r\n", end: nothing, want: EndedByError},
		"length, not acknowledged":       {framing: FramedByLength, end: inOrder, wrap: endsWith(syscall.ETIMEDOUT, false), want: EndedByTimeout},
		"unframed, not acknowledged":     {framing: Unframed, end: inOrder, wrap: endsWith(syscall.ETIMEDOUT, false), want: EndedByTimeout},
		"unframed, a write broke":        {framing: Unframed, end: inOrder, wrap: endsWith(syscall.EPIPE, false), want: EndedByReset},
		"length, no route":               {framing: FramedByLength, end: inOrder, wrap: endsWith(syscall.EHOSTUNREACH, false), want: EndedByError},
		"chunks, peer closed":            {framing: FramedByChunks, end: inOrder, wrap: endsWith(io.ErrUnexpectedEOF, true), want: EndedByLostPeer},
		"unframed, peer closed":          {framing: Unframed, end: inOrder, wrap: endsWith(io.ErrUnexpectedEOF, true), want: EndedByLostPeer},
		"unframed, peer reset":           {framing: Unframed, end: inOrder, wrap: endsWith(&net.OpError{Op: "read", Err: syscall.ECONNRESET}, true), want: EndedByLostPeer},
		"unframed, peer tells a reset":   {framing: Unframed, end: inOrder, wrap: endsWith(syscall.ECONNRESET, true), want: EndedByReset},
		"unframed, peer tells the close": {framing: Unframed, end: inOrder, wrap: endsWith(io.EOF, true), want: EndedByClose, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			p := newTestPool()
			if c.wrap != nil {
				dial := p.Dial
				p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dial(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return c.wrap(conn), nil
				}
			}
			call := newGetCall(startListener(t, func(conn *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, responsePart[c.framing]+c.more)
				<-read
				c.end(conn)
			}))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resp, err := p.Do(ctx, call)
			must.NoError(t, err)
			defer resp.Body.Close()
			must.Eq(t, c.framing, FramingOf(resp))
			must.Eq(t, NotReadToEnd, EndingOf(resp))
			_, err = io.ReadFull(resp.Body, make([]byte, 2))
			must.NoError(t, err)
			close(read)
			if c.canceled {
				cancel()
			}
			_, err = io.ReadAll(resp.Body)
			if c.complete {
				must.NoError(t, err)
			} else {
				must.ErrorIs(t, err, ErrUnknown)
			}
			must.Eq(t, c.want, EndingOf(resp))
			must.NoError(t, resp.Body.Close())
			must.Eq(t, c.want, EndingOf(resp))
		})
	}
}

// endsWith returns a function that makes reads of a connection fail with err in place of io.EOF. A tunneled
// connection goes through another daemon.
func endsWith(err error, tunneled bool) func(net.Conn) net.Conn {
	return func(conn net.Conn) net.Conn {
		failing := &failingConn{conn, err}
		if tunneled {
			return &tunneledFailingConn{failing}
		}
		return failing
	}
}

type failingConn struct {
	net.Conn
	err error
}

func (c *failingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.err
	}
	return n, err
}

type tunneledFailingConn struct{ *failingConn }

func (*tunneledFailingConn) Peer() string { return "peer" }

// A response to HEAD has neither a body nor, as a rule, a length; its end is no end of the connection.
func TestEndingOfAResponseWithoutABody(t *testing.T) {
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n") })
	call := newGetCall(address(url))
	call.Method = http.MethodHead
	resp, err := newTestPool().Do(t.Context(), call)
	must.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, EndedByMark, EndingOf(resp))
}

// The ending is that of the response, not what comes later on its connection, which is kept.
func TestEndingOfAResponseOnAKeptConnection(t *testing.T) {
	url, _ := startServer(t, func(n int64, c net.Conn) {
		if n == 1 {
			_, _ = io.WriteString(c, ownResponse)
			return
		}
		_, _ = io.WriteString(c, responsePart[Unframed])
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	p := newTestPool()
	for _, want := range []Ending{EndedByMark, EndedByReset} {
		resp, err := p.Do(t.Context(), newGetCall(address(url)))
		must.NoError(t, err)
		_, _ = io.ReadAll(resp.Body)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, want, EndingOf(resp))
	}
	must.Eq(t, 1, p.ConnectionsOpened())
}

func TestEndingOfAResponseThatIsClosedUnread(t *testing.T) {
	for framing, part := range responsePart {
		url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, part+responseRest[framing]) })
		resp, err := newTestPool().Do(t.Context(), newGetCall(address(url)))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, NotReadToEnd, EndingOf(resp), must.Sprint(framing))
	}
}
