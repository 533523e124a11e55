package dispatch

import (
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// StallTimeoutFor returns the stall timeout of streams at a model's replica. A replica that reads long
// prompts is silent for a whole pass, and moving its streams makes other replicas read their
// prompts again.
func StallTimeoutFor(e *routes.Engine, m routes.Model) time.Duration {
	return max(e.MaxPassTime(m)+stallMargin, minStallTimeout)
}

// record holds this daemon's own observations of a target.
type record struct {
	stallTimeout     time.Duration // how long running streams may be silent
	inFlight         int
	running          int           // of these, streams that had an event
	waiting          []time.Time   // send times of streams without an event, oldest first
	lastFirstEvent   time.Duration // wait for the last first event
	lastFirstEventAt time.Time
	progressAt       time.Time // last progress of any request
	suspectUntil     time.Time
	suspicion        time.Duration  // duration of the last suspicion, doubled by the next one; 0: none, or progress since
	stalledAt        time.Time      // when a running stream was last moved because of a stall
	group            fleet.GroupKey // group that the target led at the last send
	usedAt           time.Time
	meanPause        float64   // moving average of the pauses between events, seconds
	pauseAt          time.Time // end of the last pause
	deferredAt       time.Time // when a stream was last sent that waits there behind more urgent ones
}

// stalled reports whether the running streams of the target are silent beyond the stall timeout.
func (r *record) stalled(now time.Time) bool {
	return r.running > 0 && now.Sub(r.progressAt) > r.stallTimeout
}

// stalledRecently reports whether running streams stalled recently without progress since.
func (r *record) stalledRecently(now time.Time) bool {
	return r.stalled(now) || now.Sub(r.stalledAt) < recentStall && r.progressAt.Before(r.stalledAt)
}

// progressing reports whether running streams make progress.
func (r *record) progressing(now time.Time) bool { return r.running > 0 && !r.stalled(now) }

// expectedWait returns a lower bound of the wait for the next first event: the longest wait of
// waiting streams, or the last measured wait less the time since then, whichever is more. The time
// since is subtracted because a queue drains while nothing is sent; otherwise a target would be
// avoided long after its queue was gone.
func (r *record) expectedWait(now time.Time) time.Duration {
	d := r.oldestWait(now)
	if now.Sub(r.lastFirstEventAt) < firstEventTTL {
		d = max(d, r.lastFirstEvent-now.Sub(r.lastFirstEventAt))
	}
	return d
}

// deferredTTL is how long a stream that waits behind more urgent ones may wait there.
const deferredTTL = time.Second

// Parameters of the mean pause between the events of a target's streams.
const (
	// pauseTTL is how long it is used to estimate what the target has in progress.
	pauseTTL = 500 * time.Millisecond
	// pauseWeight is the weight of a new pause. Ten take 0.2 to 0.4 s with one stream.
	pauseWeight = 0.1
)

// addPause adds a pause between two events of a stream.
func (r *record) addPause(pause time.Duration, now time.Time) {
	if now.Sub(r.pauseAt) > pauseTTL {
		r.meanPause = pause.Seconds()
	}
	r.meanPause += pauseWeight * (pause.Seconds() - r.meanPause)
	r.pauseAt = now
}

// observed reports whether expectedWait shows the queue of the replica: streams of this daemon wait
// there or began recently, all in their turn.
func (r *record) observed(now time.Time) bool {
	if now.Sub(r.deferredAt) < deferredTTL {
		return false
	}
	return len(r.waiting) > 0 || now.Sub(r.lastFirstEventAt) < firstEventTTL
}

// oldestWait returns how long the oldest waiting stream has waited.
func (r *record) oldestWait(now time.Time) time.Duration {
	if len(r.waiting) == 0 {
		return 0
	}
	return now.Sub(r.waiting[0])
}

// endWait ends the wait of a stream that was sent at a time.
func (r *record) endWait(sent time.Time) {
	if i := slices.Index(r.waiting, sent); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}
