package dispatch

import (
	"math"
	"time"
)

// Parameters of what requests earn.
const (
	// earnedFor is how long what requests earn beyond one repeat lasts, as a time
	// constant. What a process has saved it can spend just before it ends, beside what
	// its successor earns in the same window: daemons that start again together must not
	// spend more than all may.
	earnedFor = 2 * time.Second
	// earnedLeast does not decay: a service with a request each few seconds could never
	// repeat one otherwise.
	earnedLeast = 1
)

// earned is what requests earned for repeats and repeats did not spend. It begins with
// nothing: a process can't know what the one before it spent, and with each a start of
// its own, restarts would renew what all daemons may spend together. Not safe for
// concurrent use; time is passed in.
type earned struct {
	lasts   time.Duration // time constant of what is beyond least
	least   float64       // does not decay
	repeats float64
	at      time.Time // when repeats was right
}

func newEarned() earned { return earned{lasts: earnedFor, least: earnedLeast} }

// now returns what is left at a time.
func (e *earned) now(now time.Time) float64 {
	over := e.repeats - e.least
	if over <= 0 || !now.After(e.at) {
		return e.repeats
	}
	return e.least + over*math.Exp(-float64(now.Sub(e.at))/float64(e.lasts))
}

// add takes in what a request earns, or takes out what a repeat spends.
func (e *earned) add(repeats float64, now time.Time) {
	e.repeats = e.now(now) + repeats
	e.at = now
}

// spare takes out what is beyond the least and returns it.
func (e *earned) spare(now time.Time) float64 {
	over := max(e.now(now)-e.least, 0)
	if over > 0 {
		e.add(-over, now)
	}
	return over
}
