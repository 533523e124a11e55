package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

func TestCopiesAreSpreadOverLinks(t *testing.T) {
	const size, daemons = 90_000, 97
	var c snapshotCopies
	now := start
	sent := map[string]int{}
	for i := range daemons {
		from := c.assignSource(SnapshotRequest{Address: fmt.Sprint("d", i), LinkMbps: 20}, 20, size, now)
		must.NotEq(t, fmt.Sprint("d", i), from, must.Sprint("a daemon can't be its own source"))
		sent[from]++
	}
	for from, n := range sent {
		must.LessEq(t, copiesPerWindow(20, size), n, must.Sprint("copies of ", from))
	}
	must.Eq(t, "", c.assignSource(SnapshotRequest{Address: "later", LinkMbps: 20}, 20, size, now.Add(copyWindow)))
}

func TestSnapshotSourceExpires(t *testing.T) {
	const size = 90_000
	var c snapshotCopies
	must.Eq(t, "", c.assignSource(SnapshotRequest{Address: "d0", LinkMbps: 20}, 0, size, start))
	must.Eq(t, "", c.assignSource(SnapshotRequest{Address: "d1", LinkMbps: 20}, 0, size, start))
	must.Eq(t, "d0", c.assignSource(SnapshotRequest{Address: "d2", LinkMbps: 20}, 0, size, start))
	c.windowStart, c.ownCopies = start.Add(2*sourceValidFor), 2 // this daemon's own copies in the window are spent
	must.Eq(t, "", c.assignSource(SnapshotRequest{Address: "d3", LinkMbps: 20}, 0, size, start.Add(2*sourceValidFor)))
}

func TestSlowLinkSendsTwoCopies(t *testing.T) {
	must.Eq(t, 2, copiesPerWindow(0, 90_000))
	must.Eq(t, 2, copiesPerWindow(1, 90_000_000))
	must.Less(t, copiesPerWindow(200, 90_000), copiesPerWindow(20, 90_000))
}

func TestSmallFleetListsFromTheStore(t *testing.T) {
	must.False(t, exceedsStoreLink(222*400, 71))
	must.True(t, exceedsStoreLink(3000*400, 299))
}

// A daemon whose relay was replaced by one that knows less reads the difference from a
// snapshot. Guards against a listing from the store, at its full cost, by every daemon of the
// zone.
func TestGapIsClosedByASnapshot(t *testing.T) {
	z := newZone(3)
	z.change("a", false)
	z.change("b", false)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	var peer *daemon
	for _, d := range z.daemons {
		d.distributeSnapshots.Store(true)
		if d != relay {
			peer = d
		}
	}
	for _, key := range []string{"a", "c", "d"} {
		z.change(key, key == "a")
	}
	must.NoError(t, relay.step())
	relay.history.mu.Lock()
	relay.history.base = relay.history.end // like a relay that has just listed
	relay.history.mu.Unlock()
	lists, staleLists, follows := z.lists, z.staleLists, z.follows[peer]
	must.NoError(t, peer.step())
	must.True(t, peer.FollowsRelay())
	must.Eq(t, follows, z.follows[peer])
	must.Eq(t, lists, z.lists)
	must.Eq(t, staleLists, z.staleLists)
	must.Eq(t, relay.state, peer.state)
}

// silentSource is a transport on which no snapshot arrives.
type silentSource struct{ *zone }

func (silentSource) Snapshot(ctx context.Context, _ string, _ SnapshotRequest) (SnapshotReply, error) {
	<-ctx.Done()
	return SnapshotReply{}, ctx.Err()
}

