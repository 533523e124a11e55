package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"pearlanding/internal/objectapi"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func event(zone string, version uint64, removed bool) objectapi.Event {
	return objectapi.Event{Object: objectapi.Object{Key: "kind/" + zone, Version: version}, Removed: removed}
}

// Guards against a state that returns to an older revision, and against a proof that counts as younger
// than the newest listing that the state holds, in whatever order states arrive.
func TestLatestRevisionIsInForceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The store's history: at revision r zone "a" is evacuated if r is odd. States are listings of it,
		// sent at the time of their revision or before.
		n := rapid.IntRange(1, 12).Draw(t, "states")
		var states []State
		for range n {
			era, revision := rapid.Uint64Range(1, 2).Draw(t, "era"), rapid.Uint64Range(1, 9).Draw(t, "revision")
			var zones []string
			if revision%2 == 1 {
				zones = []string{"a"}
			}
			sentAt := at(int(era)*1000 + int(revision)*10 - rapid.IntRange(0, 9).Draw(t, "delay"))
			states = append(states, NewState(zones, objectapi.MakeRevision(era, revision), sentAt))
		}
		k := &Known{}
		highest := uint64(0)
		for _, s := range states {
			k.Apply(s, FromListing)
			must.GreaterEq(t, highest, k.Snapshot().Revision)
			highest = k.Snapshot().Revision
		}
		latest := slices.MaxFunc(states, func(a, b State) int { return int(int64(a.Revision) - int64(b.Revision)) })
		must.Eq(t, latest.Revision, k.Snapshot().Revision)
		must.Eq(t, latest.Zones.Has("a"), k.Zones().Has("a"))
		var proved time.Time
		for _, s := range states {
			if objectapi.Era(s.Revision) == objectapi.Era(latest.Revision) && s.ProvedAt.After(proved) {
				proved = s.ProvedAt
			}
		}
		must.Eq(t, proved, k.ProvedAt())
	})
}

// A watch brings changes and proves nothing.
func TestWatchProvesNothing(t *testing.T) {
	s := NewState([]string{"a"}, 10, at(0))
	s = s.after(objectapi.Changes{Revision: 20, Events: []objectapi.Event{event("b", 14, false), event("a", 13, true), event("b", 12, true)}})
	must.Eq(t, []string{"b"}, s.Zones.Names())
	must.Eq(t, uint64(14), s.Revision)
	must.Eq(t, at(0), s.ProvedAt)
	// The version of a removal may be that of the object before it.
	s = s.after(objectapi.Changes{Revision: 21, Events: []objectapi.Event{event("b", 14, true)}})
	must.Eq(t, uint64(21), s.Revision)
	must.Nil(t, s.Zones)
}

// Guards against a watch that misses a change and reports a later one: a listing at the revision of the
// latter shows both, and one that was sent before proves nothing of what the watch may have missed.
func TestListingCorrectsAWatch(t *testing.T) {
	k := &Known{}
	k.Apply(NewState(nil, 10, at(0)), FromListing)
	k.Apply(k.Snapshot().after(objectapi.Changes{Revision: 12, Events: []objectapi.Event{event("b", 12, false)}}), FromWatch)
	must.Eq(t, []string{"b"}, k.Zones().Names())
	k.Apply(NewState([]string{"a"}, 11, at(900)), FromListing)
	must.Eq(t, at(0), k.ProvedAt(), must.Sprint("zone a was evacuated at revision 11"))
	must.True(t, k.Apply(NewState([]string{"a", "b"}, 12, at(1000)), FromListing))
	must.Eq(t, []string{"a", "b"}, k.Zones().Names())
	must.Eq(t, at(1000), k.ProvedAt())
	must.False(t, k.Apply(k.Snapshot().State.unlisted(), FromRelay), must.Sprint("a listing is not corrected by a watch"))
	must.False(t, k.Apply(NewState([]string{"a", "b"}, 11, at(2000)), FromListing))
	must.Eq(t, at(2000), k.ProvedAt())
}

// Callbacks are called once for each change, and waiting peers are notified of the first state and of changes
// only.
func TestChangesAreToldOnce(t *testing.T) {
	var told []string
	k := &Known{
		OnChange: func(c Change) { told = append(told, fmt.Sprint("+", c.Begun, " -", c.Ended)) },
		OnEnded:  func(zone string, _ time.Time) { told = append(told, "ended "+zone) },
	}
	first := k.Snapshot()
	must.Zero(t, first.Seq)
	must.False(t, k.Apply(NewState(nil, 1, at(0)), FromListing))
	<-first.Changed
	second := k.Snapshot()
	must.False(t, k.Apply(NewState(nil, 2, at(1)), FromListing))
	must.Eq(t, second.Seq, k.Snapshot().Seq)
	must.True(t, k.Apply(NewState([]string{"a", "b"}, 3, at(2)), FromWatch))
	<-second.Changed
	zones := k.Zones()
	must.False(t, k.Apply(NewState([]string{"b", "a"}, 4, at(3)), FromRelay))
	must.True(t, zones == k.Zones(), must.Sprint("the same set while the zones are the same"))
	must.False(t, k.Apply(NewState([]string{"c"}, 3, at(4)), FromRelay))
	must.True(t, k.Apply(NewState([]string{"b"}, 5, at(5)), FromListing))
	must.Eq(t, []string{"+[a b] -[]", "+[] -[a]", "ended a"}, told)
}

// Guards against other writers' objects that make daemons keep and relay without bound, and against
// dropping a zone of the deployment among them.
func TestUnknownZonesAreBounded(t *testing.T) {
	k := &Known{IsKnownZone: func(zone string) bool { return strings.HasPrefix(zone, "zone-") }}
	names := []string{"zone-1", strings.Repeat("x", maxZoneNameBytes+1)}
	for i := range 1000 {
		names = append(names, fmt.Sprint("other-", i))
	}
	k.Apply(NewState(names, 1, at(0)), FromListing)
	must.True(t, k.Zones().Has("zone-1"))
	must.Eq(t, maxUnknownZones, len(k.UnknownZones()))
	must.Eq(t, maxUnknownZones+1, len(k.Zones().Names()))
}

// Guards against a listing that waits for an unanswered one, and against calls back to back.
func TestScheduleOfListings(t *testing.T) {
	const bound = 5 * time.Second
	own, serving := maxProofAge(bound, false, 0), maxProofAge(bound, true, 0)
	must.Eq(t, 2500*time.Millisecond, own)
	must.Eq(t, time.Second, serving)
	must.Less(t, 3*time.Second, maxProofAge(bound, false, 0.99))
	var s schedule
	must.True(t, s.readDue(time.Time{}, own).IsZero(), must.Sprint("the first is sent at once"))
	s.sent(at(0))
	must.Eq(t, at(500), s.readDue(time.Time{}, own))
	s.sent(at(500))
	must.Eq(t, at(1000), s.readDue(time.Time{}, own))
	must.False(t, s.mayWatch(at(600)), must.Sprint("no watch while the store does not answer"))
	s.answered()
	must.Eq(t, at(3000), s.readDue(at(500), own))
	must.Eq(t, at(3700), s.readDue(at(1200), own), must.Sprint("a relay told a newer proof"))
	must.True(t, s.mayWatch(at(600)))
	s.watchEnded(at(600), at(700), 0, objectapi.ErrCompacted, true)
	must.Eq(t, at(600), s.readDue(at(1200), own))
	must.False(t, s.mayWatch(at(701)))
	s.watchEnded(at(600), at(601), 0, nil, false)
	must.False(t, s.mayWatch(at(1599)))
	must.True(t, s.mayWatch(at(1600)))
}
