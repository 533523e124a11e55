package dispatch

import (
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// QuietFor is how long running streams of a model's replica may bring nothing: a
// replica that reads long prompts is quiet for a whole pass, and moving its streams
// away then makes others read them again.
func QuietFor(e *routes.Engine, m routes.Model) time.Duration {
	return max(e.LongestPass(m)+quietMargin, quietLeast)
}

// record is what this daemon itself saw of a target.
type record struct {
	quiet        time.Duration // how long running streams may bring nothing
	inFlight     int
	running      int           // of these, streams that brought an event
	waiting      []time.Time   // when those that brought none were sent, oldest first
	first        time.Duration // the last first event took this long
	firstAt      time.Time
	progress     time.Time // of any request, last
	suspectUntil time.Time
	suspicion    time.Duration // the next suspicion lasts
	stoppedAt    time.Time     // when a running stream stopped and was moved, last
	group        fleet.Key     // that the target led when it was last sent to
	used         time.Time
}

// still tells whether streams that ran at the target have stopped to bring events.
func (r *record) still(now time.Time) bool {
	return r.running > 0 && now.Sub(r.progress) > r.quiet
}

// stopped tells whether running streams stopped lately and nothing came since.
func (r *record) stopped(now time.Time) bool {
	return r.still(now) || now.Sub(r.stoppedAt) < stoppedFor && r.progress.Before(r.stoppedAt)
}

// alive tells whether running streams bring events.
func (r *record) alive(now time.Time) bool { return r.running > 0 && !r.still(now) }

// expected is how long the next first event will take at least, by the longest
// wait of those that wait now and by the last one measured, less the time since: a queue
// empties while nothing is sent. Counted in full, a target would be left until long after
// its queue was gone.
func (r *record) expected(now time.Time) time.Duration {
	d := r.oldestWait(now)
	if now.Sub(r.firstAt) < firstFor {
		d = max(d, r.first-now.Sub(r.firstAt))
	}
	return d
}

// oldestWait is how long the oldest stream that waits has waited.
func (r *record) oldestWait(now time.Time) time.Duration {
	if len(r.waiting) == 0 {
		return 0
	}
	return now.Sub(r.waiting[0])
}

// unwait ends the wait of a stream that was sent at a time.
func (r *record) unwait(sent time.Time) {
	if i := slices.Index(r.waiting, sent); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}
