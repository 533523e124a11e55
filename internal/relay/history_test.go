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

func TestHistoryTellsWhatCameAfter(t *testing.T) {
	h := newHistory()
	_, _, gap := h.after(5)
	must.True(t, gap, must.Sprint("nothing is known yet"))
	h.listed(listing(5), start)
	h.followed(5, objectapi.Changes{Events: []objectapi.Event{event("a", 7)}, Revision: 9}, start)
	events, end, gap := h.after(5)
	must.False(t, gap)
	must.Eq(t, 9, end)
	must.Len(t, 1, events)
	events, end, gap = h.after(9)
	must.False(t, gap)
	must.Eq(t, 9, end)
	must.SliceEmpty(t, events)
	_, _, gap = h.after(4)
	must.True(t, gap, must.Sprint("what came before the listing is not known"))
}

// An asker that is ahead, as it asked the store itself, is told nothing old.
func TestHistoryOfARelayThatIsBehind(t *testing.T) {
	h := newHistory()
	h.listed(listing(5), start)
	events, end, gap := h.after(8)
	must.False(t, gap)
	must.SliceEmpty(t, events)
	must.Eq(t, 8, end)
}

// An object that changes often takes one place; it is told once, as it is.
func TestHistoryTellsEachObjectOnce(t *testing.T) {
	h := newHistory()
	h.listed(listing(0), start)
	for i := range uint64(5000) {
		h.followed(i, objectapi.Changes{Events: []objectapi.Event{event("a", i+1)}, Revision: i + 1}, start)
	}
	events, end, gap := h.after(5)
	must.False(t, gap)
	must.Eq(t, 5000, end)
	must.Eq(t, []objectapi.Event{event("a", 5000)}, events)
}

// Removals are the one thing that grows; the oldest are forgotten, and who lacks them lists.
func TestHistoryForgetsTheOldestRemovals(t *testing.T) {
	h := newHistory()
	h.listed(listing(0), start)
	revision := uint64(0)
	for i := range removalsMost + 10 {
		for _, removed := range []bool{false, true} {
			e := event(fmt.Sprint("k", i), revision+1)
			e.Removed = removed
			h.followed(revision, objectapi.Changes{Events: []objectapi.Event{e}, Revision: revision + 1}, start)
			revision++
		}
	}
	must.LessEq(t, removalsMost, len(h.latest))
	_, _, gap := h.after(5)
	must.True(t, gap)
	events, _, gap := h.after(revision - 20)
	must.False(t, gap)
	must.Len(t, 10, events)
}

// A listing's later pages show changes from after its revision. Told before the store's
// own order brings them, they would be told again and again.
func TestHistoryTellsNothingBeyondItsEnd(t *testing.T) {
	h := newHistory()
	l := listing(1, "a")
	l.Objects = append(l.Objects, objectapi.Object{Key: "b", Version: 4})
	h.listed(l, start)
	events, end, _ := h.after(1)
	must.SliceEmpty(t, events)
	must.Eq(t, 1, end)
	h.followed(1, objectapi.Changes{Events: []objectapi.Event{event("b", 4)}, Revision: 4}, start)
	events, _, _ = h.after(1)
	must.Len(t, 1, events)
}

// Whoever applies what the history tells knows what the store held, whatever
// batches the relay saw and wherever its following broke off.
func TestHistoryLeadsToTheStoresState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		type change struct {
			e objectapi.Event
		}
		var log []change // revision i+1 is log[i]
		stateAt := func(revision uint64) map[string]uint64 {
			out := map[string]uint64{}
			for _, c := range log[:revision] {
				applyTo(out, c.e)
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
				h.listed(l, start)
			case 1, 2, 3:
				var events []objectapi.Event
				for _, c := range log[followed:] {
					events = append(events, c.e)
				}
				h.followed(followed, objectapi.Changes{Events: events, Revision: uint64(len(log))}, start)
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
			events, end, gap := h.after(r)
			if gap {
				continue
			}
			got := stateAt(r)
			for _, e := range events {
				applyTo(got, e)
			}
			must.Eq(t, stateAt(end), got, must.Sprint("from ", r, " to ", end))
		}
	})
}

func applyTo(state map[string]uint64, e objectapi.Event) {
	if e.Removed {
		delete(state, e.Object.Key)
	} else {
		state[e.Object.Key] = e.Object.Version
	}
}
