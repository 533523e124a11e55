package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
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
		"unframed, reset": {err: syscall.ECONNRESET, framing: "none", endedBy: "reset", aborted: true},
		"chunks, closed":  {head: "Transfer-Encoding: chunked\r\n", err: io.EOF, framing: "chunks", endedBy: "close", aborted: true},
		"chunks, invalid": {head: "Transfer-Encoding: chunked\r\n", end: "no chunk\r\n", framing: "chunks", endedBy: "error", aborted: true},
		"length, reset":   {head: "Content-Length: 9999\r\n", err: syscall.ECONNRESET, framing: "length", endedBy: "reset", aborted: true},
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
