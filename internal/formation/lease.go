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

// Timing of the lease.
const (
	// renewInterval is how often the holder renews the lease and other daemons decide
	// whether to check it.
	renewInterval = 800 * time.Millisecond
	// leaseCallTimeout bounds a renewal, so that a lost call is noticed while there is still
	// time to renew the lease. All calls of one Step together take at most twice as long.
	leaseCallTimeout = 600 * time.Millisecond
	// leaseTTL is how long the holder may act after it sent the last confirmed renewal.
	leaseTTL = 1800 * time.Millisecond
	// takeoverAfter is how long another daemon must have seen the lease unchanged before it
	// takes over. It exceeds leaseTTL, and the holder counts from an earlier moment.
	takeoverAfter = 2300 * time.Millisecond
)

// leaseRecord is the lease's value in the store.
type leaseRecord struct {
	Holder string `json:"holder"` // empty: released
	Count  uint64 `json:"count"`  // of renewals, so that each writes a new version
	// Resent lists the instances whose joins were recently sent again or are about to be: a
	// second copy may still be carried out after the instance left the group.
	Resent []string `json:"doubled,omitempty"`
	// EpochTerm is the highest EpochTerm of any holder, see Lease.RecordEpochTerm.
	EpochTerm uint64 `json:"epoch_term,omitempty"`
}

// maxResent bounds leaseRecord.Resent. Joins of further instances are not sent again until
// there is capacity.
const maxResent = 256

// Lease elects the daemon that plans. It only avoids duplicate work; see the package comment
// for what safety rests on. One goroutine calls Step and Release; the other methods are safe
// for concurrent use.
type Lease struct {
	Feed           objectapi.Feed
	Key            string
	Holder         string        // unique for each run of a process
	Clock          *steady.Clock // nil: this machine's clock
	Log            *zap.Logger
	state          atomic.Pointer[leaseState]
	term           uint64 // version at which this holder acquired the lease; 0: not held
	version        uint64 // last version seen
	record         leaseRecord
	unchangedSince time.Time // since when the lease is known to be unchanged
	// abandoned makes the next Step release the lease.
	abandoned atomic.Bool
	// inheritedResends are the instances that the record listed when the lease was acquired.
	inheritedResends map[string]bool
	renewedAt        time.Time  // when the last confirmed renewal was sent
	mu               sync.Mutex // guards resent
	// resent is when NoteResend was last called, by instance.
	resent    map[string]time.Time
	epochTerm atomic.Uint64 // to be recorded
}

// leaseState is what other goroutines read of the lease. Step publishes it.
type leaseState struct {
	term             uint64
	renewedAt        time.Time
	recorded         map[string]bool // instances that the stored record lists
	inheritedResends map[string]bool // those that it listed when the lease was acquired
	otherHolderSeen  bool            // the record names another daemon
	epochTerm        uint64          // the stored record's
}

// Term returns the term if this daemon holds the lease at now, otherwise 0.
func (l *Lease) Term(now time.Time) uint64 {
	s := l.state.Load()
	if s == nil || s.term == 0 || now.Sub(s.renewedAt) >= leaseTTL {
		return 0
	}
	return s.term
}

// NoteResend makes the record list an instance from the next renewal until maxOrderDelay after
// now, while a second copy of its join may be carried out.
func (l *Lease) NoteResend(instance string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resent == nil {
		l.resent = map[string]time.Time{}
	}
	l.resent[instance] = now
}

// recentResends returns the instances noted within maxOrderDelay, sorted and at most maxResent.
// It drops older ones.
func (l *Lease) recentResends(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.resent, func(_ string, at time.Time) bool { return now.Sub(at) >= maxOrderDelay })
	all := slices.Sorted(maps.Keys(l.resent))
	return all[:min(len(all), maxResent)]
}

