package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a correction beyond what missing daemons explain, and against one that lasts when they
// report again or were removed.
func TestFactorOfMissingReportsIsBounded(t *testing.T) {
	var m missingReports
	observe := func(shown float64) float64 {
		for range 20 {
			m.observe(shown, 10)
		}
		return m.factor
	}
	m.note(80, t0)
	must.Eq(t, 1, observe(30), must.Sprint("all report"))
	m.note(40, t0)
	must.Eq(t, 1, m.factor)
	must.Eq(t, 1, observe(10), must.Sprint("replicas show what is reported"))
	must.Eq(t, 2, observe(30))
	must.Eq(t, 1, observe(5))
	m.note(8, t0)
	must.Eq(t, maxMissingFactor, observe(30))
	m.note(80, t0)
	must.Eq(t, 1, m.factor)
	for at := t0; at.Before(t0.Add(2*daemonsRetention + time.Minute)); at = at.Add(time.Second) {
		m.note(40, at)
	}
	must.Eq(t, 1, observe(30), must.Sprint("the others were removed"))
	m.observe(1, 0)
	must.Eq(t, 1, m.factor)
}

// The passes of a replica show how many requests it has in progress, also if this daemon reads several events
// together.
func TestPausesShowRequestsInProgress(t *testing.T) {
	c, ok := costOf(ticketEngine, "m", usualRequest{})
	must.True(t, ok)
	for _, n := range []float64{0, 10, 34} {
		pass := time.Duration(c.pass(n) * float64(time.Second))
		r := &record{}
		for i := range 100 {
			r.addPause(time.Duration(2*(i%2))*pass, t0)
		}
		must.InDelta(t, n, c.inProgress(c.pass(n)), 0.01)
		must.InDelta(t, n, c.inProgress(r.meanPause), 4)
	}
	must.Eq(t, 0, c.inProgress(0))
	must.Eq(t, c.slots, c.inProgress(10))
}
