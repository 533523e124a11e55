package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/fleet"
)

var (
	t0        = time.Unix(1000, 0)
	keepFirst = func(int) int { return 1 } // keeps the first of ties
	here      = Target{Instance: "here", Zone: "z"}
	there     = Target{Instance: "there", Zone: "other"}
)

// testModel is the model of requests of tests that have one.
var testModel = ModelKey{"s", "m"}

func testPicker() *Picker { return NewPicker("z", keepFirst) }

func pickOne(p *Picker, now time.Time, targets ...Target) string {
	t := p.Pick(targets, nil, now)
	if t == nil {
		return ""
	}
	p.Release(t)
	return t.Instance
}

func TestPickerPrefersTheOwnZoneUntilItIsBusier(t *testing.T) {
	p := testPicker()
	must.Eq(t, "here", pickOne(p, t0, there, here))
	p.Pick([]Target{here}, nil, t0) // stays in flight
	must.Eq(t, "there", pickOne(p, t0, here, there))
}

func TestPickSkipsTriedTargets(t *testing.T) {
	p := testPicker()
	must.Nil(t, p.Pick([]Target{here}, map[string]bool{"here": true}, t0))
}

func TestWaitingStreamDoesNotStallTarget(t *testing.T) {
	p := testPicker()
	p.Pick([]Target{here}, nil, t0)
	p.NoteSent(&here, minStallTimeout, t0)
	must.Eq(t, Unknown, p.Health(&here, t0.Add(time.Second)))
}

func TestTargetStallsWithItsRunningStreams(t *testing.T) {
	p := testPicker()
	p.Pick([]Target{here}, nil, t0)
	p.NoteSent(&here, minStallTimeout, t0)
	p.NoteProgress(&here, t0.Add(100*time.Millisecond))
	p.NoteFirstEvent(&here, testModel, t0, t0.Add(100*time.Millisecond))
	must.Eq(t, Progressing, p.Health(&here, t0.Add(200*time.Millisecond)))
	must.Eq(t, Unhealthy, p.Health(&here, t0.Add(time.Second)))
	must.Eq(t, []string{"here"}, p.Unhealthy(t0.Add(time.Second)))
	must.Eq(t, "there", pickOne(p, t0.Add(time.Second), here, there))
	p.EndStream(&here, t0, true)
	must.Eq(t, Unknown, p.Health(&here, t0.Add(time.Second)))
}

// A stalled stream is moved at once; the daemon that plans placements must still learn of the stall,
// unless the target made progress since.
func TestRecentStallsAreListed(t *testing.T) {
	p := testPicker()
	must.SliceEmpty(t, p.RecentlyStalled(t0))
	p.NoteStall(&here, t0)
	must.Eq(t, []string{"here"}, p.RecentlyStalled(t0.Add(recentStall-1)))
	must.SliceEmpty(t, p.RecentlyStalled(t0.Add(recentStall)))
	p.NoteStall(&here, t0)
	p.NoteProgress(&here, t0.Add(time.Millisecond))
	must.SliceEmpty(t, p.RecentlyStalled(t0.Add(2*time.Millisecond)))
}

func TestSuspicionDoublesUntilProgress(t *testing.T) {
	p := testPicker()
	now := t0
	for _, want := range []time.Duration{minSuspicion, 2 * minSuspicion, 4 * minSuspicion, maxSuspicion} {
		p.Suspect(&here, now)
		p.Suspect(&here, now) // one of several requests that failed together
		must.Eq(t, Unhealthy, p.Health(&here, now.Add(want-1)))
		must.Eq(t, Unknown, p.Health(&here, now.Add(want)))
		now = now.Add(want)
	}
	p.NoteProgress(&here, now)
	p.Suspect(&here, now)
	must.Eq(t, Unknown, p.Health(&here, now.Add(minSuspicion)))
}

func TestEarliestFirstEventCountsWaitsAndLastFirstEvent(t *testing.T) {
	p := testPicker()
	targets := []Target{here, there}
	lowest, ok := p.earliestFirstEvent(targets, t0)
	must.True(t, ok)
	must.Eq(t, 0, lowest)
	for i := range targets {
		p.Pick(targets[i:i+1], nil, t0)
		p.NoteSent(&targets[i], minStallTimeout, t0)
	}
	lowest, _ = p.earliestFirstEvent(targets, t0.Add(300*time.Millisecond))
	must.Eq(t, 300*time.Millisecond, lowest)
	p.NoteProgress(&there, t0.Add(200*time.Millisecond))
	p.NoteFirstEvent(&there, testModel, t0, t0.Add(200*time.Millisecond))
	lowest, _ = p.earliestFirstEvent(targets, t0.Add(300*time.Millisecond))
	must.Eq(t, 100*time.Millisecond, lowest, must.Sprint("its queue has been draining for a tenth of a second"))
	lowest, _ = p.earliestFirstEvent(targets, t0.Add(400*time.Millisecond))
	must.Eq(t, 0, lowest)
	p.Suspect(&here, t0)
	p.Suspect(&there, t0)
	_, ok = p.earliestFirstEvent(targets, t0.Add(300*time.Millisecond))
	must.False(t, ok)
}

