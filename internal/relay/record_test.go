package relay

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

// A relay that failed once is asked again before any daemon replaces it: after an outage of the
// store the proofs of all relays are stale at once.
func TestRelayStaysAfterStoreOutage(t *testing.T) {
	z := newZone(3)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	z.storeDown = true
	for range 8 {
		z.advance(500 * time.Millisecond)
		for _, d := range z.daemons {
			_ = d.step() // the first ones still receive the relay's proofs
		}
	}
	for _, d := range z.daemons {
		must.ErrorIs(t, d.step(), objectapi.ErrUnavailable)
	}
	z.storeDown = false
	writes := z.writes
	must.NoError(t, relay.step())
	z.stepAll(t, 6)
	must.Eq(t, writes, z.writes)
	must.Eq(t, []*daemon{relay}, z.activeRelays())
	for _, d := range z.daemons {
		must.True(t, d == relay || d.FollowsRelay())
	}
}

func TestDeadRelayIsReplaced(t *testing.T) {
	z := newZone(4)
	z.stepAll(t, 6)
	dead := z.activeRelays()[0]
	dead.dead = true
	z.change("x", false)
	z.stepAll(t, 1)
	for _, d := range z.daemons {
		must.True(t, d == dead || !d.FollowsRelay() && len(d.state) == 1, must.Sprint("no daemon waits for a new relay"))
	}
	z.stepAll(t, 6)
	must.Len(t, 1, z.activeRelays())
	for _, d := range z.daemons {
		must.True(t, d.dead || d.isActiveRelay() || d.FollowsRelay())
	}
	dead.restart() // it reads the record and polls the new relay
	z.stepAll(t, 6)
	must.Len(t, 1, z.activeRelays())
	must.True(t, dead.FollowsRelay())
}

// A relay that a part of the zone could not reach, and that was replaced, steps down when it
// reads the record again.
func TestReplacedRelayStepsDown(t *testing.T) {
	z := newZone(3)
	z.stepAll(t, 6)
	old := z.activeRelays()[0]
	old.dead = true // as seen by the others
	z.stepAll(t, 6)
	old.dead = false
	must.True(t, old.isActiveRelay())
	z.advance(recheckInterval)
	z.stepAll(t, 3)
	must.Len(t, 1, z.activeRelays())
	must.True(t, old.FollowsRelay())
}

func TestStoppingRelayIsReplaced(t *testing.T) {
	z := newZone(3)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	relay.Close()
	z.stepAll(t, 7)
	must.Len(t, 1, z.activeRelays())
	must.False(t, z.activeRelays()[0] == relay)
}

// A daemon that lost its relay waits for changes only until the next search for a relay is due. A
// daemon that is shutting down does not search, and must not poll the store in a tight loop.
func TestDaemonWithoutRelaySearchesInTime(t *testing.T) {
	z := newZone(2)
	z.longestDelays = true
	z.stepAll(t, 6)
	other := z.daemons[0]
	if other == z.activeRelays()[0] {
		other = z.daemons[1]
	}
	follow := func() time.Duration {
		_, err := other.Follow(context.Background(), entriesKind, other.revision, 3*time.Second)
		must.NoError(t, err)
		return z.lastWait
	}
	z.activeRelays()[0].dead = true
	must.Eq(t, maxSearchDelay, follow())
	z.advance(maxSearchDelay - time.Millisecond)
	must.Eq(t, time.Millisecond, follow())
	other.Close()
	z.advance(time.Hour)
	must.Eq(t, 3*time.Second, follow())
}

// Guards against late replacement of a relay that is cut off from the store alone: one that was
// cut off for 9 s with a third of all daemons left the other two thirds of its zone to the store
// for as long. A relay out of touch was replaced only after three times the staleness bound, as if
// the store were down for all daemons.
func TestRelayCutOffAloneIsReplacedSoon(t *testing.T) {
	z := newZone(6)
	z.stepAll(t, 6)
	old := z.activeRelays()[0]
	old.cutOff = true
	for range 14 { // the proofs become stale, then half as long again, and the reads of the record in between
		z.advance(500 * time.Millisecond)
		for _, d := range z.daemons {
			_ = d.step() // the relay's step fails
		}
	}
	must.Len(t, 1, z.activeRelays())
	must.False(t, z.activeRelays()[0] == old)
	z.follows = map[*daemon]int{}
	for range 2 {
		z.advance(500 * time.Millisecond)
		for _, d := range z.daemons {
			must.True(t, d.step() == nil || d == old)
		}
	}
	must.MapLen(t, 1, z.follows)
}

// Guards against peers that learn late of the end of an outage: the store was back at second
// 26.0, and daemons served again between 27.4 and 28.5. A peer asked a relay that was out of
// touch up to 1.5 s after its last call, although the relay's answer ends the outage for the
// zone.
func TestPeersLearnSoonThatStoreIsBack(t *testing.T) {
	const tick = 50 * time.Millisecond
	for extraTicks := range 30 { // the store returns at any point of a peer's pause
		z := newZone(5)
		z.stepAll(t, 6)
		relay := z.activeRelays()[0]
		z.longestDelays, z.storeDown = true, true
		step := func() {
			z.advance(tick)
			for _, d := range z.daemons {
				_ = d.step() // fails during the outage
			}
		}
		for range 100 + extraTicks {
			step()
		}
		z.storeDown = false
		must.NoError(t, relay.step())
		for _, d := range z.daemons {
			d.cutOff = d != relay // they can learn it from the relay alone
		}
		for range 600 * time.Millisecond / tick {
			step()
		}
		for _, d := range z.daemons {
			must.True(t, d == relay || d.FollowsRelay(), must.Sprint("away for ", 100+extraTicks, " ticks"))
		}
	}
}

// Guards against a start that waits for a machine without power. After all machines had lost
// power, the zone's record named one that was still off, connections to it hung, and a daemon
// that had just started waited 0.6 s for it: 2,675 requests were refused for want of known
// instances, for a second and more.
func TestStartDoesNotWaitForRelayWithoutPower(t *testing.T) {
	z := newZone(2)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	other := z.daemons[0]
	if other == relay {
		other = z.daemons[1]
	}
	other.restart()
	other.opts.Peers = hangingTransport{z}
	must.NoError(t, other.step()) // lists
	started := time.Now()
	must.NoError(t, other.step())
	must.Less(t, 300*time.Millisecond, time.Since(started))
	must.False(t, other.FollowsRelay())
	must.Eq(t, z.state(), other.state)
}

// hangingTransport is a transport to machines without power: its calls hang.
type hangingTransport struct{ Transport }
