package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	t0    = time.Unix(1000, 0)
	first = func(int) int { return 1 } // ties keep the first
	here  = Target{Instance: "here", Zone: "z"}
	there = Target{Instance: "there", Zone: "other"}
)

func testPicker() *Picker { return NewPicker("z", first) }

func pickOne(p *Picker, now time.Time, targets ...Target) string {
	t := p.Pick(targets, nil, now)
	if t == nil {
		return ""
	}
	p.Done(t)
	return t.Instance
}

func TestPickerPrefersTheOwnZoneUntilItIsBusier(t *testing.T) {
	p := testPicker()
	must.Eq(t, "here", pickOne(p, t0, there, here))
	p.Pick([]Target{here}, nil, t0) // stays in progress
	must.Eq(t, "there", pickOne(p, t0, here, there))
}

func TestPickerLeavesOutWhatWasTried(t *testing.T) {
	p := testPicker()
	must.Nil(t, p.Pick([]Target{here}, map[string]bool{"here": true}, t0))
}

func TestStreamThatOnlyWaitsDoesNotMakeATargetStandStill(t *testing.T) {
	p := testPicker()
	p.Pick([]Target{here}, nil, t0)
	p.Waits(&here, quietLeast, t0)
	must.Eq(t, Unknown, p.Health(&here, t0.Add(time.Second)))
}

func TestTargetStandsStillWhenItsRunningStreamsDo(t *testing.T) {
	p := testPicker()
	p.Pick([]Target{here}, nil, t0)
	p.Waits(&here, quietLeast, t0)
	p.Progressed(&here, t0.Add(100*time.Millisecond))
	p.Runs(&here, "m", t0, t0.Add(100*time.Millisecond))
	must.Eq(t, Alive, p.Health(&here, t0.Add(200*time.Millisecond)))
	must.Eq(t, Still, p.Health(&here, t0.Add(time.Second)))
	must.Eq(t, []string{"here"}, p.Still(t0.Add(time.Second)))
	must.Eq(t, "there", pickOne(p, t0.Add(time.Second), here, there))
	p.Ended(&here, t0, true)
	must.Eq(t, Unknown, p.Health(&here, t0.Add(time.Second)))
}

// A stream that stopped is moved at once; the daemon that plans should still hear of it,
// unless something came from there since.
func TestStoppedStreamsAreTold(t *testing.T) {
	p := testPicker()
	must.SliceEmpty(t, p.Stopped(t0))
	p.NoteStopped(&here, t0)
	must.Eq(t, []string{"here"}, p.Stopped(t0.Add(stoppedFor-1)))
	must.SliceEmpty(t, p.Stopped(t0.Add(stoppedFor)))
	p.NoteStopped(&here, t0)
	p.Progressed(&here, t0.Add(time.Millisecond))
	must.SliceEmpty(t, p.Stopped(t0.Add(2*time.Millisecond)))
}

func TestSuspicionDoublesUntilTheTargetAnswers(t *testing.T) {
	p := testPicker()
	now := t0
	for _, want := range []time.Duration{suspectFor, 2 * suspectFor, 4 * suspectFor, suspectMost} {
		p.Suspect(&here, now)
		p.Suspect(&here, now) // another request that failed with it
		must.Eq(t, Still, p.Health(&here, now.Add(want-1)))
		must.Eq(t, Unknown, p.Health(&here, now.Add(want)))
		now = now.Add(want)
	}
	p.Progressed(&here, now)
	p.Suspect(&here, now)
	must.Eq(t, Unknown, p.Health(&here, now.Add(suspectFor)))
}

