package gateway

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// framing is what marks the end of a replica's response.
type framing string

const (
	chunked    framing = "chunks"
	withLength framing = "length"
	unframed   framing = "end of connection"
)

// ending is how a replica ends its answer after some events.
type ending string

const (
	marked      ending = "marked"      // the framing says that there is no more
	closed      ending = "closed"      // only the connection ends
	insideEvent ending = "insideEvent" // the connection ends inside the next event
	reset       ending = "reset"
	peerLost    ending = "peer lost" // the daemon through which the answer comes ends; see tunnel.Conn.Read
)

// connectionError is the error of a read after an ending.
var connectionError = map[ending]error{closed: io.EOF, insideEvent: io.EOF, reset: syscall.ECONNRESET, peerLost: io.ErrUnexpectedEOF}

// endedAnswer sends the events of an answer up to the last one, and ends it.
func (s *simSend) endedAnswer(f framing, events []string, end ending) {
	body, rest := "", ""
	for _, ev := range events {
		body += ev
	}
	if end == insideEvent {
		rest = "id: 99\nda"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: %s\r\nContent-Type: text/event-stream\r\n", s.requestID, s.replica)
	switch f {
	case chunked:
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		if body+rest != "" {
			text += chunk(body + rest)
		}
		if end == marked {
			text += "0\r\n\r\n"
		}
		s.conn.response.write([]byte(text), nil)
	case withLength:
		length := len(body)
		if end != marked {
			length += 50
		}
		s.conn.response.write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s%s", head, length, body, rest), nil)
	case unframed:
		s.conn.response.write([]byte(head+"\r\n"+body+rest), nil)
	}
	if end != marked {
		s.failed.Store(true)
		s.conn.response.fail(connectionError[end])
	}
}

// simEvents returns events of a replica's answer.
func (s *simSend) simEvents(from, to int) (out []string) {
	for id := from; id <= to; id++ {
		out = append(out, simEvent(s.requestID, id, s.replica))
	}
	return out
}

// answerEnds are the ends of answers, with what they prove. Each comes after a number of events that the caller
// does not have: none means that the answer ends after its head, or after what is said.
var answerEnds = []struct {
	framing   framing
	end       ending
	newEvents int
	before    func(s *simSend) []string // further events before the new ones; nil: none
	what      string
	complete  bool // proved
}{
	{chunked, marked, 0, nil, "", true}, // but no whole stream
	{withLength, marked, 0, nil, "", true},
	{chunked, marked, 2, nil, "", true},
	{withLength, marked, 2, nil, "", true},
	{unframed, closed, 2, nil, "", true},
	{chunked, closed, 0, nil, "", false},
	{withLength, closed, 0, nil, "", false},
	{unframed, closed, 0, nil, "", false},
	{chunked, closed, 2, nil, "", false},
	{withLength, closed, 2, nil, "", false},
	{chunked, insideEvent, 2, nil, "", false},
	{withLength, insideEvent, 2, nil, "", false},
	{unframed, insideEvent, 2, nil, "", false},
	{unframed, insideEvent, 0, nil, "", false},
	{unframed, reset, 0, nil, "", false},
	{unframed, reset, 2, nil, "", false},
	{chunked, reset, 2, nil, "", false},
	{unframed, peerLost, 0, nil, "", false},
	{unframed, peerLost, 2, nil, "", false},
	{unframed, closed, 0, func(s *simSend) []string { return s.simEvents(1, s.lastEventID) }, "after events that the caller has", false},
	{chunked, closed, 0, func(s *simSend) []string { return s.simEvents(1, s.lastEventID) }, "after events that the caller has", false},
}

// Guards against streams that were cut and look complete because a connection ended: the answer of a
// replica that ends after its head, at which a stream was continued, counted as the end of the stream (review case 8).
func TestOnlyAProvedEndCompletesAStream(t *testing.T) {
	// How the send whose end is played came about, and the events that the caller has before it.
	ways := map[string]struct {
		before int
		first  func(s *simSend) // ends the first replica's answer; nil: the first send is the one whose end is played
	}{
		"first send": {0, nil},
		"resumed":    {eventsBeforePause, (*simSend).reset},
		"moved":      {eventsBeforePause, (*simSend).hang},
	}
	for way, from := range ways {
		for _, c := range answerEnds {
			t.Run(fmt.Sprintf("%s, %s, %s after %d events %s", way, c.framing, c.end, c.newEvents, c.what), func(t *testing.T) {
				inVirtualTime(t, rigOptions{replicas: 4, attempts: 4, retries: 5}, func(t *testing.T, r *moveRig) {
					play := func(s *simSend) {
						var events []string
						if c.before != nil {
							events = c.before(s)
						}
						s.endedAnswer(c.framing, append(events, s.simEvents(s.lastEventID+1, s.lastEventID+c.newEvents)...), c.end)
					}
					serveWithPause, played := r.simFleet.serve, false
					r.simFleet.serve = func(s *simSend) {
						switch {
						case played:
							continueStream(s)
						case from.first == nil || s.lastEventID > 0:
							played = true
							play(s)
						default:
							serveWithPause(s)
						}
					}
					r.serveFirst = from.first
					call := r.call("x", streamEvents)
					<-call.done
					r.check(t)
					must.False(t, call.aborted, must.Sprint(r.describeSends(), r.logOf("x")))
					want := streamEvents
					if c.complete && from.before+c.newEvents > 0 {
						want = from.before + c.newEvents
					}
					must.Len(t, want, call.received(t), must.Sprint(r.describeSends(), r.logOf("x")))
					must.Eq(t, http.StatusOK, call.status)
					must.SliceLen(t, 1, call.header["Signature"])
				})
			})
		}
	}
}

// Where each replica's answer ends in a way that proves nothing, the caller's answer is cut, and neither ends as
// complete nor waits for its deadline.
func TestStreamWithoutAProvedEndIsCut(t *testing.T) {
	for name, events := range map[string]func(s *simSend) []string{
		"after the head":                   func(*simSend) []string { return nil },
		"after events that the caller has": func(s *simSend) []string { return s.simEvents(1, s.lastEventID) },
		"after a comment":                  func(*simSend) []string { return []string{": ping\n\n"} },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.serveFirst = (*simSend).reset
				r.serveSuccessor = func(s *simSend, _ int64) { s.endedAnswer(unframed, events(s), closed) }
				call := r.call("x", streamEvents)
				began := time.Now()
				<-call.done
				r.check(t)
				must.True(t, call.aborted)
				must.Less(t, time.Second, time.Since(began))
			})
		})
	}
}

