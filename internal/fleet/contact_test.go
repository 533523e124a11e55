package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

var errNoAnswer = errors.WithType(errors.New("timeout"), objectapi.ErrUnavailable)

// An absence begins when the first call without an answer was sent, and ends with the
// first answer to any call.
func TestAbsenceEndsWithTheFirstAnswerToAnyCall(t *testing.T) {
	c := NewContact(heartbeat)
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
			contact := NewContact(heartbeat)
			contact.Failed(start)
			contact.Note(start.Add(heartbeat), start.Add(2*heartbeat), c.err)
			must.Eq(t, !c.ends, contact.Lost())
		})
	}
}

func TestCallBrokenOffIsNoLoss(t *testing.T) {
	c := NewContact(heartbeat)
	c.Note(start, start.Add(time.Second), errors.WithType(errors.Annotate(context.Canceled, "watch"), objectapi.ErrUnavailable))
	must.False(t, c.Lost())
}

// What another daemon knew from before the loss does not end it.
func TestAnswerFromBeforeTheLossDoesNotEndIt(t *testing.T) {
	c := NewContact(heartbeat)
	c.Failed(start)
	c.Answered(start.Add(-time.Millisecond))
	must.True(t, c.Lost())
}

// A call that was broken off as the store is back is sent anew at once, and one that failed
// is not waited for any longer then: a daemon rests some seconds otherwise.
func TestFollowerGoesOnWhenTheStoreIsBack(t *testing.T) {
	f, feed := startFollower(t)
	feed.lists <- objectapi.Listing{Revision: 5}
	next := func(what string) followCall {
		t.Helper()
		select {
		case call := <-feed.follows:
			return call
		case <-time.After(restWhenKnown / 2):
			t.Fatal(what)
			return followCall{}
		}
	}
	for range 3 {
		(<-feed.follows).answer <- followAnswer{err: errNoAnswer}
	}
	call := <-feed.follows // the rest after it would be two seconds
	call.answer <- followAnswer{err: errors.WithType(context.Canceled, ErrReturned)}
	call = next("it rests after a call that it broke off")
	call.answer <- followAnswer{err: errNoAnswer}
	time.Sleep(retryPause) // the call has ended, and the rest begun
	f.belief.Reached(time.Now().Add(2 * heartbeat))
	next("it rests though the store is back")
}

// Calls under way end with the absence in which they were sent.
func TestCallSentIntoAnAbsenceEndsWithIt(t *testing.T) {
	c := NewContact(heartbeat)
	ctx, end := c.Begin(t.Context())
	defer end()
	c.Answered(start)
	c.Failed(start.Add(time.Second))
	c.Answered(start.Add(time.Second + heartbeat/2)) // too short to be one
	must.NoError(t, ctx.Err())
	c.Failed(start.Add(3 * time.Second))
	must.NoError(t, ctx.Err())
	c.Answered(start.Add(3*time.Second + heartbeat))
	must.ErrorIs(t, context.Cause(ctx), ErrReturned)
	after, endAfter := c.Begin(t.Context())
	defer endAfter()
	must.NoError(t, after.Err())
}

func TestCallThatEndedIsForgotten(t *testing.T) {
	c := NewContact(heartbeat)
	_, end := c.Begin(t.Context())
	end()
	must.MapEmpty(t, c.open)
}

func TestAbsenceIsSignalledOnce(t *testing.T) {
	c := NewContact(heartbeat)
	c.Failed(start)
	c.Failed(start.Add(time.Second))
	<-c.Absent()
	select {
	case <-c.Absent():
		t.Fatal("signalled again")
	default:
	}
}
