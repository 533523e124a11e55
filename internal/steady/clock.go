package steady

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// driftMost is by how much the time of day may move against the steady clock before it is
// looked whether the machine was suspended: a corrected clock moves by 0.5 ms a second.
const driftMost = time.Millisecond

// Clock tells times that only grow and count the time for which the machine was suspended.
// The steady clock of the library stands still meanwhile: of a proof that is fifteen seconds
// old it would say five, and a key that was removed since would run. Times of a clock carry no
// reading of the library's; they must not be mixed with those of time.Now, and contexts and
// timers take durations of them, never deadlines. Safe for concurrent use.
type Clock struct {
	// read returns the time of day and that since the clock's start by the steady clock; boot
	// returns the time since the machine's, with suspensions. Replaced by tests.
	read func() (day time.Time, steady time.Duration)
	boot func() time.Duration

	start time.Time     // by the time of day
	since time.Duration // by boot

	mu        sync.Mutex
	drift     time.Duration // of the time of day against the steady clock, when last looked
	suspended time.Duration // since the start
	resumed   chan struct{}
}

// NewClock returns a clock. A system call is made only when the time of day moved against the
// steady clock: a suspension always moves it.
func NewClock() *Clock {
	start := time.Now()
	return NewClockOf(func() (time.Time, time.Duration) {
		now := time.Now()
		return now.Round(0), now.Sub(start)
	}, bootTime)
}

// NewClockOf returns a clock of other sources, for stand-ins: read returns the time of day and
// the steady clock's, boot the latter with suspensions.
func NewClockOf(read func() (time.Time, time.Duration), boot func() time.Duration) *Clock {
	day, steady := read()
	return &Clock{read: read, boot: boot, start: day.Add(-steady), since: boot() - steady, resumed: make(chan struct{})}
}

// bootTime is the time since the machine's start, suspensions counted; 0 where the kernel
// has no such clock.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// machine is the clock of this machine, for whom none is given.
var machine = sync.OnceValue(NewClock)

// Now returns the time. A nil clock is that of this machine.
func (c *Clock) Now() time.Time {
	if c == nil {
		c = machine()
	}
	day, steady := c.read()
	drift := day.Sub(c.start) - steady
	c.mu.Lock()
	defer c.mu.Unlock()
	if moved := drift - c.drift; moved > driftMost || moved < -driftMost {
		c.drift = drift
		c.look()
	}
	return c.start.Add(steady + c.suspended)
}

// look finds out whether the machine was suspended; c.mu is held.
func (c *Clock) look() {
	boot := c.boot()
	_, steady := c.read()
	suspended := boot - c.since - steady
	if suspended <= c.suspended+driftMost {
		return
	}
	c.suspended = suspended
	close(c.resumed)
	c.resumed = make(chan struct{})
}

// Since returns the time since t, which this clock told.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t, which this clock told.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Resumed returns a channel that is closed when it is noticed that the machine was suspended.
// Timers that ran then are late.
func (c *Clock) Resumed() <-chan struct{} {
	if c == nil {
		c = machine()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resumed
}

// Suspended returns for how long the machine was suspended since the clock's start.
func (c *Clock) Suspended() time.Duration {
	if c == nil {
		c = machine()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}
