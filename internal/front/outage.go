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
	// probeAlone is the most time between two reads of the configuration that get no answer,
	// for a daemon that no relay can tell of the store's return; probeRelay that of a relay,
	// for whose word its zone waits; probeRelayed that of the others. Each must leave time
	// for an answer within the time after which a daemon counts as in touch again.
	probeAlone   = time.Second
	probeRelay   = 500 * time.Millisecond
	probeRelayed = 2 * time.Second
	// otherEvery is the time between two calls of any other kind: the configuration alone
	// may get no answer.
	otherEvery = 5 * time.Second
)

// errHeldBack: the store does not answer, and was asked a moment ago.
var errHeldBack = errors.WithType(errors.New("front: store does not answer; not asked again yet"), objectapi.ErrUnavailable)

// outage holds calls back while the store does not answer, whoever would make them: one
// finds out as well as four do, and each call has its price, also into the dark. Reads of the
// configuration are not held back, as they find out: a call that waits for changes may be
// answered long after the store's return, and hides it till then.
type outage struct {
	reach *fleet.Reachability
	mu    sync.Mutex
	asked time.Time
}

// mayAsk tells whether a call may be made now; it then counts as made.
func (o *outage) mayAsk(now time.Time) bool {
	since, lost := o.reach.UnreachableSince()
	if !lost || now.Sub(since) < outageAfter {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asked.Before(since) {
		o.asked = since
	}
	if now.Sub(o.asked) < otherEvery {
		return false
	}
	o.asked = now
	return true
}
