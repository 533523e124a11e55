package formation

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/steady"
)

// Times of the lease.
const (
	// renewEvery is how often the holder renews, and others look when they do.
	renewEvery = 800 * time.Millisecond
	// leaseCall bounds a call about the lease: one that was lost must be known as
	// such while the lease can still be saved.
	leaseCall = 600 * time.Millisecond
	// leaseFor is how long the holder may act after it asked for the renewal that
	// was confirmed last.
	leaseFor = 1800 * time.Millisecond
	// takeoverAfter is how long others must have seen the lease unchanged. The
	// holder stops well before, as it counts from an earlier moment.
	takeoverAfter = 2300 * time.Millisecond
)

// leaseRecord is the lease's value in the store.
type leaseRecord struct {
	Holder string `json:"holder"` // empty: released
	Count  uint64 `json:"count"`  // of renewals; each makes a new version
	// Doubled lists the instances whose joins were sent twice lately, or may be from
	// now on: a second copy may still be carried out after the instance left the group.
	Doubled []string `json:"doubled,omitempty"`
}

// maxDoubled bounds the list of a record; an instance beyond it waits its turn.
const maxDoubled = 256

// Lease says which daemon plans. It saves effort only; see the package comment.
// One goroutine calls Step and Release; Held may be asked from anywhere.
type Lease struct {
	Feed    objectapi.Feed
	Key     string
	Holder  string        // unique for each life of a process
	Clock   *steady.Clock // nil: this machine's
	Log     *zap.Logger
	held    atomic.Pointer[holding]
	term    uint64 // version at which this holder took the lease; 0: not held
	version uint64 // last seen
	record  leaseRecord
	seen    time.Time // when version was first seen
	// abandoned asks the next step to release the lease.
	abandoned atomic.Bool
	// inherited are those that the record listed when the lease was taken.
	inherited map[string]bool
	proved    time.Time // when the last confirmed renewal was asked for
	mu        sync.Mutex
	// doubled is when a join was last sent again, or was to be, by instance.
	doubled map[string]time.Time
}

// holding is what Held needs, published by the lease's goroutine.
type holding struct {
	term      uint64
	proved    time.Time
	noted     map[string]bool // as the store's record lists them
	inherited map[string]bool // as it did when the lease was taken
	seen      bool            // a holder's record was seen
}

// Held returns the term while this daemon may plan at now, otherwise 0.
func (l *Lease) Held(now time.Time) uint64 {
	h := l.held.Load()
	if h == nil || h.term == 0 || now.Sub(h.proved) >= leaseFor {
		return 0
	}
	return h.term
}

// Note asks that the record lists an instance, from now on for as long as a second
// copy of its join may be carried out.
func (l *Lease) Note(instance string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doubled == nil {
		l.doubled = map[string]time.Time{}
	}
	l.doubled[instance] = now
}

// list returns the instances noted lately, in order, and forgets the others.
func (l *Lease) list(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.doubled, func(_ string, at time.Time) bool { return now.Sub(at) >= lateOrders })
	all := slices.Sorted(maps.Keys(l.doubled))
	return all[:min(len(all), maxDoubled)]
}

// Noted tells whether the store's record lists an instance; only then may a join be
// sent to it again, so that whoever takes the lease over knows of it.
func (l *Lease) Noted(instance string) bool {
	h := l.held.Load()
	return h != nil && h.noted[instance]
}

// Inherited returns the instances to which the holder before may have sent joins
// twice. The map must not be changed.
func (l *Lease) Inherited() map[string]bool {
	if h := l.held.Load(); h != nil {
		return h.inherited
	}
	return nil
}

// Seen tells whether the last look found a holder.
func (l *Lease) Seen() bool {
	h := l.held.Load()
	return h != nil && h.seen
}

// Abandon asks that the lease is released at the next step; whoever takes it begins
// another term.
func (l *Lease) Abandon() { l.abandoned.Store(true) }

