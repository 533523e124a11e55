package front

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
)

// hangingFeed answers no call while it is away, and reads of an object otherwise; calls
// that began meanwhile hang on. Watches always hang.
type hangingFeed struct {
	objectapi.Feed
	away atomic.Bool
	gets atomic.Int64
}

func (f *hangingFeed) Get(ctx context.Context, _ string) (objectapi.Object, error) {
	f.gets.Add(1)
	if f.away.Load() {
		return objectapi.Object{}, hang(ctx)
	}
	return objectapi.Object{}, objectapi.ErrNotFound
}

func (f *hangingFeed) Follow(ctx context.Context, _ string, _ uint64, _ time.Duration) (objectapi.Changes, error) {
	return objectapi.Changes{}, hang(ctx)
}

func hang(ctx context.Context) error {
	<-ctx.Done()
	return errors.WithType(errors.Trace(ctx.Err()), objectapi.ErrUnavailable)
}

func testCalls() (*hangingFeed, *countedFeed) {
	inner := &hangingFeed{}
	return inner, newCountedFeed(inner, fleet.NewContact(50*time.Millisecond), metrics.NewSet())
}

// A watch sent while the store was away hung for 4.5 seconds in all, 2.5 of them after
// other calls of the same daemon were answered again; changes of that time were unknown to
// it as long ("store reached again" at 12.38 s, "instances not followed" at 14.41 s).
func TestWatchThatHangsEndsWhenAnotherCallIsAnswered(t *testing.T) {
	inner, calls := testCalls()
	ended := make(chan error)
	go func() {
		_, err := calls.Follow(t.Context(), "entries", 5, time.Hour)
		ended <- err
	}()
	inner.away.Store(true)
	timed, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := calls.Get(timed, "config/main")
	must.ErrorIs(t, err, objectapi.ErrUnavailable)
	must.True(t, calls.contact.Lost())
	inner.away.Store(false)
	_, err = calls.Get(t.Context(), "config/main")
	must.ErrorIs(t, err, objectapi.ErrNotFound)
	must.ErrorIs(t, <-ended, fleet.ErrReturned)
	must.False(t, calls.contact.Lost(), must.Sprint("a call broken off shows nothing"))
}

// The store goes silent and comes back: the next probe shows it, though earlier ones hang.
func TestProbeFindsThatTheStoreIsBack(t *testing.T) {
	inner, calls := testCalls()
	probe := storeProbe{feed: calls, contact: calls.contact}
	go probe.Run(t.Context())
	inner.away.Store(true)
	calls.contact.Failed(time.Now())
	returned := calls.contact.Returned()
	for inner.gets.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	inner.away.Store(false)
	back := time.Now()
	<-returned
	must.Less(t, probeEvery+probeEvery/2, time.Since(back))
	asked := inner.gets.Load()
	time.Sleep(probeEvery + probeEvery/2)
	must.Eq(t, asked, inner.gets.Load(), must.Sprint("it probes a store that answers"))
}
