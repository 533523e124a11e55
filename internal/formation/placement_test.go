package formation

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"pearlanding/internal/demand"
)

// Times from a change of the demand until the capacity matches it: 5.25 s until the change is no burst,
// the load of the model (12 or 16 s), 1.5 s until a closed group has finished its requests, and a join
// from the host. 40 loads of the large model begin within 6 s.
const (
	smallCapacityTime = 20500 * time.Millisecond
	largeCapacityTime = 29250 * time.Millisecond
)

// startedSim returns a simulation in which all groups of equal shares serve.
func startedSim(t *testing.T) *placementSim {
	s := newPlacementSim(t, 0.5, 0.5)
	s.runUntil(time.Minute, s.has(10, 16))
	must.Eq(t, map[string]int{"large": 10, "small": 16}, s.serving())
	s.began = s.now.Add(-trafficStart)
	s.resetLeast()
	return s
}

// Guards against a model that stays overloaded because its configured share is too small: with equal shares
// the small model was overloaded from the start while the large one used a third of its groups.
func TestCapacityFollowsDemandFromTheStart(t *testing.T) {
	s := startedSim(t)
	s.demand = after(trafficStart, nil, work(3.7, 13.1))
	s.runUntil(trafficStart+smallCapacityTime, s.has(6, 17))
	must.GreaterEq(t, 17, s.serving()["small"], must.Sprint("13.1 of 17 groups are 0.77 of their time"))
	s.runUntil(s.since()+40*time.Second, nil)
	test.Eq(t, map[string]int{"large": 7, "small": 22}, s.serving())
	test.Eq(t, 7, s.least["large"], test.Sprint("the large model needs 6"))
	test.Eq(t, 16, s.least["small"])
	test.Eq(t, 3, s.closes)
	test.LessEq(t, 81, mostWithin(s.loads, simWindow))
}

// Guards against capacity that does not follow the demand a second time or in the other direction, and against
// models that lose groups which they need, or domains that move to and fro, meanwhile.
func TestCapacityFollowsDemandDuringTrafficAndBack(t *testing.T) {
	s := startedSim(t)
	s.demand = after(trafficStart, nil, work(5.5, 9))
	s.runUntil(trafficStart+60*time.Second, nil)
	must.SliceEmpty(t, s.moves)
	s.demand = after(0, nil, work(3.2, 15.5))
	from := s.since()
	s.runUntil(from+smallCapacityTime+2*time.Second, s.has(5, 20))
	must.GreaterEq(t, 20, s.serving()["small"])
	s.runUntil(from+60*time.Second, nil)
	test.GreaterEq(t, 5, s.least["large"])
	s.resetLeast()
	moved := len(s.moves)
	s.demand = after(0, nil, work(7, 9))
	from = s.since()
	s.runUntil(from+largeCapacityTime, s.has(10, 12))
	must.GreaterEq(t, 10, s.serving()["large"])
	s.runUntil(from+60*time.Second, nil)
	test.GreaterEq(t, 12, s.least["small"])
	byDomain := map[string]int{}
	for _, m := range s.moves[moved:] {
		byDomain[m.Domain]++
	}
	for domain, n := range byDomain {
		test.LessEq(t, 2, n, test.Sprint(domain))
	}
}

// A burst must not cost loads and capacity: it is over before a move could help.
func TestBurstMovesNothing(t *testing.T) {
	for _, start := range []time.Duration{0, 100 * time.Millisecond, 15 * time.Second} {
		for _, factor := range []float64{1.5, 2.5} {
			s := startedSim(t)
			began := trafficStart + start
			s.demand = func(at time.Duration) map[string]float64 {
				switch {
				case at < trafficStart:
					return nil
				case at >= began && at < began+4*time.Second+placementTick:
					return work(5*factor, 11*factor)
				}
				return work(5, 11)
			}
			stages := s.stages
			s.runUntil(began+15*time.Second, nil)
			test.SliceEmpty(t, s.moves)
			test.Eq(t, 0, s.closes)
			test.Eq(t, stages, s.stages)
		}
	}
}

// Guards against a model that loses its last group because nobody asks for it: its next request would wait for
// a load.
func TestModelWithoutDemandKeepsItsMinimum(t *testing.T) {
	s := newPlacementSim(t, 0.3, 0.3, 0.4)
	s.runUntil(trafficStart, nil)
	s.resetLeast()
	s.demand = after(0, nil, work(5, 17))
	s.runUntil(trafficStart+90*time.Second, nil)
	test.GreaterEq(t, 7, s.serving()["large"])
	test.GreaterEq(t, 20, s.serving()["small"])
	test.GreaterEq(t, 1, s.least["rare"])
}