// ResendRecorded reports whether the stored record lists an instance. Only then may a join be
// sent to it again, so that the next holder knows of the second copy.
func (l *Lease) ResendRecorded(instance string) bool {
	s := l.state.Load()
	return s != nil && s.recorded[instance]
}

// InheritedResends returns the instances to which the previous holder may have sent joins
// twice. The caller must not modify the map.
func (l *Lease) InheritedResends() map[string]bool {
	if s := l.state.Load(); s != nil {
		return s.inheritedResends
	}
	return nil
}

// RecordEpochTerm makes the record hold an epoch term from the next renewal on, and reports whether the stored
// one does. The epochs of a term begin at its lease's revision. After the store came back from a copy that may
// be below epochs that instances have seen, and the planner takes a higher one, which no later holder may use
// again.
func (l *Lease) RecordEpochTerm(term uint64) (recorded bool) {
	l.epochTerm.Store(max(l.epochTerm.Load(), term))
	s := l.state.Load()
	return s != nil && s.epochTerm >= term
}

// InheritedEpochTerm returns the highest epoch term in the stored record, 0 if it has none.
func (l *Lease) InheritedEpochTerm() uint64 {
	if s := l.state.Load(); s != nil {
		return s.epochTerm
	}
	return 0
}

// Acquired reports whether this daemon acquired the lease and has not learned that it lost it. The
// lease may have lapsed; the next renewal then shows whether another daemon has acquired it.
func (l *Lease) Acquired() bool {
	s := l.state.Load()
	return s != nil && s.term != 0
}

// OtherHolderSeen reports whether the last known record names another daemon.
func (l *Lease) OtherHolderSeen() bool {
	s := l.state.Load()
	return s != nil && s.otherHolderSeen
}

// Abandon makes the next Step release the lease, so that its next holder begins another term.
func (l *Lease) Abandon() { l.abandoned.Store(true) }

// Step renews the lease if it is held. Otherwise it reads the lease and acquires it if it is
// missing, released or unchanged for takeoverAfter.
func (l *Lease) Step(ctx context.Context) {
	if l.abandoned.Swap(false) && l.term != 0 {
		l.Release(ctx)
	}
	defer func() {
		recorded := map[string]bool{}
		if l.term != 0 {
			recorded = setOf(l.record.Resent)
		}
		otherHolder := l.record.Holder != "" && l.record.Holder != l.Holder
		l.state.Store(&leaseState{l.term, l.renewedAt, recorded, l.inheritedResends, otherHolder, l.record.EpochTerm})
	}()
	ctx, cancel := context.WithTimeout(ctx, 2*leaseCallTimeout)
	defer cancel()
	if l.term != 0 {
		l.renew(ctx)
		return
	}
	sentAt := l.Clock.Now()
	o, err := l.Feed.Get(ctx, l.Key)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		l.create(ctx)
		return
	case err != nil:
		l.unchangedSince = l.Clock.Now() // an unread lease doesn't count as unchanged
		return
	}
	l.observe(o, sentAt)
	if l.record.Holder == "" || l.Clock.Since(l.unchangedSince) >= takeoverAfter {
		l.acquire(ctx)
	}
}

func setOf(list []string) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, item := range list {
		set[item] = true
	}
	return set
}

// observe records a version of the lease that was read by a call sent at sentAt.
func (l *Lease) observe(o objectapi.Object, sentAt time.Time) {
	if o.Version == l.version {
		return
	}
	l.version, l.unchangedSince = o.Version, sentAt
	l.record = leaseRecord{}
	if err := json.Unmarshal(o.Value, &l.record); err != nil {
		l.Log.Error("lease record not decoded", zap.Error(err))
	}
}

// create acquires a lease that does not exist in the store.
func (l *Lease) create(ctx context.Context) {
	sentAt := l.Clock.Now()
	l.record = leaseRecord{Holder: l.Holder, Count: 1, EpochTerm: l.epochTerm.Load()}
	version, err := l.Feed.Create(ctx, l.Key, l.encode())
	l.recordAcquisition(version, sentAt, err)
}

