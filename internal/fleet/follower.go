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

// Times of following the instances' entries.
const (
	// watchWait is how long one call waits for a change. While the store compacts
	// its history a watch may receive nothing until it ends, so this bounds how long
	// changes are missed.
	watchWait = 3 * time.Second
	// ProofWait is the wait of a watch that is only to prove the known state: after the first
	// listing, as nothing is served before the proof, and after a call without an answer, as a
	// watch that waits for changes would hide the store's return until there are some.
	ProofWait = time.Millisecond
	// defaultUpdatePause is the pause after a call that brought changes where UpdatePause is
	// not set, so that a burst of changes costs one call and not one each.
	defaultUpdatePause = 700 * time.Millisecond
	// pauseCheckInterval is how often the length of a pause is evaluated again during the
	// pause, as it may become shorter meanwhile.
	pauseCheckInterval = 200 * time.Millisecond
	// minRetryBackoff is the backoff after a failed call; it doubles with each further failure
	// up to maxRetryBackoff, as hundreds of daemons call a store that is down.
	minRetryBackoff = 250 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
	// expireInterval is how often lapsed entries are checked.
	expireInterval = 250 * time.Millisecond
)

// Decode decodes an instance's entry. Its error says why the entry describes no instance.
type Decode func(id string, version uint64, value []byte) (*Instance, error)

// Follower keeps the view of instances current. Run owns the known state; the other methods
// are safe for concurrent use.
type Follower struct {
	Clock  *steady.Clock // nil: this machine's
	Feed   objectapi.Feed
	Kind   string // of the instances' entries
	Decode Decode
	Log    *zap.Logger
	state  *KnownState
	view   atomic.Pointer[View]
	// UpdatePause returns the pause after a call that brought changes; nil: defaultUpdatePause.
	UpdatePause func() time.Duration
	// OnEntry, if set, is called with each entry received that describes the latest known incarnation of
	// an instance, before a view contains it. first is true until a view was published. OnRemoved, if set,
	// is called with the ids of entries that were removed or describe no instance any more. Both are called
	// by the goroutine of Run.
	OnEntry      func(in *Instance, first bool)
	OnRemoved    func(id string)
	provedAt     steady.Time // when the last call that succeeded was sent
	changed      chan struct{}
	sizesChanged chan struct{}
	relist       chan struct{}
}

// NewFollower returns a follower of one kind of entries, which it keeps in state.
func NewFollower(feed objectapi.Feed, kind string, decode Decode, state *KnownState, log *zap.Logger) *Follower {
	return &Follower{Feed: feed, Kind: kind, Decode: decode, Log: log, state: state, changed: make(chan struct{}, 1), sizesChanged: make(chan struct{}, 1), relist: make(chan struct{}, 1)}
}

// View returns the newest view, nil before the first listing is proved.
func (f *Follower) View() *View { return f.view.Load() }

// Changed returns a channel that receives a value after the view changed. It has one receiver.
func (f *Follower) Changed() <-chan struct{} { return f.changed }

// SizesChanged makes Run rebuild the view, as the sizes of models may have changed.
func (f *Follower) SizesChanged() {
	select {
	case f.sizesChanged <- struct{}{}:
	default:
	}
}

// ProvedAt returns when the call that last brought the view up to date was sent.
func (f *Follower) ProvedAt() time.Time { return f.provedAt.Load() }

// Refresh makes Run list all entries now: unlike a watch a listing cannot have missed
// changes.
func (f *Follower) Refresh() {
	select {
	case f.relist <- struct{}{}:
	default:
	}
}

// callResult is the result of one call to the store.
type callResult struct {
	listing  *objectapi.Listing
	stale    bool // the listing may be some seconds old: no view is published before a watch proves it
	changes  objectapi.Changes
	provedAt time.Time // when the store was called for it; unless stale, the result is current as of then
	err      error
}

// answeredAt returns the latest time at which the store is known to have answered: now for a
// call of this daemon. A result with an age came through another daemon and proves only that the
// store answered the call made at provedAt.
func (r *callResult) answeredAt(now time.Time) time.Time {
	if r.changes.Age != 0 {
		return r.provedAt
	}
	return now
}

// Run follows the store and keeps the view current until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	results := make(chan callResult)
	resume := make(chan uint64)
	go f.followStore(ctx, results, resume)
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := f.Clock.Now()
			if f.state.Expire(now) {
				f.publish(now)
			}
			if f.state.RelistDue(now) {
				f.Refresh()
			}
		case <-f.sizesChanged:
			f.state.InvalidateView()
			if v := f.View(); v != nil {
				f.publish(v.ProvedAt)
			}
		case r := <-results:
			f.applyResult(r, f.Clock.Now())
			select {
			case resume <- f.state.Revision():
			case <-ctx.Done():
				return
			}
		}
	}
}

