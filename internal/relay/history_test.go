package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
	"pearlanding/internal/objectapi"
)

var start = time.Unix(1000, 0)

func event(key string, version uint64) objectapi.Event {
	return objectapi.Event{Object: objectapi.Object{Key: key, Version: version}}
}

// listing returns a listing of objects named by their keys, at versions 1, 2 and so on.
func listing(revision uint64, keys ...string) objectapi.Listing {
	l := objectapi.Listing{Revision: revision}
	for i, key := range keys {
		l.Objects = append(l.Objects, objectapi.Object{Key: key, Version: uint64(i + 1)})
	}
	return l
}

func TestHistoryReturnsChangesAfterRevision(t *testing.T) {
	h := newHistory()
	_, _, gap := h.changesAfter(5)
	must.True(t, gap, must.Sprint("nothing is known yet"))
	h.applyListing(listing(5), start)
	h.applyChanges(5, objectapi.Changes{Events: []objectapi.Event{event("a", 7)}, Revision: 9}, start)
	events, end, gap := h.changesAfter(5)
	must.False(t, gap)
	must.Eq(t, 9, end)
	must.Len(t, 1, events)
	events, end, gap = h.changesAfter(9)
	must.False(t, gap)
	must.Eq(t, 9, end)
	must.SliceEmpty(t, events)
	_, _, gap = h.changesAfter(4)
	must.True(t, gap, must.Sprint("changes before the listing are not known"))
}

// A peer that is ahead, because it asked the store itself, is sent nothing old.
func TestHistoryReturnsNothingToPeerAhead(t *testing.T) {
	h := newHistory()
	h.applyListing(listing(5), start)
	events, end, gap := h.changesAfter(8)
	must.False(t, gap)
	must.SliceEmpty(t, events)
	must.Eq(t, 8, end)
}

// An object that changes often takes one place and is sent once, in its latest state.
func TestHistoryReturnsEachObjectOnce(t *testing.T) {
	h := newHistory()
	h.applyListing(listing(0), start)
	for i := range uint64(5000) {
		h.applyChanges(i, objectapi.Changes{Events: []objectapi.Event{event("a", i+1)}, Revision: i + 1}, start)
	}
	events, end, gap := h.changesAfter(5)
	must.False(t, gap)
	must.Eq(t, 5000, end)
	must.Eq(t, []objectapi.Event{event("a", 5000)}, events)
}

// Only removals accumulate: the oldest are dropped, and a peer that is missing them must list.
func TestHistoryPrunesOldestRemovals(t *testing.T) {
	h := newHistory()
	h.applyListing(listing(0), start)
	revision := uint64(0)
	for i := range maxRemovals + 10 {
		for _, removed := range []bool{false, true} {
			e := event(fmt.Sprint("k", i), revision+1)
			e.Removed = removed
			h.applyChanges(revision, objectapi.Changes{Events: []objectapi.Event{e}, Revision: revision + 1}, start)
			revision++
		}
	}
	must.LessEq(t, maxRemovals, len(h.latest))
	_, _, gap := h.changesAfter(5)
	must.True(t, gap)
	events, _, gap := h.changesAfter(revision - 20)
	must.False(t, gap)
	must.Len(t, 10, events)
}

// A listing's later pages show changes from after its revision. Sent before the watch reaches
// them, they would be sent again and again.
func TestHistoryReturnsNothingBeyondItsEnd(t *testing.T) {
	h := newHistory()
	l := listing(1, "a")
	l.Objects = append(l.Objects, objectapi.Object{Key: "b", Version: 4})
	h.applyListing(l, start)
	events, end, _ := h.changesAfter(1)
	must.SliceEmpty(t, events)
	must.Eq(t, 1, end)
	h.applyChanges(1, objectapi.Changes{Events: []objectapi.Event{event("b", 4)}, Revision: 4}, start)
	events, _, _ = h.changesAfter(1)
	must.Len(t, 1, events)
}

// A peer that applies the changes reaches the store's state, whatever batches the relay
// received and wherever its watch was interrupted.
func TestHistoryLeadsToStoreState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		type change struct {
			event objectapi.Event
		}
		var log []change // revision i+1 is log[i]
		stateAt := func(revision uint64) map[string]uint64 {
			out := map[string]uint64{}
			for _, c := range log[:revision] {
				applyEvent(out, c.event)
			}
			return out
		}
		followed := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				followed = uint64(len(log))
				l := objectapi.Listing{Revision: followed}
				for key, version := range stateAt(followed) {
					l.Objects = append(l.Objects, objectapi.Object{Key: key, Version: version})
				}
				h.applyListing(l, start)
			case 1, 2, 3:
				var events []objectapi.Event
				for _, c := range log[followed:] {
					events = append(events, c.event)
				}
				h.applyChanges(followed, objectapi.Changes{Events: events, Revision: uint64(len(log))}, start)
				if len(events) > 0 {
					followed = uint64(len(log))
				}
			default:
				e := event(fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key")), uint64(len(log)+1))
				e.Removed = rapid.Bool().Draw(t, "removed")
				log = append(log, change{e})
			}
		}
		for r := range uint64(len(log) + 1) {
			events, end, gap := h.changesAfter(r)
			if gap {
				continue
			}
			got := stateAt(r)
			for _, e := range events {
				applyEvent(got, e)
			}
			must.Eq(t, stateAt(end), got, must.Sprint("from ", r, " to ", end))
		}
	})
}

func applyEvent(state map[string]uint64, e objectapi.Event) {
	if e.Removed {
		delete(state, e.Object.Key)
	} else {
		state[e.Object.Key] = e.Object.Version
	}
}
