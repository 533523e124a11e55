package formation

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/fleet"
)

// selectiveProber fails the probes of some instances.
type selectiveProber struct {
	err     error
	reaches func(id string) bool
}

func (p selectiveProber) Probe(_ context.Context, in *fleet.Instance) error {
	if p.reaches(in.ID) {
		return nil
	}
	return p.err
}

// twoGroups returns a view of two open groups of two instances each: a1 and a2, b1 and b2.
func twoGroups() *fleet.View {
	instances := map[string]*fleet.Instance{}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		instances[id] = &fleet.Instance{ID: id, Address: id, Service: "s", StartedAt: 1, Models: []string{"m"},
			Group: fleet.Membership{Name: id[:1], Epoch: 1, Rank: int(id[1] - '1'), State: fleet.Open}}
	}
	return fleet.BuildView(1, time.Now(), instances, nil, func(string, string) int { return 2 })
}

// Guards against a planner that is cut off from all instances and dissolves groups that serve.
func TestPlannerThatReachesNoInstanceDeclaresNoneDead(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		reaches func(id string) bool
		dead    int
	}{
		"connections refused, none reached":  {errors.Annotate(syscall.ECONNREFUSED, "dial"), func(string) bool { return false }, 0},
		"no answer, none reached":            {context.DeadlineExceeded, func(string) bool { return false }, 0},
		"connections refused, other reached": {errors.Annotate(syscall.ECONNREFUSED, "dial"), func(id string) bool { return id != "a2" }, 1},
		"no answer, other reached":           {context.DeadlineExceeded, func(id string) bool { return id != "a2" }, 1},
		"a whole group, the other reached":   {context.DeadlineExceeded, func(id string) bool { return id[0] != 'a' }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newFailureDetector(selectiveProber{c.err, c.reaches}, zap.NewNop())
				d.startProbes(t.Context(), twoGroups(), []string{"a1", "b1"}, time.Now())
				time.Sleep(2 * time.Second)
				d.mu.Lock()
				defer d.mu.Unlock()
				must.Eq(t, c.dead, len(d.dead))
			})
		})
	}
}
