package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"pearlanding/internal/objectapi"
)

// stepAll lets every daemon make n steps, 500 ms apart.
func (z *zone) stepAll(t must.T, n int) {
	for range n {
		z.advance(500 * time.Millisecond)
		for _, d := range z.daemons {
			must.NoError(t, d.step())
		}
	}
}

// activeRelays returns the daemons that are relays and reach the store.
func (z *zone) activeRelays() []*daemon {
	var out []*daemon
	for _, d := range z.daemons {
		if !d.dead && d.isActiveRelay() {
			out = append(out, d)
		}
	}
	return out
}

func TestOneDaemonOfAZoneFollowsTheStore(t *testing.T) {
	z := newZone(5)
	z.change("a", false)
	z.stepAll(t, 6)
	must.Len(t, 1, z.activeRelays())
	relay := z.activeRelays()[0]
	must.True(t, relay.ServesPeers())
	z.follows = map[*daemon]int{}
	z.change("b", false)
	z.stepAll(t, 4)
	must.Eq(t, map[*daemon]int{relay: 4}, z.follows)
	for _, d := range z.daemons {
		must.Eq(t, z.state(), d.state)
		must.True(t, d == relay || d.FollowsRelay())
		must.True(t, d == relay || d.configVersion == z.config[0].version)
	}
}

// The planner needs the store's own answers.
func TestPlannerFollowsTheStoreItself(t *testing.T) {
	z := newZone(2)
	z.stepAll(t, 6)
	planner := z.daemons[0]
	if planner.isActiveRelay() {
		planner = z.daemons[1]
	}
	planner.planner = true
	before := z.follows[planner]
	z.stepAll(t, 3)
	must.Eq(t, before+3, z.follows[planner])
}

func TestRelayedProofsAreNeverTooYoung(t *testing.T) {
	z := newZone(2)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	other := z.daemons[0]
	if other == relay {
		other = z.daemons[1]
	}
	must.NoError(t, relay.step())
	asked := z.now
	z.advance(900*time.Millisecond + time.Nanosecond)
	c, err := other.Follow(context.Background(), entriesKind, other.revision, time.Second)
	must.NoError(t, err)
	must.Eq(t, 901*time.Millisecond, c.Age)
	must.True(t, z.now.Add(-c.Age).Before(asked))
	must.False(t, other.configProvedAt.After(asked))
}

// A proof's age counts back from when the relay answered, which was no earlier than the sending
// of the call plus the time for which the relay held it. A reported hold time that exceeds the
// elapsed time is capped.
func TestProofAgeSubtractsHeldTime(t *testing.T) {
	z := newZone(2)
	z.stepAll(t, 6)
	other := z.daemons[0]
	if other == z.activeRelays()[0] {
		other = z.daemons[1]
	}
	for held, age := range map[int64]time.Duration{0: 800 * time.Millisecond, 300: 500 * time.Millisecond, 60_000: 400 * time.Millisecond} {
		asked := z.now
		z.pollAnswer = func() PollReply {
			z.advance(400 * time.Millisecond)
			return PollReply{HeldMS: held, EntriesAgeMS: 800, ConfigVersion: 9, ConfigAgeMS: 800, Revision: z.revision}
		}
		c, err := other.Follow(context.Background(), entriesKind, other.revision, time.Second)
		must.NoError(t, err)
		must.Eq(t, age, c.Age)
		must.Eq(t, asked.Add(-age), other.configProvedAt)
	}
}

func TestPeersOfStaleRelayUseTheStore(t *testing.T) {
	z := newZone(3)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	z.advance(staleAfter + time.Millisecond) // meanwhile the relay makes no call to the store
	z.change("late", false)
	for _, d := range z.daemons {
		if d != relay {
			must.NoError(t, d.step())
			must.False(t, d.FollowsRelay())
			must.Eq(t, z.state(), d.state)
		}
	}
}

