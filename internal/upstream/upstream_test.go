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

// server answers each connection by the function and counts the requests that it
// read whole heads of.
func server(t *testing.T, answer func(n int64, c net.Conn)) (url string, requests *atomic.Int64) {
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

func request(t *testing.T, method, url, key string) *http.Request {
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
		_, err = New(time.Second).Do(request(t, http.MethodPost, url, ""), once)
		must.ErrorIs(t, err, ErrNotSent)
	}
}

func TestCutBeforeTheAnswerIsUnknown(t *testing.T) {
	url, _ := server(t, func(_ int64, c net.Conn) { c.Close() })
	_, err := New(time.Second).Do(request(t, http.MethodPost, url, ""), true)
	must.ErrorIs(t, err, ErrUnknown)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestOnceIsNeverReplayed: the transport takes an Idempotency-Key as leave to send
// a request again when a reused connection turns out closed. At-most-once requests
// must reach the upstream once whatever it does.
func TestOnceIsNeverReplayed(t *testing.T) {
	url, requests := server(t, func(n int64, c net.Conn) {
		if n == 1 {
			_, _ = c.Write([]byte(okAnswer)) // leaves a connection that could be reused
			return
		}
		c.Close()
	})
	client := New(time.Second)
	resp, err := client.Do(request(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	_, err = ReadWhole(resp, 10)
	must.NoError(t, err)
	resp.Body.Close()

	_, err = client.Do(request(t, http.MethodPost, url, "crew-call"), true)
	must.ErrorIs(t, err, ErrUnknown)
	must.Eq(t, int64(2), requests.Load())
}

func TestShortAndLongAnswersAreNotWhole(t *testing.T) {
	url, _ := server(t, func(_ int64, c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"))
		c.Close()
	})
	resp, err := New(time.Second).Do(request(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	_, err = ReadWhole(resp, 100)
	must.ErrorIs(t, err, ErrUnknown)

	url, _ = server(t, func(_ int64, c net.Conn) { _, _ = c.Write([]byte(okAnswer)) })
	resp, err = New(time.Second).Do(request(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	_, err = ReadWhole(resp, 1)
	must.ErrorIs(t, err, ErrTooLarge)
}

// TestConnectionWithAnAnswerOwedIsNotReused: closing a body before its end closes
// the connection, so the rest can't be read as the next answer.
func TestConnectionWithAnAnswerOwedIsNotReused(t *testing.T) {
	url, _ := server(t, func(n int64, c net.Conn) {
		if n == 1 {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst"))
			return
		}
		_, _ = c.Write([]byte(okAnswer))
	})
	client := New(time.Second)
	resp, err := client.Do(request(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	resp.Body.Close()
	resp, err = client.Do(request(t, http.MethodGet, url, ""), false)
	must.NoError(t, err)
	body, err := ReadWhole(resp, 10)
	must.NoError(t, err)
	must.Eq(t, "ok", string(body))
}
