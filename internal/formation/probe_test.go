package formation

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/fleet"
	"pearlanding/internal/steady"
)

// silentProber fails every probe.
type silentProber struct{}

func (silentProber) Probe(context.Context, *fleet.Instance) error { return errors.New("no answer") }

// Guards against a planner that learns of a dead member only at its next tick, up to a quarter of
// a second later, while the group is stalled.
func TestDeathIsSignaledOnce(t *testing.T) {
	s := newFailureDetector(silentProber{}, zap.NewNop())
	s.clock = steady.NewClock()
	in := &fleet.Instance{ID: "i"}
	s.probe(t.Context(), in)
	select {
	case <-s.detected:
	default:
		t.Fatal("not signalled")
	}
	s.probe(t.Context(), in)
	must.Eq(t, 0, len(s.detected), must.Sprint("already known"))
}

// unscheduledProber simulates a process that is not scheduled during the first calls.
type unscheduledProber struct {
	stalled      *atomic.Int64
	asked        int
	stalledCalls int // number of calls during which the process is not scheduled
	answersFrom  int // number of the first call that is answered; 0: none
}

func (p *unscheduledProber) Probe(ctx context.Context, _ *fleet.Instance) error {
	p.asked++
	if p.asked <= p.stalledCalls {
		p.stalled.Add(int64(time.Second)) // all timers are due afterwards
		return context.DeadlineExceeded
	}
	if p.answersFrom > 0 && p.asked >= p.answersFrom {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against members that are declared dead because the probing daemon was not scheduled and
// read their answers too late.
func TestMemberIsNotDeclaredDeadWhileProberIsNotScheduled(t *testing.T) {
	for name, c := range map[string]struct {
		stalledCalls, answersFrom, asked int
		dead                             bool
	}{
		"not scheduled twice, then answered": {2, 3, 3, false},
		"not scheduled twice, no answer":     {2, 0, 4, true},
		"scheduled, no answer":               {0, 0, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var stalled atomic.Int64
				start := time.Now()
				steadily := func() time.Duration { return time.Since(start) + time.Duration(stalled.Load()) }
				clock := steady.NewClockOf(func() (time.Time, time.Duration) { return start.Round(0).Add(steadily()), steadily() }, steadily)
				p := &unscheduledProber{stalled: &stalled, stalledCalls: c.stalledCalls, answersFrom: c.answersFrom}
				s := newFailureDetector(p, zap.NewNop())
				s.clock, s.run = clock, steady.NewRunClock(clock)
				ctx, end := context.WithCancel(t.Context())
				defer end()
				go s.run.Run(ctx)
				time.Sleep(time.Second)
				s.probe(ctx, &fleet.Instance{ID: "i"})
				must.Eq(t, c.asked, p.asked)
				must.Eq(t, c.dead, len(s.dead) == 1)
			})
		})
	}
}
