package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/membudget"
)

// stoppingCaller sends a part of its body and then nothing, until its connection's time for reading ends.
type stoppingCaller struct {
	*httptest.ResponseRecorder
	body   *io.PipeWriter
	cancel func() bool
}

func (c *stoppingCaller) SetReadDeadline(t time.Time) error {
	if c.cancel != nil {
		c.cancel()
	}
	if !t.IsZero() {
		c.cancel = time.AfterFunc(time.Until(t), func() { _ = c.body.CloseWithError(os.ErrDeadlineExceeded) }).Stop
	}
	return nil
}

// stop sends a request whose body stops after some bytes, and returns when it has been answered.
func (r *moveRig) stop(t *testing.T, id string, bytes int) *stoppingCaller {
	reader, writer := io.Pipe()
	c := &stoppingCaller{ResponseRecorder: httptest.NewRecorder(), body: writer}
	go func() { _, _ = io.WriteString(writer, strings.Repeat("x", bytes)) }() // ends with the reading
	req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://host/s/"+id, reader)
	req.Header.Set("X-Id", id)
	r.gateway.ServeHTTP(c, req)
	return c
}

// Guards against callers that stop short of the end of their bodies and keep the memory of all others until
// their deadlines. They are told that their requests have not run.
func TestStalledBodyGivesWay(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.gateway.Codec, r.gateway.Memory = retryHeaderCodec{}, membudget.New(200<<10)
		r.simFleet.serve = continueStream
		stalled := make(chan *stoppingCaller, 1)
		go func() { stalled <- r.stop(t, "stalled", 100<<10) }()
		time.Sleep(2 * time.Second)
		req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://host/s/ordinary", strings.NewReader(strings.Repeat("x", 60<<10)))
		req.Header.Set("X-Id", "ordinary")
		w := httptest.NewRecorder()
		r.gateway.ServeHTTP(w, req)
		must.Eq(t, http.StatusOK, w.Code)
		c := <-stalled
		must.Eq(t, http.StatusServiceUnavailable, c.Code)
		must.Eq(t, reasonBodyStalled+"\n", c.Body.String())
		must.NotEq(t, "", c.Header().Get("Retry-After"))
		must.Eq(t, "close", c.Header().Get("Connection"))
		must.SliceEmpty(t, r.sendsOf("stalled"))
		must.Zero(t, r.gateway.Memory.Usage().Bodies+r.gateway.Memory.Usage().Ending)
	})
}

// A body that is not received by the deadline of its request ends with a promise that it has not run.
func TestLateBodyIsRefusedAsNotRun(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		start := time.Now()
		c := r.stop(t, "late", 100<<10)
		must.Eq(t, http.StatusRequestTimeout, c.Code)
		must.Eq(t, "close", c.Header().Get("Connection"))
		must.Eq(t, defaultTimeout, time.Since(start))
		must.SliceEmpty(t, r.sendsOf("late"))
	})
}

// A refusal before the body was read closes the connection: otherwise the HTTP server reads the body first and
// the caller waits for it.
func TestEarlyRefusalClosesTheConnection(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		for body, want := range map[string]string{"x": "close", "": ""} {
			req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://host/nowhere", strings.NewReader(body))
			w := httptest.NewRecorder()
			r.gateway.ServeHTTP(w, req)
			must.Eq(t, http.StatusNotFound, w.Code)
			must.Eq(t, want, w.Header().Get("Connection"))
		}
	})
}

// Guards against a log that grows with the number of callers that ignore the limits.
func TestLinesOfUnreadBodiesAreLimited(t *testing.T) {
	var l logLimiter
	now := time.Now()
	var lines, counted int
	for range 100 {
		for _, reason := range []string{"a", "b"} {
			if skipped, due := l.add(reason, now); due {
				lines, counted = lines+1, counted+1+skipped
			}
		}
		now = now.Add(logInterval / 10)
	}
	must.Eq(t, 20, lines)
	must.Eq(t, 182, counted, must.Sprint("the last ones are counted in the next line"))
}
