package relay

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
)

// zoneWithRelay returns a zone that has a relay, with the relay and two of its peers.
func zoneWithRelay(t *testing.T) (z *zone, relay, a, b *daemon) {
	t.Helper()
	z = newZone(3)
	z.stepAll(t, 6)
	relay = z.activeRelays()[0]
	var peers []*daemon
	for _, d := range z.daemons {
		if d != relay {
			peers = append(peers, d)
		}
	}
	return z, relay, peers[0], peers[1]
}

// recordsOf returns a function that lists records naming these relays.
func recordsOf(relays ...string) func(context.Context) (objectapi.Listing, error) {
	var l objectapi.Listing
	for _, address := range relays {
		l.Objects = append(l.Objects, objectapi.Object{Key: "relays/" + address, Value: fmt.Appendf(nil, `{"holder":%q,"address":%q}`, address, address)})
	}
	return func(context.Context) (objectapi.Listing, error) { return l, nil }
}

// exchangeAll lets every daemon of the zone exchange loads once, the relay last.
func (z *zone) exchangeAll() {
	z.advance(totalValidFor + 1)
	for _, isRelay := range []bool{false, true} {
		for _, d := range z.daemons {
			if !d.dead && d.isActiveRelay() == isRelay {
				x := &LoadExchange{Node: d.Node, ListRecords: recordsOf()}
				x.runOnce(context.Background())
			}
		}
	}
}

// A daemon receives what all others have in flight: its own part is left out, whatever it
// reported to the relay before.
func TestDaemonsReceiveLoadsOfOthers(t *testing.T) {
	z, relay, a, b := zoneWithRelay(t)
	a.inFlight, b.inFlight, relay.inFlight = map[string]int{"x": 2, "y": 1}, map[string]int{"x": 3}, map[string]int{"y": 4}
	z.exchangeAll()
	z.exchangeAll()
	must.Eq(t, map[string]int{"x": 3, "y": 4}, a.othersInFlight)
	must.Eq(t, map[string]int{"x": 2, "y": 5}, b.othersInFlight)
	must.Eq(t, map[string]int{"x": 5, "y": 1}, relay.othersInFlight)
	must.Eq(t, []int{3, 3, 3}, []int{a.reportingDaemons, b.reportingDaemons, relay.reportingDaemons})
	a.dead = true
	z.advance(loadValidFor / 2)
	z.exchangeAll()
	z.advance(loadValidFor/2 + 1)
	z.exchangeAll()
	must.Eq(t, map[string]int{"x": 3}, relay.othersInFlight, must.Sprint("a report expires"))
}

// Relays of two zones exchange the totals of their zones, and each sends them to its peers.
func TestZonesExchangeLoads(t *testing.T) {
	z, relay, a, _ := zoneWithRelay(t)
	other, remoteRelay, _, c := zoneWithRelay(t)
	c.inFlight, a.inFlight = map[string]int{"x": 7}, map[string]int{"x": 1}
	z.exchangeAll()
	other.exchangeAll()
	relay.opts.Peers = other // both zones name their daemons alike
	relay.opts.Address = "here"
	x := &LoadExchange{Node: relay.Node, ListRecords: recordsOf("here", remoteRelay.name, "nobody")}
	x.runOnce(context.Background())
	must.Eq(t, map[string]int{"x": 8}, relay.othersInFlight)
	z.advance(totalValidFor + 1)
	z.exchangeAll()
	must.Eq(t, map[string]int{"x": 7}, a.othersInFlight)
}

// Guards against a relay that asks no other zone because nobody polls it: its daemon is alone in its zone, or
// the only other one follows the store itself as the planner.
func TestRelayThatNobodyPollsExchangesLoads(t *testing.T) {
	for name, planner := range map[string]bool{"alone": false, "with the planner": true} {
		t.Run(name, func(t *testing.T) {
			z := newZone(1)
			z.stepAll(t, 2)
			relay := z.daemons[0]
			must.True(t, relay.isActiveRelay())
			if planner {
				p := z.addDaemon()
				z.stepAll(t, 2)
				must.True(t, p.FollowsRelay())
				p.planner = true
				p.inFlight = map[string]int{"y": 2}
			}
			z.advance(recentContact + 1)
			z.stepAll(t, 1)
			must.False(t, relay.ServesPeers())
			other, remoteRelay, _, c := zoneWithRelay(t)
			c.inFlight = map[string]int{"x": 7}
			other.exchangeAll()
			relay.opts.Peers, relay.opts.Address = other, "here" // both zones name their daemons alike
			x := &LoadExchange{Node: relay.Node, ListRecords: recordsOf("here", remoteRelay.name)}
			x.runOnce(context.Background())
			must.Eq(t, 7, relay.othersInFlight["x"])
			must.Eq(t, 4, relay.reportingDaemons)
			if planner {
				p := z.daemons[1]
				(&LoadExchange{Node: p.Node, ListRecords: recordsOf()}).runOnce(context.Background())
				must.Eq(t, map[string]int{"x": 7}, p.othersInFlight)
			}
		})
	}
}

// Spare retry credit of one daemon may be used by another one, once.
func TestRetriesAreShared(t *testing.T) {
	z, relay, a, b := zoneWithRelay(t)
	must.False(t, b.TakeRetry(context.Background(), "s"))
	a.spareRetries = map[string]float64{"s": 1.2}
	relay.spareRetries = map[string]float64{"s": 0.3}
	z.exchangeAll()
	must.False(t, b.RetryAvailable("other"))
	must.True(t, b.TakeRetry(context.Background(), "s"))
	must.False(t, b.TakeRetry(context.Background(), "s"))
	relay.spareRetries = map[string]float64{"s": 1.5}
	must.True(t, relay.TakeRetry(context.Background(), "s"))
}

// A daemon knows from the relay's last answer whether the pool has retries, and does not ask a
// relay that is gone.
func TestRetriesAfterRelayLoss(t *testing.T) {
	z, relay, a, b := zoneWithRelay(t)
	a.spareRetries = map[string]float64{"s": 5}
	z.exchangeAll()
	must.True(t, b.RetryAvailable("s"))
	relay.dead = true
	must.False(t, b.TakeRetry(context.Background(), "s"))
	z.advance(levelsValidFor + 1)
	must.False(t, b.RetryAvailable("s"))
	z.stepAll(t, 8)
	must.False(t, b.RetryAvailable("s"), must.Sprint("the next relay's pool starts empty"))
	a.spareRetries = map[string]float64{"s": 5}
	z.exchangeAll()
	must.True(t, z.activeRelays()[0].RetryAvailable("s"))
}

// A group is announced as stalled when two daemons report it and it delivers events to none. One
// report alone is not enough, and one daemon that receives events outweighs all reports.
func TestStalledGroupsAreAnnounced(t *testing.T) {
	z, relay, a, b := zoneWithRelay(t)
	group := fleet.GroupKey{Name: "g", Epoch: 3}
	a.stalledGroups = []fleet.GroupKey{group}
	z.exchangeAll()
	z.exchangeAll()
	must.MapEmpty(t, b.stalledForAll)
	relay.stalledGroups = []fleet.GroupKey{group}
	z.exchangeAll()
	z.exchangeAll()
	must.Eq(t, map[fleet.GroupKey]bool{group: true}, b.stalledForAll)
	must.Eq(t, b.stalledForAll, relay.stalledForAll)
	b.activeGroups = []fleet.GroupKey{group}
	z.exchangeAll()
	z.exchangeAll()
	must.MapEmpty(t, a.stalledForAll)
}
