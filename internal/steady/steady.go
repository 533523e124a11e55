// Package steady holds times of the steady clock for several goroutines. A
// time.Time from time.Now carries a reading of it, which numbers such as UnixNano
// lose: ages made of those jump when somebody sets the time of day.
package steady

import (
	"sync/atomic"
	"time"
)

// Time is a time that goroutines may load and store at once. The zero value holds
// the zero time.
type Time struct{ p atomic.Pointer[time.Time] }

// Load returns the time stored last.
func (t *Time) Load() time.Time {
	if at := t.p.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Store replaces the time.
func (t *Time) Store(at time.Time) { t.p.Store(&at) }
