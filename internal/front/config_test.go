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

func testConfig() *configFollower {
	return &configFollower{key: "config/main", log: zap.NewNop(), changed: func() {}, decode: func(value []byte) (*routes.Config, error) {
		version, err := strconv.ParseUint(string(value), 10, 64)
		return &routes.Config{Version: version}, err
	}}
}

func object(version uint64, value string) objectapi.Object {
	return objectapi.Object{Key: "config/main", Version: version, Value: []byte(value)}
}

var now = time.Unix(1000, 0)

func TestOlderConfigurationNeverComesBack(t *testing.T) {
	f := testConfig()
	f.take(object(5, "50"), nil, now)
	f.take(object(4, "40"), nil, now.Add(time.Second)) // an answer that was overtaken
	must.Eq(t, 50, f.Table().Config.Version)
	must.Eq(t, now, f.Current().Proved)
}

func TestProofCountsFromWhenTheReadWasSent(t *testing.T) {
	f := testConfig()
	f.take(object(5, "50"), nil, now)
	f.take(object(5, "50"), nil, now.Add(3*time.Second))
	must.Eq(t, now.Add(3*time.Second), f.Current().Proved)
	f.take(objectapi.Object{}, errors.New("no answer"), now.Add(9*time.Second))
	must.Eq(t, now.Add(3*time.Second), f.Current().Proved)
}

func TestConfigurationNotUnderstoodProvesNothing(t *testing.T) {
	f := testConfig()
	f.take(object(5, "50"), nil, now)
	f.take(object(6, "what"), nil, now.Add(time.Second))
	must.Eq(t, 50, f.Table().Config.Version)
	must.Eq(t, now, f.Current().Proved)
}

func TestFreshProcessKnowsNoConfiguration(t *testing.T) {
	f := testConfig()
	f.take(objectapi.Object{}, objectapi.ErrNotFound, now)
	must.Nil(t, f.Table())
}

// A watch that hears nothing must not delay a change (seen as CONFIG: after an
// outage of the store reads were 2.8 s apart, and the watch deaf).
func TestReadsAloneKeepTheBounds(t *testing.T) {
	must.Eq(t, 1400*time.Millisecond, readEvery(Bounds{Config: 2 * time.Second, Revoke: 5 * time.Second}))
	must.Eq(t, 500*time.Millisecond, readEvery(Bounds{Config: 3 * time.Second, Revoke: time.Second}))
	must.Eq(t, defaultRead, readEvery(Bounds{}))
}

// Another daemon's word counts for the version in force only, and never makes a
// proof older.
func TestConfirmationsMoveTheProofForwardOnly(t *testing.T) {
	f := testConfig()
	must.False(t, f.confirmed(confirmation{0, now}))
	must.Nil(t, f.Table())
	f.take(object(5, "50"), nil, now)
	must.True(t, f.confirmed(confirmation{5, now.Add(time.Second)}))
	must.Eq(t, now.Add(time.Second), f.Current().Proved)
	must.False(t, f.confirmed(confirmation{5, now}))
	must.False(t, f.confirmed(confirmation{6, now.Add(2 * time.Second)}))
	must.False(t, f.confirmed(confirmation{4, now.Add(2 * time.Second)}))
	must.Eq(t, now.Add(time.Second), f.Current().Proved)
	f.take(object(5, "50"), nil, now) // a read that was sent before the confirmation
	must.Eq(t, now.Add(time.Second), f.Current().Proved)
}

// A newer version that another daemon saw is read at once, but not while the store
// does not answer: then each word would cost a call.
func TestConfirmedNewerVersionIsReadAtOnce(t *testing.T) {
	f := testConfig()
	f.bounds = func() Bounds { return Bounds{} }
	asked := f.clock.Now().Add(-time.Second)
	f.reads.sent(asked)
	f.finish(readResult{source: sourceRead, object: object(5, "50"), proved: asked})
	must.Eq(t, asked.Add(readEvery(Bounds{})), f.due())
	f.hear(confirmation{6, asked.Add(time.Second)})
	must.Eq(t, asked.Add(leastPause), f.due())

	f.reads.sent(asked.Add(time.Second)) // and gets no answer
	must.Eq(t, asked.Add(time.Second+probeFirst), f.due())
	f.hear(confirmation{7, asked.Add(2 * time.Second)})
	must.Eq(t, asked.Add(time.Second+probeFirst), f.due())
	f.finish(readResult{err: errors.New("down")})
	must.Eq(t, asked.Add(time.Second+probeFirst), f.due())
	f.hear(confirmation{5, asked.Add(2 * time.Second)}) // it proves the version in force
	must.Eq(t, asked.Add(2*time.Second), f.Current().Proved)
}

