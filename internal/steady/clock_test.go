package steady

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fakeMachine is a machine whose clocks a test sets.
type fakeMachine struct {
	start     time.Time
	steady    time.Duration
	suspended time.Duration
	dayOffset time.Duration // by which the time of day was set ahead or back
	bootReads int
}

func (m *fakeMachine) read() (time.Time, time.Duration) {
	return m.start.Add(m.steady + m.suspended + m.dayOffset), m.steady
}

func (m *fakeMachine) boot() time.Duration {
	m.bootReads++
	return time.Hour + m.steady + m.suspended
}

func TestClockCountsSuspensions(t *testing.T) {
	m := &fakeMachine{start: time.Unix(1e9, 0)}
	c := NewClockFrom(m.read, m.boot)
	began := c.Now()
	m.steady = 2 * time.Second
	must.Eq(t, 2*time.Second, c.Since(began))
	must.Eq(t, 1, m.bootReads) // only the read at the start
	resumed := c.Resumed()
	m.suspended = 10 * time.Second
	must.Eq(t, 12*time.Second, c.Since(began))
	must.Eq(t, 10*time.Second, c.Suspended())
	select {
	case <-resumed:
	default:
		t.Fatal("the channel of Resumed is not closed after a suspension")
	}
	m.suspended, m.steady = 13*time.Second, 3*time.Second
	must.Eq(t, 16*time.Second, c.Since(began))
	must.Eq(t, 3, m.bootReads)
}

// Setting the time of day ahead or back is not counted as a suspension and does not hide one.
func TestClockIgnoresTimeOfDaySteps(t *testing.T) {
	m := &fakeMachine{start: time.Unix(1e9, 0)}
	c := NewClockFrom(m.read, m.boot)
	began := c.Now()
	for i, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, 0} {
		m.dayOffset = step
		m.steady += time.Second
		must.Eq(t, time.Duration(i+1)*time.Second, c.Since(began))
	}
	must.Zero(t, c.Suspended())
	m.dayOffset, m.suspended = -2*time.Second, 5*time.Second
	must.Eq(t, 9*time.Second, c.Since(began))
}

func TestMachineClockRuns(t *testing.T) {
	c := NewClock()
	a := c.Now()
	time.Sleep(3 * time.Millisecond)
	must.Less(t, time.Second, c.Since(a))
	must.Greater(t, 2*time.Millisecond, c.Since(a))
	must.StrNotContains(t, a.String(), "m=")
}

func BenchmarkNow(b *testing.B) {
	c := NewClock()
	for b.Loop() {
		c.Now()
	}
}
