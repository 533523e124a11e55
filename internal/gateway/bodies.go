package gateway

import (
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/link"
	"pearlanding/internal/membudget"
	"pearlanding/internal/upstream"
)

// Reasons of refusals while the body is received.
const (
	// reasonMemory means that the budget for memory held for callers and instances has no room.
	reasonMemory = "memory_for_peers_spent"
	// reasonBodyStalled means that a body stood still while others needed its memory.
	reasonBodyStalled = "body_stalled_while_memory_spent"
	// reasonStopping means that the request was not received whole before a planned stop of this daemon.
	reasonStopping = "daemon_stopping"
)

// Sizes in bytes of the buffers into which bodies are read.
const (
	minBodyBuffer = 512
	// firstBodyBuffer is the largest buffer before anything was received, as a peer can announce a large
	// body and send nothing.
	firstBodyBuffer = 16 << 10
	// maxBodyLimit replaces larger limits of a body, which would overflow the sizes of buffers.
	maxBodyLimit = math.MaxInt / 4
	// progressBytes must be received for a body to count as making progress.
	progressBytes = 1 << 10
)

// bodyReader reads bodies and accounts their memory.
type bodyReader struct {
	limit  int               // largest body, in bytes
	memory *membudget.Budget // nil: the buffers are not accounted
	upload *membudget.Upload // accounts the buffers in place of memory, if it is not nil
	now    func() time.Time  // by which upload makes progress
	// onWait is called once, before the second read: most bodies arrive with their head. nil: nothing.
	onWait func()
}

// read reads a body to its end. size is its announced length, negative if unknown. held is the number of
// bytes accounted, also with an error; the caller must release them. The error is upstream.ErrTooLarge,
// upstream.ErrMemory, or that of r.
func (b *bodyReader) read(r io.Reader, size int64) (body []byte, held int, err error) {
	maximum := min(b.limit, maxBodyLimit)
	limit := maximum + 1 // one more byte shows that a body is too large
	if size >= 0 {
		limit = min(limit, int(min(size, int64(maximum)))+1)
	}
	want := min(max(limit, minBodyBuffer), firstBodyBuffer)
	unmarked := 0 // bytes since the upload made progress last
	for reads := 0; ; reads++ {
		if len(body) == cap(body) {
			if !b.take(want - held) {
				return nil, held, upstream.ErrMemory
			}
			held = want
			grown := make([]byte, len(body), want)
			copy(grown, body)
			body, want = grown, min(2*want, max(limit, minBodyBuffer))
		}
		if reads == 1 && b.onWait != nil {
			b.onWait()
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if unmarked += n; b.upload != nil && unmarked >= progressBytes {
			b.upload.Progress(b.now())
			unmarked = 0
		}
		switch {
		case len(body) > maximum:
			return nil, held, upstream.ErrTooLarge
		case err == io.EOF:
			return body, held, nil
		case err != nil:
			return nil, held, err
		case len(body) == cap(body) && cap(body) >= limit:
			limit = maximum + 1 // longer than announced
			want = min(2*cap(body), limit)
		}
	}
}

// take accounts n more bytes.
func (b *bodyReader) take(n int) bool {
	if b.upload != nil {
		return b.upload.Grow(n, b.now())
	}
	return b.memory.TakeBody(n)
}

// readAnswer reads the whole body of a response. release must be called when it is no longer used, also
// with an error. The error is upstream.ErrTooLarge, or one that is also upstream.ErrUnknown. It is errEndAtDeadline
// if only the end of the connection ends the body, and came when the instance's time was over.
func (x *exchange) readAnswer(resp *http.Response) (body []byte, release func(), err error) {
	memory := x.gateway.Memory
	body, held, err := (&bodyReader{limit: maxAnswerBytes, memory: memory}).read(resp.Body, resp.ContentLength)
	if err == nil {
		err = upstream.CheckEnd(resp, len(body))
	}
	if err == nil && !upstream.EndIsMarked(resp) && !x.gateway.Clock.Now().Before(x.deadline) {
		err = errEndAtDeadline
	}
	if err != nil && !errors.Is(err, upstream.ErrTooLarge) {
		err = errors.WithType(err, upstream.ErrUnknown)
	}
	return body, func() { memory.ReleaseBody(held) }, err
}

// readBody reads the whole body, so that the request can be written at once and retried. It
// returns false if it has refused or aborted the request.
func (x *exchange) readBody(r *http.Request) bool {
	limit := x.config.Table.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > int64(limit) {
		return x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	}
	x.upload = x.gateway.Memory.NewUpload(x.gateway.runClockNow(), x.endReads)
	reader := &bodyReader{limit: limit, upload: x.upload, now: x.gateway.runClockNow, onWait: x.limitReads}
	whole := x.gateway.Stop.whenTooLate(x.deadline, x.endReads)
	body, _, err := reader.read(r.Body, r.ContentLength)
	whole()
	received := x.upload.Received()
	if received {
		x.unlimitReads()
	}
	switch {
	case x.gateway.Stop.tooLate(x.deadline):
		return x.refuse(http.StatusServiceUnavailable, reasonStopping, dispatch.RetryAfter(dispatch.TryAnotherDaemon))
	case !received:
		return x.refuse(http.StatusServiceUnavailable, reasonBodyStalled, dispatch.RetryAfter(dispatch.TryAnotherDaemon))
	case errors.Is(err, upstream.ErrTooLarge):
		return x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case errors.Is(err, upstream.ErrMemory):
		return x.refuse(http.StatusServiceUnavailable, reasonMemory, dispatch.RetryAfter(dispatch.TryAnotherDaemon))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return x.refuse(http.StatusRequestTimeout, "body_not_received_in_time", 0)
	case err != nil:
		x.reason = "caller_sent_no_whole_body"
		markAborted(x)
		return false
	}
	x.req.Body, x.bodyUnread = body, false
	return true
}

// releaseBody ends the accounting of the request's body.
func (x *exchange) releaseBody() { x.upload.Release() }

// endReads ends the reading of the request's body.
func (x *exchange) endReads() {
	_ = http.NewResponseController(x.w).SetReadDeadline(link.DeadlineAfter(0))
}

// callerWriteGrace is how long after the deadline of a request its response may still be written.
const callerWriteGrace = time.Second

// limitWrites bounds the writing of the response, as a caller that reads nothing would hold it for good.
// The server sets a new limit for the next request on the connection.
func (x *exchange) limitWrites() {
	x.setWriteDeadline(link.DeadlineAfter(x.gateway.Clock.Until(x.deadline) + callerWriteGrace))
}

// setWriteDeadline sets the time, by the system clock, at which writing to the caller fails. It does
// nothing for a caller without a connection, as in tests.
func (x *exchange) setWriteDeadline(t time.Time) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(t)
}

// limitReads bounds the reading of the request's body, as a caller that sends it slowly would hold it for
// good.
func (x *exchange) limitReads() {
	x.readsLimited = true
	_ = http.NewResponseController(x.w).SetReadDeadline(link.DeadlineAfter(x.gateway.Clock.Until(x.deadline)))
	if x.gateway.Stop.tooLate(x.deadline) {
		x.endReads() // the limit above has replaced that of the stop
	}
}

// unlimitReads undoes limitReads, because the server watches the connection by a read.
func (x *exchange) unlimitReads() {
	if x.readsLimited {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	}
}
