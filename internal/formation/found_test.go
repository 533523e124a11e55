package formation

import (
	"context"
	"testing"

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
