package fleet

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// Periods of following the instances' entries.
const (
	// followWait is how long one call waits for a change. While the store forgets
	// its history a watch may hear nothing until it ends, so this bounds how long
	// changes are missed.
	followWait = 3 * time.Second
	// followPause follows each call that brought changes, so that a burst of them
	// costs one call and not one each, where the deployment sets no bound on
	// leaving instances.
	followPause = 700 * time.Millisecond
	// drainPart of that bound is the pause otherwise; as much again is for a slow
	// answer.
	drainPart = 0.4
	// closePause is the same for the daemon that plans: each of its steps waits for
	// what the one before changed.
	closePause = 200 * time.Millisecond
	// retryPause follows a call that failed; it doubles with each further one up to
	// retryMost, as hundreds of daemons ask a store that is down.
	retryPause = 250 * time.Millisecond
	retryMost  = time.Second
	// expireTick is how often lapsed entries are looked at.
	expireTick = 250 * time.Millisecond
)

// Decode reads an instance's entry.
type Decode func(id string, version uint64, value []byte) (*Instance, error)

// Follower keeps the view of instances current. Run owns its state; View and
// Changed may be used from anywhere.
type Follower struct {
	Feed   objectapi.Feed
	Kind   string // of the instances' entries
	Decode Decode
	Log    *zap.Logger
	belief *Belief
	view   atomic.Pointer[View]
	// Closely asks for a short pause between calls.
	Closely func() bool
	// Drain is the bound until a leaving instance gets no more requests; 0: none.
	Drain  func() time.Duration
	proved atomic.Int64 // when the last call that succeeded was sent, unix nanoseconds
	change chan struct{}
	sizes  chan struct{}
	list   chan struct{}
}

// NewFollower returns a follower of one kind of entries.
func NewFollower(feed objectapi.Feed, kind string, decode Decode, belief *Belief, log *zap.Logger) *Follower {
	return &Follower{Feed: feed, Kind: kind, Decode: decode, Log: log, belief: belief, change: make(chan struct{}, 1), sizes: make(chan struct{}, 1), list: make(chan struct{}, 1)}
}

// View returns the newest view, nil before the first listing.
func (f *Follower) View() *View { return f.view.Load() }

// Changed is signalled after the view changed. It has one receiver.
func (f *Follower) Changed() <-chan struct{} { return f.change }

// SizesChanged says that the sizes of models may have changed; the view is built
// anew.
func (f *Follower) SizesChanged() {
	select {
	case f.sizes <- struct{}{}:
	default:
	}
}

// Proved returns when the call was sent that last brought the view up to date.
func (f *Follower) Proved() time.Time { return time.Unix(0, f.proved.Load()) }

// Refresh asks for a whole listing now: unlike a watch it can't have missed
// anything.
func (f *Follower) Refresh() {
	select {
	case f.list <- struct{}{}:
	default:
	}
}

// result is what one call to the store brought.
type result struct {
	listing  *objectapi.Listing
	events   []objectapi.Event
	revision uint64 // to go on from after the events
	asked    time.Time
	err      error
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	results := make(chan result)
	resume := make(chan uint64)
	go f.call(ctx, results, resume)
	tick := time.NewTicker(expireTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if f.belief.Expire(now) {
				f.publish(now)
			}
		case <-f.sizes:
			if v := f.View(); v != nil {
				f.publish(v.Seen)
			}
		case r := <-results:
			f.take(r, time.Now())
			select {
			case resume <- f.belief.Revision():
			case <-ctx.Done():
				return
			}
		}
	}
}

// take applies one result and publishes the view if it may have changed.
func (f *Follower) take(r result, now time.Time) {
	if r.err != nil {
		if !errors.Is(r.err, objectapi.ErrCompacted) {
			f.belief.Lost(now)
		}
		f.Log.Warn("instances not followed", zap.String("decision", "keep_last_view"), zap.Uint64("revision", f.belief.Revision()), zap.Error(r.err))
		return
	}
	f.belief.Reached(now)
	if r.listing != nil {
		f.replace(r.listing, now)
	}
	for _, e := range r.events {
		f.apply(e, now)
	}
	if len(r.events) > 0 {
		f.belief.Advance(r.revision)
	}
	f.proved.Store(r.asked.UnixNano())
	if r.listing != nil || len(r.events) > 0 {
		f.publish(r.asked)
	}
}

