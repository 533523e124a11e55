package gateway

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/dispatch"
)

// stallCheckInterval is how often the replica of a silent stream is checked.
const stallCheckInterval = 50 * time.Millisecond

// abandonFactor times the stall timeout is the silence after which a replica is given up without a
// successor, once another replica has confirmed that the caller has all events.
const abandonFactor = 10

// errStalled is the cause with which a send is canceled because its stream stalled, and another
// replica continues it or has confirmed its end. Tools that read saved logs match "stands still".
const errStalled = errors.ConstError("gateway: stream stands still")

// errNotNeeded is the cause with which the send to a successor is canceled because the stalled
// replica has sent another event.
const errNotNeeded = errors.ConstError("gateway: stalled stream went on")

// handover moves a running stream to a successor when its replica is silent for too long. The
// send to the silent replica goes on until the successor has sent an event, so that a replica that
// is only slow, or a daemon that reads late, costs the caller nothing if the successor fails. An
// event of the silent replica ends the attempt.
type handover struct {
	x     *exchange
	ctx   context.Context // of the request
	from  *streamSend
	timer stallTimer

	// The following fields are guarded by x.progressMu.
	lastActivity time.Time // when the last event was received or passed on, by RunClock
	passingOn    bool      // an event is being written to the caller, or the first one will be
	ended        bool
	// endConfirmed means that another replica has no more events of this stream. That ends the answer
	// when the silent replica has ended or is given up, as it might still send one, unless a part of one was received.
	endConfirmed bool
	attempt      *handoverAttempt // in progress, or taken over; nil: none
}

// handoverAttempt is a search for a successor. While it runs it owns the exchange's state of sends,
// attempts and targets.
type handoverAttempt struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	done      chan struct{} // closed at its end
	successor *streamSend   // set if it took over; guarded by x.progressMu until done is closed
	canceled  bool          // guarded by x.progressMu
}

// startHandover starts to watch a stream that has begun, unless the route allows no other send.
func (x *exchange) startHandover(ctx context.Context, s *streamSend) *handover {
	// A stream begins with an event that is still to be passed on.
	h := &handover{x: x, ctx: ctx, from: s, lastActivity: x.gateway.runClockNow(), passingOn: s.events != nil}
	if x.route.Retryable() && !x.attempts.Exhausted(x.route.MaxAttempts) {
		h.timer.start(s.timeouts.Pause, h.check)
	}
	return h
}

// acceptEvent records an event that is about to be passed on. It returns false if a successor has
// taken over and will send the event, too.
func (h *handover) acceptEvent(ev event) bool {
	x, now := h.x, h.x.gateway.Clock.Now()
	x.progressMu.Lock()
	defer x.progressMu.Unlock()
	if h.attempt != nil && h.attempt.successor != nil {
		return false
	}
	h.cancelAttempt()
	h.lastActivity, h.passingOn, h.endConfirmed = h.from.eventAt, true, false
	x.begunEvent.Store(false)
	p := &x.progress
	if p.eventCount > 0 {
		p.maxGap = max(p.maxGap, now.Sub(p.lastEventAt))
	}
	p.eventCount++
	p.hasEvent = p.hasEvent || !ev.comment
	p.lastEventAt = now
	if ev.hasID {
		p.lastEventID, p.hasLastEventID = ev.id, true
	}
	h.timer.Reset(h.from.timeouts.Pause)
	return true
}

// eventPassedOn records that the event was written to the caller. While the caller does not read, the
// silence says nothing about the replica.
func (h *handover) eventPassedOn() {
	now := h.x.gateway.runClockNow()
	h.x.progressMu.Lock()
	defer h.x.progressMu.Unlock()
	h.lastActivity, h.passingOn = now, false
}

// await ends the watch after the stream broke or was taken over, and waits for an attempt in
// progress. It returns the successor with which the stream continues, or nil; complete reports
// whether the caller has all events.
func (h *handover) await() (successor *streamSend, complete bool) {
	successor = h.end(func() {})
	return successor, h.endConfirmed
}

// cancel ends the watch because the replica has proved that the stream is complete. It returns false if a successor has
// taken over, that is, has another event.
func (h *handover) cancel() (complete bool) { return h.end(h.cancelAttempt) == nil }

// end ends the watch, calls beforeWait with x.progressMu held, and waits for the end of an attempt in
// progress.
func (h *handover) end(beforeWait func()) (successor *streamSend) {
	h.x.progressMu.Lock()
	h.ended = true
	a := h.attempt
	beforeWait()
	h.x.progressMu.Unlock()
	h.timer.Stop()
	if a == nil {
		return nil
	}
	<-a.done
	return a.successor
}

// cancelAttempt cancels an attempt that has not taken over. x.progressMu is held.
func (h *handover) cancelAttempt() {
	if a := h.attempt; a != nil && a.successor == nil {
		a.canceled = true
		a.cancel(errNotNeeded)
	}
}

