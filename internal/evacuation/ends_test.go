package evacuation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

const testCold = 3 * time.Second

// endsLog is a Known whose callbacks are recorded.
type endsLog struct {
	*Known
	now   time.Time
	ended map[string]time.Time
	since time.Time
	zones *Zones // as last told with since
}

func newEndsLog(now time.Time) *endsLog {
	l := &endsLog{now: now, ended: map[string]time.Time{}}
	l.Known = &Known{Now: func() time.Time { return l.now }, ColdFor: func() (time.Duration, bool) { return testCold, true },
		OnEnded: func(zone string, at time.Time) { l.ended[zone] = at }, OnEndsKnown: func(since time.Time, zones *Zones) { l.since, l.zones = since, zones }}
	return l
}

// Guards against a daemon that does not learn of an end before its start, and against one that takes for
// complete what is not.
func TestEndsBeforeTheStartAreLearnt(t *testing.T) {
	l := newEndsLog(at(0))
	l.Apply(NewState([]string{"c"}, 10, at(0)), FromListing)
	must.Eq(t, at(0), l.since)
	settled, _ := l.EndsSettled()
	must.False(t, settled)

	l.ApplyEnds(NewState([]string{"c"}, 10, at(5)), Ends{Since: at(-1000), At: map[string]time.Time{"a": at(-700)}})
	must.Eq(t, at(-700), l.ended["a"])
	must.Eq(t, at(-1000), l.since)
	settled, _ = l.EndsSettled()
	must.False(t, settled, must.Sprint("the other daemon has started a second before"))

	l.ApplyEnds(NewState(nil, 8, at(-60_000)), Ends{Since: at(-90_000)})
	must.Eq(t, at(-1000), l.since, must.Sprint("a proof that is much older shows nothing of the time between"))
	l.ApplyEnds(NewState([]string{"b", "c"}, 9, at(-1500)), Ends{Since: at(-90_000)})
	must.Eq(t, at(0), l.ended["b"], must.Sprint("it ended between the two proofs"))
	must.Eq(t, at(-90_000), l.since)
	settled, _ = l.EndsSettled()
	must.True(t, settled)

	l.now = at(4000)
	l.Apply(NewState(nil, 20, at(4000)), FromWatch)
	ends := l.Snapshot().Ends
	must.Eq(t, map[string]time.Time{"c": at(4000)}, ends.At, must.Sprint("older ones are forgotten"))
	must.Eq(t, at(-90_000), ends.Since)
}

// Guards against an end that never grows old because daemons report it to each other, each a little later, and
// against one that counts from when a daemon noticed it that was cut off from the store.
func TestReportedEndsDoNotGrowYounger(t *testing.T) {
	l := newEndsLog(at(0))
	l.Apply(NewState([]string{"a"}, 10, at(0)), FromListing)
	l.now = at(1000)
	l.Apply(NewState(nil, 11, at(1000)), FromWatch)
	for ms := 1100; ms < 5000; ms += 250 {
		l.now = at(ms)
		l.ApplyEnds(NewState(nil, 11, at(ms)), Ends{Since: at(-90_000), At: map[string]time.Time{"a": at(ms - 50)}})
	}
	must.Eq(t, at(1000), l.ended["a"])
}

// Guards against other writers' objects that make a daemon keep and report ends without bound.
func TestEndsAreBounded(t *testing.T) {
	l := newEndsLog(at(0))
	l.IsKnownZone = func(zone string) bool { return zone == "zone-1" }
	for i := range 1000 {
		l.Apply(NewState([]string{"zone-1", fmt.Sprint("other-", i)}, uint64(i+1), at(i)), FromListing)
	}
	l.now = at(1000)
	l.Apply(NewState(nil, 2000, at(1000)), FromListing)
	must.Between(t, 1, len(l.Snapshot().Ends.At), maxEnds+1)
	must.MapContainsKey(t, l.Snapshot().Ends.At, "zone-1")
	l.ColdFor = func() (time.Duration, bool) { return 0, true }
	must.True(t, l.Snapshot().Ends.Since.IsZero(), must.Sprint("without a rule on cold instances nothing is reported"))
}

