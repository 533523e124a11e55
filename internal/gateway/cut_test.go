package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// cutRoute is a kind of route whose answers are cut.
type cutRoute struct {
	kind       routes.Kind
	resumable  bool
	repeatable bool
}

var cutRoutes = map[string]cutRoute{
	"stream":              {routes.Stream, true, true},
	"stream, not resumed": {routes.Stream, false, false},
	"plain":               {routes.Idempotent, false, true},
	"plain, at most once": {routes.AtMostOnce, false, false},
}

// cutEvents is the number of events of a whole stream.
const cutEvents = 2

// cutAnswer is the whole answer to a send, in the parts before and after the empty line.
type cutAnswer struct{ head, rest, body string }

func (r cutRoute) answer(s *simSend, f framing) cutAnswer {
	a := cutAnswer{body: plainBody(s.replica)}
	if r.kind == routes.Stream {
		a.body = strings.Join(s.simEvents(s.lastEventID+1, cutEvents), "")
	}
	a.head = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: %s\r\n", s.requestID, s.replica)
	a.rest = a.body
	switch f {
	case chunked:
		a.head += "Transfer-Encoding: chunked\r\n"
		a.rest = chunk(a.body[:len(a.body)/2]) + chunk(a.body[len(a.body)/2:]) + "0\r\n\r\n"
	case withLength:
		a.head += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	a.head += "\r\n"
	return a
}

// plainBody is the body of a replica's answer to a request that is not a stream.
func plainBody(replica string) string { return "the whole answer of " + replica }

// cutCase is a request whose first answer ends after some bytes.
type cutCase struct {
	route   cutRoute
	framing framing
	end     ending // of all answers that are cut
	sent    int    // bytes of the first answer
	second  string // how the next replica answers, of cutSeconds
}

// cutOutcome is what the replicas did.
type cutOutcome struct {
	first cutAnswer
	sends int
	last  string // what the last of them sent
}

// cutSeconds tell how many bytes of its answer the next replica sends.
var cutSeconds = map[string]func(a cutAnswer) int{
	"whole":          func(a cutAnswer) int { return len(a.head) + len(a.rest) },
	"cut after head": func(a cutAnswer) int { return len(a.head) },
	"cut in body":    func(a cutAnswer) int { return len(a.head) + len(a.rest)/2 },
	"12 bytes":       func(cutAnswer) int { return 12 },
}

// run plays the case. It returns false if the first answer is not that long.
func (c cutCase) run(t *testing.T, r *moveRig) bool {
	route := streamRoute(r.attempts)
	route.Kind, route.Resumable = c.route.kind, c.route.resumable
	r.config.Store(&Config{Table: routes.Compile(&routes.Config{Version: 1, Routes: []routes.Route{route}, Services: []routes.Service{{Name: simService}}}),
		ProvedAt: r.gateway.Clock.Now()})
	var o cutOutcome
	r.simFleet.serve = func(s *simSend) {
		a := c.route.answer(s, c.framing)
		text, sent := a.head+a.rest, cutSeconds[c.second](a)
		if o.sends++; o.sends == 1 {
			o.first, sent = a, c.sent
		}
		sent = min(sent, len(text))
		o.last = text[:sent]
		if sent < len(text) || c.framing == unframed {
			s.conn.response.write([]byte(o.last), connectionError[c.end])
		} else {
			s.conn.response.write([]byte(o.last), nil)
		}
	}
	call := r.call("x", cutEvents)
	<-call.done
	c.check(t, call, o)
	return c.sent < len(o.first.head)+len(o.first.rest)
}

// check checks what the caller got.
func (c cutCase) check(t *testing.T, call *simCaller, o cutOutcome) {
	what := must.Sprintf("%+v: status %d, aborted %t, header %v, body %q", c, call.status, call.aborted, call.header, call.body.String())
	if !c.route.repeatable {
		must.Eq(t, 1, o.sends, what)
	}
	// A close ends an answer without length and chunks like its end does.
	unmarked := c.framing == unframed && c.end == closed
	firstIsWhole := c.sent >= len(o.first.head)+len(o.first.rest) && (unmarked || c.framing != unframed)
	if firstIsWhole || c.route.repeatable && c.second == "whole" && (unmarked || c.framing != unframed) {
		must.Eq(t, http.StatusOK, call.status, what)
		must.False(t, call.aborted, what)
	}
	if call.status != http.StatusOK {
		must.Eq(t, http.StatusBadGateway, call.status, what)
		must.False(t, call.aborted, what)
		return
	}
	must.SliceLen(t, 1, call.header["Signature"], what)
	signature, body := call.header.Get("Signature"), call.body.String()
	if c.route.kind != routes.Stream {
		must.False(t, call.aborted, what)
		must.Eq(t, strconv.Itoa(len(body)), call.header.Get("Content-Length"), what)
		if unmarked {
			must.StrHasPrefix(t, body, plainBody(signature), what)
			must.NotEq(t, "", body, what)
		} else {
			must.Eq(t, plainBody(signature), body, what)
		}
		return
	}
	replicas := call.received(t)
	must.SliceNotEmpty(t, replicas, what)
	must.Eq(t, replicas[0], signature, what)
	if !call.aborted && len(replicas) < cutEvents {
		must.True(t, unmarked && strings.HasSuffix(o.last, "\n\n"), what)
	}
}

// Guards against answers that an instance cut, also inside their head, and that the caller gets as whole ones or with
// the body of another answer.
func TestCallerGetsNoCutAnswerAsAWholeOne(t *testing.T) {
	for name, route := range cutRoutes {
		for _, f := range []framing{chunked, withLength, unframed} {
			for _, end := range []ending{closed, reset} {
				for second := range cutSeconds {
					step := 1
					if second != "whole" {
						step = 13
					}
					t.Run(fmt.Sprintf("%s, %s, %s, then %s", name, f, end, second), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							defer time.Sleep(time.Minute) // the goroutines of the daemons and the replicas end
							for sent := 0; playCutCase(t, cutCase{route, f, end, sent, second}); sent += step {
							}
						})
					})
				}
			}
		}
	}
}

// playCutCase runs a case at a new daemon.
func playCutCase(t *testing.T, c cutCase) (more bool) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	r := newMoveRig(ctx, rigOptions{replicas: 2, attempts: 2, retries: 5})
	defer r.simFleet.close()
	return c.run(t, r)
}