func TestSoonestCountsWaitsAndTheLastFirstEvent(t *testing.T) {
	p := testPicker()
	targets := []Target{here, there}
	least, ok := p.soonest(targets, t0)
	must.True(t, ok)
	must.Eq(t, 0, least)
	for i := range targets {
		p.Pick(targets[i:i+1], nil, t0)
		p.Waits(&targets[i], quietLeast, t0)
	}
	least, _ = p.soonest(targets, t0.Add(300*time.Millisecond))
	must.Eq(t, 300*time.Millisecond, least)
	p.Progressed(&there, t0.Add(200*time.Millisecond))
	p.Runs(&there, "m", t0, t0.Add(200*time.Millisecond))
	least, _ = p.soonest(targets, t0.Add(300*time.Millisecond))
	must.Eq(t, 100*time.Millisecond, least, must.Sprint("its queue has emptied for a tenth of a second"))
	least, _ = p.soonest(targets, t0.Add(400*time.Millisecond))
	must.Eq(t, 0, least)
	p.Suspect(&here, t0)
	p.Suspect(&there, t0)
	_, ok = p.soonest(targets, t0.Add(300*time.Millisecond))
	must.False(t, ok)
}

// Load: a long prompt has just made a first event late at one of two equal replicas.
// Nothing waits there now, so both get requests alike; where a stream waits, none goes.
func TestChoiceGoesByWhatWaitsNow(t *testing.T) {
	p, other := testPicker(), Target{Instance: "other", Zone: "z"}
	p.Pick([]Target{here}, nil, t0)
	p.Waits(&here, quietLeast, t0)
	p.Runs(&here, "m", t0, t0.Add(400*time.Millisecond))
	p.Ended(&here, t0, true)
	now := t0.Add(410 * time.Millisecond)
	must.Eq(t, "here", pickOne(p, now, here, other))
	p.Pick([]Target{here}, nil, now)
	p.Waits(&here, quietLeast, now)
	must.Eq(t, "other", pickOne(p, now.Add(100*time.Millisecond), here, other))
}

func TestFloorFollowsTheQuickestSlowly(t *testing.T) {
	p := testPicker()
	must.Eq(t, 0, p.Floor("m"))
	p.Runs(&here, "m", t0, t0.Add(200*time.Millisecond))
	p.Runs(&here, "m", t0, t0.Add(150*time.Millisecond))
	must.Eq(t, 150*time.Millisecond, p.Floor("m"))
	p.Runs(&here, "m", t0, t0.Add(time.Second))
	must.Between(t, 150*time.Millisecond, p.Floor("m"), 152*time.Millisecond)
}

func TestUnusedTargetsAreForgotten(t *testing.T) {
	p := testPicker()
	pickOne(p, t0, here)
	p.Pick([]Target{there}, nil, t0)
	p.Sweep(t0.Add(2 * forgetAfter))
	must.MapNotContainsKey(t, p.records, here.life())
	must.MapContainsKey(t, p.records, there.life())
}

// An instance that starts again under its id has failed nothing yet, and what the life
// before still has in progress is none of its load.
func TestSuspicionEndsWithTheLife(t *testing.T) {
	p := testPicker()
	next := here
	next.Born = 2
	p.Pick([]Target{here}, nil, t0)
	p.Suspect(&here, t0)
	must.Eq(t, Still, p.Health(&here, t0.Add(time.Millisecond)))
	must.Eq(t, Unknown, p.Health(&next, t0.Add(time.Millisecond)))
	must.Eq(t, "here", pickOne(p, t0.Add(time.Millisecond), next, there))
	p.Done(&here)
	must.Eq(t, "here", pickOne(p, t0.Add(time.Millisecond), next, there))
}

// Guards against lists of all replicas made for each choice.
func TestAChoiceMakesNoGarbage(t *testing.T) {
	p := NewPicker("z", func(n int) int { return n - 1 })
	p.Loaded(Others{Daemons: 100}, t0)
	targets := make([]Target, 500)
	for i := range targets {
		targets[i] = Target{Instance: fmt.Sprint(i), Zone: "z"}
		p.Pick(targets[i:i+1], nil, t0)
	}
	must.Zero(t, testing.AllocsPerRun(10, func() { p.Pick(targets, nil, t0) }))
}
