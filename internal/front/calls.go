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
)

// countedFeed counts the calls to the store by call, kind of object and outcome, and
// tells contact how each ended.
type countedFeed struct {
	objectapi.Feed
	set     *metrics.Set
	contact *fleet.Contact
	mu      sync.Mutex
	total   map[string]uint64 // by call and kind
}

func newCountedFeed(feed objectapi.Feed, contact *fleet.Contact, set *metrics.Set) *countedFeed {
	return &countedFeed{Feed: feed, contact: contact, set: set, total: map[string]uint64{}}
}

// do makes one call about an object or a kind of objects and counts it. A call that was
// sent while the store was away ends with fleet.ErrReturned when it has returned: without,
// a watch hung for 2.5 s after other calls were answered, and hid instances that left.
func (c *countedFeed) do(ctx context.Context, name, key string, call func(context.Context) error) error {
	asked := time.Now()
	ctx, end := c.contact.Begin(ctx)
	defer end()
	err := call(ctx)
	if err != nil && errors.Is(context.Cause(ctx), fleet.ErrReturned) {
		err = errors.WithType(err, fleet.ErrReturned)
	}
	c.contact.Note(asked, time.Now(), err)
	kind, _, _ := strings.Cut(key, "/")
	c.mu.Lock()
	c.total[name+" "+kind]++
	c.mu.Unlock()
	c.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_store_calls_total{call=%q,kind=%q,outcome=%q}", name, kind, outcome(err))).Inc()
	return err
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
func (c *countedFeed) Get(ctx context.Context, key string) (o objectapi.Object, err error) {
	err = c.do(ctx, "get", key, func(ctx context.Context) (err error) {
		o, err = c.Feed.Get(ctx, key)
		return err
	})
	return o, err
}

// ListKind implements objectapi.Feed.
func (c *countedFeed) ListKind(ctx context.Context, kind string) (l objectapi.Listing, err error) {
	err = c.do(ctx, "list", kind, func(ctx context.Context) (err error) {
		l, err = c.Feed.ListKind(ctx, kind)
		return err
	})
	return l, err
}

// Follow implements objectapi.Feed.
func (c *countedFeed) Follow(ctx context.Context, kind string, after uint64, wait time.Duration) (changes objectapi.Changes, err error) {
	err = c.do(ctx, "follow", kind, func(ctx context.Context) (err error) {
		changes, err = c.Feed.Follow(ctx, kind, after, wait)
		return err
	})
	return changes, err
}

// Create implements objectapi.Feed.
func (c *countedFeed) Create(ctx context.Context, key string, value []byte) (version uint64, err error) {
	err = c.do(ctx, "create", key, func(ctx context.Context) (err error) {
		version, err = c.Feed.Create(ctx, key, value)
		return err
	})
	return version, err
}

// Update implements objectapi.Feed.
func (c *countedFeed) Update(ctx context.Context, key string, version uint64, value []byte) (v uint64, err error) {
	err = c.do(ctx, "update", key, func(ctx context.Context) (err error) {
		v, err = c.Feed.Update(ctx, key, version, value)
		return err
	})
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
