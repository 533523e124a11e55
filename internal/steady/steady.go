// Package steady provides clocks that are not affected by changes of the time of day, by
// suspensions of the machine (Clock) or by delays of the process (RunClock), and a time that
// goroutines share (Time). Numbers such as UnixNano lose the monotonic reading of a time.Time:
// ages computed from them jump when the time of day is set.
package steady

import (
	"sync/atomic"
	"time"
)

// Time is a time.Time that is safe for concurrent use. The zero value holds the zero time.
type Time struct{ p atomic.Pointer[time.Time] }

// Load returns the time stored last, the zero time before the first Store.
func (t *Time) Load() time.Time {
	if at := t.p.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Store replaces the time.
func (t *Time) Store(at time.Time) { t.p.Store(&at) }
