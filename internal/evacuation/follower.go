package evacuation

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/steady"
)

// Follower keeps Known current by calls to the store, as far as relays do not. All fields are required
// unless noted. Run owns its other state, except for
// settled and what is atomic in pastEnds.
type Follower struct {
	Known *Known
	Clock *steady.Clock // nil: this machine's
	Feed  objectapi.Feed
	Kind  string // of the objects; empty: zones are never evacuated
	// Bound returns the time within which an evacuation must be in force, from its acknowledgement; 0:
	// nothing is read.
	Bound func() time.Duration
	// Watches reports whether this daemon watches for changes: one daemon of a zone does for the others.
	// Serves reports whether peers take its proofs.
	Watches func() bool
	Serves  func() bool
	// StartWait is how long Run waits for a relay to report the first state; 0: not at all.
	StartWait time.Duration
	// Uniform returns a random duration in [low, high).
	Uniform func(low, high time.Duration) time.Duration
	Log     *zap.Logger

	firstSentAt steady.Time // of the first listing
	schedule    schedule
	jitter      float64 // in [0, 1), drawn for each listing
	unreachable bool    // as logged
	watching    *runningWatch
	pastEnds    pastEnds
	settled     atomic.Bool
}

// Intervals of Run.
const (
	// roleCheckInterval is how often Run checks whether this daemon is to watch.
	roleCheckInterval = 250 * time.Millisecond
	// startCheckInterval is how often Run looks for the first state of a relay.
	startCheckInterval = 20 * time.Millisecond
	// maxStartDelay bounds how long a listing that fails while other calls succeed delays a start.
	maxStartDelay = 3 * time.Second
)

// Enabled reports whether zones can be evacuated.
func (f *Follower) Enabled() bool { return f.Kind != "" && f.Bound() > 0 }

// Settled reports whether a start need not wait for the first state and for the ends of earlier
// evacuations any more: they are known, or cannot be read. It stays so.
func (f *Follower) Settled() bool {
	if !f.Enabled() || f.settled.Load() {
		return true
	}
	first := f.firstSentAt.Load()
	settled := !f.Known.ProvedAt().IsZero() && f.endsSettled() || !first.IsZero() && f.Clock.Since(first) > maxStartDelay
	if settled {
		f.settled.Store(true) // the deployment's first request makes ends matter that did not
	}
	return settled
}

// readResult is the end of a listing that was sent at a time.
type readResult struct {
	listing objectapi.Listing
	sentAt  time.Time
	err     error
}

// runningWatch is a watch in progress.
type runningWatch struct {
	cancel context.CancelFunc
	base   State // that the changes are applied to
	sentAt time.Time
}

// watchResult is the end of a watch.
type watchResult struct {
	watch   *runningWatch
	changes objectapi.Changes
	err     error
}

// Run keeps the state current until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	if !f.Enabled() {
		return
	}
	f.awaitRelay(ctx)
	reads, watches := make(chan readResult), make(chan watchResult)
	histories := make(chan historyResult)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		f.sendRead(ctx, reads)
		f.sendWatch(ctx, watches)
		untilHistory := f.sendHistory(ctx, histories)
		timer.Reset(min(f.Clock.Until(f.readDue()), f.untilWatch(), untilHistory, roleCheckInterval))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.Clock.Resumed(): // the timer did not run during the suspension
		case r := <-reads:
			f.applyRead(r)
		case r := <-watches:
			f.applyWatch(r)
		case r := <-histories:
			f.endHistory(r)
		}
	}
	f.cancelWatch()
}

// awaitRelay waits up to StartWait until a relay has reported the first state, unless this daemon itself
// watches.
func (f *Follower) awaitRelay(ctx context.Context) {
	for end := f.Clock.Now().Add(f.StartWait); f.Known.ProvedAt().IsZero() && !f.Watches() && f.Clock.Now().Before(end); {
		select {
		case <-time.After(startCheckInterval):
		case <-ctx.Done():
			return
		}
	}
}

