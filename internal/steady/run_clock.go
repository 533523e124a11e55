package steady

import (
	"context"
	"sync"
	"time"

	"pearlanding/internal/pause"
)

// Times of a RunClock.
const (
	// tickInterval is how often a RunClock checks that the process is scheduled.
	tickInterval = 25 * time.Millisecond
	// tickSlack is how late a tick may be through ordinary delays of the scheduler.
	tickSlack = 10 * time.Millisecond
	// RunClockMaxLag is how far a RunClock may lag behind the time for which the process was
	// scheduled: after a delay it stays stopped until the first tick of the resumed process.
	RunClockMaxLag = tickInterval + tickSlack
)

// RunClock returns a time that stops while the process is not scheduled, as its timers are late
// then and it reads no messages. A peer that is silent by this clock is really silent; by another
// clock it may be this process that did not read. Its times may only be compared with one another.
// Safe for concurrent use.
type RunClock struct {
	clock    *Clock
	mu       sync.Mutex
	nextTick time.Time     // when the next tick is due at the latest; zero: there was none yet
	lateness time.Duration // total delay of the ticks: how long the process was not scheduled
}

// NewRunClock returns a RunClock over a clock; nil: this machine's. Until Run is called it equals
// that clock.
func NewRunClock(clock *Clock) *RunClock { return &RunClock{clock: clock} }

// Run checks regularly that the process is scheduled, until ctx ends.
func (c *RunClock) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.tick()
		pause.For(ctx, tickInterval)
	}
}

// tick adds the delay of this tick to the lateness.
func (c *RunClock) tick() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.nextTick.IsZero() && now.After(c.nextTick) {
		c.lateness += now.Sub(c.nextTick)
	}
	c.nextTick = now.Add(RunClockMaxLag)
}

// Now returns the current time of this clock.
func (c *RunClock) Now() time.Time {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.nextTick.IsZero() && now.After(c.nextTick) {
		now = c.nextTick
	}
	return now.Add(-c.lateness)
}

// Lateness returns how long the process has not been scheduled in total since the clock's start; 0
// for a nil clock.
func (c *RunClock) Lateness() time.Duration {
	if c == nil {
		return 0
	}
	return c.clock.Now().Sub(c.Now())
}

// AfterFunc calls f in its own goroutine when d has passed by this clock, unless stop is called
// before.
func (c *RunClock) AfterFunc(d time.Duration, f func()) (stop func()) {
	t := &runTimer{}
	begun := c.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		if remaining := d - c.Now().Sub(begun); remaining <= 0 {
			f()
		} else {
			t.reset(remaining)
		}
	})
	return t.stop
}

// WithTimeout is context.WithTimeout by this clock; the cause is context.DeadlineExceeded. A nil
// RunClock counts all time.
func (c *RunClock) WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if c == nil {
		return context.WithTimeout(parent, d)
	}
	ctx, cancel := context.WithCancelCause(parent)
	stop := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// runTimer is a timer that is reset until its duration has passed by a RunClock.
type runTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (t *runTimer) reset(d time.Duration) {
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
