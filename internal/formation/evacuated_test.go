package formation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// Guards against groups that form in an evacuated zone, and against ends of those that are there.
func TestNoGroupFormsInEvacuatedZone(t *testing.T) {
	s := newSim(t, 2, 10)
	evacuated := map[string]bool{"zd0": true}
	p := NewPlanner(simService, 1, nil, s.now)
	p.Evacuated = evacuated
	s.run(p, 30*time.Second)
	for _, e := range s.engines {
		must.True(t, !evacuated[e.in.Zone] || e.in.Group.Name == "")
	}
	during := s.serving()
	table := routes.Compile(&routes.Config{Services: []routes.Service{{Name: simService, Engine: s.engine}}})
	must.False(t, (&Manager{Evacuated: func() map[string]bool { return evacuated }}).hasPendingWork(s.view(), table, s.now), must.Sprint("no daemon checks the lease for it"))
	p.Evacuated = nil
	s.run(p, 30*time.Second)
	after := s.serving()
	must.Positive(t, during["large"]+during["small"])
	must.Greater(t, during["large"]+during["small"], after["large"]+after["small"])
	p.Evacuated = evacuated
	s.run(p, 30*time.Second)
	must.Eq(t, after, s.serving())
}
