package formation

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"pearlanding/internal/demand"
	_ "pearlanding/internal/fixedseed"
	"pearlanding/internal/fleet"
)

func TestDomainsHoldOneModelEachAndAllServe(t *testing.T) {
	s := newSim(t, 6, 10)
	s.run(NewPlanner(simService, 1, nil, s.now), 30*time.Second)
	must.Eq(t, map[string]int{"large": 6, "small": 15}, s.serving())
}

func TestOneDomainHoldsBothModels(t *testing.T) {
	s := newSim(t, 1, 10)
	s.run(NewPlanner(simService, 1, nil, s.now), 30*time.Second)
	got := s.serving()
	must.Positive(t, got["large"])
	must.Positive(t, got["small"])
}

func TestGroupFormsAgainWithASpareWhenAMemberDies(t *testing.T) {
	s := newSim(t, 2, 10)
	p := NewPlanner(simService, 1, nil, s.now)
	s.run(p, 30*time.Second)
	before := s.serving()
	for _, e := range s.engines {
		if e.in.Group.State == fleet.Open && e.in.Models[0] == "large" {
			e.alive = false // the head
			break
		}
	}
	s.run(p, 5*time.Second)
	must.Eq(t, before, s.serving())
}

// An engine that is cut off from the store keeps serving, so its group's members must leave before
// they join another group. Otherwise, under fault injection, instances were in two groups at once.
func TestMembersLeaveGroupWhoseHeadIsCutOffFromStore(t *testing.T) {
	s := newSim(t, 2, 10)
	p := NewPlanner(simService, 1, nil, s.now)
	s.run(p, 30*time.Second)
	for _, e := range s.engines {
		if e.in.Group.State == fleet.Open {
			e.cutOff = true
		}
	}
	s.run(p, 30*time.Second) // the check is in sim.join
	for _, e := range s.engines {
		e.cutOff = false
	}
	s.run(p, 30*time.Second)
	must.Positive(t, s.serving()["large"])
}

func TestGroupClosesForDrainingMember(t *testing.T) {
	s := newSim(t, 1, 4)
	s.engine.Models = s.engine.Models[:1]
	p := NewPlanner(simService, 1, nil, s.now)
	s.run(p, 10*time.Second)
	must.Eq(t, map[string]int{"large": 1}, s.serving())
	s.engines["e03"].in.Draining = true
	orders := p.Plan(s.view(), s.engine, s.now)
	must.Len(t, 1, orders)
	must.Eq(t, OpClose, orders[0].Op)
}

// Once requests arrive, one planner starts at most half of the loads that the ceiling allows within
// a window, so that two planners together stay within the ceiling.
func TestLoadsStayWithinCeiling(t *testing.T) {
	s := newSim(t, 6, 10)
	s.engine.ConcurrentLoads = 100
	p := NewPlanner(simService, 1, nil, s.now)
	p.LoadWindow = simWindow
	starts := s.loadStarts(20*time.Second, func() *Planner { return p })
	must.SliceNotEmpty(t, starts)
	must.LessEq(t, int(s.engine.LoadsPerSecond*simWindow.Seconds())/2, mostWithin(starts, simWindow))
}

// The planner is replaced every 2.2 seconds, as when daemons are stopped in turn, while most
// instances are empty. A new planner knows the loads of its predecessors only from the entries.
// All planners together stay within the ceiling plus a tenth plus three, as operators set it.
func TestLoadsStayWithinCeilingAcrossTakeovers(t *testing.T) {
	s := newSim(t, 6, 10)
	s.engine.ConcurrentLoads = 100
	var p *Planner
	term, takeover := uint64(0), time.Time{}
	starts := s.loadStarts(20*time.Second, func() *Planner {
		if p == nil || s.now.Sub(takeover) >= 2200*time.Millisecond {
			term, takeover = term+1, s.now
			p = NewPlanner(simService, term, nil, s.now)
			p.LoadWindow = simWindow
		}
		return p
	})
	must.SliceNotEmpty(t, starts)
	must.LessEq(t, int(1.1*s.engine.LoadsPerSecond*simWindow.Seconds())+3, mostWithin(starts, simWindow))
}

const simWindow = 5 * time.Second

// loadStarts runs planners for a while and returns when loads from the weight store started.
func (s *sim) loadStarts(duration time.Duration, planner func() *Planner) (starts []time.Time) {
	const tick = 100 * time.Millisecond
	for range duration / tick {
		for _, o := range planner().Plan(s.view(), s.engine, s.now) {
			if in := s.engines[o.Instance]; o.Op == OpStage || o.Op == OpJoin && !in.in.HasStaged(o.Model) {
				starts = append(starts, s.now)
			}
			s.apply(o)
		}
		s.step(tick)
	}
	return starts
}

