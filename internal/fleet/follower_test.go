package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/steady"
)

// scriptedFeed answers each call from a channel, so that the test controls the order.
type scriptedFeed struct {
	objectapi.Feed
	lists   chan objectapi.Listing
	follows chan followCall
}

type followCall struct {
	after  uint64
	answer chan followAnswer
}

type followAnswer struct {
	events    []objectapi.Event
	revision  uint64
	closesGap bool
	age       time.Duration
	err       error
}

func (f *scriptedFeed) ListKind(ctx context.Context, _ string) (objectapi.Listing, error) {
	select {
	case l := <-f.lists:
		return l, nil
	case <-ctx.Done():
		return objectapi.Listing{}, ctx.Err()
	}
}

// ListStale lists as ListKind does; the first listing of a follower is stale.
func (f *scriptedFeed) ListStale(ctx context.Context, kind string) (objectapi.Listing, error) {
	return f.ListKind(ctx, kind)
}

func (f *scriptedFeed) Follow(ctx context.Context, _ string, after uint64, _ time.Duration) (objectapi.Changes, error) {
	call := followCall{after, make(chan followAnswer, 1)}
	select {
	case f.follows <- call:
	case <-ctx.Done():
		return objectapi.Changes{}, ctx.Err()
	}
	select {
	case a := <-call.answer:
		return objectapi.Changes{Events: a.events, Revision: a.revision, ClosesGap: a.closesGap, Age: a.age}, a.err
	case <-ctx.Done():
		return objectapi.Changes{}, ctx.Err()
	}
}

func startFollower(t *testing.T) (*Follower, *scriptedFeed) {
	t.Helper()
	return startFollowerWithClock(t, testClock())
}

func startFollowerWithClock(t *testing.T, clock *steady.Clock) (*Follower, *scriptedFeed) {
	t.Helper()
	feed := &scriptedFeed{lists: make(chan objectapi.Listing), follows: make(chan followCall)}
	decode := func(id string, version uint64, _ []byte) (*Instance, error) {
		return &Instance{ID: id, Service: "s", Version: version}, nil
	}
	f := NewFollower(feed, "entries", decode, NewKnownState(heartbeat, sizes), zap.NewNop())
	f.Clock = clock
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f, feed
}

// testClock returns a clock without suspensions and corrections of the time of day. The machine's
// clock must not be used in virtual time: it would take the jump for a suspension.
func testClock() *steady.Clock {
	start := time.Now()
	since := func() time.Duration { return time.Since(start) }
	return steady.NewClockFrom(func() (time.Time, time.Duration) {
		d := since()
		return start.Round(0).Add(d), d
	}, since)
}

func object(id string, version uint64) objectapi.Object {
	return objectapi.Object{Key: "entries/" + id, Version: version}
}

func TestFollowerResumesFromLastSeenChange(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 5}
	// A watch that received nothing may have missed changes: its revision is not used.
	call := <-feed.follows
	must.Eq(t, 5, call.after)
	call.answer <- followAnswer{revision: 9}
	call = <-feed.follows
	must.Eq(t, 5, call.after)
	call.answer <- followAnswer{events: []objectapi.Event{{Object: object("b", 7)}, {Object: object("a", 8), Removed: true}}, revision: 9}
	call = <-feed.follows
	must.Eq(t, 9, call.after)
	must.MapContainsKeys(t, f.View().Instances, []string{"b"})
	must.MapNotContainsKey(t, f.View().Instances, "a")
}

func TestFollowerResumesAfterAGapWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, feed := startFollower(t)
		feed.lists <- objectapi.Listing{Revision: 5}
		(<-feed.follows).answer <- followAnswer{revision: 7}
		call := <-feed.follows
		must.Eq(t, 5, call.after)
		call.answer <- followAnswer{revision: 9, closesGap: true}
		must.Eq(t, 9, (<-feed.follows).after)
	})
}

func TestFollowerRelistsAfterCompaction(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 5}
	(<-feed.follows).answer <- followAnswer{err: objectapi.ErrCompacted}
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("b", 8)}, Revision: 9}
	must.Eq(t, 9, (<-feed.follows).after)
	must.MapNotContainsKey(t, f.View().Instances, "a")
}

// Guards against a new planner that plans on a view from before its term (seen as fault TWO: its
// watch had received nothing for nine seconds).
func TestRefreshInterruptsWatchForListing(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Revision: 5}
	<-feed.follows // receives nothing
	before := f.Clock.Now()
	f.Refresh()
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("b", 8)}, Revision: 9}
	<-feed.follows
	must.True(t, f.ProvedAt().After(before))
	must.MapContainsKey(t, f.View().Instances, "b")
}

// Guards against pauses that grow with the delays of a busy machine: the pause after changes summed
// up the lengths of its steps, so a process that was scheduled late after each of them learned of
// leaving instances later by all of these delays together.
func TestPauseAfterChangesDoesNotAddUpDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowdown = 3 // a timer ends after three times its duration
		start := time.Now()
		elapsed := func() time.Duration { return slowdown * time.Since(start) }
		clock := steady.NewClockFrom(func() (time.Time, time.Duration) { return start.Round(0).Add(elapsed()), elapsed() }, elapsed)
		f, feed := startFollowerWithClock(t, clock)
		feed.lists <- objectapi.Listing{Revision: 5}
		(<-feed.follows).answer <- followAnswer{events: []objectapi.Event{{Object: object("a", 6)}}, revision: 6}
		began := f.Clock.Now()
		<-feed.follows
		longestDelay := (slowdown - 1) * pauseCheckInterval
		must.LessEq(t, defaultUpdatePause+longestDelay, f.Clock.Since(began))
		must.GreaterEq(t, defaultUpdatePause, f.Clock.Since(began))
	})
}

func TestViewIsRebuiltWhenSizesChange(t *testing.T) {
	modelSize := 0
	feed := &scriptedFeed{lists: make(chan objectapi.Listing), follows: make(chan followCall)}
	decode := func(id string, version uint64, _ []byte) (*Instance, error) { return member(id, 0, Open), nil }
	f := NewFollower(feed, "entries", decode, NewKnownState(heartbeat, func(string, string) int { return modelSize }), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 5}
	(<-feed.follows).answer <- followAnswer{revision: 5}
	<-f.Changed()
	must.False(t, f.View().Groups[GroupKey{"g", 3}].Serving())
	modelSize = 1
	f.SizesChanged()
	<-f.Changed()
	must.True(t, f.View().Groups[GroupKey{"g", 3}].Serving())
}

// The first listing is stale, as the watch after it proves it: a current listing cost each
// starting daemon two pages at the full price. No view may be published from the stale listing
// before the changes after it are known.
func TestStaleFirstListingIsNotPublishedUntilProved(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 3}
	call := <-feed.follows
	must.Nil(t, f.View())
	must.True(t, f.ProvedAt().IsZero())
	must.Eq(t, 3, call.after)
	call.answer <- followAnswer{events: []objectapi.Event{{Object: object("a", 5), Removed: true}, {Object: object("b", 7)}}, revision: 9}
	<-feed.follows
	must.MapContainsKeys(t, f.View().Instances, []string{"b"})
	must.MapNotContainsKey(t, f.View().Instances, "a")
	must.False(t, f.ProvedAt().IsZero())
}

// If nothing changed since the stale listing, the proof alone publishes it.
func TestProofWithoutChangesPublishesFirstListing(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 3}
	(<-feed.follows).answer <- followAnswer{revision: 3}
	<-feed.follows
	must.MapContainsKey(t, f.View().Instances, "a")
}
