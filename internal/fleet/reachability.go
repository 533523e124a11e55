package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Reachability is what all calls of one daemon show of whether the store answers. One call
// alone tells late: a watch waits for changes, and one sent while the store was away may
// hang long after its return. Safe for concurrent use; time is passed in.
type Reachability struct {
	least    time.Duration // shorter absences are none
	returned chan struct{}

	mu       sync.Mutex
	answered time.Time // when the store answered last
	lost     time.Time // when a call was sent that got no answer; zero: the store answers
	back     time.Time // when the last absence ended
}

// NewReachability returns a reachability for which an absence lasts least or longer.
func NewReachability(least time.Duration) *Reachability {
	return &Reachability{least: least, returned: make(chan struct{}, 1)}
}

// Note takes in one call that was sent at asked and ended at ended.
func (r *Reachability) Note(asked, ended time.Time, err error) {
	switch {
	case err == nil, errors.Is(err, objectapi.ErrNotFound), errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrCompacted):
		r.Answered(ended)
	case errors.Is(err, context.Canceled):
		// This daemon broke the call off.
	default:
		r.Failed(asked)
	}
}

// Answered notes an answer of the store. One from before the call that got none says
// nothing of what came after.
func (r *Reachability) Answered(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.lost) || at.Before(r.answered) {
		return
	}
	r.answered = at
	if r.lost.IsZero() {
		return
	}
	absence := at.Sub(r.lost)
	r.lost = time.Time{}
	if absence < r.least {
		return
	}
	r.back = at
	select {
	case r.returned <- struct{}{}:
	default:
	}
}

// Failed notes that a call got no answer. One that was sent before the newest answer came
// says nothing of the store as it is.
func (r *Reachability) Failed(asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost.IsZero() && !asked.Before(r.answered) {
		r.lost = asked
	}
}

// Lost tells whether the store does not answer.
func (r *Reachability) Lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lost.IsZero()
}

// LostSince returns when the first call was sent that the store did not answer, if it has
// answered none since.
func (r *Reachability) LostSince() (since time.Time, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost, !r.lost.IsZero()
}

// Back returns when the last absence ended, as far as any call showed it.
func (r *Reachability) Back() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.back
}

// Returned is signalled when an absence ends. It has one receiver.
func (r *Reachability) Returned() <-chan struct{} { return r.returned }
