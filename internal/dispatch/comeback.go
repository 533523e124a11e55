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
)

// Times to come back. The one for overload is about the time in which a queue of a
// batch empties: 150 ms and 1 s made no difference to the worth per request owed beyond
// 0.004 +/- 0.004 (36 paired days each).
const (
	comeBackSoon     = 100 * time.Millisecond
	comeBackOverload = 400 * time.Millisecond
)

// ComeBack tells when the caller of a refused request should come back.
func ComeBack(r Refusal) time.Duration {
	if r == Overload {
		return comeBackOverload
	}
	return comeBackSoon
}