// The time between reads without an answer grows to the most that is allowed, and no further:
// how long the store has been away says nothing of when it is back.
func TestReadsWithoutAnAnswerGoOn(t *testing.T) {
	var s readSchedule
	for i := range 100 {
		s.sent(now)
		wait := s.due(5, now, readPace{time.Millisecond, time.Second, 2 * time.Second}).Sub(now)
		must.Eq(t, min(probeFirst<<min(i, 4), 2*time.Second), wait)
	}
	s.ended(readResult{source: sourceRead, object: object(5, "50"), proved: now})
	must.Eq(t, now.Add(time.Second), s.due(5, now, readPace{time.Second, time.Second, 2 * time.Second}))
}

// A word of a version that the store does not show is dropped with the next whole read, and
// a configuration that is not understood is not read more often than another.
func TestReadsDoNotSpin(t *testing.T) {
	var s readSchedule
	s.hint = &confirmation{9, now}
	s.sent(now.Add(time.Second))
	s.ended(readResult{source: sourceRead, object: object(5, "what"), proved: now.Add(time.Second)})
	must.Nil(t, s.hint)
	must.Eq(t, now.Add(3*time.Second), s.due(0, time.Time{}, readPace{2 * time.Second, time.Second, time.Second}))
}

func TestRelaysReadMoreOften(t *testing.T) {
	f := testConfig()
	f.bounds = func() Bounds { return Bounds{Config: 2 * time.Second} }
	must.Eq(t, 1400*time.Millisecond, f.interval())
	f.serving = func() bool { return true }
	must.Eq(t, 700*time.Millisecond, f.interval())
}

func TestOnlyThePlannerHurriesForTheFirstConfiguration(t *testing.T) {
	f := testConfig()
	must.Eq(t, firstPause, f.untilFirst())
	f.planning = func() bool { return true }
	must.Eq(t, leastPause, f.untilFirst())
}

// pricedFeed answers reads of the configuration and counts them, the old ones apart.
type pricedFeed struct {
	objectapi.Feed
	current, old objectapi.Object
	err          error
	gets, stales int
}

func (p *pricedFeed) Get(context.Context, string) (objectapi.Object, error) {
	p.gets++
	return p.current, p.err
}

func (p *pricedFeed) GetStale(context.Context, string) (objectapi.Object, error) {
	p.stales++
	return p.old, p.err
}

// What happened: each change of the configuration was read by 295 daemons at the full
// price, and a storm of twelve by each of them several times. Why: only a read as of now was
// taken for news, though the relay's word had proved the version. What must hold: an old read
// that shows the version proved, or a later one, is in force with that word's time as its
// proof; one that shows an older version is not.
func TestOldReadWithAnotherDaemonsProofIsEnough(t *testing.T) {
	feed := &pricedFeed{current: object(7, "70"), old: object(7, "70")}
	f := testConfig()
	f.feed = feed
	f.take(object(5, "50"), nil, now)
	f.finish(f.read(t.Context(), &confirmation{7, now.Add(time.Second)}))
	must.Eq(t, 70, f.Table().Config.Version)
	must.Eq(t, now.Add(time.Second), f.Current().Proved)
	must.Eq(t, 0, feed.gets)

	feed.current = object(9, "90")
	f.finish(f.read(t.Context(), &confirmation{9, now.Add(2 * time.Second)}))
	must.Eq(t, 90, f.Table().Config.Version)
	must.Eq(t, 1, feed.gets) // the old read showed version 7 still
	must.True(t, f.Current().Proved.After(now.Add(2*time.Second)))
}

// A store that is away is asked once, not twice.
func TestStoreThatIsAwayIsAskedOnce(t *testing.T) {
	feed := &pricedFeed{err: errors.WithType(errors.New("down"), objectapi.ErrUnavailable)}
	f := testConfig()
	f.feed = feed
	must.ErrorIs(t, f.read(t.Context(), &confirmation{7, now}).err, objectapi.ErrUnavailable)
	must.Eq(t, 1, feed.gets+feed.stales)
}

// A daemon that starts waits a moment for a relay's word, and none at all if others count
// on its own reads.
func TestFirstReadWaitsForARelaysWord(t *testing.T) {
	f := testConfig()
	f.heard, f.startPatience = make(chan confirmation, 1), 10*time.Second
	f.confirm(7, now)
	must.Eq(t, &confirmation{7, now}, f.awaitHint(t.Context()))
	f.serving = func() bool { return true }
	must.Nil(t, f.awaitHint(t.Context()))
	f.serving, f.startPatience = nil, time.Millisecond
	must.Nil(t, f.awaitHint(t.Context()))
}