// check looks for a successor if the stream is silent for too long. It returns when to check again,
// or 0 if a successor has taken over.
func (h *handover) check() (again time.Duration) {
	a, again := h.begin()
	if a == nil {
		return again
	}
	defer close(a.done)
	successor := h.findSuccessor(a.ctx)
	if successor != nil && successor.firstErr == nil && h.takeOver(a, successor) {
		h.from.cancelSend(errStalled)
		return 0
	}
	if successor != nil {
		h.x.discardStream(successor)
	}
	a.cancel(nil)
	h.x.progressMu.Lock()
	defer h.x.progressMu.Unlock()
	h.attempt = nil
	h.endConfirmed = successor != nil && successor.firstErr == io.EOF && !a.canceled
	return stallCheckInterval
}

// begin begins an attempt if the stream is silent for too long. Otherwise it returns when to check
// again, 0 if never.
func (h *handover) begin() (*handoverAttempt, time.Duration) {
	now, x := h.x.gateway.runClockNow(), h.x
	x.progressMu.Lock()
	defer x.progressMu.Unlock()
	switch silent := now.Sub(h.lastActivity); {
	case h.ended:
		return nil, 0
	case silent >= h.from.timeouts.Pause && h.from.hasUnread():
		return nil, stallCheckInterval // the replica is not silent, this process reads late
	case h.endConfirmed && silent >= abandonFactor*h.from.timeouts.Pause:
		h.ended = true
		h.from.cancelSend(errStalled)
		return nil, 0
	case h.attempt != nil || h.passingOn || h.endConfirmed:
		return nil, stallCheckInterval
	case silent < h.from.timeouts.Pause:
		return nil, h.from.timeouts.Pause - silent // the timer also ran while this process was not scheduled
	}
	h.attempt = &handoverAttempt{done: make(chan struct{})}
	h.attempt.ctx, h.attempt.cancel = context.WithCancelCause(h.ctx)
	return h.attempt, 0
}

// findSuccessor sends the rest of the stream to other replicas until one sends an event. It returns
// nil if none does.
func (h *handover) findSuccessor(ctx context.Context) *streamSend {
	x, t := h.x, h.from.target
	silence := dispatch.SilentStream{Begun: true, Replica: x.gateway.Picker.Health(t, x.gateway.runClockNow())}
	quarantined := func() bool {
		_, q := x.gateway.Quarantine.Quarantined(x.quarantineRequest)
		return q
	}
	if !silence.ShouldMove() || x.attempts.Exhausted(x.route.MaxAttempts) || quarantined() || !x.otherTargetFunc(t)() || !x.reserveRetry(ctx) {
		return nil
	}
	defer x.releaseRetry()
	x.noteStall(h.from.send)
	for ctx.Err() == nil && !quarantined() {
		next, _ := x.chooseTarget(ctx)
		if next == nil {
			return nil
		}
		if s, _ := x.sendStream(ctx, next); s != nil {
			return s
		}
	}
	return nil
}

// takeOver makes a send the successor, unless the silent replica has sent an event meanwhile.
func (h *handover) takeOver(a *handoverAttempt, successor *streamSend) bool {
	h.x.progressMu.Lock()
	defer h.x.progressMu.Unlock()
	if a.canceled {
		return false
	}
	a.successor = successor
	return true
}

// otherTargetFunc returns a function, safe for concurrent use, that reports whether another
// replica could be sent the request, or the rest of the stream, now.
func (x *exchange) otherTargetFunc(t *dispatch.Target) func() bool {
	tried := maps.Clone(x.triedInstances)
	service, model, g := x.service, x.req.Model, x.gateway
	return func() bool {
		if !g.retryAvailable(service.Name) {
			return false
		}
		return slices.ContainsFunc(g.targets(g.View(), service, model), func(other dispatch.Target) bool {
			return other.Instance != t.Instance && !tried[other.Instance] && g.Picker.Health(&other, g.runClockNow()) != dispatch.Unhealthy
		})
	}
}

// reserveRetry takes the retry for the next send before the current one is given up, because
// without a retry nothing could replace it. It returns false if there is none.
// Safe for concurrent use.
func (x *exchange) reserveRetry(ctx context.Context) bool {
	if x.reservedRetry.Load() != nil {
		return true // the send that it was reserved for reached no instance
	}
	r := x.takeRetry(ctx)
	if r != nil {
		x.reservedRetry.Store(r)
	}
	return r != nil
}

// retryReservation is a retry that was taken from a budget and not used yet.
type retryReservation struct {
	fromOwnBudget bool // it came from this daemon's budget and can be returned there
}

// releaseRetry returns a reserved retry that was not needed.
func (x *exchange) releaseRetry() {
	if r := x.reservedRetry.Swap(nil); r != nil && r.fromOwnBudget {
		x.budget().RefundRetry(x.gateway.Limits().RetryBudget, x.gateway.Clock.Now())
	}
}

// stallTimer is a timer that runs its function again after the duration that the function
// returns, until that is 0. A timer that was not started does nothing.
type stallTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// start starts the timer. expired runs after timeout, and again after each duration that it
// returns.
func (t *stallTimer) start(timeout time.Duration, expired func() (again time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, func() {
		if again := expired(); again > 0 {
			t.Reset(again)
		}
	})
}

// Reset makes the timer expire after d from now.
func (t *stallTimer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped && t.timer != nil {
		t.timer.Reset(d)
	}
}

// Stop stops the timer; later calls of Reset have no effect.
func (t *stallTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}
