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

func TestHistoryTellsWhatCameAfter(t *testing.T) {
	h := newHistory()
	_, _, gap := h.after(5)
	must.True(t, gap, must.Sprint("nothing is known yet"))
	h.listed(5, start)
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
	h.listed(5, start)
	events, end, gap := h.after(8)
	must.False(t, gap)
	must.SliceEmpty(t, events)
	must.Eq(t, 8, end)
}

func TestHistoryForgetsTheOldest(t *testing.T) {
	h := newHistory()
	h.listed(0, start)
	for i := range uint64(historyEvents + 10) {
		h.followed(i, objectapi.Changes{Events: []objectapi.Event{event("a", i+1)}, Revision: i + 1}, start)
	}
	_, _, gap := h.after(5)
	must.True(t, gap)
	_, _, gap = h.after(historyEvents + 5)
	must.False(t, gap)
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
				h.listed(followed, start)
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