// A caller that asks for the rest of a stream that it has gets an empty answer if a replica proves that there is none.
func TestRestOfACompleteStreamIsEmpty(t *testing.T) {
	for _, f := range []framing{chunked, withLength} {
		t.Run(string(f), func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.simFleet.serve = func(s *simSend) { s.endedAnswer(f, nil, marked) }
				call := r.callAs(&simCaller{id: "x", lastEventID: streamEvents})
				<-call.done
				r.check(t)
				must.False(t, call.aborted)
				must.Eq(t, http.StatusOK, call.status)
				must.Eq(t, "", call.body.String())
				must.Len(t, 1, r.sendsOf("x"))
			})
		})
	}
}

// Guards against a plain answer that was cut after its head and looks complete, as nothing marks its end.
func TestPlainAnswerThatEndsAfterItsHeadIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		kind   routes.Kind
		second bool // a second replica is asked
		status int
	}{
		"repeatable":   {routes.Idempotent, true, http.StatusOK},
		"at most once": {routes.AtMostOnce, false, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 2, attempts: 2, retries: 5}, func(t *testing.T, r *moveRig) {
				route := streamRoute(2)
				route.Kind, route.Resumable = c.kind, false
				r.config.Store(&Config{Table: routes.Compile(&routes.Config{Version: 1, Routes: []routes.Route{route}, Services: []routes.Service{{Name: simService}}}),
					ProvedAt: r.gateway.Clock.Now()})
				sends := 0
				r.simFleet.serve = func(s *simSend) {
					if sends++; sends == 1 {
						s.endedAnswer(unframed, nil, closed)
						return
					}
					s.endedAnswer(unframed, []string{"whole"}, closed)
				}
				call := r.call("x", 0)
				<-call.done
				must.Eq(t, c.status, call.status)
				must.Eq(t, c.second, sends == 2)
				if c.second {
					must.Eq(t, "whole", call.body.String())
				}
			})
		})
	}
}
