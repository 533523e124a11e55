package steady

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxDrift is how far the time of day may move against the monotonic clock before the clock
// checks whether the machine was suspended: clock correction moves it by 0.5 ms a second.
const maxDrift = time.Millisecond

// Clock returns monotonic times that include the time for which the machine was suspended. The
// monotonic clock of package time stops during a suspension: a proof that is fifteen seconds old
// would look five seconds old, and a key removed since then would be accepted. Times of a Clock
// carry no monotonic reading; they must not be mixed with those of time.Now, and contexts and
// timers take durations computed from them, never deadlines. Safe for concurrent use.
type Clock struct {
	// read returns the time of day and the monotonic time since the clock's start; boot returns
	// the time since the machine's start, including suspensions. Tests replace both.
	read func() (day time.Time, steady time.Duration)
	boot func() time.Duration

	start       time.Time     // time of day at the clock's start
	bootAtStart time.Duration // time since the machine's start, at the clock's start

	mu        sync.Mutex
	drift     time.Duration // of the time of day against the monotonic clock, at the last check
	suspended time.Duration // total of the suspensions since the clock's start
	resumed   chan struct{}
}

// NewClock returns a clock of this machine. The clock makes a system call only when the time of day
// has moved against the monotonic clock, as it does in every suspension.
func NewClock() *Clock {
	start := time.Now()
	return NewClockFrom(func() (time.Time, time.Duration) {
		now := time.Now()
		return now.Round(0), now.Sub(start)
	}, bootTime)
}

// NewClockFrom returns a clock that reads other sources, for tests and simulations: read returns the
// time of day and the monotonic time, boot a monotonic time that includes suspensions.
func NewClockFrom(read func() (time.Time, time.Duration), boot func() time.Duration) *Clock {
	day, steady := read()
	return &Clock{read: read, boot: boot, start: day.Add(-steady), bootAtStart: boot() - steady, resumed: make(chan struct{})}
}

// bootTime returns the time since the machine's start, including suspensions; 0 where the
// kernel has no such clock.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// machineClock returns the clock of this machine, which stands for a nil Clock.
var machineClock = sync.OnceValue(NewClock)

// Now returns the current time. A nil Clock is that of this machine.
func (c *Clock) Now() time.Time {
	if c == nil {
		c = machineClock()
	}
	day, steady := c.read()
	drift := day.Sub(c.start) - steady
	c.mu.Lock()
	defer c.mu.Unlock()
	if moved := drift - c.drift; moved > maxDrift || moved < -maxDrift {
		c.drift = drift
		c.checkSuspension()
	}
	return c.start.Add(steady + c.suspended)
}

// checkSuspension updates the total of suspensions. The caller holds c.mu.
func (c *Clock) checkSuspension() {
	boot := c.boot()
	_, steady := c.read()
	suspended := boot - c.bootAtStart - steady
	if suspended <= c.suspended+maxDrift {
		return
	}
	c.suspended = suspended
	close(c.resumed)
	c.resumed = make(chan struct{})
}

// Since returns the time since t, a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t, a time of this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Resumed returns a channel that is closed when the clock detects that the machine was
// suspended. Timers that were running then fire late.
func (c *Clock) Resumed() <-chan struct{} {
	if c == nil {
		c = machineClock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resumed
}

// Suspended returns how long the machine has been suspended in total since the clock's start.
func (c *Clock) Suspended() time.Duration {
	if c == nil {
		c = machineClock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}