// A long prompt has just delayed a first event at one of two equal replicas. Nothing waits there
// now, so both get requests alike; a replica where a stream waits gets none.
func TestPickUsesCurrentWaits(t *testing.T) {
	p, other := testPicker(), Target{Instance: "other", Zone: "z"}
	p.Pick([]Target{here}, nil, t0)
	p.NoteSent(&here, minStallTimeout, t0)
	p.NoteFirstEvent(&here, testModel, t0, t0.Add(400*time.Millisecond))
	p.EndStream(&here, t0, true)
	now := t0.Add(410 * time.Millisecond)
	must.Eq(t, "here", pickOne(p, now, here, other))
	p.Pick([]Target{here}, nil, now)
	p.NoteSent(&here, minStallTimeout, now)
	must.Eq(t, "other", pickOne(p, now.Add(100*time.Millisecond), here, other))
}

func TestFloorRisesSlowly(t *testing.T) {
	p := testPicker()
	must.Eq(t, 0, p.FastestFirstEvent(testModel))
	p.NoteFirstEvent(&here, testModel, t0, t0.Add(200*time.Millisecond))
	p.NoteFirstEvent(&here, testModel, t0, t0.Add(150*time.Millisecond))
	must.Eq(t, 150*time.Millisecond, p.FastestFirstEvent(testModel))
	p.NoteFirstEvent(&here, testModel, t0, t0.Add(time.Second))
	must.Between(t, 150*time.Millisecond, p.FastestFirstEvent(testModel), 152*time.Millisecond)
}

func TestUnusedRecordsExpire(t *testing.T) {
	p := testPicker()
	pickOne(p, t0, here)
	p.Pick([]Target{there}, nil, t0)
	p.Sweep(t0.Add(2 * recordTTL))
	must.MapNotContainsKey(t, p.records, here.incarnation())
	must.MapContainsKey(t, p.records, there.incarnation())
}

// A restarted instance under the same id is not suspect, and requests in flight at its previous
// incarnation are not part of its load.
func TestSuspicionEndsWithIncarnation(t *testing.T) {
	p := testPicker()
	next := here
	next.StartedAt = 2
	p.Pick([]Target{here}, nil, t0)
	p.Suspect(&here, t0)
	must.Eq(t, Unhealthy, p.Health(&here, t0.Add(time.Millisecond)))
	must.Eq(t, Unknown, p.Health(&next, t0.Add(time.Millisecond)))
	must.Eq(t, "here", pickOne(p, t0.Add(time.Millisecond), next, there))
	p.Release(&here)
	must.Eq(t, "here", pickOne(p, t0.Add(time.Millisecond), next, there))
}

// Guards against allocating lists of all replicas for each choice.
func TestPickDoesNotAllocate(t *testing.T) {
	p := NewPicker("z", func(n int) int { return n - 1 })
	p.SetPeerReports(PeerReports{Daemons: 100}, t0)
	targets := make([]Target, 500)
	for i := range targets {
		targets[i] = Target{Instance: fmt.Sprint(i), Zone: "z"}
		p.Pick(targets[i:i+1], nil, t0)
	}
	must.Zero(t, testing.AllocsPerRun(10, func() { p.Pick(targets, nil, t0) }))
}

// Events of a group after a time show that all its members lived then; those of its earlier epochs, and
// earlier ones, do not.
func TestProgressedSinceTellsGroupsAndTimesApart(t *testing.T) {
	p, group := testPicker(), fleet.GroupKey{Name: "g", Epoch: 2}
	head := Target{Instance: "here", Zone: "z", Group: group}
	p.Pick([]Target{head}, nil, t0)
	must.False(t, p.ProgressedSince(group, t0.Add(-time.Second)), must.Sprint("a request without progress"))
	p.NoteProgress(&head, t0)
	must.True(t, p.ProgressedSince(group, t0.Add(-1)))
	must.False(t, p.ProgressedSince(group, t0))
	must.False(t, p.ProgressedSince(fleet.GroupKey{Name: "g", Epoch: 1}, t0.Add(-1)))
}

// Guards against a surcharge that excludes a target or is ignored: a target with one is chosen where its
// load is lower by more than that.
func TestSurchargeCountsAsLoad(t *testing.T) {
	p := testPicker()
	cold := Target{Instance: "cold", Zone: "z"}
	p.Surcharge = func(t *Target) float64 {
		if t.Instance == "cold" {
			return 2
		}
		return 0
	}
	must.Eq(t, "here", pickOne(p, t0, cold, here))
	for range 3 {
		p.Pick([]Target{here}, nil, t0) // stays in flight
	}
	must.Eq(t, "cold", pickOne(p, t0, here, cold))
}