// Guards against a daemon without a relay that starts just after the end of an evacuation and takes the
// zone's instances for warm, and against one that takes all instances for cold although the store's history
// shows no end.
func TestStartAsksTheHistoryForEnds(t *testing.T) {
	start := func(t *testing.T, prepare func(feed *fakeFeed, f *Follower), check func(t *testing.T, l *endsLog, feed *fakeFeed, f *Follower)) {
		t.Helper()
		l := newEndsLog(time.Time{})
		l.Now = nil
		runFollower(t, false, func(f *Follower) {
			feed := f.Feed.(*fakeFeed)
			feed.revision = 5
			f.Known = l.Known
			prepare(feed, f)
		}, func(t *testing.T, feed *fakeFeed, f *Follower) {
			time.Sleep(2 * historyWait)
			synctest.Wait()
			check(t, l, feed, f)
		})
	}
	t.Run("no end", func(t *testing.T) {
		start(t, func(feed *fakeFeed, _ *Follower) {
			feed.set("a", true)
		}, func(t *testing.T, l *endsLog, feed *fakeFeed, f *Follower) {
			must.True(t, f.Settled())
			settled, _ := l.EndsSettled()
			must.True(t, settled)
			must.Nil(t, l.zones)
			time.Sleep(30 * time.Second)
			_, waits := feed.calls()
			must.Eq(t, 1, waits, must.Sprint("calls for the history"))
		})
	})
	t.Run("one zone", func(t *testing.T) {
		start(t, func(feed *fakeFeed, _ *Follower) {
			feed.set("a", true)
			feed.set("a", false)
			feed.set("c", true)
		}, func(t *testing.T, l *endsLog, _ *fakeFeed, f *Follower) {
			must.True(t, f.Settled())
			must.Eq(t, []string{"a"}, l.zones.Names())
			must.False(t, l.since.IsZero())
			settled, _ := l.EndsSettled()
			must.False(t, settled, must.Sprint("the time of the end is not known"))
			// A relay that knows it tells when it was.
			told := time.Now().Add(-time.Second)
			l.ApplyEnds(NewState([]string{"c"}, l.Snapshot().Revision, time.Now()), Ends{Since: time.Now().Add(-time.Hour), At: map[string]time.Time{"a": told}})
			must.Eq(t, told, l.ended["a"])
			must.Nil(t, l.zones)
			settled, _ = l.EndsSettled()
			must.True(t, settled)
		})
	})
	t.Run("kind not known, as the store came back from a copy", func(t *testing.T) {
		start(t, func(feed *fakeFeed, _ *Follower) {
			feed.err, feed.revision = objectapi.ErrNotFound, 0
		}, func(t *testing.T, l *endsLog, feed *fakeFeed, _ *Follower) {
			settled, _ := l.EndsSettled()
			must.True(t, settled)
			_, waits := feed.calls()
			must.Zero(t, waits)
			told := time.Now().Add(-time.Second)
			l.ApplyEnds(NewState(nil, 0, time.Now()), Ends{Since: time.Now().Add(-time.Hour), At: map[string]time.Time{"a": told}})
			must.Eq(t, told, l.ended["a"], must.Sprint("a relay has seen the evacuation that the copy lacks"))
		})
	})
	t.Run("history dropped", func(t *testing.T) {
		start(t, func(feed *fakeFeed, _ *Follower) {
			feed.followErr = objectapi.ErrCompacted
		}, func(t *testing.T, l *endsLog, _ *fakeFeed, f *Follower) {
			must.True(t, f.Settled())
			must.Nil(t, l.zones, must.Sprint("any zone"))
			settled, _ := l.EndsSettled()
			must.False(t, settled)
			time.Sleep(testCold)
			settled, _ = l.EndsSettled()
			must.True(t, settled)
		})
	})
	t.Run("no answer at first", func(t *testing.T) {
		start(t, func(feed *fakeFeed, _ *Follower) {
			feed.followErr = objectapi.ErrUnavailable
		}, func(t *testing.T, l *endsLog, feed *fakeFeed, f *Follower) {
			must.True(t, f.Settled(), must.Sprint("a start does not wait for it"))
			feed.mu.Lock()
			feed.followErr = nil
			feed.mu.Unlock()
			time.Sleep(retryPause + 10*time.Millisecond)
			settled, _ := l.EndsSettled()
			must.True(t, settled)
		})
	})
	t.Run("configuration not known", func(t *testing.T) {
		begun := time.Time{}
		start(t, func(_ *fakeFeed, f *Follower) {
			begun = time.Now()
			f.Known.ColdFor = func() (time.Duration, bool) { return testCold, time.Since(begun) > 100*time.Millisecond }
		}, func(t *testing.T, _ *endsLog, feed *fakeFeed, f *Follower) {
			must.False(t, f.Settled())
			time.Sleep(130 * time.Millisecond)
			must.True(t, f.Settled())
			_, waits := feed.calls()
			must.Eq(t, 1, waits)
		})
	})
	t.Run("no rule on cold instances", func(t *testing.T) {
		start(t, func(_ *fakeFeed, f *Follower) {
			f.Known.ColdFor = func() (time.Duration, bool) { return 0, true }
		}, func(t *testing.T, _ *endsLog, feed *fakeFeed, f *Follower) {
			must.True(t, f.Settled())
			time.Sleep(10 * time.Second)
			_, waits := feed.calls()
			must.Zero(t, waits)
		})
	})
	t.Run("first request of the deployment", func(t *testing.T) {
		begun := false
		start(t, func(_ *fakeFeed, f *Follower) {
			f.Known.ColdFor = func() (time.Duration, bool) {
				if !begun {
					return 0, true
				}
				return testCold, true
			}
		}, func(t *testing.T, _ *endsLog, _ *fakeFeed, f *Follower) {
			must.True(t, f.Settled())
			begun = true
			must.True(t, f.Settled(), must.Sprint("a daemon that was ready stays ready"))
		})
	})
	must.Eq(t, 0, historyStart(2999, testCold))
	must.Eq(t, 7000, historyStart(10_000, testCold))
}

// Guards against requests to a zone whose evacuation has ended before its instances count as cold.
func TestInstancesAreColdBeforeTheirZoneIsUsed(t *testing.T) {
	k := &Known{}
	ended := 0
	k.OnEnded = func(zone string, _ time.Time) {
		ended++
		must.True(t, k.Zones().Has(zone))
	}
	at := time.Now()
	k.Apply(NewState([]string{"a"}, 1, at), FromListing)
	k.Apply(NewState(nil, 2, at.Add(time.Second)), FromListing)
	must.Eq(t, 1, ended)
	must.False(t, k.Zones().Has("a"))
}
