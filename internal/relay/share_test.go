package relay

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
)

// settled returns a zone that has a relay, with the relay and two of its peers.
func settled(t *testing.T) (z *zone, relay, a, b *daemon) {
	t.Helper()
	z = newZone(3)
	z.rounds(t, 6)
	relay = z.relays()[0]
	var peers []*daemon
	for _, d := range z.daemons {
		if d != relay {
			peers = append(peers, d)
		}
	}
	return z, relay, peers[0], peers[1]
}

// recordsOf answers with records that name relays.
func recordsOf(relays ...string) func(context.Context) (objectapi.Listing, error) {
	var l objectapi.Listing
	for _, address := range relays {
		l.Objects = append(l.Objects, objectapi.Object{Key: "relays/" + address, Value: fmt.Appendf(nil, `{"holder":%q,"address":%q}`, address, address)})
	}
	return func(context.Context) (objectapi.Listing, error) { return l, nil }
}

// exchange lets every daemon of the zone exchange loads once, the relay last.
func (z *zone) exchange() {
	z.pass(sumFor + 1)
	for _, relays := range []bool{false, true} {
		for _, d := range z.daemons {
			if !d.dead && d.relaying() == relays {
				x := &Exchange{Node: d.Node, List: recordsOf()}
				x.once(context.Background())
			}
		}
	}
}

// A daemon is told what all others have in progress: its own part is left out, whatever it
// told the relay before.
func TestDaemonsAreToldWhatOthersHaveInProgress(t *testing.T) {
	z, relay, a, b := settled(t)
	a.inFlight, b.inFlight, relay.inFlight = map[string]int{"x": 2, "y": 1}, map[string]int{"x": 3}, map[string]int{"y": 4}
	z.exchange()
	z.exchange()
	must.Eq(t, map[string]int{"x": 3, "y": 4}, a.others)
	must.Eq(t, map[string]int{"x": 2, "y": 5}, b.others)
	must.Eq(t, map[string]int{"x": 5, "y": 1}, relay.others)
	must.Eq(t, []int{3, 3, 3}, []int{a.told, b.told, relay.told})
	a.dead = true
	z.pass(loadFor / 2)
	z.exchange()
	z.pass(loadFor/2 + 1)
	z.exchange()
	must.Eq(t, map[string]int{"x": 3}, relay.others, must.Sprint("a word counts for a while only"))
}

// Relays of two zones tell one another the sums of theirs, and each its peers.
func TestZonesTellOneAnotherTheirLoads(t *testing.T) {
	z, relay, a, _ := settled(t)
	other, far, _, c := settled(t)
	c.inFlight, a.inFlight = map[string]int{"x": 7}, map[string]int{"x": 1}
	z.exchange()
	other.exchange()
	relay.o.Peers = other // both name their daemons alike
	relay.o.Address = "here"
	x := &Exchange{Node: relay.Node, List: recordsOf("here", far.name, "nobody")}
	x.once(context.Background())
	must.Eq(t, map[string]int{"x": 8}, relay.others)
	z.pass(sumFor + 1)
	z.exchange()
	must.Eq(t, map[string]int{"x": 7}, a.others)
}

// What one daemon has to spare another one may use, once.
func TestRepeatsAreShared(t *testing.T) {
	z, relay, a, b := settled(t)
	must.False(t, b.Repeat(context.Background(), "s"))
	a.spare = map[string]float64{"s": 1.2}
	relay.spare = map[string]float64{"s": 0.3}
	z.exchange()
	must.False(t, b.MayRepeat("other"))
	must.True(t, b.Repeat(context.Background(), "s"))
	must.False(t, b.Repeat(context.Background(), "s"))
	relay.spare = map[string]float64{"s": 1.5}
	must.True(t, relay.Repeat(context.Background(), "s"))
}

// A daemon knows by the last answer whether the pool has some, and does not ask a relay
// that is gone.
func TestRepeatsOfARelayThatIsGone(t *testing.T) {
	z, relay, a, b := settled(t)
	a.spare = map[string]float64{"s": 5}
	z.exchange()
	must.True(t, b.MayRepeat("s"))
	relay.dead = true
	must.False(t, b.Repeat(context.Background(), "s"))
	z.pass(sharedFor + 1)
	must.False(t, b.MayRepeat("s"))
	z.rounds(t, 8)
	must.False(t, b.MayRepeat("s"), must.Sprint("the next relay's pool begins empty"))
	a.spare = map[string]float64{"s": 5}
	z.exchange()
	must.True(t, z.relays()[0].MayRepeat("s"))
}

// A group stands still for all when it does for two daemons and brings nobody events; the
// word of one alone says little, and one that sees events outweighs all.
func TestGroupsThatStandStillAreTold(t *testing.T) {
	z, relay, a, b := settled(t)
	group := fleet.Key{Name: "g", Epoch: 3}
	a.stopped = []fleet.Key{group}
	z.exchange()
	z.exchange()
	must.MapEmpty(t, b.left)
	relay.stopped = []fleet.Key{group}
	z.exchange()
	z.exchange()
	must.Eq(t, map[fleet.Key]bool{group: true}, b.left)
	must.Eq(t, b.left, relay.left)
	b.alive = []fleet.Key{group}
	z.exchange()
	z.exchange()
	must.MapEmpty(t, a.left)
}