// Guards against requests to an instance that left longer ago than the bound: a daemon whose relay
// was replaced by one that knows less waited up to three seconds for a snapshot, and then listed
// all entries.
func TestGapIsClosedInTimeWithoutASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(2)
		z.change("a", false)
		z.stepAll(t, 6)
		relay, peer := z.daemons[0], z.daemons[1]
		if !relay.IsRelay() {
			relay, peer = peer, relay
		}
		peer.distributeSnapshots.Store(true)
		peer.opts.Peers = silentSource{z}
		proved := peer.provedAt
		z.advance(staleAfter * 3 / 4)
		z.change("a", true)
		must.NoError(t, relay.step())
		relay.history.mu.Lock()
		relay.history.base = relay.history.end // like a relay that has just listed
		relay.history.mu.Unlock()
		lists, begun := z.lists, time.Now()
		must.NoError(t, peer.step())
		must.Eq(t, z.state(), peer.state)
		must.Eq(t, lists, z.lists)
		must.LessEq(t, staleAfter, z.now.Sub(proved)+time.Since(begun))
	})
}

// Guards against requests to an instance that left longer ago than the bound: after their relay was
// replaced by one that knows less, daemons that take no snapshots listed all entries together and
// kept their old view meanwhile. In a large fleet these were the daemons that had read their zone's
// record only before it told them to take snapshots.
func TestGapIsClosedByTheStoreWithoutAListing(t *testing.T) {
	z := newZone(2)
	z.change("a", false)
	z.stepAll(t, 6)
	relay, peer := z.daemons[0], z.daemons[1]
	if !relay.IsRelay() {
		relay, peer = peer, relay
	}
	z.change("a", true)
	must.NoError(t, relay.step())
	relay.history.mu.Lock()
	relay.history.base = relay.history.end // like a relay that has just listed
	relay.history.mu.Unlock()
	lists := z.lists
	must.NoError(t, peer.step())
	must.Eq(t, z.state(), peer.state)
	must.Eq(t, lists, z.lists)
}

func TestDiffIncludesRemovals(t *testing.T) {
	h := newHistory()
	h.seed(objectapi.Listing{Revision: 5, Objects: []objectapi.Object{{Key: "e/a", Version: 3}, {Key: "e/b", Version: 4}}})
	got, known := h.diff(objectapi.Listing{Revision: 9, Objects: []objectapi.Object{{Key: "e/b", Version: 4}, {Key: "e/c", Version: 8}}})
	must.True(t, known)
	must.Eq(t, []objectapi.Event{{Object: objectapi.Object{Key: "e/c", Version: 8}},
		{Object: objectapi.Object{Key: "e/a", Version: 9}, Removed: true}}, got)
	_, known = newHistory().diff(objectapi.Listing{})
	must.False(t, known)
}

// Objects created and removed within a gap are sent to no peer, so a peer whose revision lies
// within it must list.
func TestPeerWithinASkippedSpanMustList(t *testing.T) {
	h := newHistory()
	h.seed(objectapi.Listing{Revision: 5})
	h.noteSkipped(5, 9)
	h.applyChanges(5, objectapi.Changes{Revision: 10, Events: []objectapi.Event{{Object: objectapi.Object{Key: "e/a", Version: 10}}}}, start)
	_, _, gap := h.changesAfter(7)
	must.True(t, gap)
	_, _, gap = h.changesAfter(5)
	must.False(t, gap)
}

// Guards against a relay that does not notice its replacement for up to 20 s and meanwhile
// counts its zone's pooled retries apart from the new relay.
func TestReplacedRelayNoticesNewRecord(t *testing.T) {
	z := newZone(2)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	other := z.daemons[0]
	if other == relay {
		other = z.daemons[1]
	}
	z.record = objectapi.Object{Key: recordKey, Version: z.record.Version + 1, Value: other.encodeRecord(false)}
	relay.Node.noteRecords(objectapi.Listing{Objects: []objectapi.Object{z.record}})
	z.now = z.now.Add(time.Millisecond)
	_ = relay.step()
	must.False(t, relay.IsRelay())
}

