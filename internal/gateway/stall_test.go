package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
	"pearlanding/internal/upstream"
)

// stallRig is a stream at one of two instances, in a daemon that is not always scheduled.
type stallRig struct {
	*exchange
	t           *testing.T
	unscheduled atomic.Int64 // nanoseconds for which the process was not scheduled
}

func newStallRig(ctx context.Context, t *testing.T) *stallRig {
	r, start := &stallRig{t: t}, time.Now()
	clock := steady.NewClockFrom(func() (time.Time, time.Duration) {
		now := time.Since(start) + time.Duration(r.unscheduled.Load())
		return start.Round(0).Add(now), now
	}, func() time.Duration { return time.Since(start) + time.Duration(r.unscheduled.Load()) })
	runClock := steady.NewRunClock(clock)
	go runClock.Run(ctx)
	rule := dispatch.BudgetRule{Ratio: 1, Window: 10 * time.Second}
	view := fleet.BuildView(1, start, map[string]*fleet.Instance{"a": {ID: "a", Service: "s"}, "b": {ID: "b", Service: "s"}}, nil, nil)
	r.exchange = &exchange{
		gateway: &Gateway{Codec: emptyHeaderCodec{}, Pool: upstream.NewPool(time.Second, time.Second), Gate: newGate(), Clock: clock, RunClock: runClock, Budgets: &dispatch.Budgets{},
			Quarantine: quarantine.NewDetector(quarantine.NewEvidence(), nil, clock.Now, zap.NewNop()), Picker: dispatch.NewPicker("", func(int) int { return 0 }),
			View: func() *fleet.View { return view }, Limits: func() Limits { return Limits{RetryBudget: rule} }},
		service: &routes.Service{Name: "s"}, route: &routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 3}, req: &Request{},
		deadline: clock.Now().Add(time.Minute), quarantineRequest: quarantine.NewRequest(quarantine.Content{}),
	}
	for range 2 { // each request accrues a credit of 0.9
		r.budget().CountRequest(rule, clock.Now())
	}
	return r
}

// emptyHeaderCodec sends requests without headers.
type emptyHeaderCodec struct{ Codec }

func (emptyHeaderCodec) UpstreamHeader(*Request, SendOptions) http.Header { return nil }

// Guards against streams that are moved away from working replicas, and then break, because
// this daemon was not scheduled and read their events late.
func TestStreamIsNotMovedWhileTheProcessIsNotScheduled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		r := newStallRig(ctx, t)
		sent := &streamSend{send: r.startSend(&r.targets()[0], func() {}), resp: &http.Response{Body: http.NoBody}, timeouts: dispatch.StallTimeouts{First: 300 * time.Millisecond, Pause: 200 * time.Millisecond}}
		h := r.startHandover(ctx, sent)
		defer h.cancel()
		time.Sleep(100 * time.Millisecond)
		r.unscheduled.Add(int64(400 * time.Millisecond))
		h.timer.Reset(0) // after the pause all timers are due
		time.Sleep(50 * time.Millisecond)
		must.Len(t, 1, r.sendsSoFar(h))
		time.Sleep(60 * time.Millisecond)
		must.Len(t, 2, r.sendsSoFar(h), must.Sprint("silent for 200 ms while the process was scheduled"))
	})
}

// sendsSoFar returns the sends of the exchange while no handover is in progress.
func (r *stallRig) sendsSoFar(h *handover) []sendLog {
	synctest.Wait()
	r.progressMu.Lock()
	defer r.progressMu.Unlock()
	must.Nil(r.t, h.attempt)
	return r.sends
}

// The same for the health of an instance, which a daemon derives from all streams there and
// announces to other daemons.
func TestInstanceIsNotStalledWhileTheProcessIsNotScheduled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		r := newStallRig(ctx, t)
		target, picker := &r.targets()[0], r.gateway.Picker
		sent := r.gateway.runClockNow()
		picker.NoteSent(target, 200*time.Millisecond, sent)
		picker.NoteFirstEvent(target, dispatch.ModelKey{}, sent, sent)
		picker.NoteProgress(target, sent)
		time.Sleep(50 * time.Millisecond)
		r.unscheduled.Add(int64(time.Second))
		must.Eq(t, dispatch.Progressing, picker.Health(target, r.gateway.runClockNow()))
		time.Sleep(250 * time.Millisecond)
		must.Eq(t, dispatch.Unhealthy, picker.Health(target, r.gateway.runClockNow()))
	})
}

// Without these fields the log can't tell a replica that stalled from one whose events this daemon
// read late, or a stream that was lost at a replica at work.
func TestRequestLogTellsHowLongAStreamAndItsReplicaWereSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		r := newStallRig(ctx, t)
		target, picker := &r.targets()[0], r.gateway.Picker
		r.arrivedAt, r.latenessOnArrival = r.gateway.Clock.Now(), r.gateway.RunClock.Lateness()
		sent := &streamSend{send: r.startSend(target, func() {}), eventCount: 3, eventAt: r.gateway.runClockNow()}
		time.Sleep(150 * time.Millisecond)
		picker.NoteProgress(target, r.gateway.runClockNow()) // by another stream
		r.unscheduled.Add(int64(time.Second))
		time.Sleep(100 * time.Millisecond)
		r.recordSilence(sent)

		enc := zapcore.NewMapObjectEncoder()
		for _, f := range r.logFields(0) {
			f.AddTo(enc)
		}
		send := enc.Fields["sends"].([]any)[0].(map[string]any)
		must.Eq(t, 3, send["events"].(int))
		must.Between(t, 250, send["silent_ms"].(int64), 250+steady.RunClockMaxLag.Milliseconds())
		must.Between(t, 100, send["replica_silent_ms"].(int64), 100+steady.RunClockMaxLag.Milliseconds())
		must.Between(t, 1000-steady.RunClockMaxLag.Milliseconds(), enc.Fields["not_scheduled_ms"].(int64), 1000)
	})
}
