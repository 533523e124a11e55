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
	// outageAfter is how long the store must not have answered before calls are held back:
	// an answer that was lost is asked for again at once.
	outageAfter = time.Second
	// probeAlone is the time between two calls of a daemon that no relay can tell of the
	// store's return; probeRelay that of a relay, for whose word its zone waits;
	// probeRelayed that of the others.
	probeAlone   = time.Second
	probeRelay   = 300 * time.Millisecond
	probeRelayed = 3 * time.Second
)

// errHeldBack: the store does not answer, and was asked a moment ago.
var errHeldBack = errors.WithType(errors.New("front: store does not answer; not asked again yet"), objectapi.ErrUnavailable)

// outage holds calls back while the store does not answer, whoever would make them: one
// finds out as well as four do. Each call has its price, also into the dark; 103 daemons
// that were cut off for 12 s each asked three times a second.
type outage struct {
	reach *fleet.Reachability
	// every is the time between two calls.
	every func() time.Duration
	mu    sync.Mutex
	asked time.Time
}

// mayAsk tells whether a call may be made now; it then counts as made.
func (o *outage) mayAsk(now time.Time) bool {
	since, lost := o.reach.LostSince()
	if !lost || now.Sub(since) < outageAfter {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.asked) < o.every() {
		return false
	}
	o.asked = now
	return true
}
