package relay

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/evacuation"
)

// newEvacuationZone returns a zone of a relay and another daemon that exchange evacuations.
func newEvacuationZone(t *testing.T) (z *zone, relay, peer *daemon) {
	z = newZone(2)
	for _, d := range z.daemons {
		d.opts.Evacuations = &evacuation.Known{}
	}
	z.stepAll(t, 6)
	relay, peer = z.activeRelays()[0], z.daemons[0]
	if peer == relay {
		peer = z.daemons[1]
	}
	return z, relay, peer
}

// Guards against a proof that counts as younger at a peer than it is, and against one of the relay's
// state that a peer never receives.
func TestPeersKnowWhatTheirRelayKnows(t *testing.T) {
	z, relay, peer := newEvacuationZone(t)
	must.Zero(t, peer.opts.Evacuations.Snapshot().Seq, must.Sprint("the relay knows nothing yet"))
	proved := z.now
	relay.opts.Evacuations.Apply(evacuation.NewState([]string{"zone-1"}, 7, proved), evacuation.FromListing)
	z.advance(300*time.Millisecond + time.Microsecond)
	must.NoError(t, relay.step())
	must.NoError(t, peer.step())
	got := peer.opts.Evacuations.Snapshot()
	must.Eq(t, []string{"zone-1"}, got.Zones.Names())
	must.Eq(t, uint64(7), got.Revision)
	must.False(t, got.ProvedAt.After(proved))
	must.True(t, got.ProvedAt.After(proved.Add(-time.Millisecond)))
}

// Guards against a change that a peer receives only when its waiting poll ends.
func TestEvacuationEndsWaitingPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z, relay, _ := newEvacuationZone(t)
		must.NoError(t, relay.step())
		known := relay.opts.Evacuations
		known.Apply(evacuation.NewState(nil, 6, z.now), evacuation.FromListing)
		seq := known.Snapshot().Seq
		_, config, _ := relay.history.proofs()
		request := PollRequest{After: relay.revision, ConfigSeq: config.seq, WaitMS: maxPollWait.Milliseconds(), EvacuationSeq: &seq}
		replies := make(chan PollReply, 1)
		asked := time.Now()
		go func() {
			r, _ := relay.answerPoll(t.Context(), request) // an empty reply fails the test
			replies <- r
		}()
		synctest.Wait()
		known.Apply(evacuation.NewState([]string{"zone-1"}, 7, z.now), evacuation.FromWatch)
		r := <-replies
		must.Zero(t, time.Since(asked))
		must.NotNil(t, r.Evacuations)
		must.Eq(t, []string{"zone-1"}, r.Evacuations.Zones)
		must.NotEq(t, seq, r.Evacuations.Seq)
	})
}

// Guards against a peer that keeps what its relay's watch missed after the relay has corrected it by a listing at
// the same revision, and against a relay of an earlier version, which does not tell one from the other.
func TestPeersTakeOverWhatAListingCorrects(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		z, relay, peer := newEvacuationZone(t)
		must.NoError(t, relay.step())
		watched := evacuation.NewState([]string{"zone-2"}, 7, z.now)
		watched.Listed = false
		relay.opts.Evacuations.Apply(watched, evacuation.FromWatch)
		must.NoError(t, peer.step())
		must.Eq(t, []string{"zone-2"}, peer.opts.Evacuations.Zones().Names())
		all := evacuation.NewState([]string{"zone-1", "zone-2"}, 7, z.now)
		if earlier {
			peer.opts.Evacuations.Apply(all, evacuation.FromListing)
			r := EvacuationReport{Seq: 9, Zones: []string{"zone-2"}, Revision: 7} // without "listed"
			peer.noteEvacuations(&r, z.now)
		} else {
			relay.opts.Evacuations.Apply(all, evacuation.FromListing)
		}
		must.NoError(t, peer.step())
		must.Eq(t, []string{"zone-1", "zone-2"}, peer.opts.Evacuations.Zones().Names())
	}
}

// A daemon of an earlier version gets no field that it does not know, and its answers change nothing.
func TestEvacuationsAreOptional(t *testing.T) {
	z, relay, peer := newEvacuationZone(t)
	must.NoError(t, relay.step())
	relay.opts.Evacuations.Apply(evacuation.NewState([]string{"zone-1"}, 7, z.now), evacuation.FromListing)
	r, err := relay.answerPoll(t.Context(), PollRequest{})
	must.NoError(t, err)
	must.Nil(t, r.Evacuations)
	text, err := json.Marshal(r)
	must.NoError(t, err)
	must.StrNotContains(t, string(text), "evacuations")

	relay.opts.Evacuations = nil
	must.NoError(t, peer.step())
	must.Zero(t, peer.opts.Evacuations.Snapshot().Seq)
	must.True(t, peer.FollowsRelay())
}

// followEnds gives a daemon the state of one that has just started, and records the ends that it learns.
func followEnds(d *daemon, now func() time.Time) (ended map[string]time.Time) {
	ended = map[string]time.Time{}
	d.opts.Evacuations = &evacuation.Known{Now: now, ColdFor: func() (time.Duration, bool) { return 3 * time.Second, true },
		OnEnded: func(zone string, at time.Time) { ended[zone] = at }}
	return ended
}

