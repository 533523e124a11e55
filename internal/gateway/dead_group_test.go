package gateway

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// groupModel is the model of all groups of newGroupProcess.
const groupModel = "m"

// groupCodec is simCodec for requests that name groupModel.
type groupCodec struct{ simCodec }

func (groupCodec) Request(r *http.Request) *Request {
	out := simCodec{}.Request(r)
	out.Model = groupModel
	return out
}

// newGroupProcess starts a daemon in front of a fleet whose replicas are groups of one instance.
func newGroupProcess(ctx context.Context, f *simFleet, rule dispatch.BudgetRule) *simProcess {
	instances := map[string]*fleet.Instance{}
	for _, id := range f.ids {
		instances[id] = &fleet.Instance{ID: id, Address: id, Service: simService, Models: []string{groupModel}, Group: fleet.Membership{Name: id, Epoch: 1, State: fleet.Open}}
	}
	f.view = fleet.BuildView(1, time.Now(), instances, nil, func(string, string) int { return 1 })
	p := newSimProcess(ctx, f, streamRoute(2), rule, func(int) int { return 0 })
	engine := &routes.Engine{Models: []routes.Model{{Name: groupModel, ReplicaSize: 1}}}
	config := *p.config.Load()
	config.Table = routes.Compile(&routes.Config{Version: 1, Routes: config.Table.Config.Routes, Services: []routes.Service{{Name: simService, Engine: engine}}})
	p.config.Store(&config)
	p.gateway.Codec = groupCodec{}
	return p
}

// Guards against streams that wait at a dead group until their callers leave, as 549 requests of one run did:
// the group's death was reported, the retries were spent, and the next group was full.
func TestStreamLeavesDeadGroupAlsoWhenOtherGroupsAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := newSimFleet("a", "b", "c")
		var dead string
		var refused []string
		f.serve = func(s *simSend) {
			f.mu.Lock()
			first := dead == ""
			if first {
				dead = s.replica
			}
			full := !first && len(refused) == 0
			if full {
				refused = append(refused, s.replica)
			}
			f.mu.Unlock()
			switch {
			case first:
				s.hang()
			case full:
				s.refuse()
			default:
				continueStream(s)
			}
		}
		rule := dispatch.BudgetRule{Ratio: 1, Window: 10 * time.Second}
		p := newGroupProcess(ctx, f, rule)
		defer func() { stop(); f.close(); synctest.Wait() }()
		for range 4 {
			p.gateway.Budgets.For(simService).CountRequest(rule, p.gateway.Clock.Now())
		}
		report := func(stalled bool) {
			r := dispatch.PeerReports{Daemons: 79, InFlight: map[string]int{"a": 40, "b": 40, "c": 40}, StalledGroups: map[fleet.GroupKey]bool{}}
			if stalled {
				r.StalledGroups[fleet.GroupKey{Name: dead, Epoch: 1}] = true
			}
			p.gateway.Picker.SetPeerReports(r, p.runClock.Now())
		}
		report(false)
		c := p.call("r", streamEvents)
		for range 4 { // others use the group, so the stream counts as queued
			time.Sleep(250 * time.Millisecond)
			report(false)
		}
		must.Len(t, 1, f.sendsOf("r"))
		report(true)
		time.Sleep(400 * time.Millisecond)
		must.Len(t, 3, f.sendsOf("r"), must.Sprint(p.logOf("r")))
		<-c.done
		must.True(t, c.complete(t))
		must.False(t, slices.Contains(c.received(t), dead))
	})
}
