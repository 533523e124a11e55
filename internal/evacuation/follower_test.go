package evacuation

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/steady"
)

// fakeFeed is a store with one kind.
type fakeFeed struct {
	objectapi.Feed
	mu       sync.Mutex
	revision uint64
	zones    map[string]uint64
	history  []objectapi.Event
	changed  chan struct{}
	err      error  // of listings
	notFound uint64 // the revision of a listing that is not found
	// followErr is the error of watches.
	followErr error
	lists     int
	waits     int
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{revision: 1, zones: map[string]uint64{}, changed: make(chan struct{})}
}

func (f *fakeFeed) set(zone string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.zones[zone] = f.revision
	if !evacuated {
		delete(f.zones, zone)
	}
	f.history = append(f.history, event(zone, f.revision, !evacuated))
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) setErr(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeFeed) calls() (lists, waits int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists, f.waits
}

func (f *fakeFeed) ListKind(context.Context, string) (l objectapi.Listing, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	l.Revision = f.revision
	for zone, version := range f.zones {
		l.Objects = append(l.Objects, objectapi.Object{Key: "kind/" + zone, Version: version})
	}
	if errors.Is(f.err, objectapi.ErrNotFound) {
		l = objectapi.Listing{Revision: f.notFound}
	}
	return l, f.err
}

func (f *fakeFeed) Follow(ctx context.Context, _ string, after uint64, wait time.Duration) (c objectapi.Changes, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	f.mu.Lock()
	f.waits++
	err = f.followErr
	f.mu.Unlock()
	if err != nil {
		return c, err
	}
	for {
		f.mu.Lock()
		c = objectapi.Changes{Revision: f.revision}
		for _, e := range f.history {
			if e.Object.Version > after {
				c.Events = append(c.Events, e)
			}
		}
		changed := f.changed
		f.mu.Unlock()
		if len(c.Events) > 0 {
			return c, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return c, nil
		case <-ctx.Done():
			return objectapi.Changes{}, ctx.Err()
		}
	}
}

// bubbleClock returns a clock of virtual time.
func bubbleClock() *steady.Clock {
	start := time.Now()
	return steady.NewClockFrom(func() (time.Time, time.Duration) {
		now := time.Now()
		return now.Round(0), now.Sub(start)
	}, func() time.Duration { return time.Since(start) })
}

// runFollower runs f with a follower of a feed.
func runFollower(t *testing.T, watches bool, change func(f *Follower), f func(t *testing.T, feed *fakeFeed, follower *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		feed, rng := newFakeFeed(), rand.New(rand.NewPCG(1, 1))
		clock := bubbleClock()
		follower := &Follower{Known: &Known{Now: clock.Now}, Clock: clock, Feed: feed, Kind: "kind", Bound: func() time.Duration { return 5 * time.Second },
			Watches: func() bool { return watches }, Serves: func() bool { return watches },
			Uniform: func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }, Log: zap.NewNop()}
		if change != nil {
			change(follower)
		}
		done := make(chan struct{})
		go func() { follower.Run(ctx); close(done) }()
		synctest.Wait()
		f(t, feed, follower)
		cancel()
		<-done
	})
}

// Guards against a daemon that watches and learns of a change only by its next listing.
func TestWatchTellsChangesAtOnce(t *testing.T) {
	runFollower(t, true, nil, func(t *testing.T, feed *fakeFeed, f *Follower) {
		time.Sleep(1500 * time.Millisecond)
		for _, evacuated := range []bool{true, false, true} {
			feed.set("a", evacuated)
			time.Sleep(2 * minWatchPause)
			must.Eq(t, evacuated, f.Known.Zones().Has("a"))
		}
	})
}

// Guards against an evacuation that a watch missed and that stays unknown until the store's next write.
func TestListingCorrectsAWatchAtTheSameRevision(t *testing.T) {
	runFollower(t, true, nil, func(t *testing.T, feed *fakeFeed, f *Follower) {
		time.Sleep(1500 * time.Millisecond)
		feed.mu.Lock()
		feed.revision++
		feed.zones["a"] = feed.revision // no watch reports it
		feed.mu.Unlock()
		feed.set("b", true)
		time.Sleep(minWatchPause)
		must.Eq(t, []string{"b"}, f.Known.Zones().Names())
		time.Sleep(maxProofAge(f.Bound(), true, 0) + 10*time.Millisecond)
		must.Eq(t, []string{"a", "b"}, f.Known.Zones().Names())
	})
}