func (f *Follower) replace(l *objectapi.Listing, now time.Time) {
	var all []*Instance
	for _, o := range l.Objects {
		if in := f.decode(o); in != nil {
			all = append(all, in)
		}
	}
	f.belief.Replace(all, l.Revision, now)
	f.Log.Info("instances listed", zap.Int("instances", len(all)), zap.Uint64("revision", l.Revision))
}

func (f *Follower) apply(e objectapi.Event, now time.Time) {
	if e.Removed {
		id := f.id(e.Object.Key)
		f.belief.Remove(id, now)
		f.Log.Info("instance entry removed", zap.String("instance", id), zap.Uint64("version", e.Object.Version))
		return
	}
	if in := f.decode(e.Object); in != nil {
		f.belief.Put(in)
		f.Log.Debug("instance entry", zap.String("instance", in.ID), zap.Bool("draining", in.Draining),
			zap.String("group", in.Group.Name), zap.Uint64("epoch", in.Group.Epoch), zap.Int("rank", in.Group.Rank),
			zap.String("state", string(in.Group.State)), zap.Strings("models", in.Models), zap.Strings("staged", in.Staged),
			zap.String("domain", in.Domain), zap.Uint64("version", in.Version))
	}
}

func (f *Follower) decode(o objectapi.Object) *Instance {
	in, err := f.Decode(f.id(o.Key), o.Version, o.Value)
	if err != nil {
		f.Log.Error("instance entry not understood; ignored", zap.String("key", o.Key), zap.Error(err))
		return nil
	}
	return in
}

func (f *Follower) id(key string) string { return strings.TrimPrefix(key, f.Kind+"/") }

func (f *Follower) publish(seen time.Time) {
	f.view.Store(f.belief.View(seen))
	select {
	case f.change <- struct{}{}:
	default:
	}
}

// call lists once and then follows, listing again when history was lost or when
// asked to. It goes on from the last change that it saw and not from the store's
// revision in an answer without changes: a watch that heard nothing may have missed
// some.
func (f *Follower) call(ctx context.Context, results chan<- result, resume <-chan uint64) {
	list, retry := true, retryPause
	var revision uint64
	for ctx.Err() == nil {
		r, asked := f.once(ctx, list, revision)
		if asked {
			list = true
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
			list = true
			continue
		case r.err != nil:
			pause.For(ctx, retry)
			retry = min(2*retry, retryMost)
			continue
		}
		list, retry = false, retryPause
		if len(r.events) > 0 {
			f.rest(ctx)
		}
	}
}

// rest pauses after a call that brought changes; a daemon that begins to plan
// meanwhile goes on at once.
func (f *Follower) rest(ctx context.Context) {
	whole := followPause
	if f.Drain != nil && f.Drain() > 0 {
		whole = time.Duration(drainPart * float64(f.Drain()))
	}
	pause.For(ctx, closePause)
	for waited := closePause; waited < whole && (f.Closely == nil || !f.Closely()); waited += closePause {
		pause.For(ctx, closePause)
	}
}

// once makes one call; listAsked tells that a watch was broken off for a listing.
func (f *Follower) once(ctx context.Context, list bool, revision uint64) (r result, listAsked bool) {
	r = result{asked: time.Now()}
	if list {
		var l objectapi.Listing
		l, r.err = f.Feed.ListKind(ctx, f.Kind)
		r.listing = &l
		return r, false
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	var broken atomic.Bool
	go func() {
		select {
		case <-f.list:
			broken.Store(true)
			cancel()
		case <-done:
		}
	}()
	r.events, r.revision, r.err = f.Feed.Follow(watch, f.Kind, revision, followWait)
	close(done)
	return r, broken.Load()
}