// Guards against listings during a mass start. While 760 instances wrote their first entries
// and groups formed (1,850 changes in two seconds), each of 295 daemons listed the whole store
// five to seven times, 14 pages of the about 22 calls that its start made: a relay remembered
// 1,024 changes and sent 256, and a peer that was missing more had to list.
func TestStartAmongManyChangesCostsNoListings(t *testing.T) {
	z := newZone(20)
	for i := range 760 {
		z.change(fmt.Sprint("e", i), false)
	}
	for range 8 {
		for i := range 760 {
			z.change(fmt.Sprint("e", i), false)
		}
		z.stepAll(t, 1)
	}
	z.stepAll(t, 3)
	must.Zero(t, z.lists)
	must.Eq(t, len(z.daemons), z.staleLists)
	must.Len(t, 1, z.activeRelays())
	for _, d := range z.daemons {
		must.Eq(t, z.state(), d.state)
	}
}

// Daemons that restart one after the other, or half of a zone at once, relay included, make a
// stale listing and poll one of them for the rest.
func TestRestartsCostNoListings(t *testing.T) {
	z := newZone(10)
	for i := range 50 {
		z.change(fmt.Sprint("e", i), false)
	}
	z.stepAll(t, 6)
	for round := range 4 {
		z.staleLag = uint64(round)
		for i := range 5 {
			z.daemons[(round+i)%10].restart()
		}
		z.change("late", round%2 == 0)
		z.stepAll(t, 8)
		for _, d := range z.daemons {
			must.Eq(t, z.state(), d.state)
		}
	}
	must.Zero(t, z.lists)
	must.Len(t, 1, z.activeRelays())
}

// A daemon that replaces a dead relay knows the changes that it received from it: peers that
// lag a little get them and need not list.
func TestNewRelayKnowsEarlierChanges(t *testing.T) {
	z := newZone(6)
	z.change("a", false)
	z.stepAll(t, 6)
	slow := z.daemons[5]
	must.True(t, slow.FollowsRelay())
	for i := range 10 {
		z.change(fmt.Sprint("b", i), false)
		for _, d := range z.daemons[:5] {
			z.advance(100 * time.Millisecond)
			must.NoError(t, d.step())
		}
	}
	z.activeRelays()[0].dead = true
	z.stepAll(t, 8)
	must.Zero(t, z.lists)
	must.Eq(t, z.state(), slow.state)
}

// A relay's own listing, such as the one made by a daemon that becomes the planner, keeps the
// changes that the relay knew: its peers still get them.
func TestRelayListingCausesNoPeerListings(t *testing.T) {
	z := newZone(4)
	z.change("a", false)
	z.change("b", false)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	z.change("b", true)
	z.change("c", false)
	_, err := relay.ListKind(context.Background(), entriesKind)
	must.NoError(t, err)
	z.stepAll(t, 2)
	must.Eq(t, 1, z.lists)
	for _, d := range z.daemons {
		if d != relay { // the test consumed the relay's listing
			must.Eq(t, z.state(), d.state)
		}
	}
}

// Removals from before a relay started are unknown to it: a peer that is missing them must
// list.
func TestPeerFromBeforeRelayStartLists(t *testing.T) {
	z := newZone(2)
	for i := range 10 {
		z.change(fmt.Sprint("e", i), false)
	}
	z.stepAll(t, 6)
	r, err := z.activeRelays()[0].answerPoll(context.Background(), PollRequest{After: 1})
	must.NoError(t, err)
	must.True(t, r.Gap)
	must.Len(t, 0, r.Changes)
}

// Answers that are too large for a peer, or malformed, return errors and no changes.
func TestPackedChanges(t *testing.T) {
	events := []objectapi.Event{event("a", 3), {Object: objectapi.Object{Key: "b", Version: 4, Value: []byte(`{"x":"y"}`)}}, {Object: objectapi.Object{Key: "c", Version: 5}, Removed: true}}
	packed, err := pack(events)
	must.NoError(t, err)
	got, err := unpack(packed, 3)
	must.NoError(t, err)
	must.Eq(t, events[1:], got)
	_, err = unpack(packed[:len(packed)/2], 0)
	must.Error(t, err)
	large := make([]objectapi.Event, 0, 20)
	for i := range 20 {
		large = append(large, objectapi.Event{Object: objectapi.Object{Key: fmt.Sprint(i), Version: 1, Value: []byte(`"` + strings.Repeat("x", 1<<20) + `"`)}})
	}
	packed, err = pack(large)
	must.NoError(t, err)
	_, err = unpack(packed, 0)
	must.ErrorIs(t, err, errAnswerTooLarge)
}

