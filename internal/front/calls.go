package front

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// countedFeed counts the calls to the store by kind and outcome.
type countedFeed struct {
	objectapi.Feed
	set   *metrics.Set
	total [callKinds]atomic.Uint64
}

// Kinds of calls.
const (
	callGet = iota
	callList
	callFollow
	callWrite
	callKinds
)

var callNames = [callKinds]string{"get", "list", "follow", "write"}

func (c *countedFeed) count(kind int, err error) {
	c.total[kind].Add(1)
	c.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_store_calls_total{call=%q,outcome=%q}", callNames[kind], outcome(err))).Inc()
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
	o, err := c.Feed.Get(ctx, key)
	c.count(callGet, err)
	return o, err
}

// ListKind implements objectapi.Feed.
func (c *countedFeed) ListKind(ctx context.Context, kind string) (objectapi.Listing, error) {
	l, err := c.Feed.ListKind(ctx, kind)
	c.count(callList, err)
	return l, err
}

// Follow implements objectapi.Feed.
func (c *countedFeed) Follow(ctx context.Context, kind string, after uint64, wait time.Duration) ([]objectapi.Event, uint64, error) {
	events, revision, err := c.Feed.Follow(ctx, kind, after, wait)
	c.count(callFollow, err)
	return events, revision, err
}

// Create implements objectapi.Feed.
func (c *countedFeed) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	version, err := c.Feed.Create(ctx, key, value)
	c.count(callWrite, err)
	return version, err
}

// Update implements objectapi.Feed.
func (c *countedFeed) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	v, err := c.Feed.Update(ctx, key, version, value)
	c.count(callWrite, err)
	return v, err
}

// tellEvery is how often the number of calls is logged.
const tellEvery = 10 * time.Second

// tell logs the number of calls regularly.
func (c *countedFeed) tell(ctx context.Context, log *zap.Logger) {
	for ctx.Err() == nil {
		pause.For(ctx, tellEvery)
		fields := make([]zap.Field, 0, callKinds)
		for kind, name := range callNames {
			fields = append(fields, zap.Uint64(name, c.total[kind].Load()))
		}
		log.Info("store calls so far", fields...)
	}
}
