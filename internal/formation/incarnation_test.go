package formation

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/fleet"
)

// restart replaces an engine by its next incarnation, which holds no group and no model. The host
// keeps its staged models.
func (s *sim) restart(id string) {
	e := s.engines[id]
	e.lastEpoch, e.members, e.staging = 0, map[fleet.GroupKey][]string{}, ""
	e.in.Models = nil
	e.in.StartedAt++
	e.setMembership(fleet.Membership{})
}

// Guards against a planner that remembers by id which spares it has warmed: a restarted spare got
// no second warm-up, and a group repaired with it needed a warm start.
func TestRestartedSpareIsWarmedAgain(t *testing.T) {
	s := newSim(t, 1, 5)
	s.engine.Models = s.engine.Models[:1]
	p := NewPlanner(simService, 1, nil, s.now)
	s.run(p, 30*time.Second)
	spare := ""
	for id, e := range s.engines {
		if e.in.Group.Name == "" {
			spare = id
		}
	}
	must.Eq(t, "large", p.lastModel[spare])
	s.restart(spare)
	p.Plan(s.view(), s.engine, s.now)
	must.Eq(t, "large", p.lastModel[spare])
	must.True(t, func() bool { _, sent := p.lastJoins[spare]; return sent }())
	s.run(p, 10*time.Second)
	must.Eq(t, map[string]int{"large": 1}, s.serving())
}

// A forming group is aborted as soon as a member restarts: the new incarnation does not hold the
// join that the earlier one took.
func TestFormingGroupWithRestartedMemberIsAborted(t *testing.T) {
	s := newSim(t, 1, 4)
	s.engine.Models = s.engine.Models[:1]
	p := NewPlanner(simService, 1, nil, s.now)
	p.BeforeFirstRequest = true // members load as they join
	s.run(p, 500*time.Millisecond)
	must.MapLen(t, 1, p.forming)
	var before fleet.GroupKey
	for key := range p.forming {
		before = key
	}
	s.restart("e00")
	p.Plan(s.view(), s.engine, s.now)
	must.MapNotContainsKey(t, p.forming, before)
	s.run(p, 30*time.Second)
	must.Eq(t, map[string]int{"large": 1}, s.serving())
}

// incarnationProber answers only for the incarnation with one start time.
type incarnationProber struct {
	mu        sync.Mutex
	startedAt int64
}

func (p *incarnationProber) Probe(_ context.Context, in *fleet.Instance) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in.StartedAt != p.startedAt {
		return ErrOtherIncarnation
	}
	return nil
}

// An instance that restarts while cut off from the store answers under its id, but the incarnation
// that was a member of the group is dead. Answers of the next incarnation count for that one only.
func TestDeathAppliesToOneIncarnation(t *testing.T) {
	prober := &incarnationProber{startedAt: 2}
	d := newFailureDetector(prober, zap.NewNop())
	first := &fleet.Instance{ID: "a", Service: simService, StartedAt: 1}
	next := &fleet.Instance{ID: "a", Service: simService, StartedAt: 2}
	view := func(in *fleet.Instance) *fleet.View {
		return fleet.BuildView(1, time.Now(), map[string]*fleet.Instance{"a": in}, nil, func(string, string) int { return 0 })
	}
	d.probe(context.Background(), first)
	must.MapNotContainsKey(t, d.excludeDead(view(first), nil).Instances, "a")
	must.MapContainsKey(t, d.excludeDead(view(next), nil).Instances, "a")
	d.probe(context.Background(), next) // an answer of the next incarnation does not revive the first
	must.MapNotContainsKey(t, d.excludeDead(view(first), func(string, string) int { return 0 }).Instances, "a")
}
