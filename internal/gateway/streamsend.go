package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/upstream"
)

// streamSend is one send of a stream to a replica.
type streamSend struct {
	*send
	ctx        context.Context
	cancelSend context.CancelCauseFunc
	sentAt     time.Time // by RunClock
	timeouts   dispatch.StallTimeouts
	resp       *http.Response
	headAt     time.Time // when the head of the response was received, at the latest
	body       *timedBody
	events     *eventReader
	eventCount int       // events received that the caller did not have yet
	eventAt    time.Time // when the last of them was received, by RunClock
	// hasNewEvent is set once an event was received that is not a comment and that the caller did not have.
	hasNewEvent bool
	// repeatedTo is the id of the last event received that the caller had; 0: none was received.
	repeatedTo int64
	// unreadChecks is how often the connection was checked for unread bytes while the stream was silent; guarded by
	// exchange.progressMu until the handover has ended.
	unreadChecks int
	// The first event that the caller does not have yet, or io.EOF if the replica proved that there is none.
	first    event
	firstErr error
}

// sendStream sends a stream to a target and waits for its first event. It returns nil if there is
// none; answered reports whether the caller has got another response of the replica instead.
func (x *exchange) sendStream(ctx context.Context, t *dispatch.Target) (s *streamSend, answered bool) {
	progress := x.currentProgress()
	s = x.startStream(ctx, t)
	l := &x.sends[s.logIndex]
	l.resumedAfter, l.resumed = progress.lastEventID, progress.hasLastEventID
	watch := x.watchFirstEvent(s)
	defer watch.timer.Stop()
	resp, err := x.do(s.ctx, s.send, x.resumeAfter(progress))
	if err == nil {
		s.resp, s.headAt = resp, x.gateway.Clock.Now()
		if resp.StatusCode != http.StatusOK {
			return nil, x.passOtherResponse(s, progress)
		}
		err = x.readFirstEvent(s, &progress)
	}
	if err == nil && !watch.begun() {
		err = errStalled
	}
	if err != nil {
		x.recordFailure(s, sendFailed(s, err))
		x.closeStream(s)
		return nil, false
	}
	return s, false
}

// startStream registers a send of the stream to a target.
func (x *exchange) startStream(ctx context.Context, t *dispatch.Target) *streamSend {
	s := &streamSend{sentAt: x.gateway.runClockNow()}
	s.timeouts = x.gateway.Picker.StallTimeouts(dispatch.StreamLimits{Model: x.modelKey(), Objective: x.route.LatencyObjective, MaxPause: x.route.EventGapObjective, LongestPass: t.StallTimeout})
	x.gateway.Picker.NoteSent(t, s.timeouts.Pause, s.sentAt)
	s.ctx, s.cancelSend = context.WithCancelCause(ctx)
	s.send = x.startSend(t, func() { s.cancelSend(quarantine.ErrQuarantined) })
	return s
}

// closeStream ends a send, whose connection is kept if its response was read to the end.
func (x *exchange) closeStream(s *streamSend) {
	x.recordSilence(s)
	if s.resp != nil {
		x.closeResponse(s.send, s.resp)
	}
	if s.events != nil {
		s.events.close()
	}
	s.tracked.Done()
	s.cancelSend(nil)
	x.gateway.Picker.EndStream(s.target, s.sentAt, s.eventCount > 0)
}

// hasUnread reports whether there is something to read on the connection of a silent stream. exchange.progressMu is
// held.
func (s *streamSend) hasUnread() bool {
	s.unreadChecks++
	return upstream.HasUnread(s.resp)
}

// recordSilence records how many events a send had and how long it and its replica have been
// silent, for the log.
func (x *exchange) recordSilence(s *streamSend) {
	l, now, since := &x.sends[s.logIndex], x.gateway.runClockNow(), s.sentAt
	if s.eventCount > 0 {
		since = s.eventAt
	}
	l.stream, l.events, l.unreadChecks = true, s.eventCount, s.unreadChecks
	l.silent, l.replicaSilent = now.Sub(since), x.gateway.Picker.SinceProgress(s.target, now)
}

// discardStream ends a send that began but is not needed.
func (x *exchange) discardStream(s *streamSend) {
	end := errNotNeeded.Error()
	if s.firstErr == io.EOF {
		end = "no more events"
	}
	x.recordEnd(s.send, end)
	x.closeStream(s)
}

// currentProgress returns the part of the stream that the caller has received. Safe for
// concurrent use.
func (x *exchange) currentProgress() streamProgress {
	x.progressMu.Lock()
	defer x.progressMu.Unlock()
	return x.progress
}

// resumeAfter returns the id after which a replica is to continue the stream.
func (x *exchange) resumeAfter(p streamProgress) string {
	if p.hasLastEventID {
		return strconv.FormatInt(p.lastEventID, 10)
	}
	return x.req.LastEventID
}

// passOtherResponse handles a response that is not a stream, and ends the send. It reports
// whether the caller has been answered with it.
func (x *exchange) passOtherResponse(s *streamSend, progress streamProgress) (answered bool) {
	defer x.closeStream(s)
	body, release, err := x.readAnswer(s.resp)
	defer release()
	if err != nil {
		x.recordFailure(s, sendFailed(s, err))
		return false
	}
	if progress.eventCount == 0 {
		return x.passResponse(s.send, s.resp, body)
	}
	x.recordEnd(s.send, "refused "+s.resp.Status)
	x.uncountIfNotRun(s.resp)
	x.gateway.Picker.Suspect(s.target, x.gateway.runClockNow())
	return false
}

