package front

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
	"pearlanding/internal/steady"
)

// countedFeed counts the calls to the store by call, kind of object and outcome, records their
// outcomes in reachability, and holds calls back while the store does not answer.
type countedFeed struct {
	objectapi.Feed
	probeKey     string // key of the object whose reads probe whether the store answers
	metricSet    *metrics.Set
	reachability *fleet.Reachability
	clock        *steady.Clock // nil: this machine's
	log          *zap.Logger
	limiter      outageLimiter
	mu           sync.Mutex
	total        map[string]uint64 // number of calls, by name of the call and kind of object
	outageSince  time.Time         // since when calls get no answer, as logged; zero: the store answers
	heldBack     uint64            // calls held back in this outage
}

// newCountedFeed returns a feed that calls feed; calls about the object probeKey are never held
// back.
func newCountedFeed(feed objectapi.Feed, probeKey string, reachability *fleet.Reachability, set *metrics.Set, log *zap.Logger) *countedFeed {
	return &countedFeed{Feed: feed, probeKey: probeKey, reachability: reachability, metricSet: set, log: log, total: map[string]uint64{},
		limiter: outageLimiter{reachability: reachability}}
}

// recordCall counts one call about an object or a kind of objects, sent at a time, and records
// its outcome in reachability.
func (c *countedFeed) recordCall(call, key string, sentAt time.Time, err error) {
	now := c.clock.Now()
	c.reachability.Record(sentAt, now, err)
	c.count(call, key, err)
	c.logOutage(call, key, sentAt, now, err)
}

// logOutage logs the call that showed that the store does not answer, and later the call that
// showed that it answers again.
func (c *countedFeed) logOutage(call, key string, sentAt, now time.Time, err error) {
	since, unreachable := c.reachability.UnreachableSince()
	c.mu.Lock()
	loggedSince, held := c.outageSince, c.heldBack
	changed := unreachable == loggedSince.IsZero()
	if changed {
		c.outageSince, c.heldBack = since, 0
	}
	c.mu.Unlock()
	shownBy := []zap.Field{zap.String("call", call), zap.String("key", key), zap.Int64("asked_ms_ago", now.Sub(sentAt).Milliseconds())}
	switch {
	case !changed:
		return
	case unreachable:
		c.log.Info("store does not answer", append(shownBy, zap.Error(err))...)
		return
	case err != nil: // this call got no answer: another daemon's confirmation ended the outage
		shownBy = []zap.Field{zap.String("call", "relays_proof")}
	}
	c.log.Info("store answers again", append(shownBy, zap.Int64("absent_ms", now.Sub(loggedSince).Milliseconds()), zap.Uint64("held_back", held))...)
}

// allow reports whether a call may be made now, and counts one that is held back.
func (c *countedFeed) allow(call, key string) bool {
	if key == c.probeKey || c.limiter.allow(c.clock.Now()) {
		return true
	}
	c.mu.Lock()
	c.heldBack++
	c.mu.Unlock()
	kind, _, _ := strings.Cut(key, "/")
	c.metricSet.GetOrCreateCounter(fmt.Sprintf("pearlanding_store_calls_held_back_total{call=%q,kind=%q}", call, kind)).Inc()
	return false
}

// count counts one call without recording its outcome in reachability: a call that may be
// answered from a stale copy does not show whether the store is reachable.
func (c *countedFeed) count(call, key string, err error) {
	kind, _, _ := strings.Cut(key, "/")
	c.mu.Lock()
	c.total[call+" "+kind]++
	c.mu.Unlock()
	c.metricSet.GetOrCreateCounter(fmt.Sprintf("pearlanding_store_calls_total{call=%q,kind=%q,outcome=%q}", call, kind, outcome(err))).Inc()
}

// outcome returns the name of an error of the store for a metric.
func outcome(err error) string {
	for _, known := range []errors.ConstError{objectapi.ErrNotFound, objectapi.ErrConflict, objectapi.ErrUnavailable,
		objectapi.ErrUnknownOutcome, objectapi.ErrCompacted} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	if err != nil {
		return "other"
	}
	return "done"
}

// Get implements objectapi.Feed.
func (c *countedFeed) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if !c.allow("get", key) {
		return objectapi.Object{}, errHeldBack
	}
	sentAt := c.clock.Now()
	o, err := c.Feed.Get(ctx, key)
	c.recordCall("get", key, sentAt, err)
	return o, err
}

// GetStale implements objectapi.Feed.
func (c *countedFeed) GetStale(ctx context.Context, key string) (objectapi.Object, error) {
	if !c.allow("get-stale", key) {
		return objectapi.Object{}, errHeldBack
	}
	o, err := c.Feed.GetStale(ctx, key)
	c.count("get-stale", key, err)
	return o, err
}

// ListStale implements objectapi.Feed.
func (c *countedFeed) ListStale(ctx context.Context, kind string) (objectapi.Listing, error) {
	if !c.allow("list-stale", kind) {
		return objectapi.Listing{}, errHeldBack
	}
	l, err := c.Feed.ListStale(ctx, kind)
	c.count("list-stale", kind, err)
	return l, err
}

// ListKind implements objectapi.Feed.
func (c *countedFeed) ListKind(ctx context.Context, kind string) (objectapi.Listing, error) {
	if !c.allow("list", kind) {
		return objectapi.Listing{}, errHeldBack
	}
	sentAt := c.clock.Now()
	l, err := c.Feed.ListKind(ctx, kind)
	c.recordCall("list", kind, sentAt, err)
	return l, err
}

// Follow implements objectapi.Feed.
func (c *countedFeed) Follow(ctx context.Context, kind string, after uint64, wait time.Duration) (objectapi.Changes, error) {
	if !c.allow("follow", kind) {
		return objectapi.Changes{}, errHeldBack
	}
	sentAt := c.clock.Now()
	changes, err := c.Feed.Follow(ctx, kind, after, wait)
	c.recordCall("follow", kind, sentAt, err)
	return changes, err
}

// Create implements objectapi.Feed.
func (c *countedFeed) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	if !c.allow("create", key) {
		return 0, errHeldBack
	}
	sentAt := c.clock.Now()
	version, err := c.Feed.Create(ctx, key, value)
	c.recordCall("create", key, sentAt, err)
	return version, err
}

// Update implements objectapi.Feed. Updates of the lease are never held back: it would expire.
func (c *countedFeed) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	if key != leaseKey && !c.allow("update", key) {
		return 0, errHeldBack
	}
	sentAt := c.clock.Now()
	v, err := c.Feed.Update(ctx, key, version, value)
	c.recordCall("update", key, sentAt, err)
	return v, err
}

// countsLogInterval is how often the numbers of calls are logged.
const countsLogInterval = 10 * time.Second

// logCounts logs the numbers of calls regularly until ctx ends.
func (c *countedFeed) logCounts(ctx context.Context, log *zap.Logger) {
	for ctx.Err() == nil {
		pause.For(ctx, countsLogInterval)
		c.mu.Lock()
		fields := make([]zap.Field, 0, len(c.total))
		for _, name := range slices.Sorted(maps.Keys(c.total)) {
			fields = append(fields, zap.Uint64(name, c.total[name]))
		}
		c.mu.Unlock()
		log.Info("store calls so far", fields...)
	}
}
