package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// passStreams passes the stream of s, or of a new send if s is nil, and of its successors on to the caller
// until the answer is complete or has failed.
func (x *exchange) passStreams(ctx context.Context, s *streamSend) {
	for {
		if s == nil {
			s = x.openStream(ctx)
		}
		if s == nil {
			return
		}
		successor, err := x.passStream(ctx, s)
		if err == nil || x.streamFailedForGood(ctx, successor) {
			return
		}
		s = successor
	}
}

// streamFailedForGood is failedForGood for a stream that may have a successor, which ends then.
func (x *exchange) streamFailedForGood(ctx context.Context, successor *streamSend) bool {
	failed := x.failedForGood(ctx)
	if failed && successor != nil {
		x.discardStream(successor)
	}
	return failed
}

// passStream passes the events of a send on to the caller. The error is nil if the stream is
// complete, or if another goroutine has done all that follows. Otherwise the stream continues with the
// successor, if that is not nil.
func (x *exchange) passStream(ctx context.Context, s *streamSend) (successor *streamSend, err error) {
	h := x.startHandover(ctx, s)
	err = x.copyEvents(s.first, s.firstErr, h)
	if err == errReadElsewhere {
		return nil, nil
	}
	return x.endPass(ctx, h, err)
}

// endPass ends a send whose events were passed on until err.
func (x *exchange) endPass(ctx context.Context, h *handover, err error) (successor *streamSend, _ error) {
	s := h.from
	defer x.closeStream(s)
	if err == nil && !h.cancel() {
		err = errStalled
	}
	if err != nil {
		failure := sendFailed(s, err) // before the wait, in which a successor may cancel this send
		successor, complete := h.await()
		x.recordFailure(s, failure)
		if complete && !x.begunEvent.Load() && ctx.Err() == nil {
			x.partial = false
			return nil, nil
		}
		return successor, err
	}
	x.partial = false
	if !x.headerSent {
		x.writeHeader(s.resp, 0) // the replica proved that the answer has no events
	}
	x.recordEnd(s.send, "answered")
	x.gateway.Quarantine.RecordSuccess(x.quarantineRequest)
	x.noteCompleted()
	return nil, nil
}

// copyEvents passes the events of a send on to the caller, beginning with ev or the end err, until the
// stream ends. It returns nil if the stream is complete, errStalled if a successor has taken over, and
// errReadElsewhere if another goroutine has done all that follows.
func (x *exchange) copyEvents(ev event, err error, h *handover) error {
	flusher, ok := x.w.(http.Flusher)
	if !ok {
		return errors.New("response writer does not support flushing")
	}
	for s := h.from; ; ev, err = x.nextEvent(s, &x.progress) {
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !h.acceptEvent(ev) {
			return errStalled
		}
		if x.held.elsewhere {
			err = x.holdEvent(ev.raw)
		} else {
			err = x.writeEvent(ev.raw, h, flusher)
		}
		if err != nil {
			return err
		}
		h.eventPassedOn()
	}
}

// writeEvent writes an event to the caller. If that takes too long, another goroutine continues to read,
// and this one writes what that holds.
func (x *exchange) writeEvent(raw []byte, h *handover, flusher http.Flusher) error {
	if !x.headerSent {
		x.firstByteAfter = x.gateway.Clock.Since(x.arrivedAt)
		x.writeHeader(h.from.resp, -1)
		x.partial = true
	}
	more := h.from.events.hasBufferedEvent()
	x.beginWrite(h)
	_, err := x.w.Write(raw)
	if err == nil && !more {
		flusher.Flush()
	}
	if x.held.endWrite() {
		x.writeHeldEvents(err, flusher)
		return errReadElsewhere
	}
	return errors.Annotate(err, "caller")
}
