package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// largeBody does not fit into socket buffers: its write waits until the upstream reads or the connection ends.
var largeBody = make([]byte, 16<<20)

// answerEarly serves connections that answer with a part of a body, without a length or chunks, before the body of
// the request is read, and are reset once reset returns.
func answerEarly(t *testing.T, reset func()) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				reset()
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// heldConn is a connection whose writes return late if they fail, as in a process that is short of processor time.
type heldConn struct {
	net.Conn
	failed  func() // called before a write is held
	release <-chan struct{}
}

func (c heldConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed()
		<-c.release
	}
	return n, err
}

// holdWrites makes the connections of a client hold back the errors of writes.
func holdWrites(client *http.Client, failed func(), release <-chan struct{}) {
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return heldConn{conn, failed, release}, nil
	}
}

// Guards against an answer without a length or chunks that looks whole because the write of the request's body had
// failed, and taken the reset, before the answer was read to its end.
func TestFailedWriteDoesNotCompleteAResetAnswer(t *testing.T) {
	for name, once := range map[string]bool{"kept connection": false, "new connection": true} {
		t.Run(name, func(t *testing.T) {
			reset, failed, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
			defer close(release)
			address := answerEarly(t, func() { <-reset })
			client := New(time.Second)
			reportFailed := sync.OnceFunc(func() { close(failed) })
			holdWrites(client.pooled, reportFailed, release)
			holdWrites(client.fresh, reportFailed, release)
			resp, err := client.Do(putLarge(t, address), once)
			must.NoError(t, err)
			defer resp.Body.Close()
			close(reset)
			<-failed
			_, err = ReadWhole(resp, 1<<10)
			must.ErrorIs(t, err, ErrUnknown)
		})
	}
}

// Guards against the same while the answer is being read.
func TestResetAnswerIsNotWholeBesideAWrite(t *testing.T) {
	address := answerEarly(t, func() { time.Sleep(5 * time.Millisecond) })
	client := New(time.Second)
	answered, whole := 0, 0
	for range 100 {
		resp, err := client.Do(putLarge(t, address), false)
		if err != nil {
			continue // the write failed before the head of the answer was read
		}
		answered++
		if _, err := ReadWhole(resp, 1<<10); err == nil {
			whole++
		}
		_ = resp.Body.Close()
	}
	must.Positive(t, answered)
	must.Zero(t, whole, must.Sprint("reset answers that looked whole, of ", answered))
}

func putLarge(t *testing.T, address string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+address, bytes.NewReader(largeBody))
	must.NoError(t, err)
	return req
}

// Guards against an answer without a length or chunks that looks whole because HasUnread was called after its
// connection had ended: the upstream did not read the request for longer than sent bytes may stay unacknowledged.
func TestHasUnreadDoesNotCompleteAnAnswerThatTimedOut(t *testing.T) {
	t.Parallel()
	address := answerEarly(t, func() { <-t.Context().Done() })
	body := make([]byte, 1<<20) // fits into the sender's buffer, and not into the receiver's
	resp, err := NewPool(time.Second, time.Second).Do(t.Context(), &Call{Address: address, Method: http.MethodPut, RequestTarget: "/", Host: "h", Body: body})
	must.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, 4))
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return HasUnread(resp) }), wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond)))
	_, err = io.ReadAll(resp.Body)
	must.ErrorIs(t, err, ErrUnknown)
}
