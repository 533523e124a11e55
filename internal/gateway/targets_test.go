package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// Guards against requests to a head after the end of its grace period. A head whose entry has
// lapsed may still be sent requests for three quarters of the bound on leaving instances, but
// the view that holds it can be older: the loop that builds the next view is late on a busy
// machine and does not run on a suspended one.
func TestLapsedHeadIsNoTargetAfterItsGracePeriod(t *testing.T) {
	now := time.Now()
	known := fleet.NewKnownState(time.Second, func(string, string) int { return 2 })
	known.LapsedHeadGrace = 3 * time.Second
	for _, id := range []string{"gone", "here"} {
		known.Put(&fleet.Instance{ID: id, Service: "s", Models: []string{"m"}, Version: 1, Group: fleet.Membership{Name: id, Epoch: 1, State: fleet.Open}})
		known.Put(&fleet.Instance{ID: id + "-1", Service: "s", Models: []string{"m"}, Version: 1, Group: fleet.Membership{Name: id, Epoch: 1, Rank: 1, State: fleet.Ready}})
	}
	// The group of "head" stays known through a member whose entry stays.
	known.Put(&fleet.Instance{ID: "member", Service: "s", Models: []string{"m"}, Version: 1, Group: fleet.Membership{Name: "pair", Epoch: 2, Rank: 1, State: fleet.Ready}})
	known.Put(&fleet.Instance{ID: "head", Service: "s", Models: []string{"m"}, Version: 1, Group: fleet.Membership{Name: "pair", Epoch: 2, State: fleet.Open}})
	known.Remove("head", now, now)
	view := known.View(now)
	service := &routes.Service{Name: "s", Engine: &routes.Engine{}}
	ids := func(at time.Time) (out []string) {
		for _, target := range listTargets(view, service, "m").validAt(at) {
			out = append(out, target.Instance)
		}
		return out
	}
	must.SliceContains(t, ids(now.Add(2*time.Second)), "head")
	must.SliceNotContains(t, ids(now.Add(3*time.Second)), "head")
	must.SliceContains(t, ids(now.Add(3*time.Second)), "here")
}

// Guards against a cost per request that grows with the number of instances: the targets are
// listed once per view for all requests.
func TestTargetsAreListedOncePerView(t *testing.T) {
	v, g := benchView(40), &Gateway{Gate: newGate()}
	first := g.targets(v, benchEngines, "m0")
	must.Len(t, 5, first)
	must.Zero(t, testing.AllocsPerRun(10, func() { g.targets(v, benchEngines, "m0") }))
	must.Len(t, 5, g.targets(v, benchEngines, "m1"))
	must.SliceEmpty(t, g.targets(v, benchEngines, "unknown"), must.Sprint("an unknown model, which callers may name, is not cached"))
	must.MapLen(t, 2, g.currentTargets.Load().lists)
	must.Len(t, 6, g.targets(benchView(48), benchEngines, "m0"), must.Sprint("listed anew for another view"))
}
