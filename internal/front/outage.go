package front

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
)

// Times of calls while the store does not answer.
const (
	// holdBackAfter is how long the store must not have answered before calls are held back: a
	// call whose single answer was lost is repeated at once.
	holdBackAfter = time.Second
	// Maximum intervals between two unanswered reads of the configuration, in this order: for a
	// daemon that no relay notifies of the store's recovery; for a relay, as its zone waits for its
	// notification; for the daemons that a relay notifies. Each must leave time for an answer
	// within the time after which a daemon counts as connected again.
	maxProbeIntervalDirect  = time.Second
	maxProbeIntervalRelay   = 500 * time.Millisecond
	maxProbeIntervalRelayed = 2 * time.Second
	// otherCallInterval is the time between two calls of any other kind, as reads of the
	// configuration alone may fail.
	otherCallInterval = 5 * time.Second
)

// errHeldBack is the error of a call held back because the store answered none for a while.
var errHeldBack = errors.WithType(errors.New("front: call held back: the store does not answer"), objectapi.ErrUnavailable)

// outageLimiter limits the calls of all loops together while the store does not answer: each call
// is charged even when unanswered, and one detects the recovery as well as four do. Reads of the
// configuration and updates of the lease do not pass through it. The reads detect the recovery: a
// call that waits for changes may be answered long after the recovery.
type outageLimiter struct {
	reachability *fleet.Reachability
	mu           sync.Mutex
	lastCall     time.Time
}

// allow reports whether a call may be made now. If so, the call counts as made.
func (o *outageLimiter) allow(now time.Time) bool {
	since, unreachable := o.reachability.UnreachableSince()
	if !unreachable || now.Sub(since) < holdBackAfter {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastCall.Before(since) {
		o.lastCall = since
	}
	if now.Sub(o.lastCall) < otherCallInterval {
		return false
	}
	o.lastCall = now
	return true
}
