package formation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/fleet"
)

// A spare loads its model to its accelerators once and is then free. A group repaired with it forms
// as quickly as its remaining members join.
func TestSparesAreWarmedOnce(t *testing.T) {
	s := newSim(t, 2, 10)
	s.engine.Models[0].WarmStartTime = 4 * time.Second
	p := NewPlanner(simService, 1, nil, s.now)
	warmed := map[string]int{}
	for end := s.now.Add(60 * time.Second); s.now.Before(end); s.step(250 * time.Millisecond) {
		for _, o := range p.Plan(s.view(), s.engine, s.now) {
			if o.Op == OpJoin && len(o.Members) == 1 {
				warmed[o.Instance]++
			}
			s.carryOut(p, o)
		}
	}
	must.Eq(t, map[string]int{"large": 2, "small": 5}, s.serving())
	spares := 0
	for id, e := range s.engines {
		if e.in.Group.Name == "" {
			spares++
			must.Eq(t, 1, warmed[id], must.Sprint(id))
		} else {
			must.Eq(t, 0, warmed[id], must.Sprint(id))
		}
	}
	must.Eq(t, 2, spares)
	for _, e := range s.engines {
		if e.in.Group.State == fleet.Open && e.in.Models[0] == "large" {
			e.alive = false
			break
		}
	}
	s.run(p, 2*time.Second) // less than the warm start
	must.Eq(t, map[string]int{"large": 2, "small": 5}, s.serving())
}

// A planner that takes over ends the warm-ups of its predecessor.
func TestTakeoverEndsWarming(t *testing.T) {
	s := newSim(t, 1, 2)
	s.engine.Models = s.engine.Models[:1] // a group needs four engines
	e := s.engines["e00"]
	e.in.Staged = []string{"large"}
	must.True(t, s.apply(Order{Op: OpJoin, Instance: "e00", Group: fleet.GroupKey{Name: "warm-1", Epoch: 1}, Model: "large", Members: []string{"e00"}}))
	s.run(NewPlanner(simService, 2, nil, s.now), 5*time.Second)
	must.Eq(t, "", e.in.Group.Name)
	must.SliceEmpty(t, s.delayed)
}
