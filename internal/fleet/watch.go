package fleet

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// followStore lists once and then watches, listing again after a compaction or on Refresh.
// The first listing may be stale, as the watch that follows it proves it. A watch resumes
// after the last change received and not after the store's revision in an answer without
// changes: a watch that received nothing may have missed some.
func (f *Follower) followStore(ctx context.Context, results chan<- callResult, resume <-chan uint64) {
	next, retry, wait := listStale, minRetryBackoff, ProofWait
	var revision uint64
	for ctx.Err() == nil {
		r, interrupted := f.callOnce(ctx, next, revision, wait)
		if interrupted != notInterrupted {
			next, wait = watchChanges, ProofWait
			if interrupted == forRelist {
				next = listCurrent
			}
			continue
		}
		select {
		case results <- r:
		case <-ctx.Done():
			return
		}
		select {
		case revision = <-resume:
		case <-ctx.Done():
			return
		}
		switch {
		case errors.Is(r.err, objectapi.ErrCompacted):
			next = listCurrent
			continue
		case r.err != nil:
			f.backOff(ctx, retry)
			retry, wait = min(2*retry, maxRetryBackoff), ProofWait
			continue
		}
		if next == watchChanges {
			wait = watchWait
		}
		next, retry = watchChanges, minRetryBackoff
		if len(r.changes.Events) > 0 {
			f.pauseAfterChanges(ctx)
		}
	}
}

// pauseAfterChanges pauses after a call that brought changes, until UpdatePause has elapsed by the
// clock. UpdatePause is evaluated again during the pause, as it may return less meanwhile.
func (f *Follower) pauseAfterChanges(ctx context.Context) {
	updatePause := func() time.Duration { return defaultUpdatePause }
	if f.UpdatePause != nil {
		updatePause = f.UpdatePause
	}
	for began := f.Clock.Now(); ctx.Err() == nil; {
		remaining := updatePause() - f.Clock.Since(began)
		if remaining <= 0 {
			return
		}
		pause.For(ctx, min(pauseCheckInterval, remaining))
	}
}

// backOff waits for d, or until another call shows that the store answers again.
func (f *Follower) backOff(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.state.Reachability().Recovered():
	case <-ctx.Done():
	}
}

// interruption is the reason why a watch was interrupted.
type interruption int

const (
	notInterrupted interruption = iota
	forRelist                   // Refresh asked for a whole listing
	forRecovery                 // it was sent during an outage of the store that has ended since
)

// callKind is the kind of a call to the store.
type callKind int

const (
	listStale    callKind = iota // a listing that may be some seconds old
	listCurrent                  // a listing as of now
	watchChanges                 // changes since a revision
)

// callOnce makes one call and returns its result, or why it was interrupted.
func (f *Follower) callOnce(ctx context.Context, call callKind, revision uint64, wait time.Duration) (callResult, interruption) {
	r := callResult{provedAt: f.Clock.Now()}
	if call != watchChanges {
		var l objectapi.Listing
		if call == listStale {
			l, r.err = f.Feed.ListStale(ctx, f.Kind)
			r.stale = true
		} else {
			l, r.err = f.Feed.ListKind(ctx, f.Kind)
		}
		r.listing = &l
		return r, notInterrupted
	}
	sentAt := r.provedAt
	watch, cancel := context.WithCancel(ctx)
	interrupted := make(chan interruption)
	go func() {
		reason := f.awaitInterruption(watch, sentAt)
		cancel()
		interrupted <- reason
	}()
	r.changes, r.err = f.Feed.Follow(watch, f.Kind, revision, wait)
	r.provedAt = sentAt.Add(-r.changes.Age)
	cancel()
	reason := <-interrupted
	if reason == forRecovery && r.err == nil {
		reason = notInterrupted
	}
	return r, reason
}

// awaitInterruption waits for a reason to interrupt a watch sent at a time, or for its
// end. A watch that was sent during an outage of the store may hang until its timeout and hide
// all changes since, for longer than the bound on instances that leave.
func (f *Follower) awaitInterruption(watch context.Context, sentAt time.Time) interruption {
	reach := f.state.Reachability()
	for {
		select {
		case <-watch.Done():
			return notInterrupted
		case <-f.relist:
			return forRelist
		case <-reach.Recovered():
			if sentAt.Before(reach.RecoveredAt()) {
				return forRecovery
			}
		}
	}
}
