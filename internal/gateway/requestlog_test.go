package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// requestLine is what these tests read of the log line of a request.
type requestLine struct {
	StandsFor int `json:"stands_for"`
	Sends     []struct {
		Status       int    `json:"status"`
		Framing      string `json:"framing"`
		EndedBy      string `json:"ended_by"`
		DeadlineMS   int64  `json:"deadline_ms"`
		Events       int    `json:"events"`
		SilentMS     int64  `json:"silent_ms"`
		UnreadChecks int    `json:"unread_checks"`
		AfterEvent   int64  `json:"after_event"`
	} `json:"sends"`
}

// requestLines returns the log lines of a request.
func (p *simProcess) requestLines(t *testing.T, id string) (out []requestLine) {
	t.Helper()
	for _, text := range p.logOf(id) {
		var l requestLine
		must.NoError(t, json.Unmarshal([]byte(text), &l))
		out = append(out, l)
	}
	return out
}

// metrics returns the metrics of the gateway's requests.
func (p *simProcess) metrics() string {
	var text strings.Builder
	p.gateway.Metrics.set.WritePrometheus(&text)
	return text.String()
}

// endedCounter is the counter of responses that ended in a way.
func endedCounter(framing, endedBy string, n int) string {
	return fmt.Sprintf("pearlanding_upstream_responses_ended_total{framing=%q,ended_by=%q} %d\n", framing, endedBy, n)
}

// Without these fields the log can't tell a stream that was cut by a reset from one whose instance ended it, as
// at its deadline, or one that another daemon reported as ended.
func TestRequestLogTellsHowAStreamsResponseEnded(t *testing.T) {
	const events, silence = 3, 4 * stallTimeout
	for name, c := range map[string]struct {
		head, end string // end is sent after the silence
		err       error  // of the connection, then
		framing   string
		endedBy   string
		aborted   bool
	}{
		"unframed, closed": {err: io.EOF, framing: "none", endedBy: "close"},
		"unframed, reset":  {err: syscall.ECONNRESET, framing: "none", endedBy: "reset", aborted: true},
		"chunks, closed":   {head: "Transfer-Encoding: chunked\r\n", err: io.EOF, framing: "chunks", endedBy: "close", aborted: true},
		"chunks, invalid":  {head: "Transfer-Encoding: chunked\r\n", end: "no chunk\r\n", framing: "chunks", endedBy: "error", aborted: true},
		"length, reset":    {head: "Content-Length: 9999\r\n", err: syscall.ECONNRESET, framing: "length", endedBy: "reset", aborted: true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 1, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.simFleet.serve = func(s *simSend) {
					body := strings.Join(s.simEvents(1, events), "")
					if c.framing == "chunks" {
						body = chunk(body)
					}
					s.conn.response.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: %s\r\n%s\r\n%s", s.requestID, s.replica, c.head, body), nil)
					s.wait(silence)
					s.conn.response.write([]byte(c.end), c.err)
				}
				call := r.call("x", events)
				<-call.done
				must.Eq(t, c.aborted, call.aborted)
				lines := r.requestLines(t, "x")
				must.SliceLen(t, 1, lines)
				must.SliceLen(t, 1, lines[0].Sends)
				send := lines[0].Sends[0]
				must.Eq(t, http.StatusOK, send.Status)
				must.Eq(t, c.framing, send.Framing)
				must.Eq(t, c.endedBy, send.EndedBy)
				must.Eq(t, defaultTimeout.Milliseconds(), send.DeadlineMS)
				must.Eq(t, events, send.Events)
				must.GreaterEq(t, silence.Milliseconds()-1, send.SilentMS)
				must.Positive(t, send.UnreadChecks)
				must.StrContains(t, r.metrics(), endedCounter(c.framing, c.endedBy, 1))
			})
		})
	}
}

// Guards against a request that was cut in an unframed response and that the log leaves out, as it looks served.
func TestUnframedResponsesAreNotSampled(t *testing.T) {
	for name, c := range map[string]struct {
		route routes.Route
		text  func(s *simSend) string
	}{
		"stream": {streamRoute(3), func(s *simSend) string { return simEvent(s.requestID, 1, s.replica) }},
		"plain":  {plainRoute(), func(*simSend) string { return "ok" }},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 1, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.config.Store(&Config{Table: routes.Compile(&routes.Config{Version: 1, Routes: []routes.Route{c.route}, Services: []routes.Service{{Name: simService}}}),
					ProvedAt: r.gateway.Clock.Now()})
				r.simFleet.serve = func(s *simSend) { s.endedAnswer(unframed, []string{c.text(s)}, closed) }
				const requests = 3
				for n := range requests {
					id := fmt.Sprint("x", n)
					call := r.call(id, 1)
					<-call.done
					must.Eq(t, http.StatusOK, call.status)
					lines := r.requestLines(t, id)
					must.SliceLen(t, 1, lines)
					must.Eq(t, "none", lines[0].Sends[0].Framing)
					must.Eq(t, "close", lines[0].Sends[0].EndedBy)
					must.Zero(t, lines[0].StandsFor)
				}
				must.StrContains(t, r.metrics(), endedCounter("none", "close", requests))
			})
		})
	}
}

