package dispatch

import "time"

// Refusal is why a request was refused, as far as it matters for when to come back.
type Refusal int

// Reasons of refusals.
const (
	// Elsewhere: this daemon can't end the cause itself; another one, to which a retry
	// goes, may serve at once.
	Elsewhere Refusal = iota
	// Busy: the upstreams that were asked are full or gone.
	Busy
	// Overload: all replicas have queues.
	Overload
	// Starting: this daemon has just started and does not know yet what to serve. Callers
	// reach such a one while most of their zone's daemons start, or were stopped a moment
	// ago: others are no better off.
	Starting
)

// Times to come back. The one for overload is about the time in which a queue of a
// batch empties.
const (
	comeBackSoon = 100 * time.Millisecond
	// comeBackElsewhere leaves the caller its objective: another daemon serves at once.
	comeBackElsewhere = 10 * time.Millisecond
	comeBackOverload  = 400 * time.Millisecond
	// comeBackStarting is about what a start takes until requests are served, after all
	// machines lost power: callers that come back sooner are refused again.
	comeBackStarting = time.Second
)

// ComeBack tells when the caller of a refused request should come back.
func ComeBack(r Refusal) time.Duration {
	switch r {
	case Overload:
		return comeBackOverload
	case Starting:
		return comeBackStarting
	case Elsewhere:
		return comeBackElsewhere
	}
	return comeBackSoon
}

// comeBackMost bounds times to come back that instances set.
const comeBackMost = 10 * time.Second

// ComeBackAfter tells when a caller should come back whom instances can take after a time.
func ComeBackAfter(free time.Duration) time.Duration {
	return min(max(free, comeBackSoon), comeBackMost)
}

// waitShare is the part of what the objective leaves beyond the quickest answer that a request
// may wait for an instance. The rest is for the others that waited for it.
const waitShare = 0.5

// WorthWaiting tells whether a request that has so much of its objective left waits for an
// instance that is free in a while, where the quickest answer takes floor.
func WorthWaiting(free, left, floor time.Duration) bool {
	return free > 0 && free <= time.Duration(waitShare*float64(left-floor))
}
