package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// Guards against an answer without a length or chunks that looks whole because HasUnread was called after its
// connection was reset.
func TestHasUnreadDoesNotCompleteAResetAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	reset := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		<-reset
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	resp, err := NewPool(time.Second, time.Second).Do(t.Context(), &Call{Address: l.Addr().String(), Method: http.MethodGet, RequestTarget: "/", Host: "h"})
	must.NoError(t, err)
	defer resp.Body.Close()
	buf := make([]byte, 4)
	_, err = io.ReadFull(resp.Body, buf)
	must.NoError(t, err)
	must.False(t, HasUnread(resp))
	close(reset)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return HasUnread(resp) }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	_, err = io.ReadAll(resp.Body)
	must.ErrorIs(t, err, ErrUnknown)
}