// Guards against a log that grows with all traffic where no instance frames its responses.
func TestLinesOfUnframedResponsesAreLimited(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 1, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.simFleet.serve = func(s *simSend) { s.endedAnswer(unframed, s.simEvents(1, 1), closed) }
		const sampled = 2
		represented, lines := 0, 0
		for n := range maxNotableLines + sampled*servedSampling {
			id := fmt.Sprintf("x%d", n)
			<-r.call(id, 1).done
			for _, l := range r.requestLines(t, id) {
				lines++
				represented += max(l.StandsFor, 1)
			}
		}
		must.Eq(t, maxNotableLines+sampled, lines)
		must.Eq(t, maxNotableLines+sampled*servedSampling, represented, must.Sprint("requests for which the lines stand"))
		time.Sleep(logInterval)
		<-r.call("later", 1).done
		must.SliceLen(t, 1, r.requestLines(t, "later"))
	})
}

// Guards against a stream that its instance ended early, at the deadline that it was told, and that the log leaves
// out, as it looks served.
func TestStreamsThatEndAtTheirDeadlineAreNotSampled(t *testing.T) {
	const timeout = 500 * time.Millisecond
	for name, c := range map[string]struct {
		took   time.Duration
		logged bool
	}{
		"before the deadline":                 {timeout - 10*time.Millisecond, false},
		"at its whole number of milliseconds": {timeout, true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 1, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				route := streamRoute(3)
				route.Timeout = timeout + 900*time.Microsecond
				r.config.Store(&Config{Table: routes.Compile(&routes.Config{Version: 1, Routes: []routes.Route{route}, Services: []routes.Service{{Name: simService}}}),
					ProvedAt: r.gateway.Clock.Now()})
				r.simFleet.serve = func(s *simSend) {
					s.header()
					s.event(1)
					s.wait(c.took - simConnectTime)
					s.finish()
				}
				call := r.call("x", 2)
				<-call.done
				must.False(t, call.aborted)
				must.Eq(t, http.StatusOK, call.status)
				lines := r.requestLines(t, "x")
				if !c.logged {
					must.SliceEmpty(t, lines)
					return
				}
				must.SliceLen(t, 1, lines)
				must.Eq(t, "mark", lines[0].Sends[0].EndedBy)
				must.Eq(t, timeout.Milliseconds(), lines[0].Sends[0].DeadlineMS)
			})
		})
	}
}

// Guards against a log that can't tell a stream without an event, which an instance says its caller has to the end,
// and leaves it out, as it looks served.
func TestStreamsWithoutAnEventAreNotSampled(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 1, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.simFleet.serve = func(s *simSend) { s.endedAnswer(chunked, s.simEvents(s.lastEventID+1, streamEvents), marked) }
		empty := r.callAs(&simCaller{id: "x", lastEventID: streamEvents})
		<-empty.done
		must.Eq(t, http.StatusOK, empty.status)
		lines := r.requestLines(t, "x")
		must.SliceLen(t, 1, lines)
		must.Zero(t, lines[0].StandsFor)
		must.Zero(t, lines[0].Sends[0].Events)
		must.Eq(t, "mark", lines[0].Sends[0].EndedBy)
		must.Eq(t, streamEvents, lines[0].Sends[0].AfterEvent)
		whole := r.call("y", streamEvents)
		<-whole.done
		must.SliceEmpty(t, r.requestLines(t, "y"))
	})
}

// Without this field the log can't tell how much of a stream that moved was left for its successor.
func TestRequestLogTellsWhereAStreamWasContinued(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.serveFirst = (*simSend).reset
		r.run(t)
		lines := r.requestLines(t, "x")
		must.SliceLen(t, 1, lines)
		must.SliceLen(t, 2, lines[0].Sends)
		must.Zero(t, lines[0].Sends[0].AfterEvent)
		must.Eq(t, eventsBeforePause, lines[0].Sends[1].AfterEvent)
		must.StrContains(t, r.metrics(), endedCounter("chunks", "reset", 1))
		must.StrContains(t, r.metrics(), endedCounter("chunks", "mark", 1))
	})
}
