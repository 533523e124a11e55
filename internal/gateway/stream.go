package gateway

import (
	"context"
	"strconv"
)

// serveStream passes events on as they arrive. A stream that stalls or breaks continues at
// another replica after the last event that was passed on.
func (x *exchange) serveStream(ctx context.Context) {
	defer x.releaseRetry()
	if id, err := strconv.ParseInt(x.req.LastEventID, 10, 64); err == nil {
		x.progress.lastEventID, x.progress.hasLastEventID = id, true
	}
	x.passStreams(ctx, nil)
}

// openStream sends the request until a replica's stream begins. It returns nil if the caller has
// been answered otherwise.
func (x *exchange) openStream(ctx context.Context) *streamSend {
	for !x.refuseQuarantined() {
		t := x.nextTarget(ctx)
		if t == nil && x.admission.Reason != "" && x.awaitRoom(ctx) {
			continue
		}
		if t == nil && ctx.Err() != nil { // it ended during a wait
			x.failOnContextEnd(ctx)
			return nil
		}
		if t == nil && x.admission.Reason != "" {
			x.refuseUnadmitted()
			return nil
		}
		if t == nil {
			x.failWithoutTarget("no_replica")
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
	if x.endedForMemory() {
		return true
	}
	if ctx.Err() != nil {
		x.failOnContextEnd(ctx)
		return true
	}
	if !x.gateway.Clock.Now().Before(x.deadline) { // ctx ends late after a suspension
		x.setReason("deadline")
		x.failUnanswered("deadline")
		return true
	}
	if !x.maySend() {
		x.failWithoutTarget(reasonUpstreamFailed)
		return true
	}
	return false
}
