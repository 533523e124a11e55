package upstream

import (
	"sync"
	"time"
)

// How the time that a connection may take follows those that came up.
const (
	// connectTimes is how many times the usual time a connection may take.
	connectTimes = 4
	// connectLeast is what it may take at least: a process on a small share of a core may
	// stand still for nearly the 100 ms in which the kernel hands its share out.
	connectLeast = 80 * time.Millisecond
	// connectSamples is how many must have come up before they tell anything.
	connectSamples = 8
	// connectRise is by which part of itself the usual time rises with a slower one, and
	// connectFall the part of the distance by which it falls with a quicker one.
	connectRise = 0.2
	connectFall = 0.01
)

// connectTimer learns how long connections take to come up. A host that is gone answers
// nothing: with a fixed 400 ms, all streams sent to one were late, as they are due in 200 to
// 400 ms. Safe for concurrent use.
type connectTimer struct {
	mu    sync.Mutex
	seen  int
	usual time.Duration // that few connections exceed
}

// note takes in how long a connection took.
func (c *connectTimer) note(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen++
	switch {
	case c.seen == 1:
		c.usual = took
	case took > c.usual:
		c.usual = min(took, time.Duration((1+connectRise)*float64(c.usual)))
	default:
		c.usual -= time.Duration(connectFall * float64(c.usual-took))
	}
}

// limit is how long a connection may take now; most bounds it.
func (c *connectTimer) limit(most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen < connectSamples {
		return most
	}
	return min(max(connectTimes*c.usual, connectLeast), most)
}
