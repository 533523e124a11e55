package fleet

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/steady"
)

// Periods of following the instances' entries.
const (
	// followWait is how long one call waits for a change. While the store forgets
	// its history a watch may hear nothing until it ends, so this bounds how long
	// changes are missed.
	followWait = 3 * time.Second
	// ProveWait is the wait of a call that is only to prove what is known: after the first listing, as
	// nothing is served before it, and after a call without an answer, as one that waits for
	// changes would hide the store's return until there are some.
	ProveWait = time.Millisecond
	// followPause follows each call that brought changes where nobody sets a pace,
	// so that a burst of them costs one call and not one each.
	followPause = 700 * time.Millisecond
	// paceTick is how often the pace is asked for during a pause: it may become
	// faster meanwhile.
	paceTick = 200 * time.Millisecond
	// retryPause follows a call that failed; it doubles with each further one up to
	// retryMost, as hundreds of daemons ask a store that is down.
	retryPause = 250 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// expireTick is how often lapsed entries are looked at.
	expireTick = 250 * time.Millisecond
)

// Decode reads an instance's entry. Its error says why the entry names no instance.
type Decode func(id string, version uint64, value []byte) (*Instance, error)

// Follower keeps the view of instances current. Run owns its state; View and
// Changed may be used from anywhere.
type Follower struct {
	Clock  *steady.Clock // nil: this machine's
	Feed   objectapi.Feed
	Kind   string // of the instances' entries
	Decode Decode
	Log    *zap.Logger
	belief *Belief
	view   atomic.Pointer[View]
	// Pace returns the pause after a call that brought changes; nil: followPause.
	Pace   func() time.Duration
	proved steady.Time // when the last call that succeeded was sent
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
func (f *Follower) Proved() time.Time { return f.proved.Load() }

// Refresh asks for a whole listing now: unlike a watch it can't have missed
// anything.
func (f *Follower) Refresh() {
	select {
	case f.list <- struct{}{}:
	default:
	}
}

// result is what one call brought.
type result struct {
	listing *objectapi.Listing
	old     bool // the listing is as of some seconds ago: no view before it is followed up
	changes objectapi.Changes
	proved  time.Time // when the store was asked for it, at the latest
	err     error
}

// answered is when the store answered, at the latest: what came through another daemon
// proves no more than that it was asked.
func (r *result) answered(now time.Time) time.Time {
	if r.changes.Age != 0 {
		return r.proved
	}
	return now
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
		case <-tick.C:
			now := f.Clock.Now()
			if f.belief.Expire(now) {
				f.publish(now)
			}
		case <-f.sizes:
			f.belief.Resize()
			if v := f.View(); v != nil {
				f.publish(v.Seen)
			}
		case r := <-results:
			f.take(r, f.Clock.Now())
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
			f.belief.Lost(r.proved)
		}
		f.Log.Warn("instances not followed", zap.String("decision", "keep_last_view"), zap.Uint64("revision", f.belief.Revision()), zap.Error(r.err))
		return
	}
	if !r.old {
		f.belief.Reached(r.answered(now))
	}
	if r.listing != nil {
		f.replace(r.listing, now)
	}
	for _, e := range r.changes.Events {
		f.apply(e, now)
	}
	if len(r.changes.Events) > 0 {
		f.belief.Advance(r.changes.Revision)
	}
	if r.old {
		return
	}
	if r.proved.After(f.proved.Load()) {
		f.proved.Store(r.proved)
	}
	if r.listing != nil || len(r.changes.Events) > 0 || f.View() == nil {
		f.publish(r.proved)
	}
}

func (f *Follower) replace(l *objectapi.Listing, now time.Time) {
	var all []*Instance
	for _, o := range l.Objects {
		if in := f.decode(o, now); in != nil {
			all = append(all, in)
		}
	}
	f.belief.Replace(all, l.Revision, f.proved.Load(), now)
	f.Log.Info("instances listed", zap.Int("instances", len(all)), zap.Uint64("revision", l.Revision),
		zap.Int("pages", l.Transfer.Pages), zap.Int("bytes", l.Transfer.Bytes), zap.Int64("wait_ms", l.Transfer.Wait.Milliseconds()),
		zap.Int64("receive_ms", l.Transfer.Receive.Milliseconds()), zap.Int64("decode_ms", l.Transfer.Decode.Milliseconds()))
}

func (f *Follower) apply(e objectapi.Event, now time.Time) {
	if e.Removed {
		id := f.id(e.Object.Key)
		believed := f.belief.Remove(id, f.proved.Load(), now)
		f.Log.Info("instance entry removed", zap.String("instance", id), zap.Uint64("version", e.Object.Version),
			zap.Bool("believed", believed))
		return
	}
	if in := f.decode(e.Object, now); in != nil {
		f.belief.Put(in)
		f.Log.Debug("instance entry", zap.String("instance", in.ID), zap.Int64("born", in.Born), zap.Bool("draining", in.Draining),
			zap.String("group", in.Group.Name), zap.Uint64("epoch", in.Group.Epoch), zap.Int("rank", in.Group.Rank),
			zap.String("state", string(in.Group.State)), zap.Strings("models", in.Models), zap.Strings("staged", in.Staged),
			zap.String("domain", in.Domain), zap.Uint64("version", in.Version))
	}
}

// decode reads an entry. One that names no instance ends what it said before.
func (f *Follower) decode(o objectapi.Object, now time.Time) *Instance {
	in, err := f.Decode(f.id(o.Key), o.Version, o.Value)
	if err != nil {
		f.Log.Warn("instance entry not understood", zap.String("decision", "use_no_instance"), zap.String("key", o.Key),
			zap.Uint64("version", o.Version), zap.Error(err))
		f.belief.Discard(f.id(o.Key), o.Version, now)
		return nil
	}
	return in
}

func (f *Follower) id(key string) string { return strings.TrimPrefix(key, f.Kind+"/") }

func (f *Follower) publish(seen time.Time) {
	if f.View() == nil {
		f.Log.Info("instances known", zap.Int("instances", len(f.belief.instances)), zap.Uint64("revision", f.belief.Revision()),
			zap.Int64("proved_ms_ago", f.Clock.Since(seen).Milliseconds()))
	}
	f.view.Store(f.belief.View(seen))
	select {
	case f.change <- struct{}{}:
	default:
	}
}