// Under any faults, what a daemon takes as proved holds: every change up to the proof is in its
// view, and the configuration had the version that was confirmed. Once faults end, all daemons
// know everything, and all but the relay follow through it.
func TestRelayedProofsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(rapid.IntRange(2, 5).Draw(t, "daemons"))
		changed := map[uint64]time.Time{} // when each change was made, by revision
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			z.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			d := z.daemons[rapid.IntRange(0, len(z.daemons)-1).Draw(t, "daemon")]
			switch rapid.IntRange(0, 19).Draw(t, "what") {
			case 0:
				d.dead = true
			case 1:
				if d.dead {
					d.restart()
				}
			case 2:
				d.cutOff = !d.cutOff
			case 3:
				z.storeDown = !z.storeDown
			case 4:
				d.planner = !d.planner
			case 5, 6, 7:
				z.change([]string{"a", "b", "c"}[rapid.IntRange(0, 2).Draw(t, "key")], rapid.Bool().Draw(t, "removed"))
				changed[z.revision] = z.now
			case 8:
				z.changeConfig()
			case 9:
				z.staleLag = rapid.Uint64Range(0, 5).Draw(t, "behind")
			default:
				_ = d.step() // after an error the daemon knows nothing new, which breaks no proof
			}
			z.checkProofs(t, changed)
		}
		z.storeDown = false
		for _, d := range z.daemons {
			d.cutOff, d.planner = false, false
			if d.dead {
				d.restart()
			}
		}
		z.stepAll(t, 60)
		for _, d := range z.daemons {
			must.Eq(t, z.state(), d.state)
			must.True(t, d.isActiveRelay() || d.FollowsRelay())
		}
		must.Len(t, 1, z.activeRelays())
	})
}

// checkProofs checks that each daemon knows every change that its proofs cover.
func (z *zone) checkProofs(t must.T, changed map[uint64]time.Time) {
	for _, d := range z.daemons {
		if d.dead || !d.listed {
			continue
		}
		minVersions := map[string]uint64{} // newest change of each key up to the proof
		for _, e := range z.entries {
			if !changed[e.Object.Version].After(d.provedAt) && changed[e.Object.Version] != d.provedAt {
				minVersions[e.Object.Key] = e.Object.Version
			}
		}
		for key, version := range minVersions {
			must.True(t, d.state[key] >= version || d.revision >= version, must.Sprint(d.name, " missed a change that its proof covers"))
		}
		if !d.configProvedAt.IsZero() {
			must.True(t, z.configAt(d.configProvedAt.Add(-time.Nanosecond)) <= d.configVersion, must.Sprint("configuration"))
		}
	}
}

// Guards against a listing by every daemon after the store dropped its history: all of 290
// daemons that followed through relays listed within one second. A relay whose history was
// compacted counted as out of touch until it had listed, although the store had answered and
// its proofs were young, so its peers turned to the store and met the same error.
func TestCompactedHistoryCostsZoneOneListing(t *testing.T) {
	z := newZone(6)
	z.change("a", false)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	z.change("b", false)
	z.change("a", true)
	z.compactedUpTo = z.revision
	must.NoError(t, relay.step()) // learns that the history was compacted
	for _, d := range z.daemons {
		if d != relay {
			must.NoError(t, d.step())
		}
	}
	z.stepAll(t, 2)
	must.Eq(t, 1, z.lists)
	for _, d := range z.daemons {
		must.Eq(t, z.state(), d.state)
		must.True(t, d == relay || d.FollowsRelay())
	}
}

func (hangingTransport) Poll(ctx context.Context, _ string, _ PollRequest) (PollReply, error) {
	<-ctx.Done()
	return PollReply{}, ctx.Err()
}