// readFirstEvent reads the first event that the caller does not have yet.
func (x *exchange) readFirstEvent(s *streamSend, progress *streamProgress) error {
	if !x.gateway.Codec.Signed(s.resp.Header) {
		return errors.New("response without signature")
	}
	s.events = x.newStreamReader(s)
	s.first, s.firstErr = x.nextEvent(s, progress)
	if s.firstErr == io.EOF {
		return nil
	}
	return s.firstErr
}

// nextEvent reads the next event that the caller does not have yet, and records the progress of
// the replica. The error is io.EOF only if the end of the response proves that the stream is complete.
func (x *exchange) nextEvent(s *streamSend, progress *streamProgress) (event, error) {
	for {
		ev, err := s.events.next()
		if err == io.EOF {
			err = x.endOf(s, progress)
		}
		if err != nil {
			return ev, err
		}
		if ev.hasID && progress.hasLastEventID && ev.id <= progress.lastEventID {
			s.repeatedTo = ev.id
			continue
		}
		now := x.gateway.runClockNow()
		x.gateway.Picker.NoteProgress(s.target, now)
		s.tracked.Event(x.gateway.Clock.Now())
		if s.eventCount == 0 {
			x.gateway.Picker.NoteFirstEvent(s.target, x.modelKey(), s.sentAt, now)
		} else {
			x.gateway.Picker.NotePause(s.target, x.modelKey(), now.Sub(s.eventAt), now)
		}
		s.eventCount++
		s.eventAt = now
		s.hasNewEvent = s.hasNewEvent || !ev.comment
		return ev, nil
	}
}

// sendFailure is the end of a send whose stream did not complete.
type sendFailure struct {
	err      error
	cause    string // for the log
	canceled bool   // by this daemon, or because the request ended
}

// sendFailed returns the failure of a send that has just failed. A connection that broke off counts
// from now on for the quarantine. Safe for concurrent use with an attempt to hand the stream over.
func sendFailed(s *streamSend, err error) sendFailure {
	f := sendFailure{err, endCause(s.ctx, err), s.ctx.Err() != nil}
	if f.brokeOff() {
		s.tracked.ConnectionLost()
	}
	return f
}

// brokeOff reports whether the replica broke off the connection, or may have: a stream whose end neither a
// length nor chunks mark ends like a complete one, without a new event or inside one.
func (f sendFailure) brokeOff() bool {
	return !f.canceled && !unrelatedToTarget(f.err) && (errors.Is(f.err, upstream.ErrUnknown) || errors.Is(f.err, errEndNotProved) || errors.Is(f.err, errPartialEvent))
}

// recordFailure records a send whose stream did not complete.
func (x *exchange) recordFailure(s *streamSend, f sendFailure) {
	x.recordEnd(s.send, f.cause)
	if !unrelatedToTarget(f.err) && !f.canceled {
		x.gateway.suspect(s.target, s.begunAt)
	}
	if !errors.Is(f.err, upstream.ErrNotSent) && !errors.Is(f.err, upstream.ErrConnectionLimit) {
		x.mayHaveRun = true
	}
	if s.events != nil && s.events.insideEvent() {
		x.begunEvent.Store(true)
	}
	if f.brokeOff() {
		x.brokenSends++
		x.unanswered.Store(true)
	}
}

// noteStall records that the replica of a send is silent for too long, unless the paths were lost since.
func (x *exchange) noteStall(s *send) {
	x.unanswered.Store(true)
	if x.gateway.pathsLostSince(s.begunAt) {
		return
	}
	now := x.gateway.runClockNow()
	x.gateway.Picker.NoteStall(s.target, now)
	x.gateway.Picker.Suspect(s.target, now)
}

// firstEventWatch cancels a send whose first event takes too long, if another replica can take
// the request.
type firstEventWatch struct {
	timer stallTimer
	mu    sync.Mutex
	// At most one of them is set.
	hasBegun, canceled bool
}

// begun ends the watch at the first event. It returns false if the send has been canceled.
func (w *firstEventWatch) begun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasBegun = !w.canceled
	return w.hasBegun
}

// cancel ends the watch because the first event takes too long. It returns false if the stream
// has begun.
func (w *firstEventWatch) cancel() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.canceled = !w.hasBegun
	return w.canceled
}

// watchFirstEvent starts the watch of a send, unless the route allows no other send after it.
func (x *exchange) watchFirstEvent(s *streamSend) *firstEventWatch {
	w := &firstEventWatch{}
	if !x.route.Retryable() || x.attempts.IsLast(x.route.MaxAttempts) {
		return w
	}
	otherTargetReady, picker := x.otherTargetFunc(s.target), x.gateway.Picker
	w.timer.start(s.timeouts.FirstCheck(), func() (again time.Duration) {
		now := x.gateway.runClockNow()
		waited := now.Sub(s.sentAt)
		if remaining := s.timeouts.FirstCheck() - waited; remaining > 0 {
			return remaining // the timer also ran while this process was not scheduled
		}
		silence := dispatch.SilentStream{Waited: waited, StallTimeout: s.timeouts.First, Replica: picker.Health(s.target, now)}
		if !silence.ShouldMove() || !otherTargetReady() || !x.reserveRetry(s.ctx) {
			return stallCheckInterval
		}
		if !w.cancel() {
			x.releaseRetry()
			return 0
		}
		x.noteStall(s.send)
		s.cancelSend(errStalled)
		return 0
	})
	return w
}
