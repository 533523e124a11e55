package embedded

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"pearlanding/internal/engine"
	"pearlanding/internal/problem"
	"pearlanding/internal/standin"
)

// cutUpstream answers requests, by their id, with the first bytes of an answer and ends the connection. Requests that
// it has no answer for go to next.
type cutUpstream struct {
	next    http.Handler // nil: there are none
	mu      sync.Mutex
	answers map[string]cutAnswer
	arrived map[string]bool
}

// cutAnswer is what an upstream sends for one request.
type cutAnswer struct {
	text  string
	reset bool // the connection is reset; otherwise it is closed
}

func (u *cutUpstream) set(id string, a cutAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers[id] = a
}

func (u *cutUpstream) hasArrived(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrived[id]
}

func (u *cutUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id := r.Header.Get(engine.HeaderRequestID)
	a, ok := u.answers[id]
	u.arrived[id] = true
	u.mu.Unlock()
	if !ok {
		u.next.ServeHTTP(w, r)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = conn.Write([]byte(a.text))
	if a.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// listenAt serves a handler at an address until the end of the test.
func listenAt(t *testing.T, address string, h http.Handler) string {
	t.Helper()
	var listener net.Listener
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() (err error) {
		listener, err = net.Listen("tcp", address)
		return err
	}), wait.Timeout(testTimeout), wait.Gap(time.Millisecond)))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = standin.Serve(ctx, listener, h) }()
	return listener.Addr().String()
}

// framedAnswers returns the answer with a body for each framing.
func framedAnswers(contentType, body string) map[string][2]string {
	head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
	half := len(body) / 2
	return map[string][2]string{
		"length":            {fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)), body},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])},
		"end of connection": {head + "\r\n", body},
	}
}

// cutRequest is a request whose answer is cut.
type cutRequest struct {
	path, body  string
	contentType string
	answer      func(id string) string // body of the whole answer
	// complete reports whether an answer's body shows its own end.
	complete func(body string) bool
	headers  []string
}

// Guards against callers that get a cut answer as a whole one, at first or from the record of requests that may run
// at most once.
func TestCutAnswerIsNeitherPassedOnNorRecordedAsWhole(t *testing.T) {
	u := &cutUpstream{answers: map[string]cutAnswer{}, arrived: map[string]bool{}}
	s := startWith(t, Options{Daemons: 1, VMs: 1, GroupSize: 1, Slots: 4096}, func(s *System) {
		u.next = s.VMs[0].Engine.Handler()
		s.VMs[0].Kill()
		listenAt(t, s.VMs[0].Row.Address, u)
		s.ServiceAddress = listenAt(t, anyPort, u)
	})

	never := func(string) bool { return false }
	plain := func(id string) string { return `{"id":"` + id + `","text":"whole"}` }
	stream := func(id string) string {
		return "data: {\"id\":\"" + id + "\",\"text\":\"one\"}\n\ndata: {\"id\":\"" + id + "\",\"text\":\"two\"}\n\ndata: [DONE]\n\n"
	}
	for name, r := range map[string]cutRequest{
		"service, at most once": {"/services/" + Service + "/calls", `{}`, "application/json", plain, never, nil},
		"model":                 {chatPath, chat("cut", 2, false), "application/json", plain, never, nil},
		"model, at most once":   {chatPath, chat("cut", 2, false), "application/json", plain, never, []string{"Pearlanding-Repeat", "never"}},
		"stream":                {chatPath, chat("cut", 2, true), "text/event-stream", stream, func(body string) bool { return strings.Contains(body, "[DONE]\n") }, nil},
		"stream, at most once": {chatPath, chat("cut", 2, true), "text/event-stream", stream,
			func(body string) bool { return strings.Contains(body, "[DONE]\n") }, []string{"Pearlanding-Repeat", "never"}},
	} {
		for framing := range framedAnswers("", "") {
			t.Run(name+", "+framing, func(t *testing.T) {
				var wg sync.WaitGroup
				defer wg.Wait()
				slots := make(chan struct{}, 16)
				id := strings.NewReplacer(" ", "-", ",", "").Replace(name + "-" + framing)
				for _, sent := range cutPositions(framedAnswers(r.contentType, r.answer(id+"-0000-false"))[framing]) {
					for _, reset := range []bool{false, true} {
						slots <- struct{}{}
						wg.Go(func() {
							u.checkCut(t, s.Daemons[0], r, fmt.Sprintf("%s-%04d-%t", id, sent, reset), framing, sent, reset)
							<-slots
						})
					}
				}
			})
		}
	}
}

