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