// A planner that dies leaves staged hosts, closing groups and free instances. Its successor goes on
// from there and moves nothing back.
func TestSuccessorCompletesMove(t *testing.T) {
	for _, at := range []time.Duration{6, 17, 18, 19, 21} {
		s := startedSim(t)
		s.demand = after(0, nil, work(3.7, 13.1))
		s.runUntil(trafficStart+at*time.Second+250*time.Millisecond, nil)
		serving := s.serving()["small"]
		s.step(time.Second) // no daemon plans
		s.takeOver()
		s.resetLeast()
		s.runUntil(s.since()+smallCapacityTime, nil)
		must.GreaterEq(t, 17, s.serving()["small"], must.Sprint(at))
		s.runUntil(s.since()+30*time.Second, nil)
		test.GreaterEq(t, serving, s.least["small"], test.Sprint(at))
		test.GreaterEq(t, 6, s.least["large"], test.Sprint(at))
		test.LessEq(t, 4, s.closes, test.Sprint(at))
		test.Eq(t, 0, s.replaced, test.Sprint(at))
		test.LessEq(t, 81, mostWithin(s.loads, simWindow))
	}
}

// With half of the reports lost, the reported work of an overloaded model is below its capacity; the part
// of its requests that is refused shows that it is short.
func TestCapacityFollowsDemandWithHalfOfTheReports(t *testing.T) {
	s := startedSim(t)
	s.reported = 0.5
	s.demand = after(0, nil, work(3.7, 17))
	s.runUntil(trafficStart+60*time.Second, nil)
	test.GreaterEq(t, 20, s.serving()["small"])
	test.GreaterEq(t, 5, s.least["large"])
}

// Demand for both models exceeds all capacity. The more urgent one gets what it needs, and the other one
// keeps its minimum.
func TestUrgentModelComesFirstWhenCapacityIsShort(t *testing.T) {
	s := startedSim(t)
	s.urgency["large"] = 1
	s.demand = after(0, nil, work(12, 20))
	s.runUntil(trafficStart+60*time.Second, nil)
	test.GreaterEq(t, 25, s.serving()["small"])
	test.GreaterEq(t, 1, s.least["large"])
	closes := s.closes
	s.runUntil(s.since()+120*time.Second, nil)
	test.Eq(t, closes, s.closes, test.Sprint("nothing moves to and fro"))
}

// If all models lack capacity and none is more urgent, a move would only shift the shortage.
func TestNothingMovesWhenAllModelsAreShort(t *testing.T) {
	s := startedSim(t)
	s.demand = after(0, nil, work(12, 20))
	s.runUntil(trafficStart+60*time.Second, nil)
	test.SliceEmpty(t, s.moves)
}

// A model that loses groups while its instances are about to move keeps what it needs.
func TestGroupsCloseOnlyIfTheirModelCanSpareThem(t *testing.T) {
	s := startedSim(t)
	s.demand = after(0, nil, work(4.2, 13.1)) // 4.94 large groups
	s.runUntil(trafficStart+16*time.Second, nil)
	must.Eq(t, 0, s.closes)
	s.loseDomain("d4")
	s.loseDomain("d6")
	s.runUntil(s.since()+15*time.Second, nil)
	test.GreaterEq(t, 5, s.least["large"])
	test.Positive(t, s.closes)
}

// Instances that restart within seconds must not count as lost capacity.
func TestCapacityIsHeldForAMoment(t *testing.T) {
	pl, key, now := newPlacement(), modelDomain{domain: "d"}, time.Unix(1000, 0)
	must.Eq(t, 19, pl.hold(key, 19, now))
	must.Eq(t, 19, pl.hold(key, 15, now))
	must.Eq(t, 19, pl.hold(key, 15, now.Add(capacityHold)))
	must.Eq(t, 19, pl.hold(key, 19, now.Add(capacityHold)))
	must.Eq(t, 19, pl.hold(key, 10, now.Add(capacityHold)))
	must.Eq(t, 10, pl.hold(key, 10, now.Add(2*capacityHold+1)))
	must.Eq(t, 12, pl.hold(key, 12, now.Add(2*capacityHold+1)))
}

// Demand that swings with a period of 16 s around the point at which a model is short must not move
// domains to and fro.
func TestSwingingDemandMovesLittle(t *testing.T) {
	s := startedSim(t)
	s.demand = func(at time.Duration) map[string]float64 {
		if at%(16*time.Second) < 8*time.Second {
			return work(7.5, 11)
		}
		return work(5, 14.5)
	}
	s.runUntil(trafficStart+160*time.Second, nil)
	test.LessEq(t, 12, s.closes, test.Sprint("of 20 changes"))
	test.GreaterEq(t, 8, s.least["large"])
	test.GreaterEq(t, 16, s.least["small"])
}

