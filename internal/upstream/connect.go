package upstream

import (
	"sync"
	"time"
)

// Parameters of the adaptive connect timeout.
const (
	// connectTimeoutFactor is the timeout in multiples of the typical connect time.
	connectTimeoutFactor = 4
	// minConnectTimeout is the lower limit of the timeout. A process with a small CPU quota may
	// not be scheduled for most of the kernel's quota period of 100 ms.
	minConnectTimeout = 80 * time.Millisecond
	// minConnectSamples is the number of connect times needed before the timeout adapts.
	minConnectSamples = 8
	// typicalRise is the fraction by which a slower connection raises the typical time at most.
	// typicalFall is the fraction of the difference by which a faster connection lowers it.
	typicalRise = 0.2
	typicalFall = 0.01
)

// connectTimeout derives the connect timeout from recent connect times. An unreachable host
// doesn't respond at all: with a fixed timeout of 400 ms all streams sent to one were late,
// because their first event is due within 200 to 400 ms. Safe for concurrent use.
type connectTimeout struct {
	mu      sync.Mutex
	samples int
	typical time.Duration // exceeded by few connections
}

// observe records how long a connection took to establish.
func (c *connectTimeout) observe(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples++
	switch {
	case c.samples == 1:
		c.typical = took
	case took > c.typical:
		c.typical = min(took, time.Duration((1+typicalRise)*float64(c.typical)))
	default:
		c.typical -= time.Duration(typicalFall * float64(c.typical-took))
	}
}

// timeout returns the current connect timeout, at most maximum.
func (c *connectTimeout) timeout(maximum time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.samples < minConnectSamples {
		return maximum
	}
	return min(max(connectTimeoutFactor*c.typical, minConnectTimeout), maximum)
}
