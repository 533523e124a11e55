package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
)

func newTestPool() *Pool { return NewPool(time.Second, time.Second) }

func newGetCall(address string) *Call {
	return &Call{Address: address, Method: http.MethodGet, RequestTarget: "/x?y=%2F", Host: "h", Header: http.Header{"Id": {"1"}},
		IsOwnResponse: func(_ int, h http.Header) bool { return h.Get("Id") == "1" }}
}

const ownResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func readResponse(t *testing.T, p *Pool, call *Call) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func address(url string) string { return strings.TrimPrefix(url, "http://") }

func TestPoolReusesAConnection(t *testing.T) {
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, ownResponse) })
	p := newTestPool()
	for range 3 {
		body, err := readResponse(t, p, newGetCall(address(url)))
		must.NoError(t, err)
		must.Eq(t, "ok", body)
	}
	must.Eq(t, 1, p.ConnectionsOpened())
}

func TestPoolSkipsAForeignResponse(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold"
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, foreign+ownResponse) })
	body, err := readResponse(t, newTestPool(), newGetCall(address(url)))
	must.NoError(t, err)
	must.Eq(t, "ok", body)
}

func TestPoolDiscardsAConnectionWithBytesAfterTheResponse(t *testing.T) {
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, ownResponse+"HTTP/1.1 200 OK\r\n") })
	p := newTestPool()
	for range 2 {
		_, err := readResponse(t, p, newGetCall(address(url)))
		must.NoError(t, err)
	}
	must.Eq(t, 2, p.ConnectionsOpened())
}

// A GET on a reused connection that the upstream closes without a response is not retried
// implicitly.
func TestPoolSendsOnce(t *testing.T) {
	url, requests := startServer(t, func(n int64, c net.Conn) {
		if n == 1 {
			_, _ = io.WriteString(c, ownResponse)
			return
		}
		c.Close()
	})
	p := newTestPool()
	_, err := readResponse(t, p, newGetCall(address(url)))
	must.NoError(t, err)
	_, err = readResponse(t, p, newGetCall(address(url)))
	must.ErrorIs(t, err, ErrUnknown)
	must.Eq(t, 2, requests.Load())
}

func TestPoolDoesNotUseAClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 1)
	url, requests := startServer(t, func(_ int64, c net.Conn) {
		_, _ = io.WriteString(c, ownResponse)
		c.Close()
		closed <- struct{}{}
	})
	p := newTestPool()
	for range 3 {
		_, err := readResponse(t, p, newGetCall(address(url)))
		must.NoError(t, err)
		<-closed
	}
	must.Eq(t, 3, requests.Load())
}

func TestPoolReportsRequestsThatWereNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	_, err = readResponse(t, newTestPool(), newGetCall(l.Addr().String()))
	must.ErrorIs(t, err, ErrNotSent)
	p := newTestPool()
	p.MaxOpenPerAddress = 1
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, ownResponse) })
	resp, err := p.Do(context.Background(), newGetCall(address(url)))
	must.NoError(t, err)
	_, err = p.Do(context.Background(), newGetCall(address(url)))
	must.ErrorIs(t, err, ErrConnectionLimit)
	must.NoError(t, resp.Body.Close())
}

func TestPoolReportsATruncatedResponse(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"garbage": "no answer at all\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := startServer(t, func(_ int64, c net.Conn) {
				_, _ = io.WriteString(c, answer)
				c.Close()
			})
			_, err := readResponse(t, newTestPool(), newGetCall(address(url)))
			must.ErrorIs(t, err, ErrUnknown)
		})
	}
}

// A response without framing is complete when the connection is closed, but not when it is reset.
func TestPoolDistinguishesAResetFromTheEndOfAResponse(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok"
	url, _ := startServer(t, func(_ int64, c net.Conn) {
		_, _ = io.WriteString(c, unframed)
		c.Close()
	})
	body, err := readResponse(t, newTestPool(), newGetCall(address(url)))
	must.NoError(t, err)
	must.Eq(t, "ok", body)
	reset, _ := startServer(t, func(_ int64, c net.Conn) {
		_, _ = io.WriteString(c, unframed)
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	_, err = readResponse(t, newTestPool(), newGetCall(address(reset)))
	must.ErrorIs(t, err, ErrUnknown)
}

func TestPoolClosesTheConnectionWhenItsContextEnds(t *testing.T) {
	arrived, gone := make(chan struct{}), make(chan struct{})
	url, _ := startServer(t, func(_ int64, c net.Conn) {
		close(arrived)
		_, _ = io.ReadAll(c)
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := newTestPool().Do(ctx, newGetCall(address(url)))
	must.True(t, errors.Is(err, ErrUnknown))
	<-gone
}

func TestPoolHonorsKeepAliveTimeout(t *testing.T) {
	p := NewPool(time.Second, 10*time.Second)
	must.Eq(t, 10*time.Second, p.idleTimeout(http.Header{}))
	must.Eq(t, 2*time.Second-idleTimeoutMargin, p.idleTimeout(http.Header{"Keep-Alive": {"max=5, timeout=2"}}))
	must.Eq(t, 10*time.Second, p.idleTimeout(http.Header{"Keep-Alive": {"timeout=60"}}))
}

func TestSweepClosesExpiredConnections(t *testing.T) {
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, ownResponse) })
	p := newTestPool()
	_, err := readResponse(t, p, newGetCall(address(url)))
	must.NoError(t, err)
	p.CloseExpired(time.Now().Add(time.Minute))
	must.MapEmpty(t, p.idleConns)
	must.MapEmpty(t, p.openCount)
}

// An upstream with too many connections resets new ones. A request that must not be retried must
// not be written in that case; otherwise its outcome is unknown (140 responses "may have run" in
// one incident).
func TestRequestIsNotSentOnANewConnectionThatIsReset(t *testing.T) {
	call := newGetCall(startListener(t, func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		c.Close()
	}))
	call.NewConnection = true
	_, err := readResponse(t, newTestPool(), call)
	must.ErrorIs(t, err, ErrNotSent)
}

func TestPoolLimitsIdleConnections(t *testing.T) {
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, ownResponse) })
	p := newTestPool()
	var open []*http.Response
	for range 2 * maxIdlePerAddress {
		resp, err := p.Do(context.Background(), newGetCall(address(url)))
		must.NoError(t, err)
		open = append(open, resp)
	}
	for _, resp := range open {
		_, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
	}
	must.Len(t, maxIdlePerAddress, p.idleConns[address(url)])
	must.Eq(t, maxIdlePerAddress, p.openCount[address(url)])
}

// Guards against a request that is written although its instance announced a limit while the
// connection was established, and against losing that connection.
func TestPoolWithholdsARequestBeforeItsFirstByte(t *testing.T) {
	url, requests := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, ownResponse) })
	p := newTestPool()
	call := newGetCall(address(url))
	call.Withhold = func() bool { return true }
	_, err := p.Do(t.Context(), call)
	must.ErrorIs(t, err, ErrWithheld)
	must.ErrorIs(t, err, ErrNotSent)
	must.Eq(t, 0, requests.Load())
	call.Withhold = func() bool { return false }
	_, err = readResponse(t, p, call)
	must.NoError(t, err)
	must.Eq(t, 1, p.ConnectionsOpened(), must.Sprint("connections"))
}
