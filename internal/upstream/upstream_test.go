package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startServer starts a server that calls answer for each request and counts the requests whose
// header it has read.
func startServer(t *testing.T, answer func(n int64, c net.Conn)) (url string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					answer(requests.Add(1), c)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), requests
}

// startListener accepts connections, calls onAccept for each, and returns its address. It closes them at
// the end of the test.
func startListener(t *testing.T, onAccept func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close() // when the listener is closed
			onAccept(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func newRequest(t *testing.T, method, url, key string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(""))
	must.NoError(t, err)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return req
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	url := "http://" + listener.Addr().String()
	listener.Close()
	for _, once := range []bool{false, true} {
		_, err = New(time.Second).Do(newRequest(t, http.MethodPost, url, ""), once)
		must.ErrorIs(t, err, ErrNotSent)
	}
}

func TestConnectionClosedBeforeTheResponseIsUnknown(t *testing.T) {
	url, _ := startServer(t, func(_ int64, c net.Conn) { c.Close() })
	_, err := New(time.Second).Do(newRequest(t, http.MethodPost, url, ""), true)
	must.ErrorIs(t, err, ErrUnknown)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against implicit retries: the standard transport retries a request with an
// Idempotency-Key when a reused connection turns out to be closed. A request that must run at
// most once must reach the upstream only once whatever the upstream does.
func TestAtMostOnceRequestIsNeverReplayed(t *testing.T) {
	url, requests := startServer(t, func(n int64, c net.Conn) {
		if n == 1 {
			_, _ = c.Write([]byte(okResponse)) // leaves a reusable connection
			return
		}
		c.Close()
	})
	client := New(time.Second)
	resp, err := client.Do(newRequest(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	_, err = ReadWhole(resp, 10)
	must.NoError(t, err)
	resp.Body.Close()

	_, err = client.Do(newRequest(t, http.MethodPost, url, "crew-call"), true)
	must.ErrorIs(t, err, ErrUnknown)
	must.Eq(t, int64(2), requests.Load())
}

func TestTruncatedAndOversizedResponsesAreErrors(t *testing.T) {
	url, _ := startServer(t, func(_ int64, c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"))
		c.Close()
	})
	resp, err := New(time.Second).Do(newRequest(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	_, err = ReadWhole(resp, 100)
	must.ErrorIs(t, err, ErrUnknown)

	url, _ = startServer(t, func(_ int64, c net.Conn) { _, _ = c.Write([]byte(okResponse)) })
	resp, err = New(time.Second).Do(newRequest(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	_, err = ReadWhole(resp, 1)
	must.ErrorIs(t, err, ErrTooLarge)
}

// Closing a body before its end must close the connection, so that the rest can't be read as the
// next response.
func TestConnectionWithAnUnreadResponseIsNotReused(t *testing.T) {
	url, _ := startServer(t, func(n int64, c net.Conn) {
		if n == 1 {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst"))
			return
		}
		_, _ = c.Write([]byte(okResponse))
	})
	client := New(time.Second)
	resp, err := client.Do(newRequest(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	resp.Body.Close()
	resp, err = client.Do(newRequest(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	body, err := ReadWhole(resp, 10)
	must.NoError(t, err)
	must.Eq(t, "ok", string(body))
}