// noteEnd gives a daemon's state an end of an evacuation of zone-1 that it noticed now.
func noteEnd(k *evacuation.Known, now time.Time) {
	k.Apply(evacuation.NewState([]string{"zone-1", "zone-2"}, 7, now), evacuation.FromListing)
	k.Apply(evacuation.NewState([]string{"zone-2"}, 8, now), evacuation.FromListing)
}

// Guards against a daemon that starts just after the end of an evacuation and does not learn it from its
// relay, or takes it for younger or older than it is.
func TestStartingPeerLearnsEndsFromItsRelay(t *testing.T) {
	z, relay, peer := newEvacuationZone(t)
	now := func() time.Time { return z.now }
	followEnds(relay, now)
	relay.opts.Evacuations.Apply(evacuation.NewState([]string{"zone-1"}, 6, z.now), evacuation.FromListing)
	z.advance(10 * time.Second)
	noteEnd(relay.opts.Evacuations, z.now)
	endedAt := z.now
	z.advance(700 * time.Millisecond)
	must.NoError(t, relay.step())
	ended := followEnds(peer, now)
	peer.opts.Evacuations.Apply(evacuation.NewState([]string{"zone-2"}, 8, z.now), evacuation.FromListing)
	settled, _ := peer.opts.Evacuations.EndsSettled()
	must.False(t, settled)
	must.NoError(t, peer.step())
	must.Eq(t, map[string]time.Time{"zone-1": endedAt}, ended)
	settled, _ = peer.opts.Evacuations.EndsSettled()
	must.True(t, settled)

	z.advance(3 * time.Second)
	must.SliceEmpty(t, newEvacuationReport(relay.opts.Evacuations.Snapshot(), z.now).Ended, must.Sprint("it is forgotten"))
}

// Guards against taking the silence of a relay of an earlier version for the report that no evacuation has
// ended, and against fields in its poll that a deployment without a rule on cold instances does not need.
func TestEndsAreOptional(t *testing.T) {
	z, relay, peer := newEvacuationZone(t)
	now := func() time.Time { return z.now }
	relay.opts.Evacuations.ColdFor = func() (time.Duration, bool) { return 0, true }
	relay.opts.Evacuations.Now = now
	relay.opts.Evacuations.Apply(evacuation.NewState([]string{"zone-1"}, 6, z.now), evacuation.FromListing)
	z.advance(10 * time.Second)
	noteEnd(relay.opts.Evacuations, z.now)
	text, err := json.Marshal(newEvacuationReport(relay.opts.Evacuations.Snapshot(), z.now))
	must.NoError(t, err)
	must.StrNotContains(t, string(text), "end")
	must.Nil(t, relay.endsReport(z.now))

	must.NoError(t, relay.step())
	ended := followEnds(peer, now)
	must.NoError(t, peer.step())
	must.Eq(t, []string{"zone-2"}, peer.opts.Evacuations.Zones().Names())
	must.MapEmpty(t, ended)
	settled, _ := peer.opts.Evacuations.EndsSettled()
	must.False(t, settled)
}

// Guards against a relay that restarted and does not learn from the other zones' relays which evacuations
// ended before.
func TestRestartedRelayLearnsEndsFromOtherZones(t *testing.T) {
	z, relay, _ := newEvacuationZone(t)
	other, remoteRelay, _ := newEvacuationZone(t)
	other.now = z.now
	followEnds(remoteRelay, func() time.Time { return other.now })
	remoteRelay.opts.Evacuations.Apply(evacuation.NewState([]string{"zone-1"}, 6, other.now), evacuation.FromListing)
	other.advance(10 * time.Second)
	noteEnd(remoteRelay.opts.Evacuations, other.now)
	endedAt := other.now
	other.advance(500 * time.Millisecond)
	z.now = other.now

	must.NoError(t, relay.step())
	ended := followEnds(relay, func() time.Time { return z.now })
	relay.opts.Evacuations.Apply(evacuation.NewState([]string{"zone-2"}, 8, z.now), evacuation.FromListing)
	relay.opts.Peers, relay.opts.Address = other, "here" // both zones name their daemons alike
	x := &LoadExchange{Node: relay.Node, ListRecords: recordsOf("here", remoteRelay.name, "nobody")}
	x.runOnce(t.Context())
	must.Eq(t, map[string]time.Time{"zone-1": endedAt}, ended)
	settled, _ := relay.opts.Evacuations.EndsSettled()
	must.True(t, settled)

	// A relay of an earlier version reports none.
	remoteRelay.opts.Evacuations = nil
	ended = followEnds(relay, func() time.Time { return z.now })
	relay.opts.Evacuations.Apply(evacuation.NewState([]string{"zone-2"}, 8, z.now), evacuation.FromListing)
	x.runOnce(t.Context())
	must.MapEmpty(t, ended)
	settled, _ = relay.opts.Evacuations.EndsSettled()
	must.False(t, settled)
}
