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

// An outage begins when the first unanswered call was sent, and ends with the first answer to
// any call.
func TestOutageEndsWithFirstAnswerToAnyCall(t *testing.T) {
	c := NewReachability(heartbeat)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	c.Record(at(0), at(0.1), nil)
	c.Record(at(1), at(2.5), errNoAnswer) // a read
	c.Record(at(0.5), at(5), errNoAnswer) // a watch sent before it
	must.True(t, c.Unreachable())
	c.Record(at(6), at(6.1), nil) // another read
	must.False(t, c.Unreachable())
	must.Eq(t, at(6.1), c.RecoveredAt())
	c.Record(at(5.5), at(10), errNoAnswer) // a watch that hung since before the recovery
	must.False(t, c.Unreachable())
	c.Record(at(10.5), at(13), nil) // the watch that brings the next change
	must.Eq(t, at(6.1), c.RecoveredAt())
}

func TestAnyAnswerEndsOutage(t *testing.T) {
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
		"canceled":     {errors.WithType(errors.Annotate(context.Canceled, "get"), objectapi.ErrUnavailable), false},
		"call timeout": {errors.WithType(context.DeadlineExceeded, objectapi.ErrUnavailable), false},
	} {
		t.Run(name, func(t *testing.T) {
			reach := NewReachability(heartbeat)
			reach.RecordFailure(start)
			reach.Record(start.Add(heartbeat), start.Add(2*heartbeat), c.err)
			must.Eq(t, !c.ends, reach.Unreachable())
		})
	}
}

func TestCanceledCallIsNoFailure(t *testing.T) {
	c := NewReachability(heartbeat)
	c.Record(start, start.Add(time.Second), errors.WithType(errors.Annotate(context.Canceled, "watch"), objectapi.ErrUnavailable))
	must.False(t, c.Unreachable())
}

// An answer that another daemon got before the first failure does not end the outage.
func TestAnswerBeforeFailureDoesNotEndOutage(t *testing.T) {
	c := NewReachability(heartbeat)
	c.RecordFailure(start)
	c.RecordAnswer(start.Add(-time.Millisecond))
	must.True(t, c.Unreachable())
}

// Guards against a watch sent during an outage that hides changes after its end: one hung for
// 4.5 seconds, 2.5 of them after other calls of the same daemon were answered again ("store
// reached again" at 12.38 s, "instances not followed" at 14.41 s).
func TestHangingWatchIsRestartedWhenStoreRecovers(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 5}
	<-feed.follows // hangs
	reach := f.state.Reachability()
	sent := time.Now()
	reach.RecordFailure(sent)
	reach.RecordAnswer(sent.Add(2 * heartbeat))
	select {
	case call := <-feed.follows:
		must.Eq(t, 5, call.after)
		call.answer <- followAnswer{events: []objectapi.Event{{Object: object("b", 8)}}, revision: 9}
	case <-time.After(2 * time.Second):
		t.Fatal("the watch was not restarted within 2 s of the recovery")
	}
	<-feed.follows
	must.MapContainsKey(t, f.View().Instances, "b")
}

// The backoff after failed watches grows to maxRetryBackoff, but ends when the store answers
// again.
func TestFollowerSkipsBackoffWhenStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, feed := startFollower(t)
		feed.lists <- objectapi.Listing{Revision: 5}
		for range 4 { // the backoff is at its maximum
			(<-feed.follows).answer <- followAnswer{err: errNoAnswer}
		}
		synctest.Wait() // the last call has ended, and the backoff begun
		begun := f.Clock.Now()
		f.state.StoreAnswered(begun.Add(2 * heartbeat))
		<-feed.follows
		must.Eq(t, 0, f.Clock.Since(begun))
	})
}
