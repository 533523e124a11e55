package relay

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

func TestRelayThatIsBackStays(t *testing.T) {
	z := newZone(3)
	z.rounds(t, 6)
	relay := z.relays()[0]
	z.down = true
	for range 8 {
		z.pass(500 * time.Millisecond)
		for _, d := range z.daemons {
			_ = d.step() // the first ones still hear the relay
		}
	}
	for _, d := range z.daemons {
		must.ErrorIs(t, d.step(), objectapi.ErrUnavailable)
	}
	z.down = false
	writes := z.writes
	must.NoError(t, relay.step())
	z.rounds(t, 6)
	must.Eq(t, writes, z.writes)
	must.Eq(t, []*daemon{relay}, z.relays())
	for _, d := range z.daemons {
		must.True(t, d == relay || d.Relayed())
	}
}

func TestDeadRelayIsReplaced(t *testing.T) {
	z := newZone(4)
	z.rounds(t, 6)
	dead := z.relays()[0]
	dead.dead = true
	z.change("x", false)
	z.rounds(t, 1)
	for _, d := range z.daemons {
		must.True(t, d == dead || !d.Relayed() && len(d.state) == 1, must.Sprint("nobody waits for a new relay"))
	}
	z.rounds(t, 6)
	must.Len(t, 1, z.relays())
	for _, d := range z.daemons {
		must.True(t, d.dead || d.relaying() || d.Relayed())
	}
	dead.restart() // it finds the record and asks the new relay
	z.rounds(t, 6)
	must.Len(t, 1, z.relays())
	must.True(t, dead.Relayed())
}

func TestReplacedRelayGivesUp(t *testing.T) {
	z := newZone(3)
	z.rounds(t, 6)
	old := z.relays()[0]
	old.dead = true // for the others
	z.rounds(t, 6)
	old.dead = false
	must.True(t, old.relaying())
	z.pass(recheckEvery)
	z.rounds(t, 3)
	must.Len(t, 1, z.relays())
	must.True(t, old.Relayed())
}

func TestRelayThatStopsSendsPeersElsewhere(t *testing.T) {
	z := newZone(3)
	z.rounds(t, 6)
	relay := z.relays()[0]
	relay.Close()
	z.rounds(t, 7)
	must.Len(t, 1, z.relays())
	must.False(t, z.relays()[0] == relay)
}

func TestDaemonWithoutItsRelayLooksForItInTime(t *testing.T) {
	z := newZone(2)
	z.unlucky = true
	z.rounds(t, 6)
	other := z.daemons[0]
	if other == z.relays()[0] {
		other = z.daemons[1]
	}
	follow := func() time.Duration {
		_, err := other.Follow(context.Background(), entriesKind, other.at, 3*time.Second)
		must.NoError(t, err)
		return z.waited
	}
	z.relays()[0].dead = true
	must.Eq(t, settleMost, follow())
	z.pass(settleMost - time.Millisecond)
	must.Eq(t, time.Millisecond, follow())
	other.Close()
	z.pass(time.Hour)
	must.Eq(t, 3*time.Second, follow())
}

func TestRelayCutOffAloneIsReplacedSoon(t *testing.T) {
	z := newZone(6)
	z.rounds(t, 6)
	old := z.relays()[0]
	old.cut = true
	for range 14 { // the proofs get stale, then half as long again, and the looks between
		z.pass(500 * time.Millisecond)
		for _, d := range z.daemons {
			_ = d.step() // that of the relay fails
		}
	}
	must.Len(t, 1, z.relays())
	must.False(t, z.relays()[0] == old)
	z.follows = map[*daemon]int{}
	for range 2 {
		z.pass(500 * time.Millisecond)
		for _, d := range z.daemons {
			must.True(t, d.step() == nil || d == old)
		}
	}
	must.MapLen(t, 1, z.follows)
}

func TestPeersHearSoonThatTheStoreIsBack(t *testing.T) {
	const tick = 50 * time.Millisecond
	for away := range 30 { // whenever in a peer's pause it is back
		z := newZone(5)
		z.rounds(t, 6)
		relay := z.relays()[0]
		z.unlucky, z.down = true, true
		step := func() {
			z.pass(tick)
			for _, d := range z.daemons {
				_ = d.step() // fails while the store is away
			}
		}
		for range 100 + away {
			step()
		}
		z.down = false
		must.NoError(t, relay.step())
		for _, d := range z.daemons {
			d.cut = d != relay // they hear it from the relay alone
		}
		for range 600 * time.Millisecond / tick {
			step()
		}
		for _, d := range z.daemons {
			must.True(t, d == relay || d.Relayed(), must.Sprint("away for ", 100+away, " ticks"))
		}
	}
}

func TestDaemonThatStartsDoesNotWaitForARelayWithoutPower(t *testing.T) {
	z := newZone(2)
	z.rounds(t, 6)
	relay := z.relays()[0]
	other := z.daemons[0]
	if other == relay {
		other = z.daemons[1]
	}
	other.restart()
	other.o.Peers = hanging{z}
	must.NoError(t, other.step()) // lists
	begun := time.Now()
	must.NoError(t, other.step())
	must.Less(t, 300*time.Millisecond, time.Since(begun))
	must.False(t, other.Relayed())
	must.Eq(t, z.state(), other.state)
}

// hanging is a transport to machines without power.
type hanging struct{ Transport }
