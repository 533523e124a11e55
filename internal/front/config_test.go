package front

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/routes"
)

func newTestFollower() *configFollower {
	return &configFollower{key: "config/main", log: zap.NewNop(), changed: func() {}, decode: func(value []byte) (*routes.Config, error) {
		version, err := strconv.ParseUint(string(value), 10, 64)
		return &routes.Config{Version: version}, err
	}}
}

func object(version uint64, value string) objectapi.Object {
	return objectapi.Object{Key: "config/main", Version: version, Value: []byte(value)}
}

var testStart = time.Unix(1000, 0)

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newTestFollower()
	f.applyCurrentRead(object(5, "50"), nil, testStart)
	f.applyCurrentRead(object(4, "40"), nil, testStart.Add(time.Second)) // an answer overtaken by a newer one
	must.Eq(t, 50, f.Table().Config.Version)
	must.Eq(t, testStart, f.Current().ProvedAt)
}

func TestProofCountsFromSendTimeOfRead(t *testing.T) {
	f := newTestFollower()
	f.applyCurrentRead(object(5, "50"), nil, testStart)
	f.applyCurrentRead(object(5, "50"), nil, testStart.Add(3*time.Second))
	must.Eq(t, testStart.Add(3*time.Second), f.Current().ProvedAt)
	f.applyCurrentRead(objectapi.Object{}, errors.New("no answer"), testStart.Add(9*time.Second))
	must.Eq(t, testStart.Add(3*time.Second), f.Current().ProvedAt)
}

func TestUndecodableConfigurationProvesNothing(t *testing.T) {
	f := newTestFollower()
	f.applyCurrentRead(object(5, "50"), nil, testStart)
	f.applyCurrentRead(object(6, "what"), nil, testStart.Add(time.Second))
	must.Eq(t, 50, f.Table().Config.Version)
	must.Eq(t, testStart, f.Current().ProvedAt)
}

func TestNoConfigurationAfterNotFound(t *testing.T) {
	f := newTestFollower()
	f.applyCurrentRead(objectapi.Object{}, objectapi.ErrNotFound, testStart)
	must.Nil(t, f.Table())
}

// Guards against a watch without events that delays a change (fault CONFIG: after an outage of
// the store reads were 2.8 s apart, and the watch received nothing).
func TestReadIntervalKeepsBounds(t *testing.T) {
	must.Eq(t, 1400*time.Millisecond, readInterval(Bounds{Config: 2 * time.Second, Revoke: 5 * time.Second}))
	must.Eq(t, 500*time.Millisecond, readInterval(Bounds{Config: 3 * time.Second, Revoke: time.Second}))
	must.Eq(t, defaultReadInterval, readInterval(Bounds{}))
}

// Another daemon's confirmation counts for the version in force only, and never makes a proof
// older.
func TestConfirmationsOnlyAdvanceProof(t *testing.T) {
	f := newTestFollower()
	must.False(t, f.renewProof(confirmation{0, testStart}))
	must.Nil(t, f.Table())
	f.applyCurrentRead(object(5, "50"), nil, testStart)
	must.True(t, f.renewProof(confirmation{5, testStart.Add(time.Second)}))
	must.Eq(t, testStart.Add(time.Second), f.Current().ProvedAt)
	must.False(t, f.renewProof(confirmation{5, testStart}))
	must.False(t, f.renewProof(confirmation{6, testStart.Add(2 * time.Second)}))
	must.False(t, f.renewProof(confirmation{4, testStart.Add(2 * time.Second)}))
	must.Eq(t, testStart.Add(time.Second), f.Current().ProvedAt)
	f.applyCurrentRead(object(5, "50"), nil, testStart) // a read that was sent before the confirmation
	must.Eq(t, testStart.Add(time.Second), f.Current().ProvedAt)
}

// A newer version that another daemon read is read at once, but not while the store does not
// answer: each confirmation would cost a call then.
func TestConfirmedNewerVersionIsReadAtOnceUnlessStoreIsDown(t *testing.T) {
	f := newTestFollower()
	f.bounds = func() Bounds { return Bounds{} }
	sentAt := f.clock.Now().Add(-time.Second)
	f.schedule.recordSent(sentAt)
	f.applyRead(readResult{source: sourceRead, object: object(5, "50"), provedAt: sentAt})
	must.Eq(t, sentAt.Add(readInterval(Bounds{})), f.due())
	f.applyConfirmation(confirmation{6, sentAt.Add(time.Second)})
	must.Eq(t, sentAt.Add(minReadPause), f.due())

	f.schedule.recordSent(sentAt.Add(time.Second)) // and gets no answer
	must.Eq(t, sentAt.Add(time.Second+minProbeInterval), f.due())
	f.applyConfirmation(confirmation{7, sentAt.Add(2 * time.Second)})
	must.Eq(t, sentAt.Add(time.Second+minProbeInterval), f.due())
	f.applyRead(readResult{err: errors.New("down")})
	must.Eq(t, sentAt.Add(time.Second+minProbeInterval), f.due())
	f.applyConfirmation(confirmation{5, sentAt.Add(2 * time.Second)}) // it proves the version in force
	must.Eq(t, sentAt.Add(2*time.Second), f.Current().ProvedAt)
}

