package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// Guards against streams that look complete because a replica with too little time for an event marked the end of an
// answer without one.
func TestEmptyRestWithoutTimeForAnEventCompletesNoStream(t *testing.T) {
	empty := func(s *simSend) { s.endedAnswer(chunked, nil, marked) }
	beforeDeadline := (eventsBeforePause + 2) * eventInterval // when the first replica breaks off, about
	for name, c := range map[string]struct {
		timeout  time.Duration
		complete bool
	}{
		"little time": {beforeDeadline + streamRoute(1).LatencyObjective/2, false},
		"enough time": {beforeDeadline + 2*streamRoute(1).LatencyObjective, true},
	} {
		t.Run("resumed, "+name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.setTimeout(c.timeout)
				r.serveFirst = (*simSend).reset
				r.serveSuccessor = func(s *simSend, _ int64) { empty(s) }
				call := r.call("x", streamEvents)
				<-call.done
				r.check(t)
				must.Eq(t, !c.complete, call.aborted, must.Sprint(r.logOf("x")))
				must.Len(t, eventsBeforePause, call.received(t))
			})
		})
		t.Run("resumed by the caller, "+name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.setTimeout(c.timeout - beforeDeadline)
				r.simFleet.serve = empty
				call := r.callAs(&simCaller{id: "x", lastEventID: eventsBeforePause})
				<-call.done
				must.Eq(t, c.complete, call.status == http.StatusOK, must.Sprint(r.logOf("x")))
			})
		})
	}
}

// The same for a successor whose empty answer would end the stream of a silent replica. The replica has more events.
func TestEmptyRestWithoutTimeForAnEventEndsNoSilentStream(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.setTimeout(eventsBeforePause*eventInterval + stallTimeout + streamRoute(1).LatencyObjective)
		r.serveSuccessor = func(s *simSend, _ int64) { s.endedAnswer(chunked, nil, marked) }
		r.serveFirst = func(s *simSend) {
			s.wait(2 * stallTimeout)
			s.reset()
		}
		call := r.call("x", streamEvents)
		<-call.done
		r.check(t)
		must.True(t, call.aborted, must.Sprint(r.logOf("x")))
	})
}

// Guards against streams without a single event that look complete after a comment.
func TestCommentIsNoEventOfAWholeStream(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.simFleet.serve = func(s *simSend) { s.endedAnswer(chunked, []string{": ping\n\n"}, marked) }
		call := r.call("x", streamEvents)
		<-call.done
		r.check(t)
		must.True(t, call.aborted, must.Sprint(r.logOf("x")))
	})
}

// Guards against streams that look complete because another replica has no more events, although the silent one has
// begun to send the next event.
func TestPartOfAnEventContradictsTheEndAtAnotherReplica(t *testing.T) {
	for name, end := range map[string]func(s *simSend){
		"reset":     (*simSend).reset,
		"ends":      func(s *simSend) { s.failed.Store(true); s.finish() },
		"is silent": (*simSend).hang,
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 4, attempts: 2, retries: 5}, func(t *testing.T, r *moveRig) {
				r.serveSuccessor = func(s *simSend, _ int64) { s.endedAnswer(chunked, nil, marked) }
				r.serveFirst = func(s *simSend) {
					s.chunk("id: 4\nda")
					s.wait(2 * stallTimeout)
					end(s)
				}
				call := r.call("x", streamEvents)
				<-call.done
				r.check(t)
				must.True(t, call.aborted, must.Sprint(call.body.String(), r.logOf("x")))
			})
		})
	}
}

// Guards against a stream that looks complete because its handler returned without an error.
func TestStreamIsCutUnlessItsEndIsProved(t *testing.T) {
	for name, complete := range map[string]bool{"begun": false, "complete": true} {
		t.Run(name, func(t *testing.T) {
			x := benchExchange(&countingCaller{header: http.Header{}})
			x.gateway.Metrics, x.gateway.Log, x.config = NewMetrics(metrics.NewSet()), zap.NewNop(), Config{}
			s := &streamSend{send: x.startSend(&x.targets()[0], func() {}), resp: &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}}
			s.ctx, s.cancelSend = context.WithCancelCause(t.Context())
			s.events = x.newStreamReader(s)
			h := x.startHandover(s.ctx, s)
			must.NoError(t, x.writeEvent([]byte("id: 1\n\n"), h, x.w.(http.Flusher)))
			if complete {
				_, err := x.endPass(s.ctx, h, nil)
				must.NoError(t, err)
				x.gateway.finish(x)
				return
			}
			defer func() { must.Eq(t, any(http.ErrAbortHandler), recover()) }()
			defer h.cancel()
			x.gateway.finish(x)
		})
	}
}

// Guards against streams that look complete because their replica ended them after a silence in which a successor has sent
// the next event.
func TestEventOfASuccessorContradictsTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		r := newStallRig(ctx, t)
		r.headerSent = true
		from, successor := r.startStream(ctx, &r.targets()[0]), r.startStream(ctx, &r.targets()[1])
		h := &handover{x: r.exchange, ctx: ctx, from: from, attempt: &handoverAttempt{done: make(chan struct{}), successor: successor}}
		close(h.attempt.done)
		next, err := r.endPass(ctx, h, nil)
		must.ErrorIs(t, err, errStalled)
		must.Eq(t, successor, next)
	})
}
