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
	set    *metrics.Set
	reach  *fleet.Reachability
	clock  *steady.Clock // nil: this machine's
	outage outage
	mu     sync.Mutex
	total  map[string]uint64 // by call and kind
}

func newCountedFeed(feed objectapi.Feed, reach *fleet.Reachability, set *metrics.Set) *countedFeed {
	return &countedFeed{Feed: feed, reach: reach, set: set, total: map[string]uint64{},
		outage: outage{reach: reach, every: func() time.Duration { return probeAlone }}}
}

// note counts one call about an object or a kind of objects, sent at asked, and tells
// reach of it.
func (c *countedFeed) note(call, key string, asked time.Time, err error) {
	c.reach.Note(asked, c.clock.Now(), err)
	c.count(call, key, err)
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
	if !c.outage.mayAsk(c.clock.Now()) {
		return objectapi.Object{}, errHeldBack
	}
	asked := c.clock.Now()
	o, err := c.Feed.Get(ctx, key)
	c.note("get", key, asked, err)
	return o, err
}

// GetStale implements objectapi.Feed.
func (c *countedFeed) GetStale(ctx context.Context, key string) (objectapi.Object, error) {
	if !c.outage.mayAsk(c.clock.Now()) {
		return objectapi.Object{}, errHeldBack
	}
	o, err := c.Feed.GetStale(ctx, key)
	c.count("get-stale", key, err)
	return o, err
}

// ListStale implements objectapi.Feed.
func (c *countedFeed) ListStale(ctx context.Context, kind string) (objectapi.Listing, error) {
	if !c.outage.mayAsk(c.clock.Now()) {
		return objectapi.Listing{}, errHeldBack
	}
	l, err := c.Feed.ListStale(ctx, kind)
	c.count("list-stale", kind, err)
	return l, err
}

// ListKind implements objectapi.Feed.
func (c *countedFeed) ListKind(ctx context.Context, kind string) (objectapi.Listing, error) {
	if !c.outage.mayAsk(c.clock.Now()) {
		return objectapi.Listing{}, errHeldBack
	}
	asked := c.clock.Now()
	l, err := c.Feed.ListKind(ctx, kind)
	c.note("list", kind, asked, err)
	return l, err
}

// Follow implements objectapi.Feed.
func (c *countedFeed) Follow(ctx context.Context, kind string, after uint64, wait time.Duration) (objectapi.Changes, error) {
	if !c.outage.mayAsk(c.clock.Now()) {
		return objectapi.Changes{}, errHeldBack
	}
	asked := c.clock.Now()
	changes, err := c.Feed.Follow(ctx, kind, after, wait)
	c.note("follow", kind, asked, err)
	return changes, err
}

// Create implements objectapi.Feed.
func (c *countedFeed) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	if !c.outage.mayAsk(c.clock.Now()) {
		return 0, errHeldBack
	}
	asked := c.clock.Now()
	version, err := c.Feed.Create(ctx, key, value)
	c.note("create", key, asked, err)
	return version, err
}

// Update implements objectapi.Feed.
func (c *countedFeed) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	if key != leaseKey && !c.outage.mayAsk(c.clock.Now()) {
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
