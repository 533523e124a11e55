package embedded

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/problem"
)

// resettingService answers each request with a part of its answer, without a length or chunks, before it reads the
// body, and then resets the connection.
func resettingService(t *testing.T) (address string) {
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
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// TestResetAnswerOfAServiceIsNotWhole guards against callers that get a part of an answer as a whole one, because a
// service answered a large request before it had read it, and its connection was then reset.
func TestResetAnswerOfAServiceIsNotWhole(t *testing.T) {
	s := start(t, Options{Daemons: 1, VMs: 1, GroupSize: 1, Adjust: map[string]string{"limits.max_body_bytes": "10000000"}})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	d := s.Daemons[0]
	text, err := d.Operator().Entry(ctx, ref("service", Service))
	must.NoError(t, err)
	_, err = d.Operator().Apply(ctx, "edit.ini", []byte(strings.ReplaceAll(text, s.ServiceAddress, resettingService(t))))
	must.NoError(t, err)
	body := strings.Repeat("x", 8<<20) // does not fit into socket buffers
	whole := 0
	for i := range 30 {
		key := fmt.Sprint("reset-", i)
		r := send(d, "/services/"+Service+"/x", body, "Idempotency-Key", key)
		if r.err == nil && r.status == http.StatusOK {
			whole++
			continue
		}
		must.Eq(t, http.StatusBadGateway, r.status, must.Sprint(r.body, r.err))
		must.Eq(t, problem.MayHaveRun, r.problem.Outcome)
	}
	must.Zero(t, whole, must.Sprint("parts of answers that callers got as whole ones"))
}