// Guards against a reused snapshot that was packed before the relay's own listing: it would
// lead to a gap at once.
func TestSnapshotIsNotOlderThanWhatTheRelayKnows(t *testing.T) {
	var c snapshotCopies
	h := newHistory()
	h.seed(objectapi.Listing{Revision: 5, Objects: []objectapi.Object{{Key: "e/a", Version: 3}}})
	s, known, err := c.current(h, start)
	must.NoError(t, err)
	must.True(t, known)
	must.Eq(t, 5, s.Revision)
	h.seed(objectapi.Listing{Revision: 9, Objects: []objectapi.Object{{Key: "e/a", Version: 8}}})
	s, _, err = c.current(h, start.Add(time.Millisecond))
	must.NoError(t, err)
	must.Eq(t, 9, s.Revision)
}

// Guards against a whole zone that takes its snapshots from a daemon that is not its relay. Such a
// daemon sends them to callers that the relay told to ask it.
func TestSnapshotsComeFromTheRelayOrItsSources(t *testing.T) {
	z := newZone(2)
	z.change("a", false)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	other := z.daemons[0]
	if other == relay {
		other = z.daemons[1]
	}
	_, err := z.Snapshot(t.Context(), other.name, SnapshotRequest{Address: "new", Relay: true})
	must.Eq(t, codeNotTheRelay, jrpc2.ErrorCode(err))
	for name, r := range map[string]SnapshotRequest{other.name: {Address: "new"}, relay.name: {Address: "new", Relay: true}} {
		reply, err := z.Snapshot(t.Context(), name, r)
		must.NoError(t, err)
		must.SliceNotEmpty(t, reply.Entries)
	}
}

// Daemons of an earlier version have no snapshots: a daemon that starts beside such a relay lists
// from the store at once and does not replace the relay.
func TestStartWithRelayOfEarlierVersion(t *testing.T) {
	z := newZone(2)
	z.stepAll(t, 6)
	n := z.newNode(z.daemons[0])
	n.distributeSnapshots.Store(true)
	n.relayAddress = "old"
	n.opts.Peers = earlierVersion{z}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := n.fetchSnapshot(ctx)
	must.NoError(t, ctx.Err(), must.Sprint("the start must not wait"))
	must.ErrorIs(t, err, errNoSnapshot)
	must.Eq(t, "old", n.relayAddress)
}

// earlierVersion answers like a daemon that does not know snapshots.
type earlierVersion struct{ *zone }

func (earlierVersion) Snapshot(context.Context, string, SnapshotRequest) (SnapshotReply, error) {
	return SnapshotReply{}, jrpc2.MethodNotFound.Err()
}

// Guards against a gap that is closed again with each call: the store's revision rises with every
// write, so a gap can hold no change of an entry, and the follower then did not advance beyond it.
func TestGapWithoutChangesIsClosedOnce(t *testing.T) {
	for _, snapshots := range []bool{false, true} {
		t.Run(fmt.Sprint("snapshots ", snapshots), func(t *testing.T) {
			z := newZone(2)
			z.change("a", false)
			z.stepAll(t, 6)
			relay, peer := z.daemons[0], z.daemons[1]
			if !relay.IsRelay() {
				relay, peer = peer, relay
			}
			for _, d := range z.daemons {
				d.distributeSnapshots.Store(snapshots)
			}
			z.changeConfig()
			relay.history.mu.Lock()
			relay.history.base, relay.history.end = z.revision, z.revision // like a relay that has just listed
			relay.history.mu.Unlock()
			follows, fetched := z.follows[peer], z.snapshots
			for range 20 {
				must.NoError(t, peer.step())
			}
			must.True(t, peer.FollowsRelay())
			must.LessEq(t, 1, z.follows[peer]-follows)
			must.LessEq(t, 1, z.snapshots-fetched)
			_, _, known := peer.history.snapshot()
			must.True(t, known)
			z.change("b", false)
			must.NoError(t, relay.step())
			must.NoError(t, peer.step())
			must.Eq(t, z.state(), peer.state)
		})
	}
}
