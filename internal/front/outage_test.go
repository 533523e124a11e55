package front

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
)

// Guards against calls that are charged during an outage: 103 daemons cut off from the store for
// 12 s called it three times a second each, about 3,700 calls of the 11,456 of a day, as the
// loops for the entries, the configuration, the relay's record and the lease retried
// independently. Here four loops of a daemon retry every 0.3 s for 12 s.
func TestCallsAreHeldBackDuringOutage(t *testing.T) {
	reach := fleet.NewReachability(time.Second)
	o := &outageLimiter{reachability: reach}
	allowed := 0
	for at := time.Duration(0); at < 12*time.Second; at += 300 * time.Millisecond {
		for range 4 {
			if o.allow(testStart.Add(at)) {
				allowed++
				reach.RecordFailure(testStart.Add(at))
			}
		}
	}
	must.LessEq(t, 4*4+3, allowed)
	reach.RecordAnswer(testStart.Add(12 * time.Second))
	for range 4 {
		must.True(t, o.allow(testStart.Add(12*time.Second)))
	}
}

// A single lost answer holds no calls back.
func TestSingleLostAnswerHoldsNothingBack(t *testing.T) {
	reach := fleet.NewReachability(time.Second)
	o := &outageLimiter{reachability: reach}
	reach.RecordFailure(testStart)
	for range 3 {
		must.True(t, o.allow(testStart.Add(holdBackAfter-1)))
	}
}

// The holder of the lease renews it whatever else failed, as the lease would expire if renewals
// were held back. Reads of the configuration are exempt too: they detect the recovery.
func TestRenewalsAreNotHeldBack(t *testing.T) {
	newUnreachableFeed := func(feed objectapi.Feed) *countedFeed {
		reach := fleet.NewReachability(time.Second)
		c := newCountedFeed(feed, "config/main", reach, metrics.NewSet(), zap.NewNop())
		reach.RecordFailure(time.Now().Add(-time.Minute))
		c.limiter.lastCall = time.Now()
		return c
	}
	feed := &renewalFeed{}
	c := newUnreachableFeed(feed)
	_, err := c.Get(context.Background(), leaseKey)
	must.ErrorIs(t, err, objectapi.ErrUnavailable)
	must.Eq(t, 0, feed.gets)
	_, err = c.Update(context.Background(), leaseKey, 3, nil)
	must.NoError(t, err)
	must.Eq(t, 1, feed.updates)

	// The follower of the configuration limits the rate of its reads itself.
	_, err = newUnreachableFeed(feed).Get(context.Background(), "config/main")
	must.NoError(t, err)
	must.Eq(t, 1, feed.gets)
}

// Every call records whether the store answers, whichever loop made it: a watch alone shows it
// late.
func TestEveryCallRecordsReachability(t *testing.T) {
	feed := &countingFeed{err: errors.WithType(errors.New("down"), objectapi.ErrUnavailable)}
	reach := fleet.NewReachability(time.Second)
	c := newCountedFeed(feed, "config/main", reach, metrics.NewSet(), zap.NewNop())
	_, err := c.Get(context.Background(), "config/main")
	must.ErrorIs(t, err, objectapi.ErrUnavailable)
	must.True(t, reach.Unreachable())
	feed.err = nil
	_, err = c.Get(context.Background(), "config/main")
	must.NoError(t, err)
	must.False(t, reach.Unreachable())
}

// renewalFeed counts reads and updates.
type renewalFeed struct {
	objectapi.Feed
	gets, updates int
}

func (r *renewalFeed) Get(context.Context, string) (objectapi.Object, error) {
	r.gets++
	return objectapi.Object{}, nil
}

func (r *renewalFeed) Update(context.Context, string, uint64, []byte) (uint64, error) {
	r.updates++
	return 1, nil
}