// applyResult applies one result and publishes the view if it may have changed.
func (f *Follower) applyResult(r callResult, now time.Time) {
	if r.err != nil {
		if !errors.Is(r.err, objectapi.ErrCompacted) {
			f.state.StoreFailed(r.provedAt)
		}
		f.Log.Warn("instances not followed", zap.String("decision", "keep_last_view"), zap.Uint64("revision", f.state.Revision()), zap.Error(r.err))
		return
	}
	if !r.stale {
		f.state.StoreAnswered(r.answeredAt(now))
	}
	if r.listing != nil {
		f.applyListing(r.listing, now)
	}
	for _, e := range r.changes.Events {
		f.applyEvent(e, now)
	}
	if len(r.changes.Events) > 0 || r.changes.ClosesGap {
		f.state.Advance(r.changes.Revision)
	}
	if r.stale {
		return
	}
	if r.provedAt.After(f.provedAt.Load()) {
		f.provedAt.Store(r.provedAt)
	}
	if r.listing != nil || len(r.changes.Events) > 0 || f.View() == nil {
		f.publish(r.provedAt)
	}
}

func (f *Follower) applyListing(l *objectapi.Listing, now time.Time) {
	var all []*Instance
	before := f.knownInstances()
	for _, o := range l.Objects {
		if in := f.decode(o, now); in != nil {
			all = append(all, in)
		}
	}
	f.state.Replace(all, l.Revision, f.provedAt.Load(), now)
	f.notifyListing(all, before)
	f.Log.Info("instances listed", zap.Int("instances", len(all)), zap.Uint64("revision", l.Revision),
		zap.Int("pages", l.Transfer.Pages), zap.Int("bytes", l.Transfer.Bytes), zap.Int64("wait_ms", l.Transfer.Wait.Milliseconds()),
		zap.Int64("receive_ms", l.Transfer.Receive.Milliseconds()), zap.Int64("decode_ms", l.Transfer.Decode.Milliseconds()))
}

func (f *Follower) applyEvent(e objectapi.Event, now time.Time) {
	if e.Removed {
		id := f.instanceID(e.Object.Key)
		kept := f.state.Remove(id, f.provedAt.Load(), now)
		f.notifyRemoved(id)
		f.Log.Info("instance entry removed", zap.String("instance", id), zap.Uint64("version", e.Object.Version),
			zap.Bool("believed", kept))
		return
	}
	in := f.decode(e.Object, now)
	if id := f.instanceID(e.Object.Key); in == nil && f.state.instances[id] == nil {
		f.notifyRemoved(id)
	}
	if in != nil {
		f.state.Put(in)
		f.notifyEntry(in)
		f.Log.Debug("instance entry", zap.String("instance", in.ID), zap.Int64("born", in.StartedAt), zap.Bool("draining", in.Draining),
			zap.String("group", in.Group.Name), zap.Uint64("epoch", in.Group.Epoch), zap.Int("rank", in.Group.Rank),
			zap.String("state", string(in.Group.State)), zap.Strings("models", in.Models), zap.Strings("staged", in.Staged),
			zap.String("domain", in.Domain), zap.Uint64("version", in.Version))
	}
}

// decode decodes an entry. If it describes no instance, the instance that it described before
// is removed.
func (f *Follower) decode(o objectapi.Object, now time.Time) *Instance {
	in, err := f.Decode(f.instanceID(o.Key), o.Version, o.Value)
	if err != nil {
		f.Log.Warn("cannot decode instance entry", zap.String("decision", "use_no_instance"), zap.String("key", o.Key),
			zap.Uint64("version", o.Version), zap.Error(err))
		f.state.Discard(f.instanceID(o.Key), o.Version, now)
		return nil
	}
	return in
}

func (f *Follower) instanceID(key string) string { return strings.TrimPrefix(key, f.Kind+"/") }

func (f *Follower) publish(provedAt time.Time) {
	if f.View() == nil {
		f.Log.Info("first view of instances", zap.Int("instances", len(f.state.instances)), zap.Uint64("revision", f.state.Revision()),
			zap.Int64("proved_ms_ago", f.Clock.Since(provedAt).Milliseconds()))
	}
	before := f.View()
	f.view.Store(f.state.View(provedAt))
	f.logConflicts(before)
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// logConflicts logs the entries that contradict those of a group's members since a view; before may be nil.
func (f *Follower) logConflicts(before *View) {
	for key, g := range f.View().Groups {
		if len(g.Conflicting) == 0 || before != nil && before.Groups[key] == g {
			continue
		}
		for _, in := range g.Conflicting {
			f.Log.Warn("instance entry contradicts its group", zap.String("decision", "not_a_member"), zap.String("instance", in.ID),
				zap.String("service", in.Service), zap.String("group", key.Name), zap.Uint64("epoch", key.Epoch), zap.Int("rank", in.Group.Rank),
				zap.String("group_service", g.Service), zap.Int("group_size", g.Size), zap.Int("members", len(g.Members)))
		}
	}
}
