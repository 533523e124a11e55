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

// countedFeed counts the calls to the store by call, kind of object and outcome, tells
// reach how each ended, and holds calls back while the store does not answer.
type countedFeed struct {
	objectapi.Feed
	probeKey string // of the object whose reads find out whether the store answers
	set      *metrics.Set
	reach    *fleet.Reachability
	clock    *steady.Clock // nil: this machine's
	log      *zap.Logger
	outage   outage
	mu       sync.Mutex
	total    map[string]uint64 // by call and kind
	lost     time.Time         // since when calls get no answer, as logged; zero: they do
	held     uint64            // calls held back since
}

// newCountedFeed returns a feed; reads of the object probeKey are never held back.
func newCountedFeed(feed objectapi.Feed, probeKey string, reach *fleet.Reachability, set *metrics.Set, log *zap.Logger) *countedFeed {
	return &countedFeed{Feed: feed, probeKey: probeKey, reach: reach, set: set, log: log, total: map[string]uint64{},
		outage: outage{reach: reach}}
}

// note counts one call about an object or a kind of objects, sent at asked, and tells
// reach of it.
func (c *countedFeed) note(call, key string, asked time.Time, err error) {
	now := c.clock.Now()
	c.reach.Record(asked, now, err)
	c.count(call, key, err)
	c.tellAbsence(call, key, asked, now, err)
}

// tellAbsence logs the call that showed that the store does not answer, and the one that
// showed that it does again.
func (c *countedFeed) tellAbsence(call, key string, asked, now time.Time, err error) {
	since, lost := c.reach.UnreachableSince()
	c.mu.Lock()
	before, held := c.lost, c.held
	changed := lost == before.IsZero()
	if changed {
		c.lost, c.held = since, 0
	}
	c.mu.Unlock()
	shownBy := []zap.Field{zap.String("call", call), zap.String("key", key), zap.Int64("asked_ms_ago", now.Sub(asked).Milliseconds())}
	switch {
	case !changed:
		return
	case lost:
		c.log.Info("store does not answer", append(shownBy, zap.Error(err))...)
		return
	case err != nil: // this call got no answer: another daemon told
		shownBy = []zap.Field{zap.String("call", "relays_proof")}
	}
	c.log.Info("store answers again", append(shownBy, zap.Int64("absent_ms", now.Sub(before).Milliseconds()), zap.Uint64("held_back", held))...)
}

// mayAsk tells whether a call may be made now, and counts one that is held back.
func (c *countedFeed) mayAsk(call, key string) bool {
	if key == c.probeKey || c.outage.mayAsk(c.clock.Now()) {
		return true
	}
	c.mu.Lock()
	c.held++
	c.mu.Unlock()
	kind, _, _ := strings.Cut(key, "/")
	c.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_store_calls_held_back_total{call=%q,kind=%q}", call, kind)).Inc()
	return false
}

// count counts one call. One that may be answered from an old copy shows nothing of
// whether the store is there.
func (c *countedFeed) count(call, key string, err error) {
	kind, _, _ := strings.Cut(key, "/")
	c.mu.Lock()
	c.total[call+" "+kind]++
	c.mu.Unlock()
	c.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_store_calls_total{call=%q,kind=%q,outcome=%q}", call, kind, outcome(err))).Inc()
}

// outcome names an error of the store for a metric.
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
	if !c.mayAsk("get", key) {
		return objectapi.Object{}, errHeldBack
	}
	asked := c.clock.Now()
	o, err := c.Feed.Get(ctx, key)
	c.note("get", key, asked, err)
	return o, err
}

// GetStale implements objectapi.Feed.
func (c *countedFeed) GetStale(ctx context.Context, key string) (objectapi.Object, error) {
	if !c.mayAsk("get-stale", key) {
		return objectapi.Object{}, errHeldBack
	}
	o, err := c.Feed.GetStale(ctx, key)
	c.count("get-stale", key, err)
	return o, err
}

// ListStale implements objectapi.Feed.
func (c *countedFeed) ListStale(ctx context.Context, kind string) (objectapi.Listing, error) {
	if !c.mayAsk("list-stale", kind) {
		return objectapi.Listing{}, errHeldBack
	}
	l, err := c.Feed.ListStale(ctx, kind)
	c.count("list-stale", kind, err)
	return l, err
}

// ListKind implements objectapi.Feed.
func (c *countedFeed) ListKind(ctx context.Context, kind string) (objectapi.Listing, error) {
	if !c.mayAsk("list", kind) {
		return objectapi.Listing{}, errHeldBack
	}
	asked := c.clock.Now()
	l, err := c.Feed.ListKind(ctx, kind)
	c.note("list", kind, asked, err)
	return l, err
}

// Follow implements objectapi.Feed.
func (c *countedFeed) Follow(ctx context.Context, kind string, after uint64, wait time.Duration) (objectapi.Changes, error) {
	if !c.mayAsk("follow", kind) {
		return objectapi.Changes{}, errHeldBack
	}
	asked := c.clock.Now()
	changes, err := c.Feed.Follow(ctx, kind, after, wait)
	c.note("follow", kind, asked, err)
	return changes, err
}

// Create implements objectapi.Feed.
func (c *countedFeed) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	if !c.mayAsk("create", key) {
		return 0, errHeldBack
	}
	asked := c.clock.Now()
	version, err := c.Feed.Create(ctx, key, value)
	c.note("create", key, asked, err)
	return version, err
}

// Update implements objectapi.Feed.
func (c *countedFeed) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	if key != leaseKey && !c.mayAsk("update", key) {
		return 0, errHeldBack
	}
	asked := c.clock.Now()
	v, err := c.Feed.Update(ctx, key, version, value)
	c.note("update", key, asked, err)
	return v, err
}

// tellEvery is how often the number of calls is logged.
const tellEvery = 10 * time.Second

// tell logs the number of calls regularly.
func (c *countedFeed) tell(ctx context.Context, log *zap.Logger) {
	for ctx.Err() == nil {
		pause.For(ctx, tellEvery)
		c.mu.Lock()
		fields := make([]zap.Field, 0, len(c.total))
		for _, name := range slices.Sorted(maps.Keys(c.total)) {
			fields = append(fields, zap.Uint64(name, c.total[name]))
		}
		c.mu.Unlock()
		log.Info("store calls so far", fields...)
	}
}
