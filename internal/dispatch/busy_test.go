package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/fleet"
)

// busyReports are the reports of a fleet that has requests at the group of the target here.
func busyReports(inFlight int, stalled bool) PeerReports {
	r := PeerReports{Daemons: 79, InFlight: map[string]int{here.Instance: inFlight}}
	if stalled {
		r.StalledGroups = map[fleet.GroupKey]bool{here.Group: true}
	}
	return r
}

// waitsFor returns how long a stream without any event waits at a target before it is moved, and
// false if it is not moved within two seconds. Reports arrive every quarter of a second.
func waitsFor(p *Picker, reports func(waited time.Duration) PeerReports) (time.Duration, bool) {
	timeouts := p.StallTimeouts(StreamLimits{Model: testModel, Objective: objective})
	p.NoteSent(&here, minStallTimeout, t0)
	for waited := time.Duration(0); waited < 2*time.Second; waited += 50 * time.Millisecond {
		now := t0.Add(waited)
		if waited%(250*time.Millisecond) == 0 {
			p.SetPeerReports(reports(waited), now)
		}
		silence := SilentStream{Waited: waited, StallTimeout: timeouts.First, Replica: p.Health(&here, now)}
		if waited >= timeouts.FirstCheck() && silence.ShouldMove() {
			return waited, true
		}
	}
	return 0, false
}

// Guards against retries spent in an overload: on a day with twice the load of a model, 847 streams
// that were queued at a working group were moved into the queue of another one, and left there.
func TestQueuedStreamIsNotMovedWhileOthersUseTheGroup(t *testing.T) {
	p := NewPicker("z", keepFirst)
	after, moved := waitsFor(p, func(time.Duration) PeerReports { return busyReports(60, false) })
	// Nobody reports a group that stalled before any stream began to run there: all count as queued.
	must.True(t, moved, must.Sprint("its caller leaves after two seconds"))
	must.GreaterEq(t, busyFactor*p.StallTimeouts(StreamLimits{Model: testModel, Objective: objective}).First, after)
}

// Guards against streams that stay at a group that died because they were taken for queued.
func TestStreamLeavesDeadGroupSoonAfterTheReport(t *testing.T) {
	const reported = 750 * time.Millisecond
	after, moved := waitsFor(NewPicker("z", keepFirst), func(waited time.Duration) PeerReports {
		return busyReports(60, waited >= reported)
	})
	must.True(t, moved)
	must.Between(t, reported, after, reported+400*time.Millisecond)
}

// Reports that are old, of few daemons, or of a group with few requests show nothing: the stream
// is moved after its own timeout.
func TestStreamIsMovedAfterItsTimeoutWithoutReports(t *testing.T) {
	for name, reports := range map[string]func(time.Duration) PeerReports{
		"few requests": func(time.Duration) PeerReports { return busyReports(minBusyStreams-1, false) },
		"few daemons": func(time.Duration) PeerReports {
			r := busyReports(60, false)
			r.Daemons = MaxOwnLoadDaemons
			return r
		},
		"no daemons": func(time.Duration) PeerReports { return PeerReports{} },
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPicker("z", keepFirst)
			after, moved := waitsFor(p, reports)
			must.True(t, moved)
			must.Eq(t, p.StallTimeouts(StreamLimits{Model: testModel, Objective: objective}).First, after)
		})
	}
	p := NewPicker("z", keepFirst)
	p.SetPeerReports(busyReports(60, false), t0)
	must.Eq(t, Unknown, p.Health(&here, t0.Add(stallReportTTL)))
}