// mostWithin returns the greatest number of the sorted times that lie within one window.
func mostWithin(times []time.Time, window time.Duration) (maxCount int) {
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) <= window {
				n++
			}
		}
		maxCount = max(maxCount, n)
	}
	return maxCount
}

// A planner that takes over while one instance's join may arrive twice uses all other instances at
// once. Otherwise, with late orders, 82 of 158 instances were left free for 13 s.
func TestTakeoverPlansWithAllButResentInstances(t *testing.T) {
	s := newSim(t, 3, 10)
	p := NewPlanner(simService, 1, nil, s.now)
	s.run(p, 30*time.Second)
	before := s.serving()
	for _, e := range s.engines {
		if e.in.Group.State == fleet.Open && e.in.Models[0] == "large" {
			e.alive = false
		}
	}
	resent := ""
	for _, id := range s.ids {
		if e := s.engines[id]; e.alive && e.in.Group.Name != "" && e.in.Models[0] == "large" {
			resent = id
		}
	}
	p = NewPlanner(simService, 2, map[string]bool{resent: true}, s.now)
	s.run(p, 6*time.Second)
	after := s.serving()
	must.Positive(t, after["large"])
	must.Eq(t, before["small"], after["small"])
	must.Eq(t, "", s.engines[resent].in.Group.Name)
	s.run(p, maxOrderDelay)
	must.NotEq(t, "", s.engines[resent].in.Group.Name)
}

// A late copy of a join returns an instance to the group that it left before its entry was seen
// without the group, so it no longer counts as having left. Otherwise it was in two groups at once
// (found by 6,777 random cases of the simulation).
func TestRejoinedInstanceHasNotLeft(t *testing.T) {
	s := pairSim(t)
	p := NewPlanner(simService, 1, nil, s.now)
	s.run(p, 5*time.Second)
	key := s.engines["e01"].in.Group.Key()
	o := Order{Op: OpLeave, Instance: "e01", Group: key, Version: s.engines["e01"].in.Version}
	must.True(t, s.apply(o))
	p.RecordOutcome(o, Taken)
	old := s.engines["e01"].in
	old.Group, old.Version = fleet.Membership{Name: key.Name, Epoch: key.Epoch, Rank: 1, State: fleet.Ready}, o.Version
	must.True(t, p.hasLeft(&old), must.Sprint("the entry from before the leave"))
	s.engines["e01"].setMembership(old.Group) // the late copy of the join
	back := s.engines["e01"].in
	must.False(t, p.hasLeft(&back))
}

// Two planners die one after the other while their joins are delayed. The group of the first must
// not open while the joins of the second may still move its members, which then were in two
// groups at once (found by 150,000 random cases of the simulation).
func TestGroupOfEarlierTermIsFormedAnew(t *testing.T) {
	s := pairSim(t)
	s.plan(NewPlanner(simService, 1, nil, s.now), s.view(), delayedBy(3*time.Second))
	s.step(250 * time.Millisecond)
	s.plan(NewPlanner(simService, 2, nil, s.now), s.view(), delayedBy(8*time.Second))
	s.step(250 * time.Millisecond)
	// The third planner may not send these instances joins until the delayed copies have expired.
	resent := map[string]bool{"e00": true, "e01": true}
	s.run(NewPlanner(simService, 3, resent, s.now), 30*time.Second) // the check is in sim.join
	must.Eq(t, map[string]int{"small": 1}, s.serving())
}

// The second copy of a join is in flight after its instance left the group, whose head is only cut
// off from the store. The instance must not be used until that copy has arrived, which would
// otherwise return it to the old group after a join to another one.
func TestInstanceWithResentJoinIsNotReused(t *testing.T) {
	s := pairSim(t)
	p := NewPlanner(simService, 1, nil, s.now)
	p.MayResend = func(string) bool { return true }
	sent := 0
	s.plan(p, s.view(), func() (bool, bool, time.Duration) {
		sent++
		return false, sent == 2, 2 * time.Second // the second member's join
	})
	for s.engines["e00"].in.Group.State != fleet.Open {
		s.step(250 * time.Millisecond)
		delivery := onTime
		if s.engines["e01"].in.Group.Name == "" {
			delivery = delayedBy(12 * time.Second)
		}
		s.plan(p, s.view(), delivery)
	}
	must.Len(t, 1, s.delayed) // the second copy of the join
	s.engines["e00"].cutOff = true
	s.add("d0")
	s.engines["e02"].in.Staged, s.engines["e02"].in.Models = []string{"small"}, []string{"small"}
	for s.engines["e01"].in.Group.Name != "" {
		s.plan(p, s.view(), onTime)
		s.step(250 * time.Millisecond)
	}
	s.plan(p, s.view(), delayedBy(12*time.Second)) // the planner's last orders before it is killed
	for len(s.delayed) > 0 {
		s.step(250 * time.Millisecond) // the check is in sim.join
	}
}

