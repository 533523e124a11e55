package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/upstream"
)

// endingConn is a connection whose reads end after a number of bytes. Like a socket it returns the error of a
// reset once, and then io.EOF.
type endingConn struct {
	net.Conn
	left int
	end  error
}

func (c *endingConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		err := c.end
		c.end = io.EOF
		return 0, err
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// answerOnce connects to an instance that answers one request in parts, each of which becomes a frame.
func answerOnce(answer string) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			_, _ = far.Read(make([]byte, 1<<10))
			for part := range strings.Lines(answer) {
				if _, err := io.WriteString(far, part); err != nil {
					return
				}
			}
		}()
		return near, nil
	}
}

// ends are the errors with which a connection ends.
var ends = map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET}

// tunneledAnswers are whole answers whose body is tunneledBody, with the size of their head.
var tunneledAnswers = func() map[string]tunneledAnswer {
	out := map[string]tunneledAnswer{}
	for framing, parts := range map[string][2]string{
		"length":            {"Content-Length: 18\r\n", tunneledBody},
		"chunks":            {"Transfer-Encoding: chunked\r\n", "12\r\n" + tunneledBody + "\r\n0\r\n\r\n"},
		"end of connection": {"", tunneledBody},
	} {
		head := "HTTP/1.1 200 OK\r\nX-A: b\r\n" + parts[0] + "\r\n"
		out[framing] = tunneledAnswer{text: head + parts[1], headBytes: len(head), unframed: parts[0] == ""}
	}
	return out
}()

const tunneledBody = "id: 1\n\nid: 2\n\n0\r\n\n"

type tunneledAnswer struct {
	text      string
	headBytes int
	unframed  bool
}

// get sends a request through a tunnel and reads the whole response.
func (r *testRig) get(ctx context.Context) (string, error) {
	pool := upstream.NewPool(time.Second, time.Minute)
	pool.Dial = r.dialer.DialContext
	defer func() { pool.CloseExpired(time.Now().Add(time.Hour)) }()
	resp, err := pool.Do(ctx, &upstream.Call{Address: testAddress, Method: http.MethodGet, RequestTarget: "/", Host: "h"})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := upstream.ReadWhole(resp, 1<<10)
	return string(body), err
}

// Guards against answers that an instance cut, and that look whole behind a tunnel.
func TestAnswerCutByTheInstanceIsNotWhole(t *testing.T) {
	for name, a := range tunneledAnswers {
		for end, endError := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					for sent := range len(a.text) + 1 {
						r := newTestRig()
						for _, p := range r.peers {
							p.connect = func(ctx context.Context) (net.Conn, error) {
								conn, err := answerOnce(a.text)(ctx)
								return &endingConn{conn, sent, endError}, err
							}
						}
						body, err := r.get(t.Context())
						inUnframedBody := a.unframed && sent > a.headBytes
						switch {
						case inUnframedBody && endError == io.EOF:
							// Nothing tells such an answer from a whole one.
							must.NoError(t, err)
							must.Eq(t, tunneledBody[:sent-a.headBytes], body)
						case !inUnframedBody && sent == len(a.text):
							must.NoError(t, err)
							must.Eq(t, tunneledBody, body)
						default:
							must.ErrorIs(t, err, upstream.ErrUnknown, must.Sprintf("%d bytes", sent))
						}
					}
				})
			})
		}
	}
}

// Guards against answers that look whole because the peer was lost, also where only the end of the connection
// ends the body.
func TestAnswerCutByTheLossOfThePeerIsNotWhole(t *testing.T) {
	for name, a := range tunneledAnswers {
		for end, endError := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					wholeAt := 0
					for received := 0; wholeAt == 0; received++ {
						r := newTestRig()
						for _, p := range r.peers {
							p.connect = answerOnce(a.text)
						}
						r.dialer.DialPeer = func(ctx context.Context, network, address string) (net.Conn, error) {
							conn, err := r.dialPeer(ctx, network, address)
							return &endingConn{conn, received, endError}, err
						}
						body, err := r.get(t.Context())
						if err != nil {
							continue
						}
						must.Eq(t, tunneledBody, body)
						wholeAt = received
					}
					must.Greater(t, len(a.text)+headerBytes, wholeAt)
					if a.unframed {
						frames := strings.Count(a.text, "\n")
						reply, err := encodeLine(openReply{Version: "2.0", ID: 1, Result: &openResult{1, 8}})
						must.NoError(t, err)
						must.Eq(t, len(reply)+len(a.text)+(frames+1)*headerBytes, wholeAt, must.Sprint("with the mark of the end"))
					}
				})
			})
		}
	}
}
