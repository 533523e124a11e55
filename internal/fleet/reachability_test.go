package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

var errNoAnswer = errors.WithType(errors.New("timeout"), objectapi.ErrUnavailable)

// An absence begins when the first call without an answer was sent, and ends with the
// first answer to any call.
func TestAbsenceEndsWithTheFirstAnswerToAnyCall(t *testing.T) {
	c := NewReachability(heartbeat)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	c.Note(at(0), at(0.1), nil)
	c.Note(at(1), at(2.5), errNoAnswer) // a read
	c.Note(at(0.5), at(5), errNoAnswer) // a watch sent before it
	must.True(t, c.Lost())
	c.Note(at(6), at(6.1), nil) // another read
	must.False(t, c.Lost())
	must.Eq(t, at(6.1), c.Back())
	c.Note(at(5.5), at(10), errNoAnswer) // a watch that hung since before the return
	must.False(t, c.Lost())
	c.Note(at(10.5), at(13), nil) // the watch that brings the next change
	must.Eq(t, at(6.1), c.Back())
}

func TestAnswersEndAnAbsenceWhateverTheySay(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		ends bool
	}{
		"done":         {nil, true},
		"no object":    {objectapi.ErrNotFound, true},
		"conflict":     {objectapi.ErrConflict, true},
		"compacted":    {objectapi.ErrCompacted, true},
		"refused":      {errNoAnswer, false},
		"lost write":   {objectapi.ErrUnknownOutcome, false},
		"broken off":   {errors.WithType(errors.Annotate(context.Canceled, "get"), objectapi.ErrUnavailable), false},
		"call timeout": {errors.WithType(context.DeadlineExceeded, objectapi.ErrUnavailable), false},
	} {
		t.Run(name, func(t *testing.T) {
			reach := NewReachability(heartbeat)
			reach.Failed(start)
			reach.Note(start.Add(heartbeat), start.Add(2*heartbeat), c.err)
			must.Eq(t, !c.ends, reach.Lost())
		})
	}
}

func TestCallBrokenOffIsNoLoss(t *testing.T) {
	c := NewReachability(heartbeat)
	c.Note(start, start.Add(time.Second), errors.WithType(errors.Annotate(context.Canceled, "watch"), objectapi.ErrUnavailable))
	must.False(t, c.Lost())
}

// What another daemon knew from before the loss does not end it.
func TestAnswerFromBeforeTheLossDoesNotEndIt(t *testing.T) {
	c := NewReachability(heartbeat)
	c.Failed(start)
	c.Answered(start.Add(-time.Millisecond))
	must.True(t, c.Lost())
}

// A watch sent while the store was away hung for 4.5 seconds in all, 2.5 of them after
// other calls of the same daemon were answered again; changes of that time were unknown to
// it as long ("store reached again" at 12.38 s, "instances not followed" at 14.41 s).
func TestWatchThatHangsIsSentAnewWhenTheStoreIsBack(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 5}
	<-feed.follows // hangs
	reach := f.belief.Reachability()
	sent := time.Now()
	reach.Failed(sent)
	reach.Answered(sent.Add(2 * heartbeat))
	select {
	case call := <-feed.follows:
		must.Eq(t, 5, call.after)
		call.answer <- followAnswer{events: []objectapi.Event{{Object: object("b", 8)}}, revision: 9}
	case <-time.After(2 * time.Second):
		t.Fatal("the watch still hangs")
	}
	<-feed.follows
	must.MapContainsKey(t, f.View().Instances, "b")
}

// A daemon rests up to a second after a watch that failed; not when the store is back.
func TestFollowerDoesNotRestWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, feed := startFollower(t)
		feed.lists <- objectapi.Listing{Revision: 5}
		for range 4 { // the rest is at its longest
			(<-feed.follows).answer <- followAnswer{err: errNoAnswer}
		}
		synctest.Wait() // the last call has ended, and the rest begun
		begun := f.Clock.Now()
		f.belief.Reached(begun.Add(2 * heartbeat))
		<-feed.follows
		must.Eq(t, 0, f.Clock.Since(begun))
	})
}