// Like TestGroupOfEarlierTermIsFormedAnew, but with one planner that aborted its first group.
func TestGroupWithMembersOrderedElsewhereDoesNotOpen(t *testing.T) {
	s := pairSim(t)
	p := NewPlanner(simService, 1, nil, s.now)
	s.plan(p, s.view(), delayedBy(11*time.Second))
	for len(s.delayed) == 2 { // until the group is aborted and another one started
		s.plan(p, s.view(), delayedBy(12*time.Second))
		s.step(250 * time.Millisecond)
	}
	s.run(p, 30*time.Second)
	must.Eq(t, map[string]int{"small": 1}, s.serving())
}

func TestEpochsRiseOverTerms(t *testing.T) {
	a, b := NewPlanner(simService, 7, nil, time.Time{}), NewPlanner(simService, 8, nil, time.Time{})
	last := uint64(0)
	for range epochsPerTerm + 10 {
		e := a.nextEpoch()
		must.GreaterEq(t, last, e)
		last = e
	}
	must.Greater(t, last, b.nextEpoch())
}

// The safety rules of groups, which sim checks, hold under random faults: deaths, cut-off
// instances, lost and delayed orders, and planners that take over while the last orders of their
// predecessors are in flight.
func TestGroupRulesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { runRandomFaults(r, func(*Planner) {}) })
}

// The same rules hold while the demand changes and capacity moves between models.
func TestGroupRulesUnderRandomFaultsAndDemand(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		demanded, evacuated, planned := []demand.Rate{}, map[string]bool{}, 0
		runRandomFaults(r, func(p *Planner) {
			if planned++; planned%40 == 1 {
				large, small := rapid.Float64Range(0, 6).Draw(r, "large"), rapid.Float64Range(0, 12).Draw(r, "small")
				demanded = []demand.Rate{{Key: demand.Key{Service: simService, Model: "large", Priority: rapid.IntRange(0, 1).Draw(r, "priority")}, Requests: 10, Work: large},
					{Key: demand.Key{Service: simService, Model: "small"}, Requests: 10, Refused: 3, Work: small}}
				evacuated = map[string]bool{"zd0": rapid.IntRange(0, 4).Draw(r, "evacuated") == 0}
			}
			p.Demand, p.Evacuated = demanded, evacuated
		})
	})
}

// runRandomFaults runs planners under random faults. prepare is called before each plan.
func runRandomFaults(r *rapid.T, prepare func(p *Planner)) {
	s := newSim(r, rapid.IntRange(1, 3).Draw(r, "domains"), rapid.IntRange(4, 10).Draw(r, "size"))
	term, record := uint64(1), map[string]bool{} // the lease's record of resent joins
	p := NewPlanner(simService, term, nil, s.now)
	delivery := func() (bool, bool, time.Duration) {
		switch rapid.IntRange(0, 9).Draw(r, "fate") {
		case 0:
			return true, false, 0
		case 1, 2:
			return false, true, time.Duration(rapid.IntRange(2, 12).Draw(r, "delay")) * time.Second
		}
		return false, false, 0
	}
	s.run(p, 8*time.Second)
	for range rapid.IntRange(20, 120).Draw(r, "steps") {
		e := s.engines[rapid.SampledFrom(s.ids).Draw(r, "engine")]
		switch rapid.IntRange(0, 24).Draw(r, "event") {
		case 0:
			e.alive = false
		case 1:
			e.cutOff = true
		case 2:
			e.cutOff = false
		case 3:
			e.in.Draining = true
		case 4:
			s.add(e.in.Domain)
		case 5:
			// The planner's last orders are in flight when another one takes over.
			s.plan(p, s.view(), func() (bool, bool, time.Duration) {
				return false, true, time.Duration(rapid.IntRange(0, 12).Draw(r, "delay")) * time.Second
			})
			term++
			p = NewPlanner(simService, term, maps.Clone(record), s.now)
		}
		// The lease's record must list an instance before a join is sent to it again.
		if rapid.Bool().Draw(r, "noted") {
			record[rapid.SampledFrom(s.ids).Draw(r, "listed")] = true
		}
		p.MayResend = func(id string) bool { return record[id] }
		prepare(p)
		s.plan(p, s.view(), delivery)
		s.step(250 * time.Millisecond)
	}
}
