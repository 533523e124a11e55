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

// What happened: 103 daemons cut off from the store for 12 s asked it three times a second
// each, and were charged for it: about 3,700 calls of the 11,456 of a day. Why: the entries,
// the configuration, the relay's record and the lease each retried by themselves. What
// settled it: the four kinds side by side in the lines that count calls.
//
// Load: four loops of a daemon that retry each 0.3 s for 12 s.
func TestCallsAreHeldBackWhileTheStoreDoesNotAnswer(t *testing.T) {
	reach := fleet.NewReachability(time.Second)
	o := &outage{reach: reach}
	asked := 0
	for at := time.Duration(0); at < 12*time.Second; at += 300 * time.Millisecond {
		for range 4 {
			if o.mayAsk(now.Add(at)) {
				asked++
				reach.RecordFailure(now.Add(at))
			}
		}
	}
	must.LessEq(t, 4*4+3, asked)
	reach.RecordAnswer(now.Add(12 * time.Second))
	for range 4 {
		must.True(t, o.mayAsk(now.Add(12*time.Second)))
	}
}

// An answer that was lost once holds nothing back.
func TestOneLostAnswerHoldsNothingBack(t *testing.T) {
	reach := fleet.NewReachability(time.Second)
	o := &outage{reach: reach}
	reach.RecordFailure(now)
	for range 3 {
		must.True(t, o.mayAsk(now.Add(outageAfter-1)))
	}
}

// Whoever holds the lease renews it whatever else failed: held back, it would lapse. Reads of
// the configuration find out whether the store is back.
func TestRenewalsAreNotHeldBack(t *testing.T) {
	away := func(feed objectapi.Feed) *countedFeed {
		reach := fleet.NewReachability(time.Second)
		c := newCountedFeed(feed, "config/main", reach, metrics.NewSet(), zap.NewNop())
		reach.RecordFailure(time.Now().Add(-time.Minute))
		c.outage.asked = time.Now()
		return c
	}
	feed := &renewed{}
	c := away(feed)
	_, err := c.Get(context.Background(), leaseKey)
	must.ErrorIs(t, err, objectapi.ErrUnavailable)
	must.Eq(t, 0, feed.gets)
	_, err = c.Update(context.Background(), leaseKey, 3, nil)
	must.NoError(t, err)
	must.Eq(t, 1, feed.updates)

	// The follower of the configuration spaces its reads itself.
	_, err = away(feed).Get(context.Background(), "config/main")
	must.NoError(t, err)
	must.Eq(t, 1, feed.gets)
}

// Each call tells whether the store answers, whoever made it: a watch tells late.
func TestEveryCallShowsWhetherTheStoreAnswers(t *testing.T) {
	feed := &pricedFeed{err: errors.WithType(errors.New("down"), objectapi.ErrUnavailable)}
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

// renewed counts calls.
type renewed struct {
	objectapi.Feed
	gets, updates int
}

func (r *renewed) Get(context.Context, string) (objectapi.Object, error) {
	r.gets++
	return objectapi.Object{}, nil
}

func (r *renewed) Update(context.Context, string, uint64, []byte) (uint64, error) {
	r.updates++
	return 1, nil
}
