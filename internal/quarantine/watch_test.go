package quarantine

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/zap"
)

// watched is a watch over instances whose addresses answer as a test says.
type watched struct {
	*Watch
	probes atomic.Int64
	mu     sync.Mutex
	answer error
	now    time.Time
}

func newWatched(answer error) *watched {
	w := &watched{answer: answer, now: start}
	w.Watch = NewWatch(NewEvidence(), func(context.Context, string) error {
		w.probes.Add(1)
		return w.answer
	}, func() time.Time {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.now
	}, zap.NewNop())
	return w
}

// pass lets time pass.
func (w *watched) pass(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

func (w *watched) send(n int, d Digest, cancel func()) *Send {
	return w.Begin(lifeOf(n), "address", "w", func() Digest { return d }, cancel)
}

func (w *watched) marked() int {
	marked, _ := w.Evidence.Counts()
	return marked
}

func soon(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)), must.Sprint(what))
}

var errRefusedConn = errors.Annotate(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, "probe")

// On a day on which engines broke off 40 of 100 answers, 1,154 sends ended like those at an
// engine that ends. One that takes connections goes on; one that answers nothing may be cut
// off. Neither marks what was in progress.
func TestOnlyAnAddressThatIsClosedIsAnEnd(t *testing.T) {
	for _, answer := range []error{nil, context.DeadlineExceeded} {
		w := newWatched(answer)
		for i := range 5 {
			s := w.send(i, poison, func() {})
			s.Broke()
			s.Done()
			w.pass(time.Second)
		}
		soon(t, "it was looked", func() bool { return w.probes.Load() >= 5 })
		must.Zero(t, w.marked())
		must.Zero(t, w.Ends())
	}
	w := newWatched(errRefusedConn)
	w.send(1, poison, func() {}).Broke()
	soon(t, "it is marked", func() bool { return w.marked() == 1 })
	must.Eq(t, 1, w.Ends())
}

// All requests of a daemon that were in progress at an instance share one look, those that
// notice late too; one that had run for a while is none of them.
func TestRequestsOfOneEndShareALook(t *testing.T) {
	w := newWatched(errRefusedConn)
	ran := w.send(1, digestOf("ran", 0), func() {})
	ran.Event(w.Now())
	w.pass(ranFor)
	for i := range 5 {
		w.send(1, digestOf("other", i), func() {}).Broke()
	}
	ran.Broke()
	soon(t, "they are marked", func() bool { return w.marked() == 5 })
	w.send(1, digestOf("late", 0), func() {}).Broke()
	soon(t, "the late one is marked", func() bool { return w.marked() == 6 })
	must.Eq(t, 1, w.probes.Load())
}

// Copies that wait when a request is refused are called back; those that bring events run on.
func TestWaitingCopiesAreCalledBack(t *testing.T) {
	w := newWatched(errRefusedConn)
	var waiting, running, other atomic.Int64
	for i := range 3 {
		s := w.send(i, poison, func() {})
		s.Broke()
		s.Done()
		soon(t, "it ended", func() bool { return w.Ends() == uint64(i+1) })
		if i < 2 {
			w.pass(time.Second)
		}
		if i == 1 {
			w.send(7, poison, func() { waiting.Add(1) })
			w.send(7, poison, func() { running.Add(1) }).Event(w.Now())
			w.send(7, bystander, func() { other.Add(1) })
		}
	}
	soon(t, "the waiting one is called back", func() bool { return waiting.Load() == 1 })
	must.Zero(t, running.Load())
	must.Zero(t, other.Load())
	must.True(t, w.Refuses(func() Digest { return poison }))
}

// A day without an end computes no digest.
func TestNothingIsDigestedWithoutAnEnd(t *testing.T) {
	w := newWatched(nil)
	digest := func() Digest { t.Fatal("digested"); return Digest{} }
	s := w.Begin(lifeOf(0), "address", "w", digest, func() {})
	must.False(t, w.Refuses(digest))
	s.Event(w.Now())
	w.pass(time.Second)
	s.Event(w.Now())
	s.Done()
	w.Good(digest)
}
