package fleet

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// call lists once and then follows, listing again when history was lost or when
// asked to. The first listing may be old, as what is followed from it proves it. It goes on from the last change that it saw and not from the store's
// revision in an answer without changes: a watch that heard nothing may have missed
// some.
func (f *Follower) call(ctx context.Context, results chan<- result, resume <-chan uint64) {
	next, retry, wait := firstListing, retryPause, ProveWait
	var revision uint64
	for ctx.Err() == nil {
		r, broken := f.once(ctx, next, revision, wait)
		if broken != notBroken {
			next, wait = follow, ProveWait
			if broken == forListing {
				next = listing
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
			next = listing
			continue
		case r.err != nil:
			f.pauseUntilReturn(ctx, retry)
			retry, wait = min(2*retry, retryMost), ProveWait
			continue
		}
		if next == follow {
			wait = followWait
		}
		next, retry = follow, retryPause
		if len(r.changes.Events) > 0 {
			f.rest(ctx)
		}
	}
}

// rest pauses after a call that brought changes, no longer than the pace allows
// at any moment of the pause.
func (f *Follower) rest(ctx context.Context) {
	pace := func() time.Duration { return followPause }
	if f.Pace != nil {
		pace = f.Pace
	}
	for waited := time.Duration(0); waited < pace() && ctx.Err() == nil; {
		step := min(paceTick, pace()-waited)
		pause.For(ctx, step)
		waited += step
	}
}

// pauseUntilReturn waits for d, or until another call shows that the store is back.
func (f *Follower) pauseUntilReturn(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.belief.Reachability().Returned():
	case <-ctx.Done():
	}
}

// broken is why a watch was broken off.
type broken int

const (
	notBroken  broken = iota
	forListing        // a whole listing was asked for
	forReturn         // it was sent while the store was away, which has returned since
)

// kindOfCall is what a call asks for.
type kindOfCall int

const (
	firstListing kindOfCall = iota // as of some seconds ago
	listing                        // as of now
	follow
)

// once makes one call, unless it is broken off.
func (f *Follower) once(ctx context.Context, call kindOfCall, revision uint64, wait time.Duration) (result, broken) {
	r := result{proved: f.Clock.Now()}
	if call != follow {
		var l objectapi.Listing
		if call == firstListing {
			l, r.err = f.Feed.ListStale(ctx, f.Kind)
			r.old = true
		} else {
			l, r.err = f.Feed.ListKind(ctx, f.Kind)
		}
		r.listing = &l
		return r, notBroken
	}
	asked := r.proved
	watch, cancel := context.WithCancel(ctx)
	why := make(chan broken)
	go func() {
		reason := f.interrupted(watch, asked)
		cancel()
		why <- reason
	}()
	r.changes, r.err = f.Feed.Follow(watch, f.Kind, revision, wait)
	r.proved = asked.Add(-r.changes.Age)
	cancel()
	reason := <-why
	if reason == forReturn && r.err == nil {
		reason = notBroken
	}
	return r, reason
}

// interrupted waits for a reason to break off a watch that was sent at asked, or for its
// end. A watch that was sent while the store was away may hang until its timeout and hide
// all changes since, for longer than the bound on instances that leave.
func (f *Follower) interrupted(watch context.Context, asked time.Time) broken {
	reach := f.belief.Reachability()
	for {
		select {
		case <-watch.Done():
			return notBroken
		case <-f.list:
			return forListing
		case <-reach.Returned():
			if asked.Before(reach.Back()) {
				return forReturn
			}
		}
	}
}
