package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/membudget"
	"pearlanding/internal/upstream"
)

// A body is read whole, however it arrives and whatever its announced length is, and what is accounted is
// the size of its buffer.
func TestBodiesAreReadWhole(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.IntRange(0, 100<<10).Draw(r, "limit")
		text := bytes.Repeat([]byte("x"), rapid.IntRange(0, 120<<10).Draw(r, "size"))
		size := rapid.SampledFrom([]int64{-1, int64(len(text)), int64(len(text) / 2), 1 << 40}).Draw(r, "announced")
		source := rapid.SampledFrom([]func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.DataErrReader}).Draw(r, "arrives")
		memory := membudget.New(1 << 20)
		body, held, err := (&bodyReader{limit: limit, memory: memory}).read(source(bytes.NewReader(text)), size)
		must.Eq(r, int64(held), memory.Usage().Bodies)
		must.LessEq(r, max(2*len(text)+1, minBodyBuffer, firstBodyBuffer), held)
		if len(text) > limit {
			must.ErrorIs(r, err, upstream.ErrTooLarge)
			return
		}
		must.NoError(r, err)
		must.True(r, bytes.Equal(text, body))
		must.LessEq(r, held, cap(body))
	})
}

// Guards against memory that is reserved for bodies which were announced and are never sent.
func TestAnnouncedBodyTakesLittleMemory(t *testing.T) {
	memory := membudget.New(1 << 30)
	waits := 0
	reader := &bodyReader{limit: 16 << 20, memory: memory, onWait: func() { waits++ }}
	broken := errors.New("broken")
	_, held, err := reader.read(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), 16<<20)
	must.ErrorIs(t, err, broken)
	must.Eq(t, firstBodyBuffer, held)
	must.Eq(t, 1, waits)
	_, _, err = reader.read(iotest.DataErrReader(strings.NewReader("abc")), 3)
	must.NoError(t, err)
	must.Eq(t, 1, waits, must.Sprint("a body that arrives at once needs no limit on the time"))
}

// Guards against a daemon that is killed for its memory by request bodies: without room for one, the
// request is refused as not run, and with an invitation to come back.
func TestRequestBodyWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.gateway.Codec = retryHeaderCodec{}
		r.gateway.Memory = membudget.New(200 << 10)
		r.simFleet.serve = continueStream
		must.True(t, r.gateway.Memory.TakeBody(50<<10))
		for size, want := range map[int]int{120 << 10: http.StatusServiceUnavailable, 40 << 10: http.StatusOK} {
			id := fmt.Sprint(size)
			req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://host/s/"+id, strings.NewReader(strings.Repeat("x", size)))
			req.Header.Set("X-Id", id)
			w := httptest.NewRecorder()
			r.gateway.ServeHTTP(w, req)
			must.Eq(t, want, w.Code)
			must.Eq(t, want == http.StatusServiceUnavailable, w.Header().Get("Retry-After") != "")
			must.Eq(t, want == http.StatusServiceUnavailable, len(r.sendsOf(id)) == 0)
			must.Eq(t, 50<<10, r.gateway.Memory.Usage().Bodies, must.Sprint("bodies after the request"))
		}
	})
}

// retryHeaderCodec records when callers are to retry.
type retryHeaderCodec struct{ simCodec }

func (retryHeaderCodec) SetRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", d.String())
}

// Guards against a daemon that is killed for its memory by plain responses: without room for one, the
// request has failed, may have run, and is not sent again. Its instance is not blamed.
func TestPlainResponseWithoutRoomFails(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.simProcess = newSimProcess(r.ctx, r.simFleet, plainRoute(), dispatch.BudgetRule{Ratio: 1, Window: 10 * time.Second}, func(int) int { return 0 })
		r.gateway.Memory = membudget.New(200 << 10)
		r.simFleet.serve = func(s *simSend) {
			s.conn.response.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: a\r\nTransfer-Encoding: chunked\r\n\r\n", s.requestID), nil)
			for s.wait(time.Millisecond) { // without end
				s.chunk(strings.Repeat("x", 8<<10))
			}
		}
		c := r.call("x", 0)
		<-c.done
		must.Eq(t, http.StatusBadGateway, c.status)
		must.Eq(t, reasonMemory+"\n", c.body.String())
		must.SliceLen(t, 1, r.sendsOf("x"))
		time.Sleep(maxLingering)
		must.SliceEmpty(t, r.openSends())
		must.SliceEmpty(t, r.gateway.Picker.Unhealthy(r.gateway.runClockNow()))
		must.Zero(t, r.gateway.Memory.Usage().Bodies)
	})
}

// timedCaller is a caller's connection whose deadlines are recorded.
type timedCaller struct {
	countingCaller
	reads, writes []time.Time
}

func (c *timedCaller) SetReadDeadline(t time.Time) error  { c.reads = append(c.reads, t); return nil }
func (c *timedCaller) SetWriteDeadline(t time.Time) error { c.writes = append(c.writes, t); return nil }

// Guards against requests that are held for good by a caller that sends its body slowly, or that reads
// nothing of a plain response.
func TestCallersHaveTimeLimits(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.simFleet.serve = continueStream
		c, start := &timedCaller{countingCaller: countingCaller{header: http.Header{}}}, time.Now()
		req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://host/s/x", iotest.HalfReader(strings.NewReader(strings.Repeat("x", 1<<10))))
		req.Header.Set("X-Id", "x")
		r.gateway.ServeHTTP(c, req)
		must.Eq(t, []time.Time{start.Add(defaultTimeout + callerWriteGrace)}, c.writes)
		must.Eq(t, []time.Time{start.Add(defaultTimeout), {}}, c.reads)
	})
}

// Guards against a configuration without a limit in effect, of which the computation of buffers overflows.
func TestLargestBodyLimitIsTaken(t *testing.T) {
	for _, size := range []int64{-1, 0, 2000, math.MaxInt64} {
		r := &bodyReader{limit: math.MaxInt}
		body, _, err := r.read(strings.NewReader(strings.Repeat("x", 2000)), size)
		must.NoError(t, err)
		must.Eq(t, 2000, len(body))
	}
}
