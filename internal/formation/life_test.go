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

// restarts ends an engine's life and begins the next one under the same id: it holds no
// group and no model; its host keeps what was staged.
func (s *sim) restarts(id string) {
	e := s.engines[id]
	e.seen, e.members, e.staging = 0, map[fleet.Key][]string{}, ""
	e.in.Models = nil
	e.in.Born++
	e.tells(fleet.Membership{})
}

// What happened: a spare that had started again stayed cold, and a repair with it took a
// warm start. Why: the planner remembered by id what it had warmed. What settled it: no
// second join of one was sent to it.
func TestSpareThatStartedAgainIsWarmedAgain(t *testing.T) {
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
	must.Eq(t, "large", p.warmed[spare])
	s.restarts(spare)
	p.Plan(s.view(), s.engine, s.now)
	must.Eq(t, "large", p.warmed[spare])
	must.True(t, func() bool { _, sent := p.joins[spare]; return sent }())
	s.run(p, 10*time.Second)
	must.Eq(t, map[string]int{"large": 1}, s.serving())
}

// A group that forms with a member of two lives is given up at once: the join that its
// earlier life took is not one that its next life holds.
func TestGroupFormingWithAMemberThatStartedAgainIsGivenUp(t *testing.T) {
	s := newSim(t, 1, 4)
	s.engine.Models = s.engine.Models[:1]
	p := NewPlanner(simService, 1, nil, s.now)
	p.Idle = true // loads as it joins
	s.run(p, 500*time.Millisecond)
	must.MapLen(t, 1, p.forming)
	var before fleet.Key
	for key := range p.forming {
		before = key
	}
	s.restarts("e00")
	p.Plan(s.view(), s.engine, s.now)
	must.MapNotContainsKey(t, p.forming, before)
	s.run(p, 30*time.Second)
	must.Eq(t, map[string]int{"large": 1}, s.serving())
}

// byLife is a prober at which the instance of one life answers.
type byLife struct {
	mu   sync.Mutex
	born int64
}

func (b *byLife) Probe(_ context.Context, in *fleet.Instance) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if in.Born != b.born {
		return ErrAnotherLife
	}
	return nil
}

// An instance that started again behind a cut answers under its id; the member that its
// group had is dead all the same. What it says after its own entry came counts for the
// next life.
func TestDeathIsThatOfOneLife(t *testing.T) {
	prober := &byLife{born: 2}
	s := newSearch(prober, zap.NewNop())
	first := &fleet.Instance{ID: "a", Service: simService, Born: 1}
	next := &fleet.Instance{ID: "a", Service: simService, Born: 2}
	view := func(in *fleet.Instance) *fleet.View {
		return fleet.Build(1, time.Now(), map[string]*fleet.Instance{"a": in}, nil, func(string, string) int { return 0 })
	}
	s.probe(context.Background(), first)
	must.MapNotContainsKey(t, s.without(view(first), nil).Instances, "a")
	must.MapContainsKey(t, s.without(view(next), nil).Instances, "a")
	s.probe(context.Background(), next) // a good answer of the next life does not revive the first
	must.MapNotContainsKey(t, s.without(view(first), func(string, string) int { return 0 }).Instances, "a")
}
