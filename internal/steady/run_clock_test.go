package steady

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A process that is not scheduled hears nothing: the time of its silence does not count, neither
// before nor after the look that is late, and the clock never goes back.
func TestRunClockStandsStillWhileTheProcessIsLate(t *testing.T) {
	m := &fakeMachine{start: time.Unix(1e9, 0)}
	c := NewRunClock(NewClockOf(m.read, m.boot))
	c.beat()
	began := c.Now()
	m.steady += beatEvery
	c.beat()
	must.Eq(t, beatEvery, c.Now().Sub(began), must.Sprint("on schedule"))
	m.steady += 400 * time.Millisecond
	stood := c.Now()
	must.Eq(t, 2*beatEvery+beatSlack, stood.Sub(began), must.Sprint("before the look"))
	c.beat()
	must.Eq(t, stood, c.Now(), must.Sprint("after the look"))
	must.Eq(t, 400*time.Millisecond-beatEvery-beatSlack, c.Late())
	m.steady += 10 * time.Millisecond
	must.Eq(t, 10*time.Millisecond, c.Now().Sub(stood), must.Sprint("on schedule again"))
}

// Ordinary delays of a timer are no lateness.
func TestRunClockCountsOrdinaryDelays(t *testing.T) {
	m := &fakeMachine{start: time.Unix(1e9, 0)}
	c := NewRunClock(NewClockOf(m.read, m.boot))
	c.beat()
	for range 10 {
		m.steady += beatEvery + beatSlack
		c.beat()
	}
	must.Zero(t, c.Late())
}

// A suspended machine does not schedule its processes.
func TestRunClockLeavesOutSuspensions(t *testing.T) {
	m := &fakeMachine{start: time.Unix(1e9, 0)}
	c := NewRunClock(NewClockOf(m.read, m.boot))
	c.beat()
	began := c.Now()
	m.suspended = time.Minute
	must.LessEq(t, beatEvery+beatSlack, c.Now().Sub(began))
}
