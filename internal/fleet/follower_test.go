package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/steady"
)

// scriptedFeed answers each call from a channel, so that a test decides the order.
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
	events   []objectapi.Event
	revision uint64
	age      time.Duration
	err      error
}

func (f *scriptedFeed) ListKind(ctx context.Context, _ string) (objectapi.Listing, error) {
	select {
	case l := <-f.lists:
		return l, nil
	case <-ctx.Done():
		return objectapi.Listing{}, ctx.Err()
	}
}

// ListStale lists as ListKind does; a test that starts a follower gets past the proof.
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
		return objectapi.Changes{Events: a.events, Revision: a.revision, Age: a.age}, a.err
	case <-ctx.Done():
		return objectapi.Changes{}, ctx.Err()
	}
}

func startFollower(t *testing.T) (*Follower, *scriptedFeed) {
	t.Helper()
	feed := &scriptedFeed{lists: make(chan objectapi.Listing), follows: make(chan followCall)}
	decode := func(id string, version uint64, _ []byte) (*Instance, error) {
		return &Instance{ID: id, Service: "s", Version: version}, nil
	}
	f := NewFollower(feed, "entries", decode, NewBelief(heartbeat, sizes), zap.NewNop())
	f.Clock = testClock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f, feed
}

// testClock is a clock that no suspension moves, nor a correction of the time of day. That of the
// machine must not be used in virtual time: it takes the jump for a suspension.
func testClock() *steady.Clock {
	start := time.Now()
	since := func() time.Duration { return time.Since(start) }
	return steady.NewClockOf(func() (time.Time, time.Duration) {
		d := since()
		return start.Round(0).Add(d), d
	}, since)
}

func object(id string, version uint64) objectapi.Object {
	return objectapi.Object{Key: "entries/" + id, Version: version}
}

func TestFollowerGoesOnFromTheLastChangeItSaw(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 5}
	// A watch that heard nothing may have missed changes: its revision is no news.
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

func TestFollowerListsAgainWhenHistoryIsLost(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 5}
	(<-feed.follows).answer <- followAnswer{err: objectapi.ErrCompacted}
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("b", 8)}, Revision: 9}
	must.Eq(t, 9, (<-feed.follows).after)
	must.MapNotContainsKey(t, f.View().Instances, "a")
}

// A new planner must not plan on a view from before its term (seen as TWO: its
// watch had heard nothing for nine seconds).
func TestRefreshBreaksAWatchOffForAListing(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Revision: 5}
	<-feed.follows // hears nothing
	before := f.Clock.Now()
	f.Refresh()
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("b", 8)}, Revision: 9}
	<-feed.follows
	must.True(t, f.Proved().After(before))
	must.MapContainsKey(t, f.View().Instances, "b")
}

func TestViewIsBuiltAnewWhenSizesChange(t *testing.T) {
	feedSize := 0
	feed := &scriptedFeed{lists: make(chan objectapi.Listing), follows: make(chan followCall)}
	decode := func(id string, version uint64, _ []byte) (*Instance, error) { return member(id, 0, Open), nil }
	f := NewFollower(feed, "entries", decode, NewBelief(heartbeat, func(string, string) int { return feedSize }), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 5}
	(<-feed.follows).answer <- followAnswer{revision: 5}
	<-f.Changed()
	must.False(t, f.View().Groups[Key{"g", 3}].Serving())
	feedSize = 1
	f.SizesChanged()
	<-f.Changed()
	must.True(t, f.View().Groups[Key{"g", 3}].Serving())
}

// What happened: each start of a daemon listed the store as of now, two pages of the full
// price, though what it followed next would have proved an old listing as well. What must
// hold: no view is published on an old listing before what came after it is known.
func TestFirstListingIsNoViewBeforeItIsFollowedUp(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 3}
	call := <-feed.follows
	must.Nil(t, f.View())
	must.True(t, f.Proved().IsZero())
	must.Eq(t, 3, call.after)
	call.answer <- followAnswer{events: []objectapi.Event{{Object: object("a", 5), Removed: true}, {Object: object("b", 7)}}, revision: 9}
	<-feed.follows
	must.MapContainsKeys(t, f.View().Instances, []string{"b"})
	must.MapNotContainsKey(t, f.View().Instances, "a")
	must.False(t, f.Proved().IsZero())
}

// Where nothing changed since, the proof alone makes it a view.
func TestProofAloneMakesTheFirstListingAView(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 3}
	(<-feed.follows).answer <- followAnswer{revision: 3}
	<-feed.follows
	must.MapContainsKey(t, f.View().Instances, "a")
}
