package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Reachability records from the outcomes of all calls of one daemon whether the store answers.
// A single call shows it late: a watch waits for changes, and one sent during an outage may
// hang long after its end. Safe for concurrent use; time is passed in.
type Reachability struct {
	minOutage time.Duration // shorter ones do not count as outages
	recovered chan struct{}

	mu           sync.Mutex
	lastAnswer   time.Time // when the store last answered
	failingSince time.Time // when the first unanswered call was sent; zero: the store answers
	recoveredAt  time.Time // when the last outage ended
}

// NewReachability returns a Reachability that counts only failures of minOutage or longer as
// outages.
func NewReachability(minOutage time.Duration) *Reachability {
	return &Reachability{minOutage: minOutage, recovered: make(chan struct{}, 1)}
}

// Record records one call: when it was sent, when it ended and its error.
func (r *Reachability) Record(sentAt, endedAt time.Time, err error) {
	switch {
	case err == nil, errors.Is(err, objectapi.ErrNotFound), errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrCompacted):
		r.RecordAnswer(endedAt)
	case errors.Is(err, context.Canceled):
		// This daemon canceled the call.
	default:
		r.RecordFailure(sentAt)
	}
}

// RecordAnswer records an answer of the store. An answer from before the unanswered call says
// nothing about the time after it.
func (r *Reachability) RecordAnswer(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.failingSince) || at.Before(r.lastAnswer) {
		return
	}
	r.lastAnswer = at
	if r.failingSince.IsZero() {
		return
	}
	outage := at.Sub(r.failingSince)
	r.failingSince = time.Time{}
	if outage < r.minOutage {
		return
	}
	r.recoveredAt = at
	select {
	case r.recovered <- struct{}{}:
	default:
	}
}

// RecordFailure records that a call sent at a time got no answer. A call sent before the newest
// answer says nothing about the store since that answer.
func (r *Reachability) RecordFailure(sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() && !sentAt.Before(r.lastAnswer) {
		r.failingSince = sentAt
	}
}

// Unreachable reports whether the store does not answer.
func (r *Reachability) Unreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failingSince.IsZero()
}

// UnreachableSince returns when the first unanswered call was sent, if the store has answered
// none since.
func (r *Reachability) UnreachableSince() (since time.Time, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failingSince, !r.failingSince.IsZero()
}

// RecoveredAt returns when the last outage ended, as far as any call showed it.
func (r *Reachability) RecoveredAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recoveredAt
}

// Recovered returns a channel that receives a value when an outage ends. It has one receiver.
func (r *Reachability) Recovered() <-chan struct{} { return r.recovered }
