package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/upstream"
)

// maxAnswerBytes limits the body of a plain response.
const maxAnswerBytes = 16 << 20

// errTooSlow is the cause with which a send is canceled because another target may be quicker.
const errTooSlow = errors.ConstError("gateway: no response in time, trying another target")

// servePlain sends a request, with retries if the route allows them, and passes the complete
// response on.
func (x *exchange) servePlain(ctx context.Context) {
	defer x.releaseRetry()
	for {
		if x.refuseQuarantined() {
			return
		}
		t := x.nextTarget(ctx)
		if t == nil {
			x.failWithoutTarget("no_target")
			return
		}
		if x.sendPlain(ctx, t) {
			return
		}
		if ctx.Err() != nil || !x.gateway.Clock.Now().Before(x.deadline) { // ctx ends late after a suspension
			x.failOnContextEnd(ctx)
			return
		}
	}
}

// sendPlain makes one send. It returns true if the caller has been answered.
func (x *exchange) sendPlain(ctx context.Context, t *dispatch.Target) bool {
	defer x.gateway.Picker.Release(t)
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if x.route.Retryable() && x.route.LatencyObjective > 0 && !x.attempts.IsLast(x.route.MaxAttempts) {
		timeout, sentAt := dispatch.PlainTimeout(x.route.LatencyObjective), x.gateway.runClockNow()
		otherTargetReady := x.otherTargetFunc(t)
		timer := &stallTimer{}
		defer timer.Stop()
		timer.start(timeout, func() time.Duration {
			if remaining := timeout - x.gateway.runClockNow().Sub(sentAt); remaining > 0 {
				return remaining // the timer also ran while this process was not scheduled
			}
			if !otherTargetReady() || !x.reserveRetry(attempt) {
				return stallCheckInterval
			}
			x.unanswered.Store(true)
			cancel(errTooSlow)
			return 0
		})
	}
	s := x.startSend(t, func() { cancel(quarantine.ErrQuarantined) })
	defer s.tracked.Done()
	resp, err := x.do(attempt, s, x.req.LastEventID)
	if err != nil {
		return x.plainSendFailed(attempt, s, err)
	}
	defer x.closeResponse(s, resp)
	body, release, err := x.readAnswer(resp)
	defer release()
	if err != nil {
		return x.plainSendFailed(attempt, s, err)
	}
	return x.passResponse(s, resp, body)
}

// plainSendFailed records a send without a complete response. It returns true if the request
// must not be sent again; the caller has been answered then.
func (x *exchange) plainSendFailed(attempt context.Context, s *send, err error) bool {
	x.recordEnd(s, endCause(attempt, err))
	if !unrelatedToTarget(err) && (attempt.Err() == nil || errors.Is(context.Cause(attempt), errTooSlow)) {
		x.gateway.suspect(s.target, s.begunAt)
	}
	if errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrConnectionLimit) {
		return false
	}
	x.mayHaveRun = true
	if errors.Is(err, upstream.ErrMemory) {
		x.failUnanswered(reasonMemory) // another send would need as much memory
		return true
	}
	if attempt.Err() == nil && !errors.Is(err, errEndAtDeadline) {
		x.recordBrokenSend(s)
	}
	if !x.maySend() && errors.Is(context.Cause(attempt), quarantine.ErrQuarantined) {
		x.failUnanswered(reasonEndedInstances)
		return true
	}
	return false
}

// endCause describes why a send ended, for the log.
func endCause(attempt context.Context, err error) string {
	if c := context.Cause(attempt); c != nil {
		return c.Error()
	}
	return err.Error()
}

// passResponse passes a complete response on to the caller and returns true. It returns false
// if the request must be sent to another target instead.
func (x *exchange) passResponse(s *send, resp *http.Response, body []byte) bool {
	codec := x.gateway.Codec
	if codec.SaysNotRun(resp.StatusCode, resp.Header) {
		x.recordEnd(s, "refused "+resp.Status)
		x.uncountIfNotRun(resp)
		x.gateway.Picker.Suspect(s.target, x.gateway.runClockNow())
		return false
	}
	x.gateway.Picker.NoteProgress(s.target, x.gateway.runClockNow())
	if resp.StatusCode/100 == 2 && !codec.Signed(resp.Header) {
		x.recordEnd(s, "response without signature")
		x.mayHaveRun = true
		return false
	}
	if resp.StatusCode/100 == 5 {
		x.recordEnd(s, "failed "+resp.Status)
		x.mayHaveRun = true
		x.gateway.Picker.Suspect(s.target, x.gateway.runClockNow())
		if x.maySend() && !x.attempts.Exhausted(x.route.MaxAttempts) && x.canRetry() {
			return false
		}
	}
	if x.sends[s.logIndex].outcome == "" {
		x.recordEnd(s, "answered")
		x.gateway.Quarantine.RecordSuccess(x.quarantineRequest)
	}
	x.writeHeader(resp, len(body))
	_, _ = x.w.Write(body) // fails only if the caller disconnected
	x.firstByteAfter = x.gateway.Clock.Since(x.arrivedAt)
	return true
}

// uncountIfNotRun stops counting the last attempt if its instance did not run the request and
// the caller can't be told to retry, either because it has part of the response or because an
// earlier instance may have run the request.
func (x *exchange) uncountIfNotRun(resp *http.Response) {
	if (x.headerSent || x.mayHaveRun) && x.gateway.Codec.SaysNotRun(resp.StatusCode, resp.Header) {
		x.attempts.UncountReached()
	}
}

// canRetry reports whether the retry budget and the targets that are left allow another send.
func (x *exchange) canRetry() bool {
	if !x.gateway.retryAvailable(x.service.Name) {
		return false
	}
	for _, t := range x.targets() {
		if !x.triedInstances[t.Instance] {
			return true
		}
	}
	return false
}

// failOnContextEnd ends a request whose context has ended, because its deadline passed or its
// caller disconnected.
func (x *exchange) failOnContextEnd(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		x.setReason("caller_left")
		markAborted(x)
		return
	}
	x.setReason("deadline")
	x.failUnanswered("deadline")
}
