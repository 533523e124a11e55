package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// ErrReturned ends a call that was sent while the store was away, which has returned
// since: send it anew.
const ErrReturned = errors.ConstError("fleet: the store has returned since")

// Contact is what all calls of one daemon show of whether the store answers. One call
// alone tells late: a watch waits for changes, and one sent while the store was away may
// hang long after its return. Safe for concurrent use; time is passed in.
type Contact struct {
	least  time.Duration // shorter absences are none
	absent chan struct{}

	mu       sync.Mutex
	answered time.Time // when the store answered last
	lost     time.Time // when a call was sent that got no answer; zero: the store answers
	back     time.Time // when the last absence ended
	returned chan struct{}
	open     map[*context.CancelCauseFunc]bool // calls under way
}

// NewContact returns a contact for which an absence lasts least or longer.
func NewContact(least time.Duration) *Contact {
	return &Contact{least: least, absent: make(chan struct{}, 1), returned: make(chan struct{}), open: map[*context.CancelCauseFunc]bool{}}
}

// Begin notes a call under way. Its context ends with the cause ErrReturned when the
// store returns from an absence; the caller calls end after the call.
func (c *Contact) Begin(ctx context.Context) (call context.Context, end func()) {
	call, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[&cancel] = true
	return call, func() {
		c.mu.Lock()
		delete(c.open, &cancel)
		c.mu.Unlock()
		cancel(nil)
	}
}

// Note takes in one call that was sent at asked and ended at ended.
func (c *Contact) Note(asked, ended time.Time, err error) {
	switch {
	case err == nil, errors.Is(err, objectapi.ErrNotFound), errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrCompacted):
		c.Answered(ended)
	case errors.Is(err, context.Canceled), errors.Is(err, ErrReturned):
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
	close(c.returned)
	c.returned = make(chan struct{})
	for cancel := range c.open {
		(*cancel)(ErrReturned)
	}
}

// Failed notes that a call got no answer. One that was sent before the newest answer came
// says nothing of the store as it is.
func (c *Contact) Failed(asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lost.IsZero() || asked.Before(c.answered) {
		return
	}
	c.lost = asked
	select {
	case c.absent <- struct{}{}:
	default:
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

// Absent is signalled when an absence begins. It has one receiver.
func (c *Contact) Absent() <-chan struct{} { return c.absent }

// Returned is closed when the next absence ends.
func (c *Contact) Returned() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.returned
}

// restWhenKnown bounds the rest after a call that failed while others are answered.
const restWhenKnown = time.Second

// Rest waits for d after a call that got no answer, at most until the store is back.
func (c *Contact) Rest(ctx context.Context, d time.Duration) {
	returned := c.Returned()
	if !c.Lost() {
		d = min(d, restWhenKnown)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-returned:
	case <-ctx.Done():
	}
}
