package formation

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"pearlanding/internal/demand"
)

// Times from a change of the demand until the capacity matches it where hosts hold the other model: 5.25 s
// until the change is no burst, 1.5 s until a closed group has finished its requests, and joins.
const prestagedCapacityTime = 9 * time.Second

// newPrestagingSim returns a simulation whose planners load other models to hosts.
func newPrestagingSim(t *testing.T) *placementSim {
	s := newPlacementSim(t, 0.5, 0.5)
	s.prestages, s.planner.Prestages = true, true
	return s
}

// prestagedSim returns a simulation in which all groups of equal shares serve, and whose hosts were loaded
// with the other model until some time after the start.
func prestagedSim(t *testing.T, until time.Duration) *placementSim {
	s := newPrestagingSim(t)
	s.runUntil(until, nil)
	must.Eq(t, map[string]int{"large": 10, "small": 16}, s.serving())
	s.began = s.now.Add(-trafficStart)
	s.resetLeast()
	return s
}

// Guards against capacity that follows the demand only after a load of 12 or 16 s: a day of 34 s was two
// thirds over by then, although 14 s before the first request went unused.
func TestCapacityFollowsDemandWithinSecondsOfTheFirstRequest(t *testing.T) {
	s := prestagedSim(t, 40*time.Second)
	s.demand = after(trafficStart, nil, work(3.7, 13.1))
	loads := len(s.loads)
	s.runUntil(trafficStart+prestagedCapacityTime, s.has(7, 17))
	must.GreaterEq(t, 17, s.serving()["small"])
	s.runUntil(s.since()+30*time.Second, nil)
	test.Eq(t, map[string]int{"large": 7, "small": 22}, s.serving())
	test.Eq(t, 7, s.least["large"])
	test.Eq(t, 16, s.least["small"])
	test.Less(t, loads+20, len(s.loads), test.Sprint("hosts of spares only"))
}

// Guards against capacity that follows the demand only if the small model is the one that is short.
func TestCapacityFollowsDemandForTheLargeModelWithinSeconds(t *testing.T) {
	s := prestagedSim(t, 40*time.Second)
	s.demand = after(trafficStart, nil, work(9, 6))
	s.runUntil(trafficStart+prestagedCapacityTime+2*time.Second, s.has(13, 8))
	must.GreaterEq(t, 13, s.serving()["large"])
	test.GreaterEq(t, 8, s.least["small"])
}

// Guards against domains that lose their model: the hosts of a group that lost a member hold the other
// model, but the members have their own one loaded and form the next group of it, without a load.
func TestGroupsOfPrestagedHostsFormAgain(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		s := prestagedSim(t, 40*time.Second)
		s.demand = after(0, nil, work(5, 10))
		if takeOver {
			s.takeOver()
			s.runUntil(s.since()+5*time.Second, nil)
		}
		for _, g := range s.view().Groups {
			if g.Model == "large" && g.Serving() {
				s.engines[g.Members[3].ID].alive = false
				break
			}
		}
		s.resetLeast()
		s.runUntil(s.since()+4*time.Second, nil)
		must.Eq(t, 9, s.least["large"])
		test.Eq(t, map[string]int{"large": 10, "small": 16}, s.serving(), test.Sprint(takeOver))
		test.SliceEmpty(t, s.moves)
	}
}

// Loads that begin after the first request count against the ceiling, whenever prestaging ended.
func TestPrestagingStaysBelowTheCeiling(t *testing.T) {
	for _, until := range []time.Duration{6, 8, 10, 14} {
		s := newPrestagingSim(t)
		s.demand = after(until*time.Second, nil, work(3.7, 13.1))
		s.runUntil((until+20)*time.Second, nil)
		test.LessEq(t, 81, mostWithin(s.loads, simWindow), test.Sprint(until))
		test.GreaterEq(t, 17, s.serving()["small"], test.Sprint(until))
	}
}

// Groups are complete and no member is in two of them, whatever dies, with a successor at any time.
func TestPrestagedFleetSurvivesDeathsAndSuccessors(t *testing.T) {
	s := prestagedSim(t, 40*time.Second)
	s.deaths = true
	s.demand = after(trafficStart, nil, work(3.7, 13.1))
	for range 6 {
		s.runUntil(s.since()+5*time.Second, nil)
		s.step(time.Second)
		s.takeOver()
	}
	s.deaths = false
	s.runUntil(s.since()+60*time.Second, nil)
	test.GreaterEq(t, 17, s.serving()["small"])
	test.GreaterEq(t, 5, s.serving()["large"])
}

// Guards against capacity that moves where daemons admit requests by their own knowledge: with nine daemons, the
// class of requests that was served worst lost a quarter of its credit.
func TestModelsAreNotPlacedByDemandUnlessItIsFollowed(t *testing.T) {
	rates := []demand.Rate{{Key: demand.Key{Service: simService, Model: "small"}, Requests: 1, Work: 100}}
	follows := false
	m := &Manager{Demand: func(time.Time) []demand.Rate { return rates }, FollowsDemand: func() bool { return follows }}
	p := NewPlanner(simService, 1, nil, time.Unix(1000, 0))
	m.setPlacementInputs(p, time.Unix(1000, 0))
	must.Nil(t, p.Demand)
	must.False(t, p.Prestages)
	follows = true
	m.setPlacementInputs(p, time.Unix(1000, 0))
	must.Eq(t, rates, p.Demand)
	must.True(t, p.Prestages)
}