// A daemon without a relay reads by itself, and one that gets reports from a relay reads nothing.
func TestListIsReadByAgeOfProof(t *testing.T) {
	runFollower(t, false, nil, func(t *testing.T, feed *fakeFeed, f *Follower) {
		time.Sleep(30 * time.Second)
		lists, waits := feed.calls()
		must.Between(t, 10, lists, 13)
		must.Zero(t, waits)
		for i := range 20 {
			f.Known.Apply(NewState(nil, uint64(i), time.Now()), FromRelay)
			time.Sleep(time.Second)
		}
		after, _ := feed.calls()
		must.LessEq(t, lists+1, after)
	})
}

// While the store does not answer, what is known stays, and the first answer is in force soon after.
func TestKnownZonesOutliveAnOutage(t *testing.T) {
	runFollower(t, true, nil, func(t *testing.T, feed *fakeFeed, f *Follower) {
		feed.set("a", true)
		time.Sleep(2 * time.Second)
		feed.setErr(errors.WithType(errors.New("down"), objectapi.ErrUnavailable))
		time.Sleep(20 * time.Second)
		must.True(t, f.Known.Zones().Has("a"))
		_, before := feed.calls()
		time.Sleep(10 * time.Second)
		_, waits := feed.calls()
		must.Eq(t, before, waits, must.Sprint("no watch while the store does not answer"))
		feed.set("a", false)
		feed.setErr(nil)
		time.Sleep(retryPause)
		synctest.Wait() // the next listing may be due at this very time
		must.False(t, f.Known.Zones().Has("a"))
	})
}

// A start waits for the first list, but no longer than maxStartDelay for one that fails, and not at all
// where zones are not evacuated.
func TestStartSettles(t *testing.T) {
	runFollower(t, false, nil, func(t *testing.T, _ *fakeFeed, f *Follower) {
		must.True(t, f.Settled())
	})
	runFollower(t, false, func(f *Follower) {
		f.Feed.(*fakeFeed).err = errors.New("refused")
	}, func(t *testing.T, _ *fakeFeed, f *Follower) {
		must.False(t, f.Settled())
		time.Sleep(maxStartDelay + time.Millisecond)
		must.True(t, f.Settled())
	})
	runFollower(t, false, func(f *Follower) {
		f.Bound = func() time.Duration { return 0 }
	}, func(t *testing.T, feed *fakeFeed, f *Follower) {
		must.True(t, f.Settled())
		time.Sleep(time.Minute)
		lists, waits := feed.calls()
		must.Zero(t, lists+waits)
	})
	runFollower(t, false, func(f *Follower) {
		f.Feed.(*fakeFeed).err = objectapi.ErrNotFound // nobody has written an object of the kind
	}, func(t *testing.T, _ *fakeFeed, f *Follower) {
		must.True(t, f.Settled())
	})
}

// At the first start of all daemons the list is not read by those that get a report from a relay in time.
func TestFirstStateIsTakenFromRelay(t *testing.T) {
	runFollower(t, false, func(f *Follower) { f.StartWait = 2 * time.Second }, func(t *testing.T, feed *fakeFeed, f *Follower) {
		time.Sleep(time.Second)
		must.False(t, f.Settled())
		f.Known.Apply(NewState([]string{"a"}, 1, time.Now()), FromRelay)
		must.True(t, f.Settled())
		time.Sleep(2 * time.Second)
		lists, _ := feed.calls()
		must.Zero(t, lists)
	})
	runFollower(t, false, func(f *Follower) { f.StartWait = 2 * time.Second }, func(t *testing.T, _ *fakeFeed, f *Follower) {
		time.Sleep(2*time.Second + startCheckInterval)
		must.True(t, f.Settled())
	})
}

// Guards against zones that stay evacuated after the store came back from a copy in which it does not know the
// kind, and against ending evacuations because a listing is not found within the era in which they are known.
func TestRestoredStoreWithoutTheKindEndsEvacuations(t *testing.T) {
	runFollower(t, true, func(f *Follower) {
		f.Feed.(*fakeFeed).set("a", true)
	}, func(t *testing.T, feed *fakeFeed, f *Follower) {
		must.True(t, f.Known.Zones().Has("a"))
		feed.setErr(objectapi.ErrNotFound)
		time.Sleep(10 * time.Second)
		must.True(t, f.Known.Zones().Has("a"))
		feed.mu.Lock()
		feed.notFound = objectapi.MakeRevision(1, 0)
		feed.mu.Unlock()
		time.Sleep(2 * time.Second)
		must.False(t, f.Known.Zones().Has("a"))
		time.Sleep(10 * time.Second)
		must.Less(t, 2*time.Second, time.Since(f.Known.ProvedAt()), must.Sprint("each such listing is a proof"))
	})
}
