package steady

import (
	"context"
	"sync"
	"time"

	"pearlanding/internal/pause"
)

// Times of a RunClock.
const (
	// beatEvery is how often a RunClock looks whether the process runs on schedule.
	beatEvery = 25 * time.Millisecond
	// beatSlack is how late a look may come by the scheduler's ordinary delays.
	beatSlack = 10 * time.Millisecond
	// RunClockStep is by how much a RunClock may lag: it stands until the next look after the
	// process ran again.
	RunClockStep = beatEvery + beatSlack
)

// RunClock tells a time that stands still while the process is not scheduled: its timers are late
// then, and it has not read what came meanwhile. A peer that is silent by this clock is silent; by
// another one it may be this process that did not listen. Its times are compared with one another
// only. Safe for concurrent use.
type RunClock struct {
	clock *Clock
	mu    sync.Mutex
	due   time.Time // when the next look comes at the latest; zero: there was none
	late  time.Duration
}

// NewRunClock returns a RunClock over a clock; nil: this machine's. It equals that clock until Run.
func NewRunClock(clock *Clock) *RunClock { return &RunClock{clock: clock} }

// Run looks regularly whether the process runs on schedule, until ctx ends.
func (c *RunClock) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.beat()
		pause.For(ctx, beatEvery)
	}
}

// beat notes by how much this look is late.
func (c *RunClock) beat() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.due.IsZero() && now.After(c.due) {
		c.late += now.Sub(c.due)
	}
	c.due = now.Add(RunClockStep)
}

// Now returns the time.
func (c *RunClock) Now() time.Time {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.due.IsZero() && now.After(c.due) {
		now = c.due
	}
	return now.Add(-c.late)
}

// Late returns for how long the process was not scheduled since the clock's start.
func (c *RunClock) Late() time.Duration {
	return c.clock.Now().Sub(c.Now())
}

// AfterFunc calls f in a goroutine of its own after d of this clock, unless stop is called before.
func (c *RunClock) AfterFunc(d time.Duration, f func()) (stop func()) {
	t := &runTimer{}
	begun := c.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		if left := d - c.Now().Sub(begun); left <= 0 {
			f()
		} else {
			t.again(left)
		}
	})
	return t.stop
}

// runTimer is a timer that is set again until its time has passed by a RunClock.
type runTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (t *runTimer) again(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(d)
	}
}

func (t *runTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
