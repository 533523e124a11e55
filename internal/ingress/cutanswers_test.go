package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"pearlanding/internal/link"
)

// flush sends what was written of an answer.
func flush(t testing.TB, w http.ResponseWriter) {
	must.NoError(t, http.NewResponseController(w).Flush())
}

// open returns the number of connections.
func (g *testGuard) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// get10 sends a request as an HTTP/1.0 caller.
func get10(t testing.TB, c net.Conn, extra string) {
	write(t, c, "GET / HTTP/1.0\r\n"+extra+"\r\n")
}

// unread is a header of a body that is not sent.
const unread = "Content-Length: 1000000\r\n"

// readCut receives a part of an answer, calls cut, and returns the error with which the answer ends.
func readCut(t *testing.T, c net.Conn, cut func()) error {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len("part")))
	must.NoError(t, err)
	cut()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against cut answers that HTTP/1.0 callers take for whole ones, as these have neither a length nor chunks.
func TestCutAnswerIsNoWholeOneForHTTP10Callers(t *testing.T) {
	lastWriteFails := func(_ *testGuard, w http.ResponseWriter) {
		_, _ = io.WriteString(w, "lost")
		_ = http.NewResponseController(w).SetWriteDeadline(longAgo)
	}
	for name, c := range map[string]struct {
		header string
		cut    func(g *testGuard, w http.ResponseWriter) // in the handler
	}{
		"aborted":                        {"", func(*testGuard, http.ResponseWriter) { panic(http.ErrAbortHandler) }},
		"server closed":                  {"", func(g *testGuard, _ http.ResponseWriter) { g.server.Close() }},
		"last write failed":              {"", lastWriteFails},
		"last write failed, body unread": {unread, lastWriteFails},
		"replaced": {unread, func(g *testGuard, _ http.ResponseWriter) {
			g.dial(t)
			g.until(t, 1, phaseNew)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGuard(t, func(o *Options) { o.MaxConns = 1 })
			received := make(chan bool)
			g.handler = func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				flush(t, w)
				<-received
				c.cut(g, w)
			}
			conn := g.dial(t)
			get10(t, conn, c.header)
			must.ErrorIs(t, readCut(t, conn, func() { close(received) }), syscall.ECONNRESET)
		})
	}
}

// Guards against answers that a process cut as it ended, likewise.
func TestAnswerCutByTheEndOfItsProcessIsNoWholeOneForHTTP10Callers(t *testing.T) {
	const inChild = "INGRESS_TEST_CHILD"
	if os.Getenv(inChild) != "" {
		g := startGuard(t, nil)
		g.handler = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			flush(t, w)
			select {}
		}
		fmt.Println(g.address)
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), inChild+"=1")
	stdin, err := child.StdinPipe()
	must.NoError(t, err)
	stdout, err := child.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, child.Start())
	defer func() { _ = child.Wait() }()
	defer stdin.Close()
	address, err := bufio.NewReader(stdout).ReadString('\n')
	must.NoError(t, err)
	conn := (&testGuard{address: strings.TrimSpace(address)}).dial(t)
	get10(t, conn, "")
	must.ErrorIs(t, readCut(t, conn, func() { stdin.Close() }), syscall.ECONNRESET)
}

// Whole answers to HTTP/1.0 callers end in order, also when the callers read them late.
func TestWholeAnswerToHTTP10CallersEndsInOrder(t *testing.T) {
	g := startGuard(t, nil)
	text := strings.Repeat("x", 128<<10)
	g.handler = func(w http.ResponseWriter, r *http.Request) {
		must.NoError(t, r.Context().Value(connKey{}).(*conn).Conn.(*net.TCPConn).SetWriteBuffer(len(text)))
		flush(t, w)
		_, _ = io.WriteString(w, text)
	}
	dialer := net.Dialer{Control: link.SetReceiveBuffer(16 << 10)} // most is still to be sent when the connection is closed
	c, err := dialer.DialContext(t.Context(), "tcp", g.address)
	must.NoError(t, err)
	defer c.Close()
	get10(t, c, "")
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return g.handled.Load() == 1 && g.open() == 0 }), wait.Timeout(time.Minute), wait.Gap(time.Millisecond)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	got, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, len(text), len(got))
}

// A connection that an HTTP/1.0 caller keeps ends in order when it has been idle for too long.
func TestIdleConnectionOfHTTP10CallersEndsInOrder(t *testing.T) {
	g := startGuard(t, nil)
	c := g.dial(t)
	get10(t, c, "Connection: keep-alive\r\n")
	reader := bufio.NewReader(c)
	answer(t, reader)
	g.until(t, 1, phaseIdle)
	g.advance(2 * time.Hour)
	_, err := reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
