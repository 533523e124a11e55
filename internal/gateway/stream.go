package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// serveStream passes events on as they arrive. A stream that stalls or breaks continues at
// another replica after the last event that was passed on.
func (x *exchange) serveStream(ctx context.Context) {
	defer x.releaseRetry()
	if id, err := strconv.ParseInt(x.req.LastEventID, 10, 64); err == nil {
		x.progress.lastEventID, x.progress.hasLastEventID = id, true
	}
	var s *streamSend
	for {
		if s == nil {
			s = x.openStream(ctx)
		}
		if s == nil {
			return
		}
		successor, err := x.passStream(ctx, s)
		if err == nil {
			return
		}
		if x.failedForGood(ctx) {
			if successor != nil {
				x.discardStream(successor)
			}
			return
		}
		s = successor
	}
}

// openStream sends the request until a replica's stream begins. It returns nil if the caller has
// been answered otherwise.
func (x *exchange) openStream(ctx context.Context) *streamSend {
	for !x.refuseQuarantined() {
		t := x.nextTarget(ctx)
		if t == nil && x.admission.Reason != "" && x.awaitRoom(ctx) {
			continue
		}
		if t == nil && x.admission.Reason != "" {
			x.refuseUnadmitted()
			return nil
		}
		if t == nil {
			x.failUnanswered("no_replica")
			return nil
		}
		s, answered := x.sendStream(ctx, t)
		if s != nil || answered {
			return s
		}
		if x.failedForGood(ctx) {
			return nil
		}
	}
	return nil
}

// failedForGood reports whether a stream whose last send failed can't be sent again. The caller
// has been answered then.
func (x *exchange) failedForGood(ctx context.Context) bool {
	if ctx.Err() != nil {
		x.failOnContextEnd(ctx)
		return true
	}
	if x.mayHaveRun && !x.route.Retryable() {
		x.failUnanswered("upstream_failed")
		return true
	}
	return false
}

// passStream passes the events of a send on to the caller. The error is nil if the stream is
// complete. Otherwise the stream continues with the successor, if that is not nil.
func (x *exchange) passStream(ctx context.Context, s *streamSend) (successor *streamSend, err error) {
	h := x.startHandover(ctx, s)
	defer x.closeStream(s)
	if err := x.copyEvents(s, h); err != nil {
		failure := sendFailed(s, err) // before the wait, in which a successor may cancel this send
		successor, complete := h.await()
		x.recordFailure(s, failure)
		if complete && ctx.Err() == nil {
			return nil, nil
		}
		return successor, err
	}
	h.cancel()
	x.recordEnd(s.send, "answered")
	x.gateway.Quarantine.RecordSuccess(x.quarantineRequest)
	x.noteCompleted()
	return nil, nil
}

// copyEvents passes the events of a send on to the caller until the stream ends. It returns nil
// if the stream is complete, and errStalled if a successor has taken over.
func (x *exchange) copyEvents(s *streamSend, h *handover) error {
	flusher, ok := x.w.(http.Flusher)
	if !ok {
		return errors.New("response writer does not support flushing")
	}
	for ev, err := s.first, s.firstErr; ; ev, err = x.nextEvent(s, &x.progress) {
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !h.acceptEvent(ev) {
			return errStalled
		}
		if !x.headerSent {
			x.firstByteAfter = x.gateway.Clock.Since(x.arrivedAt)
			x.writeHeader(s.resp, -1)
		}
		if _, err := x.w.Write(ev.raw); err != nil {
			return errors.Annotate(err, "caller")
		}
		if !s.events.hasBufferedEvent() {
			flusher.Flush()
		}
		h.eventPassedOn()
	}
}
