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

// deaf answers no probe.
type deaf struct{}

func (deaf) Probe(context.Context, *fleet.Instance) error { return errors.New("no answer") }

// Load: a member dies, and probes show it. The planner waited for its next tick, a quarter of a
// second at most, while the group stood.
func TestDeathIsSignalledOnce(t *testing.T) {
	s := newSearch(deaf{}, zap.NewNop())
	s.clock = steady.NewClock()
	in := &fleet.Instance{ID: "i"}
	s.probe(t.Context(), in)
	select {
	case <-s.found:
	default:
		t.Fatal("not signalled")
	}
	s.probe(t.Context(), in)
	must.Eq(t, 0, len(s.found), must.Sprint("known already"))
}

// lateProber answers nothing in time, and the process is not scheduled during its first calls.
type lateProber struct {
	stood   *atomic.Int64
	asked   int
	stands  int // during so many calls
	answers int // from this call on; 0: never
}

func (p *lateProber) Probe(ctx context.Context, _ *fleet.Instance) error {
	p.asked++
	if p.asked <= p.stands {
		p.stood.Add(int64(time.Second)) // all timers are due then
		return context.DeadlineExceeded
	}
	if p.answers > 0 && p.asked >= p.answers {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against members taken for dead because the daemon that plans read their answers late.
func TestMemberIsNotTakenForDeadByALatePlanner(t *testing.T) {
	for name, c := range map[string]struct {
		stands, answers, asked int
		dead                   bool
	}{
		"late twice, then answered": {2, 3, 3, false},
		"late twice, no answer":     {2, 0, 4, true},
		"on schedule, no answer":    {0, 0, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var stood atomic.Int64
				start := time.Now()
				steadily := func() time.Duration { return time.Since(start) + time.Duration(stood.Load()) }
				clock := steady.NewClockOf(func() (time.Time, time.Duration) { return start.Round(0).Add(steadily()), steadily() }, steadily)
				p := &lateProber{stood: &stood, stands: c.stands, answers: c.answers}
				s := newSearch(p, zap.NewNop())
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