// The model gets its capacity back without a move if its demand returns before a group was closed.
func TestReversalBeforeAnyCloseClosesNothing(t *testing.T) {
	s := startedSim(t)
	s.demand = func(at time.Duration) map[string]float64 {
		if at < trafficStart+9*time.Second {
			return work(3.7, 13.1)
		}
		return work(6.3, 9)
	}
	s.runUntil(trafficStart+60*time.Second, nil)
	test.GreaterEq(t, 10, s.serving()["large"])
	test.Eq(t, 10, s.least["large"])
	test.Eq(t, 0, s.closes)
}

// Guards against a model that stays short after it lost domains while another one has groups to spare.
func TestCapacityOfLostDomainsIsReplaced(t *testing.T) {
	s := startedSim(t)
	s.demand = after(0, nil, work(2.2, 10.5))
	s.runUntil(trafficStart+30*time.Second, nil)
	must.SliceEmpty(t, s.moves)
	s.loseDomain("d1")
	s.loseDomain("d3")
	s.runUntil(s.since()+capacityHold+25*time.Second, nil)
	test.GreaterEq(t, 14, s.serving()["small"])
	test.GreaterEq(t, 4, s.serving()["large"])
}

// Guards against groups of an evacuated zone that count as capacity for longer than a move takes, groups that
// form there, and moves for a short evacuation.
func TestEvacuatedZoneIsNoCapacity(t *testing.T) {
	s := startedSim(t)
	s.demand = after(0, nil, work(2.2, 10.5))
	s.runUntil(trafficStart+30*time.Second, nil)
	s.evacuated = map[string]bool{"z1": true}
	s.runUntil(s.since()+evacuationHold/2, nil)
	must.SliceEmpty(t, s.moves, must.Sprint("a short evacuation"))
	for _, e := range s.engines {
		e.alive = e.alive && !(e.in.Zone == "z1" && e.in.Group.Rank == 0 && e.in.Group.Name != "")
	}
	joins := s.joinsTo("z1")
	s.runUntil(s.since()+evacuationHold+30*time.Second, nil)
	test.Eq(t, joins, s.joinsTo("z1"), test.Sprint("no group forms there"))
	test.GreaterEq(t, 14, s.serving()["small"])
	s.evacuated = nil
	s.runUntil(s.since()+20*time.Second, nil)
	test.Greater(t, joins, s.joinsTo("z1"))
}

// joinsTo returns the number of groups that instances of a zone have joined.
func (s *placementSim) joinsTo(zone string) (n int) {
	for _, e := range s.engines {
		if e.in.Zone == zone {
			n += len(e.members)
		}
	}
	return n
}

// Two of sixty engines end every three seconds and start again without a model.
func TestCapacityFollowsDemandWhileEnginesEnd(t *testing.T) {
	s := startedSim(t)
	s.deaths = true
	s.demand = after(trafficStart, nil, work(3.7, 13.1))
	s.runUntil(trafficStart+smallCapacityTime+10*time.Second, s.has(0, 17))
	must.GreaterEq(t, 17, s.serving()["small"])
	s.runUntil(s.since()+60*time.Second, nil)
	test.LessEq(t, 4, len(s.moves))
	test.LessEq(t, 81, mostWithin(s.loads, simWindow))
}

// A fleet of one domain shares it between the models.
func TestCapacityFollowsDemandWithinOneDomain(t *testing.T) {
	s := newPlacementSim(t, 0.5, 0.5)
	for _, e := range s.engines {
		e.alive = e.in.Domain == "d0"
	}
	s.runUntil(time.Minute, s.has(1, 2))
	must.Eq(t, map[string]int{"large": 1, "small": 2}, s.serving())
	s.began = s.now.Add(-trafficStart)
	s.resetLeast()
	s.demand = after(0, nil, work(0.2, 2.5))
	s.runUntil(trafficStart+60*time.Second, nil)
	test.Eq(t, map[string]int{"large": 1, "small": 2}, s.serving(), test.Sprint("each model keeps a group"))
	test.Eq(t, 0, s.closes)
}

// Guards against changes of the orders for deployments whose shares fit the demand.
func TestOrdersWithFittingDemandAreUnchanged(t *testing.T) {
	fits := func(large, small float64) func(p *Planner) {
		return func(p *Planner) {
			p.Demand = []demand.Rate{{Key: demand.Key{Service: simService, Model: "large"}, Requests: 40, Work: large},
				{Key: demand.Key{Service: simService, Model: "small", Priority: 1}, Requests: 300, Work: small}}
		}
	}
	test.Eq(t, ordersOfSixDomains, ordersHash(t, 6, fits(3, 9)))
	test.Eq(t, ordersOfOneDomain, ordersHash(t, 1, fits(0.3, 0.8)))
	none := func(p *Planner) { p.Demand = []demand.Rate{} }
	test.Eq(t, ordersOfSixDomains, ordersHash(t, 6, none))
	test.Eq(t, ordersOfOneDomain, ordersHash(t, 1, none))
}