// readDue returns when the list is to be read next.
func (f *Follower) readDue() time.Time {
	provedAt := f.Known.ProvedAt()
	if f.schedule.sentAt.IsZero() && !provedAt.IsZero() {
		f.schedule.sentAt = provedAt // a relay reported the first state
	}
	return f.schedule.readDue(provedAt, maxProofAge(f.Bound(), f.Serves(), f.jitter))
}

// sendRead sends a listing if one is due.
func (f *Follower) sendRead(ctx context.Context, results chan<- readResult) {
	now := f.Clock.Now()
	if now.Before(f.readDue()) {
		return
	}
	f.schedule.sent(now)
	f.jitter = float64(f.Uniform(0, time.Second)) / float64(time.Second)
	if f.firstSentAt.Load().IsZero() {
		f.firstSentAt.Store(now)
	}
	go func() {
		l, err := f.Feed.ListKind(ctx, f.Kind)
		select {
		case results <- readResult{l, now, err}:
		case <-ctx.Done():
		}
	}()
}

// applyRead applies a listing.
func (f *Follower) applyRead(r readResult) {
	if errors.Is(r.err, objectapi.ErrNotFound) && f.Known.Snapshot().Revision <= r.listing.Revision {
		r.err = nil // nobody has written an object of the kind yet, or not in this era of the store
	}
	if r.err != nil {
		f.cancelWatch() // it may hang although the store answers again
		if !f.unreachable {
			f.unreachable = true
			f.Log.Warn("evacuated zones not read", zap.String("decision", "keep_what_is_known"), zap.Strings("zones", f.Known.Zones().Names()), zap.Error(r.err))
		}
		return
	}
	if f.unreachable {
		f.unreachable = false
		f.Log.Info("evacuated zones read again", zap.Uint64("revision", r.listing.Revision))
	}
	f.schedule.answered()
	if f.Known.Apply(stateOf(r.listing, r.sentAt), FromListing) {
		f.cancelWatch() // it has not reported the change, or begins before it
	}
}

// sendWatch sends a watch if this daemon is to watch and none is in progress.
func (f *Follower) sendWatch(ctx context.Context, results chan<- watchResult) {
	if !f.Watches() {
		f.cancelWatch()
		return
	}
	now, base := f.Clock.Now(), f.Known.Snapshot().State
	if f.watching != nil || base.ProvedAt.IsZero() || !f.schedule.mayWatch(now) {
		return
	}
	timed, cancel := context.WithCancel(ctx)
	w := &runningWatch{cancel, base, now}
	f.watching = w
	go func() {
		defer cancel()
		changes, err := f.Feed.Follow(timed, f.Kind, base.Revision, watchWait)
		select {
		case results <- watchResult{w, changes, err}:
		case <-ctx.Done():
		}
	}()
}

// untilWatch returns how long until a watch may be sent that must not be sent yet, and
// roleCheckInterval if there is none.
func (f *Follower) untilWatch() time.Duration {
	if wait := f.Clock.Until(f.schedule.nextWatchAt); f.watching == nil && wait > 0 {
		return wait
	}
	return roleCheckInterval
}

// cancelWatch ends the watch in progress.
func (f *Follower) cancelWatch() {
	if f.watching != nil {
		f.watching.cancel()
		f.watching = nil
	}
}

// applyWatch applies the end of a watch.
func (f *Follower) applyWatch(r watchResult) {
	if f.watching != r.watch {
		return // it was canceled
	}
	f.watching = nil
	f.schedule.watchEnded(r.watch.sentAt, f.Clock.Now(), len(r.changes.Events), r.err, errors.Is(r.err, objectapi.ErrCompacted))
	if r.err == nil && len(r.changes.Events) > 0 {
		f.Known.Apply(r.watch.base.after(r.changes), FromWatch)
	}
}
