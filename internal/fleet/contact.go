package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Contact is what all calls of one daemon show of whether the store answers. One call
// alone tells late: a watch waits for changes, and one sent while the store was away may
// hang long after its return. Safe for concurrent use; time is passed in.
type Contact struct {
	least    time.Duration // shorter absences are none
	returned chan struct{}

	mu       sync.Mutex
	answered time.Time // when the store answered last
	lost     time.Time // when a call was sent that got no answer; zero: the store answers
	back     time.Time // when the last absence ended
}

// NewContact returns a contact for which an absence lasts least or longer.
func NewContact(least time.Duration) *Contact {
	return &Contact{least: least, returned: make(chan struct{}, 1)}
}

// Note takes in one call that was sent at asked and ended at ended.
func (c *Contact) Note(asked, ended time.Time, err error) {
	switch {
	case err == nil, errors.Is(err, objectapi.ErrNotFound), errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrCompacted):
		c.Answered(ended)
	case errors.Is(err, context.Canceled):
		// This daemon broke the call off.
	default:
		c.Failed(asked)
	}
}

// Answered notes an answer of the store. One from before the call that got none says
// nothing of what came after.
func (c *Contact) Answered(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Before(c.lost) || at.Before(c.answered) {
		return
	}
	c.answered = at
	if c.lost.IsZero() {
		return
	}
	absence := at.Sub(c.lost)
	c.lost = time.Time{}
	if absence < c.least {
		return
	}
	c.back = at
	select {
	case c.returned <- struct{}{}:
	default:
	}
}

// Failed notes that a call got no answer. One that was sent before the newest answer came
// says nothing of the store as it is.
func (c *Contact) Failed(asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost.IsZero() && !asked.Before(c.answered) {
		c.lost = asked
	}
}

// Lost tells whether the store does not answer.
func (c *Contact) Lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lost.IsZero()
}

// Back returns when the last absence ended, as far as any call showed it.
func (c *Contact) Back() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.back
}

// Returned is signalled when an absence ends. It has one receiver.
func (c *Contact) Returned() <-chan struct{} { return c.returned }