// acquire acquires a lease whose holder released it or no longer renews it.
func (l *Lease) acquire(ctx context.Context) {
	sentAt := l.Clock.Now()
	l.inheritedResends = setOf(l.record.Resent)
	for instance := range l.inheritedResends {
		l.NoteResend(instance, sentAt)
	}
	l.record = leaseRecord{Holder: l.Holder, Count: l.record.Count + 1, Resent: l.record.Resent, EpochTerm: l.record.EpochTerm}
	version, err := l.Feed.Update(ctx, l.Key, l.version, l.encode())
	l.recordAcquisition(version, sentAt, err)
}

func (l *Lease) encode() []byte {
	value, err := json.Marshal(l.record)
	if err != nil {
		l.Log.Error("lease record not encoded", zap.Error(err))
	}
	return value
}

// recordAcquisition records the outcome of acquiring the lease. The next Step reads back an unknown
// outcome: the record then names this holder, but its term is unknown, so the lease is
// acquired again once it counts as unchanged.
func (l *Lease) recordAcquisition(version uint64, sentAt time.Time, err error) {
	if err != nil {
		l.version, l.record = 0, leaseRecord{}
		l.Log.Info("lease not taken", zap.Error(err))
		return
	}
	l.term, l.version, l.renewedAt = version, version, sentAt
	l.Log.Info("lease taken", zap.Uint64("term", version))
}

// renew renews the held lease and drops it if it was lost or not renewed in time.
func (l *Lease) renew(ctx context.Context) {
	sentAt := l.Clock.Now()
	previous := l.record
	l.record.Count++
	l.record.Resent = l.recentResends(sentAt)
	l.record.EpochTerm = max(l.record.EpochTerm, l.epochTerm.Load())
	timed, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	version, err := l.Feed.Update(timed, l.Key, l.version, l.encode())
	switch {
	case err == nil:
		l.version, l.renewedAt = version, sentAt
	case errors.Is(err, objectapi.ErrConflict):
		l.drop("lease lost", err)
	case errors.Is(err, objectapi.ErrUnknownOutcome):
		l.readBack(ctx, sentAt)
	case l.Clock.Since(l.renewedAt) >= leaseTTL:
		l.drop("lease not renewed in time", err)
	default:
		l.record = previous // refused: the store still holds the previous record
	}
}

// readBack reads the lease to resolve the unknown outcome of a renewal that was sent at sentAt.
func (l *Lease) readBack(ctx context.Context, sentAt time.Time) {
	o, err := l.Feed.Get(ctx, l.Key)
	if err == nil {
		var r leaseRecord
		if json.Unmarshal(o.Value, &r) == nil && r.Holder == l.Holder {
			l.version, l.renewedAt, l.record = o.Version, sentAt, r
			return
		}
		l.drop("lease lost", nil)
		return
	}
	if l.Clock.Since(l.renewedAt) >= leaseTTL {
		l.drop("lease not renewed in time", err)
	}
}

// drop logs why the lease is no longer held and forgets its term.
func (l *Lease) drop(why string, err error) {
	l.Log.Info(why, zap.Uint64("term", l.term), zap.Duration("proof_age", l.Clock.Since(l.renewedAt)), zap.Error(err))
	l.term, l.version, l.record, l.unchangedSince = 0, 0, leaseRecord{}, l.Clock.Now()
}

// Release releases a held lease, so that another daemon can acquire it at once.
func (l *Lease) Release(ctx context.Context) {
	if l.term == 0 {
		return
	}
	l.state.Store(nil)
	l.record = leaseRecord{Count: l.record.Count + 1, Resent: l.record.Resent, EpochTerm: l.record.EpochTerm}
	_, err := l.Feed.Update(ctx, l.Key, l.version, l.encode())
	l.drop("lease released", err)
}