// The backoff of unanswered reads grows to the allowed maximum and no further: the length of an
// outage says nothing about when it ends.
func TestUnansweredReadsBackOffToMaximum(t *testing.T) {
	var s readSchedule
	for i := range 100 {
		s.recordSent(testStart)
		wait := s.due(5, testStart, readPauses{time.Millisecond, time.Second, 2 * time.Second}).Sub(testStart)
		must.Eq(t, min(minProbeInterval<<min(i, 4), 2*time.Second), wait)
	}
	s.recordResult(readResult{source: sourceRead, object: object(5, "50"), provedAt: testStart})
	must.Eq(t, testStart.Add(time.Second), s.due(5, testStart, readPauses{time.Second, time.Second, 2 * time.Second}))
}

// A hint of a version that the store does not show is dropped with the next current read, and a
// configuration that cannot be decoded is not read more often than another.
func TestReadDropsUnprovedHint(t *testing.T) {
	var s readSchedule
	s.hint = &confirmation{9, testStart}
	s.recordSent(testStart.Add(time.Second))
	s.recordResult(readResult{source: sourceRead, object: object(5, "what"), provedAt: testStart.Add(time.Second)})
	must.Nil(t, s.hint)
	must.Eq(t, testStart.Add(3*time.Second), s.due(0, time.Time{}, readPauses{2 * time.Second, time.Second, time.Second}))
}

func TestRelayReadsMoreOften(t *testing.T) {
	f := newTestFollower()
	f.bounds = func() Bounds { return Bounds{Config: 2 * time.Second} }
	must.Eq(t, 1400*time.Millisecond, f.interval())
	f.serving = func() bool { return true }
	must.Eq(t, 700*time.Millisecond, f.interval())
}

func TestPlannerRetriesSoonerForFirstConfiguration(t *testing.T) {
	f := newTestFollower()
	must.Eq(t, firstConfigPause, f.noConfigPause())
	f.planning = func() bool { return true }
	must.Eq(t, minReadPause, f.noConfigPause())
}

// countingFeed answers reads of the configuration and counts them, stale ones separately.
type countingFeed struct {
	objectapi.Feed
	current, stale  objectapi.Object
	err             error
	gets, staleGets int
}

func (p *countingFeed) Get(context.Context, string) (objectapi.Object, error) {
	p.gets++
	return p.current, p.err
}

func (p *countingFeed) GetStale(context.Context, string) (objectapi.Object, error) {
	p.staleGets++
	return p.stale, p.err
}

// Guards against changes that every daemon reads at the full price: 295 daemons read each change
// with a current read, and a burst of twelve several times, though the relay had confirmed the
// version. A stale read that shows the confirmed version or a later one is in force with the
// confirmation's time as its proof; one that shows an older version is not.
func TestStaleReadWithRelayedProofIsEnough(t *testing.T) {
	feed := &countingFeed{current: object(7, "70"), stale: object(7, "70")}
	f := newTestFollower()
	f.feed = feed
	f.applyCurrentRead(object(5, "50"), nil, testStart)
	f.applyRead(f.read(t.Context(), &confirmation{7, testStart.Add(time.Second)}))
	must.Eq(t, 70, f.Table().Config.Version)
	must.Eq(t, testStart.Add(time.Second), f.Current().ProvedAt)
	must.Eq(t, 0, feed.gets)

	feed.current = object(9, "90")
	f.applyRead(f.read(t.Context(), &confirmation{9, testStart.Add(2 * time.Second)}))
	must.Eq(t, 90, f.Table().Config.Version)
	must.Eq(t, 1, feed.gets) // the stale read still showed version 7
	must.True(t, f.Current().ProvedAt.After(testStart.Add(2*time.Second)))
}

// A store that does not answer the stale read is not called again for a current one.
func TestUnavailableStoreIsReadOnce(t *testing.T) {
	feed := &countingFeed{err: errors.WithType(errors.New("down"), objectapi.ErrUnavailable)}
	f := newTestFollower()
	f.feed = feed
	must.ErrorIs(t, f.read(t.Context(), &confirmation{7, testStart}).err, objectapi.ErrUnavailable)
	must.Eq(t, 1, feed.gets+feed.staleGets)
}

// A starting daemon waits up to startWait for a relay's confirmation, and not at all if others
// rely on its own reads.
func TestFirstReadWaitsForConfirmation(t *testing.T) {
	f := newTestFollower()
	f.confirmations, f.startWait = make(chan confirmation, 1), 10*time.Second
	f.confirm(7, testStart)
	must.Eq(t, &confirmation{7, testStart}, f.awaitFirstHint(t.Context()))
	f.serving = func() bool { return true }
	must.Nil(t, f.awaitFirstHint(t.Context()))
	f.serving, f.startWait = nil, time.Millisecond
	must.Nil(t, f.awaitFirstHint(t.Context()))
}
