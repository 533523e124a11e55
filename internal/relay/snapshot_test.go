package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

func TestCopiesAreSpreadOverLinks(t *testing.T) {
	const size, daemons = 90_000, 97
	var c copies
	now := start
	sent := map[string]int{}
	for i := range daemons {
		from := c.assign(SnapshotRequest{Address: fmt.Sprint("d", i), LinkMbps: 20}, 20, size, now)
		must.NotEq(t, fmt.Sprint("d", i), from, must.Sprint("a daemon can't be its own source"))
		sent[from]++
	}
	for from, n := range sent {
		must.LessEq(t, copiesPerWindow(20, size), n, must.Sprint("copies of ", from))
	}
	must.Eq(t, "", c.assign(SnapshotRequest{Address: "later", LinkMbps: 20}, 20, size, now.Add(copyWindow)))
}

func TestSourceIsNamedForAWhileOnly(t *testing.T) {
	const size = 90_000
	var c copies
	must.Eq(t, "", c.assign(SnapshotRequest{Address: "d0", LinkMbps: 20}, 0, size, start))
	must.Eq(t, "", c.assign(SnapshotRequest{Address: "d1", LinkMbps: 20}, 0, size, start))
	must.Eq(t, "d0", c.assign(SnapshotRequest{Address: "d2", LinkMbps: 20}, 0, size, start))
	c.window, c.sent = start.Add(2*sourceFor), 2 // this daemon's own copies of the window are spent
	must.Eq(t, "", c.assign(SnapshotRequest{Address: "d3", LinkMbps: 20}, 0, size, start.Add(2*sourceFor)))
}

func TestLinkWithoutRoomForACopyCarriesTwo(t *testing.T) {
	must.Eq(t, 2, copiesPerWindow(0, 90_000))
	must.Eq(t, 2, copiesPerWindow(1, 90_000_000))
	must.Less(t, copiesPerWindow(200, 90_000), copiesPerWindow(20, 90_000))
}

func TestSmallFleetListsFromTheStore(t *testing.T) {
	must.False(t, distributes(222*400, 71))
	must.True(t, distributes(3000*400, 299))
}

// A daemon whose relay was replaced by one that knows less reads the difference from a snapshot:
// every daemon of a zone listed from the store at its full price.
func TestGapIsClosedByASnapshot(t *testing.T) {
	z := newZone(3)
	z.change("a", false)
	z.change("b", false)
	z.rounds(t, 6)
	relay := z.relays()[0]
	var peer *daemon
	for _, d := range z.daemons {
		d.distributed.Store(true)
		if d != relay {
			peer = d
		}
	}
	for _, key := range []string{"a", "c", "d"} {
		z.change(key, key == "a")
	}
	must.NoError(t, relay.step())
	relay.history.mu.Lock()
	relay.history.base = relay.history.end // as a relay that listed just now
	relay.history.mu.Unlock()
	lists, stales := z.lists, z.stales
	must.NoError(t, peer.step())
	must.True(t, peer.Relayed())
	must.Eq(t, lists, z.lists)
	must.Eq(t, stales, z.stales)
	must.Eq(t, relay.state, peer.state)
}

func TestDifferenceHoldsRemovals(t *testing.T) {
	h := newHistory()
	h.seeded(objectapi.Listing{Revision: 5, Objects: []objectapi.Object{{Key: "e/a", Version: 3}, {Key: "e/b", Version: 4}}})
	got, known := h.difference(objectapi.Listing{Revision: 9, Objects: []objectapi.Object{{Key: "e/b", Version: 4}, {Key: "e/c", Version: 8}}})
	must.True(t, known)
	must.Eq(t, []objectapi.Event{{Object: objectapi.Object{Key: "e/c", Version: 8}},
		{Object: objectapi.Object{Key: "e/a", Version: 9}, Removed: true}}, got)
	_, known = newHistory().difference(objectapi.Listing{})
	must.False(t, known)
}

// What came and went between the two ends of a gap is told to no peer, so one that knows a part
// of it must list.
func TestPeerWithinASkippedSpanMustList(t *testing.T) {
	h := newHistory()
	h.seeded(objectapi.Listing{Revision: 5})
	h.skipped(5, 9)
	h.followed(5, objectapi.Changes{Revision: 10, Events: []objectapi.Event{{Object: objectapi.Object{Key: "e/a", Version: 10}}}}, start)
	_, _, gap := h.after(7)
	must.True(t, gap)
	_, _, gap = h.after(5)
	must.False(t, gap)
}

// A relay that another daemon replaced counted apart what its zone pools for up to 20 s.
func TestReplacedRelayNoticesByAListingOfTheRecords(t *testing.T) {
	z := newZone(2)
	z.rounds(t, 6)
	relay := z.relays()[0]
	other := z.daemons[0]
	if other == relay {
		other = z.daemons[1]
	}
	z.record = objectapi.Object{Key: recordKey, Version: z.record.Version + 1, Value: other.value(false)}
	relay.Node.listed(objectapi.Listing{Objects: []objectapi.Object{z.record}})
	z.now = z.now.Add(time.Millisecond)
	_ = relay.step()
	must.False(t, relay.Holding())
}

// A snapshot that was packed before the relay's own listing leads to a gap at once.
func TestSnapshotIsNotOlderThanWhatTheRelayKnows(t *testing.T) {
	var c copies
	h := newHistory()
	h.seeded(objectapi.Listing{Revision: 5, Objects: []objectapi.Object{{Key: "e/a", Version: 3}}})
	s, known, err := c.current(h, start)
	must.NoError(t, err)
	must.True(t, known)
	must.Eq(t, 5, s.Revision)
	h.seeded(objectapi.Listing{Revision: 9, Objects: []objectapi.Object{{Key: "e/a", Version: 8}}})
	s, _, err = c.current(h, start.Add(time.Millisecond))
	must.NoError(t, err)
	must.Eq(t, 9, s.Revision)
}

// Daemons of an earlier version know no snapshots: one that starts lists from the store at once
// and does not take the place of a relay that works.
func TestStartBesideARelayOfAnEarlierVersion(t *testing.T) {
	z := newZone(2)
	z.rounds(t, 6)
	n := z.node(z.daemons[0])
	n.distributed.Store(true)
	n.peer = "old"
	n.o.Peers = earlierVersion{z}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := n.takeSnapshot(ctx)
	must.NoError(t, ctx.Err(), must.Sprint("at once"))
	must.ErrorIs(t, err, errNoSnapshot)
	must.Eq(t, "old", n.peer)
}

// earlierVersion answers as a daemon without snapshots.
type earlierVersion struct{ *zone }

func (earlierVersion) Snapshot(context.Context, string, SnapshotRequest) (SnapshotReply, error) {
	return SnapshotReply{}, jrpc2.MethodNotFound.Err()
}
