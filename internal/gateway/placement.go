package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/pause"
	"pearlanding/internal/routes"
)

// place chooses the target of the next send among the targets that accept requests now. It returns nil
// if there is none or a stream is not admitted; x.admission then has a reason.
func (x *exchange) place() *dispatch.Target {
	picker, targets, now := x.gateway.Picker, x.targets(), x.gateway.runClockNow()
	if x.route.Kind != routes.Stream {
		return picker.Pick(targets, x.triedInstances, now)
	}
	t, a := picker.Place(targets, x.triedInstances, x.streamRequest(), now)
	if !x.admission.Admitted || !a.Admitted {
		x.admission = a // else the log keeps what the first send was based on
	}
	x.admitted = a.Admitted
	return t
}

// modelKey returns the model that the request is for, with its service.
func (x *exchange) modelKey() dispatch.ModelKey {
	return dispatch.ModelKey{Service: x.service.Name, Model: x.req.Model}
}

// streamRequest returns what the choice of a replica for the stream depends on.
func (x *exchange) streamRequest() *dispatch.StreamRequest {
	now := x.gateway.Clock.Now()
	var hasIdle func(address string) bool
	if x.route.Retryable() && !x.unanswered.Load() { // else a new connection is opened
		hasIdle = x.gateway.Pool.HasIdle
	}
	return &dispatch.StreamRequest{
		Service: x.service.Name, Model: x.req.Model, Engine: x.service.Engine, Priority: x.priority,
		Objective: x.route.LatencyObjective, Waited: x.priorWait + now.Sub(x.arrivedAt), Remaining: x.deadline.Sub(now),
		PromptTokens: x.req.PromptTokens,
		Returned:     x.priorWait > 0 || len(x.sends) > 0,
		HasIdle:      hasIdle,
		Unrefusable:  x.mayHaveRun || x.req.LastEventID != "" || x.currentProgress().eventCount > 0,
		Admitted:     x.admitted,
	}
}

// awaitRoom waits a moment before a stream that was not admitted looks for room again. It returns false
// if the stream must be refused now.
func (x *exchange) awaitRoom(ctx context.Context) bool {
	now := x.gateway.Clock.Now()
	if x.roomWaitEnd.IsZero() {
		x.roomWaitEnd = now.Add(x.admission.RoomWait(x.priorWait > 0, x.deadline.Sub(now)))
	}
	next := dispatch.RoomCheckPause(rand.Float64())
	if x.admission.Reason != dispatch.AlreadyLate || now.Add(next).After(x.roomWaitEnd) {
		return false
	}
	pause.For(ctx, next)
	x.admission = dispatch.Admission{}
	return ctx.Err() == nil
}

// refuseUnadmitted refuses a stream that was not admitted.
func (x *exchange) refuseUnadmitted() {
	x.countRefusedDemand()
	x.gateway.Metrics.countRefused(x)
	x.refuse(http.StatusServiceUnavailable, string(x.admission.Reason), x.admission.RetryAfter)
}

// noteCompleted reports to the picker how long a completed answer was, from which it learns what a model's
// requests cost. The rest of a stream that began at another daemon shows nothing, nor does a stated number
// of prompt tokens that no replica reads in the time that the request took.
func (x *exchange) noteCompleted() {
	e := x.service.Engine
	if e == nil || x.req.LastEventID != "" {
		return
	}
	prompt := x.req.PromptTokens
	if m, _ := e.Model(x.req.Model); e.PrefillTime(m, prompt) > x.gateway.Clock.Since(x.arrivedAt) {
		prompt = 0
	}
	x.gateway.Picker.NoteCompleted(x.modelKey(), prompt, x.progress.eventCount*max(e.StepsPerPass, 1))
}
