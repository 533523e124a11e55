package upstream

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
)

// scriptedConn is a connection to an upstream that sends one answer for each request, and ends after the last one.
// Like a socket it returns the error of a reset once, and then io.EOF.
type scriptedConn struct {
	net.Conn // unused methods
	answers  []string
	end      error
	step     int // largest number of bytes that a read returns; 0: no limit
	requests int
	sent     chan string
	pending  string
	closed   chan struct{}
	once     sync.Once
}

func newScriptedConn(end error, step int, answers ...string) *scriptedConn {
	return &scriptedConn{answers: answers, end: end, step: step, sent: make(chan string, len(answers)), closed: make(chan struct{})}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	for c.pending == "" {
		select {
		case answer, ok := <-c.sent:
			if !ok {
				err := c.end
				c.end = io.EOF
				return 0, err
			}
			c.pending = answer
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	if c.step > 0 {
		p = p[:min(len(p), c.step)]
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.sent <- c.answers[c.requests]
	if c.requests++; c.requests == len(c.answers) {
		close(c.sent)
	}
	return len(p), nil
}

func (c *scriptedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// scriptedAnswer is a whole answer of an upstream to the request of newGetCall.
type scriptedAnswer struct {
	method     string // of the request; empty: GET
	head, rest string // what is sent up to the empty line, and after it
	body       string
}

func (a scriptedAnswer) whole() string { return a.head + a.rest }

// unframed reports whether only the end of the connection ends the body.
func (a scriptedAnswer) unframed() bool {
	return a.rest != "" && a.rest == a.body && !strings.Contains(a.head, "Length")
}

var (
	// scriptedBody begins with what ends a body in chunks, and contains a whole head and the end of an event.
	scriptedBody   = "0\r\n\r\nid: 1\n\nHTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 89) // 120 bytes
	scriptedChunks = "1\r\n0\r\n" + fmt.Sprintf("%x;x=0\r\n%s\r\n", len(scriptedBody)-1, scriptedBody[1:])
)

const chunkedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

var scriptedAnswers = map[string]scriptedAnswer{
	"length":               {"", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 120\r\n\r\n", scriptedBody, scriptedBody},
	"length before others": {"", "HTTP/1.1 200 OK\r\nContent-Length: 120\r\nX-A: \r\nId: 1\r\n\r\n", scriptedBody, scriptedBody},
	"length twice":         {"", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 120\r\nContent-Length: 120\r\n\r\n", scriptedBody, scriptedBody},
	"length 0":             {"", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "", ""},
	"last response":        {"", "HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1\r\nContent-Length: 120\r\n\r\n", scriptedBody, scriptedBody},
	"chunks":               {"", chunkedHead, scriptedChunks + "0\r\n\r\n", scriptedBody},
	"no chunk":             {"", chunkedHead, "0\r\n\r\n", ""},
	"trailers":             {"", chunkedHead, scriptedChunks + "0\r\nX-A: b\r\nX-B: c\r\n\r\n", scriptedBody},
	"end of connection":    {"", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", scriptedBody, scriptedBody},
	"HTTP/1.0":             {"", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", scriptedBody, scriptedBody},
	"no reason":            {"", "HTTP/1.1 200\r\nId: 1\r\nContent-Length: 120\r\n\r\n", scriptedBody, scriptedBody},
	"folded header":        {"", "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n\t\r\nId: 1\r\nContent-Length: 120\r\n \r\n\r\n", scriptedBody, scriptedBody},
	"line feeds only":      {"", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 120\n\n", scriptedBody, scriptedBody},
	"long header":          {"", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("b", readBufferBytes) + "\r\nId: 1\r\nContent-Length: 120\r\n\r\n", scriptedBody, scriptedBody},
	"interim responses":    {"", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 120\r\n\r\n", scriptedBody, scriptedBody},
	"no content":           {"", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", "", ""},
	"not modified":         {"", "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 120\r\n\r\n", "", ""},
	"failure":              {"", "HTTP/1.1 500 Failed\r\nId: 1\r\nContent-Length: 120\r\n\r\n", scriptedBody, scriptedBody},
	"to HEAD":              {http.MethodHead, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 120\r\n\r\n", "", ""},
	"to HEAD, chunks":      {http.MethodHead, chunkedHead, "", ""},
	"to HEAD, no length":   {http.MethodHead, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "", ""},
}

// ends are the errors with which a connection ends after an answer.
var ends = map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET}

// checkCutAnswer checks the outcome of an answer of which the first bytes were sent before the connection ended.
func checkCutAnswer(t *testing.T, a scriptedAnswer, sent int, end error, body []byte, err error) {
	t.Helper()
	inUnframedBody := a.unframed() && sent > len(a.head)
	switch {
	case inUnframedBody && end == io.EOF:
		// Nothing tells such an answer from a whole one.
		must.NoError(t, err)
		must.Eq(t, a.body[:sent-len(a.head)], string(body))
	case !inUnframedBody && sent == len(a.whole()):
		must.NoError(t, err)
		must.Eq(t, a.body, string(body))
	default:
		must.ErrorIs(t, err, ErrUnknown, must.Sprintf("%q, then %v", a.whole()[:sent], end))
	}
}

// Guards against answers that were cut, also inside their head, and look whole, and against answers to HEAD without a
// length that look cut.
func TestPoolTakesNoCutAnswerForAWholeOne(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold"
	connections := map[string]struct {
		step          int
		first, before string // an answer to an earlier request; what precedes the answer
	}{
		"new connection":           {},
		"slow upstream":            {step: 1},
		"reused connection":        {first: ownResponse},
		"after a foreign response": {before: foreign},
	}
	for name, a := range scriptedAnswers {
		for kind, c := range connections {
			// A long head takes long, and the foreign response has a body.
			if kind != "new connection" && len(a.head) > readBufferBytes || c.before != "" && a.method == http.MethodHead {
				continue
			}
			for end, endError := range ends {
				t.Run(name+", "+kind+", "+end, func(t *testing.T) {
					for sent := range len(a.whole()) + 1 {
						answers := []string{c.before + a.whole()[:sent]}
						if c.first != "" {
							answers = append([]string{c.first}, answers...)
						}
						p := newTestPool()
						conn := newScriptedConn(endError, c.step, answers...)
						p.Dial = func(context.Context, string, string) (net.Conn, error) { return conn, nil }
						if c.first != "" {
							_, err := readResponse(t, p, newGetCall("a"))
							must.NoError(t, err)
						}
						call := newGetCall("a")
						call.Method = cmp.Or(a.method, call.Method)
						body, err := readWholeResponse(p, call)
						checkCutAnswer(t, a, sent, endError, body, err)
						must.Eq(t, len(answers), conn.requests)
					}
				})
			}
		}
	}
}

// readWholeResponse sends a request and reads its response as the daemon does.
func readWholeResponse(p *Pool, call *Call) ([]byte, error) {
	resp, err := p.Do(context.Background(), call)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return ReadWhole(resp, 1<<10)
}

// Guards against a response to another request that was cut, and whose end is taken from the next response.
func TestPoolTakesNoAnswerAfterACutForeignResponse(t *testing.T) {
	for name, a := range scriptedAnswers {
		if a.method != "" || a.unframed() || len(a.head) > readBufferBytes {
			continue
		}
		foreign := strings.Replace(a.whole(), "Id: 1", "Id: 0", 1)
		for end, endError := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				for sent := range len(foreign) {
					p := newTestPool()
					p.Dial = func(context.Context, string, string) (net.Conn, error) {
						return newScriptedConn(endError, 0, foreign[:sent]), nil
					}
					_, err := readWholeResponse(p, newGetCall("a"))
					must.Error(t, err)
					must.True(t, errors.Is(err, ErrUnknown) || errors.Is(err, ErrForeignResponse), must.Sprint(err))
				}
			})
		}
	}
}

// Guards against the body of one response under the status and signature of another, whose head broke off where the
// other one begins.
func TestHeadThatBreaksOffIsNotCompletedByTheNextResponse(t *testing.T) {
	const next = "HTTP/1.1 500 Failed\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	for name, a := range scriptedAnswers {
		if len(a.head) > readBufferBytes || strings.HasPrefix(a.head, "HTTP/1.1 100") {
			continue
		}
		for sent := 1; sent < len(a.head); sent++ {
			dial := func(context.Context, string, string) (net.Conn, error) {
				return newScriptedConn(io.EOF, 0, a.head[:sent]+next), nil
			}
			p := newTestPool()
			p.Dial = dial
			call := newGetCall("a")
			call.Method = cmp.Or(a.method, call.Method)
			_, err := readWholeResponse(p, call)
			must.ErrorIs(t, err, ErrUnknown, must.Sprintf("%s, %q", name, a.head[:sent]))
			client := New(time.Second)
			client.fresh.Transport.(*http.Transport).DialContext = dial
			_, err = client.Do(newRequest(t, call.Method, "http://a/", ""), true)
			must.ErrorIs(t, err, ErrUnknown, must.Sprintf("%s, %q", name, a.head[:sent]))
		}
	}
}

// Guards against a change of protocol, which no request asks for, that is passed on or recorded as an answer.
func TestSwitchedProtocolIsNoAnswer(t *testing.T) {
	dial := func(context.Context, string, string) (net.Conn, error) {
		return newScriptedConn(io.EOF, 0, "HTTP/1.1 101 Switching Protocols\r\n\r\n"+ownResponse), nil
	}
	p := newTestPool()
	p.Dial = dial
	_, err := readWholeResponse(p, newGetCall("a"))
	must.ErrorIs(t, err, ErrInvalidStatus)
	must.ErrorIs(t, err, ErrUnknown)
	client := New(time.Second)
	client.fresh.Transport.(*http.Transport).DialContext = dial
	_, err = client.Do(newRequest(t, http.MethodPost, "http://a/", ""), true)
	must.ErrorIs(t, err, ErrInvalidStatus)
	must.ErrorIs(t, err, ErrUnknown)
}

// The same as TestPoolTakesNoCutAnswerForAWholeOne for the client of plain services.
func TestClientTakesNoCutAnswerForAWholeOne(t *testing.T) {
	for name, a := range scriptedAnswers {
		for end, endError := range ends {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, once %t", name, end, once), func(t *testing.T) {
					step := max(1, len(a.head)/readBufferBytes*100)
					for sent := 0; sent <= len(a.whole()); sent += step {
						client, dials := New(time.Second), 0
						dial := func(context.Context, string, string) (net.Conn, error) {
							dials++
							return newScriptedConn(endError, 0, a.whole()[:sent]), nil
						}
						client.pooled.Transport.(*http.Transport).DialContext = dial
						client.fresh.Transport.(*http.Transport).DialContext = dial
						body, err := func() ([]byte, error) {
							resp, err := client.Do(newRequest(t, cmp.Or(a.method, http.MethodGet), "http://a/", ""), once)
							if err != nil {
								return nil, err
							}
							defer resp.Body.Close()
							return ReadWhole(resp, 1<<10)
						}()
						client.pooled.CloseIdleConnections()
						checkCutAnswer(t, a, sent, endError, body, err)
						must.Eq(t, 1, dials)
					}
				})
			}
		}
	}
}