// cutStep is the distance in bytes between the cuts of answers.
const cutStep = 17

// cutPositions returns after how many bytes an answer is cut: among others at the end of its head and not at all.
func cutPositions(answer [2]string) []int {
	head, whole := len(answer[0]), len(answer[0])+len(answer[1])
	out := []int{head, whole}
	for at := 0; at < whole; at += cutStep {
		out = append(out, at)
	}
	return out
}

// checkCut sends a request whose answer is cut after some bytes, and sends it again.
func (u *cutUpstream) checkCut(t *testing.T, d *RunningDaemon, r cutRequest, id, framing string, sent int, reset bool) {
	body := r.answer(id)
	parts := framedAnswers(r.contentType, body)[framing]
	text := parts[0] + parts[1]
	sent = min(sent, len(text))
	u.set(id, cutAnswer{text[:sent], reset})
	headers := append([]string{"X-Request-Id", id, "Idempotency-Key", id}, r.headers...)
	unframed := framing == "end of connection"
	received := text[min(sent, len(parts[0])):sent]
	whole := sent == len(text) && (!unframed || !reset) || r.complete(received)
	for attempt := range 2 {
		got := send(d, r.path, r.body, headers...)
		for got.problem.Outcome == problem.NotRun && !u.hasArrived(id) { // the daemon's lease may end on a busy machine
			got = send(d, r.path, r.body, headers...)
		}
		passedOn := got.err == nil && got.status == http.StatusOK
		switch {
		case whole:
			if !passedOn || got.body != body {
				t.Errorf("%s, attempt %d: whole answer became %d %q %v", id, attempt, got.status, got.body, got.err)
			}
		case unframed && !reset && r.contentType != "text/event-stream" && passedOn && got.body == received && len(received) > 0:
			// Nothing tells such an answer from a whole one.
		case passedOn:
			t.Errorf("%s, attempt %d: cut answer became %d %q", id, attempt, got.status, got.body)
		case got.err == nil && got.problem.Outcome != problem.MayHaveRun:
			t.Errorf("%s, attempt %d: %d %+v", id, attempt, got.status, got.problem)
		}
	}
}

// Guards against events that begin with a part of one replica's event and end with another's, or with an error.
func TestLongEventThatIsCutIsNotPassedOnInPart(t *testing.T) {
	const longText = 6000 // longer than the read buffer of a stream
	event := func(n int) string {
		return fmt.Sprintf("data: {\"id\":\"long\",\"token\":%d,\"text\":%q}\n\n", n, strings.Repeat(strconv.Itoa(n), longText))
	}
	for name, cuts := range map[string]int{"resumed": 1, "never whole": 2} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			s := startWith(t, Options{Daemons: 1, VMs: 2, GroupSize: 1, Replicas: 2}, func(s *System) {
				for _, vm := range s.VMs {
					vm.Kill()
					next := vm.Engine.Handler()
					listenAt(t, vm.Row.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path != chatPath {
							next.ServeHTTP(w, r)
							return
						}
						w.Header().Set("Content-Type", "text/event-stream")
						if from, _ := strconv.Atoi(r.Header.Get(engine.HeaderResume)); from == 0 {
							_, _ = io.WriteString(w, event(0))
						}
						if requests.Add(1) <= int64(cuts) {
							_, _ = io.WriteString(w, event(1)[:longText-1])
							panic(http.ErrAbortHandler)
						}
						_, _ = io.WriteString(w, event(1)+"data: [DONE]\n\n")
					}))
				}
			})
			r := send(s.Daemons[0], chatPath, chat("long", 2, true), "X-Request-Id", "long")
			rest, ok := strings.CutPrefix(r.body, event(0))
			must.True(t, ok, must.Sprint(r.status, len(r.body)))
			if cuts == 1 {
				must.NoError(t, r.err)
				must.True(t, rest == event(1)+"data: [DONE]\n\n", must.Sprintf("%d bytes, %.50q", len(rest), rest))
			} else {
				must.Error(t, r.err)
				must.StrHasPrefix(t, "event: error\n", rest)
			}
		})
	}
}