// Step renews the lease, or looks at it and takes it if it is free.
func (l *Lease) Step(ctx context.Context) {
	if l.abandoned.Swap(false) && l.term != 0 {
		l.Release(ctx)
	}
	defer func() {
		noted := map[string]bool{}
		if l.term != 0 {
			noted = setOf(l.record.Doubled)
		}
		l.held.Store(&holding{l.term, l.proved, noted, l.inherited, l.record.Holder != ""})
	}()
	ctx, cancel := context.WithTimeout(ctx, 2*leaseCall)
	defer cancel()
	if l.term != 0 {
		l.renew(ctx)
		return
	}
	asked := l.Clock.Now()
	o, err := l.Feed.Get(ctx, l.Key)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		l.create(ctx)
		return
	case err != nil:
		l.seen = l.Clock.Now() // what was not seen can't be called unchanged
		return
	}
	l.look(o, asked)
	if l.record.Holder == "" || l.Clock.Since(l.seen) >= takeoverAfter {
		l.take(ctx)
	}
}

func setOf(list []string) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, item := range list {
		set[item] = true
	}
	return set
}

// look takes in the lease as it is.
func (l *Lease) look(o objectapi.Object, asked time.Time) {
	if o.Version == l.version {
		return
	}
	l.version, l.seen = o.Version, asked
	l.record = leaseRecord{}
	if err := json.Unmarshal(o.Value, &l.record); err != nil {
		l.Log.Error("lease not understood", zap.Error(err))
	}
}

func (l *Lease) create(ctx context.Context) {
	asked := l.Clock.Now()
	l.record = leaseRecord{Holder: l.Holder, Count: 1}
	version, err := l.Feed.Create(ctx, l.Key, l.value())
	l.taken(version, asked, err)
}

func (l *Lease) take(ctx context.Context) {
	asked := l.Clock.Now()
	l.inherited = setOf(l.record.Doubled)
	for instance := range l.inherited {
		l.Note(instance, asked)
	}
	l.record = leaseRecord{Holder: l.Holder, Count: l.record.Count + 1, Doubled: l.record.Doubled}
	version, err := l.Feed.Update(ctx, l.Key, l.version, l.value())
	l.taken(version, asked, err)
}

func (l *Lease) value() []byte {
	value, err := json.Marshal(l.record)
	if err != nil {
		l.Log.Error("lease not encoded", zap.Error(err))
	}
	return value
}

// taken notes the outcome of taking the lease. An unknown outcome is read back
// by the next step: the lease then names this holder, but the term is unknown,
// so it is taken anew.
func (l *Lease) taken(version uint64, asked time.Time, err error) {
	if err != nil {
		l.version, l.record = 0, leaseRecord{}
		l.Log.Info("lease not taken", zap.Error(err))
		return
	}
	l.term, l.version, l.proved = version, version, asked
	l.Log.Info("lease taken", zap.Uint64("term", version))
}

func (l *Lease) renew(ctx context.Context) {
	asked := l.Clock.Now()
	before := l.record
	l.record.Count++
	l.record.Doubled = l.list(asked)
	timed, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	version, err := l.Feed.Update(timed, l.Key, l.version, l.value())
	switch {
	case err == nil:
		l.version, l.proved = version, asked
	case errors.Is(err, objectapi.ErrConflict):
		l.drop("lease lost", err)
	case errors.Is(err, objectapi.ErrUnknownOutcome):
		l.readBack(ctx, asked)
	case l.Clock.Since(l.proved) >= leaseFor:
		l.drop("lease not renewed in time", err)
	default:
		l.record = before // refused: the store still holds the record before
	}
}

// readBack finds out what became of a renewal without an answer.
func (l *Lease) readBack(ctx context.Context, asked time.Time) {
	o, err := l.Feed.Get(ctx, l.Key)
	if err == nil {
		var r leaseRecord
		if json.Unmarshal(o.Value, &r) == nil && r.Holder == l.Holder {
			l.version, l.proved, l.record = o.Version, asked, r
			return
		}
		l.drop("lease lost", nil)
		return
	}
	if l.Clock.Since(l.proved) >= leaseFor {
		l.drop("lease not renewed in time", err)
	}
}

func (l *Lease) drop(why string, err error) {
	l.Log.Info(why, zap.Uint64("term", l.term), zap.Duration("proof_age", l.Clock.Since(l.proved)), zap.Error(err))
	l.term, l.version, l.record, l.seen = 0, 0, leaseRecord{}, l.Clock.Now()
}

// Release gives the lease up so that another daemon takes it at once.
func (l *Lease) Release(ctx context.Context) {
	if l.term == 0 {
		return
	}
	l.held.Store(nil)
	l.record = leaseRecord{Count: l.record.Count + 1, Doubled: l.record.Doubled}
	_, err := l.Feed.Update(ctx, l.Key, l.version, l.value())
	l.drop("lease released", err)
}
