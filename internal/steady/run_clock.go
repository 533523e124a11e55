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
