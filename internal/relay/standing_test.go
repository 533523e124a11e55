package relay

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

func TestReportsCountForAWhile(t *testing.T) {
	r := newReports()
	r.note("a", []string{"x"}, start)
	r.note("b", []string{"y", "x"}, start)
	must.Eq(t, []string{"x", "y"}, r.standing(start.Add(reportFor)))
	must.SliceEmpty(t, r.standing(start.Add(reportFor+1)))
	r.note("a", []string{"x"}, start)
	r.note("a", nil, start) // it sees them run again
	must.SliceEmpty(t, r.standing(start))
}

// A daemon for which everything stands still is cut off itself.
func TestReportOfTooMuchSaysNothing(t *testing.T) {
	r := newReports()
	r.note("a", make([]string, reportMost+1), start)
	must.SliceEmpty(t, r.standing(start))
}

func TestRelayCollectsWhatStandsStill(t *testing.T) {
	z := newZone(3)
	z.rounds(t, 6)
	relay := z.relays()[0]
	for _, d := range z.daemons {
		d.standing = []string{d.name}
	}
	z.rounds(t, 1)
	r, err := relay.answerStanding(t.Context())
	must.NoError(t, err)
	must.Eq(t, []string{"d0", "d1", "d2"}, r.Instances)
}

// Load: a member of a large group dies. Daemons rest for a second and more between two calls
// for news, and their streams' silence is told no sooner with them: a group stood for 2.6 s
// until its dead member was searched for. They tell their loads four times a second.
func TestRelayHearsWhatStandsStillWithTheNextLoads(t *testing.T) {
	z, relay, a, b := settled(t)
	a.standing, b.standing = []string{"head"}, nil
	z.exchange()
	r, err := relay.answerStanding(t.Context())
	must.NoError(t, err)
	must.Eq(t, []string{"head"}, r.Instances)
	a.standing = nil
	z.pass(reportFor)
	z.exchange()
	r, err = relay.answerStanding(t.Context())
	must.NoError(t, err)
	must.SliceEmpty(t, r.Instances)
}

// The daemon that plans looks at once at what a survey finds, and once.
func TestSurveySignalsWhatIsNew(t *testing.T) {
	news := make(chan struct{}, 1)
	found := []string{"x"}
	s := &Survey{Now: func() time.Time { return start }, News: news, Ask: func(context.Context, string) (StandingReply, error) {
		return StandingReply{found}, nil
	}}
	signalled := func() bool {
		s.once(t.Context(), []string{"a"})
		select {
		case <-news:
			return true
		default:
			return false
		}
	}
	must.True(t, signalled())
	must.False(t, signalled())
	found = []string{"x", "y"}
	must.True(t, signalled())
	found = nil
	must.False(t, signalled())
}

func TestSurveyAsksAllRelays(t *testing.T) {
	now := start
	s := &Survey{Now: func() time.Time { return now }, Ask: func(_ context.Context, address string) (StandingReply, error) {
		switch address {
		case "a":
			return StandingReply{[]string{"x", "y"}}, nil
		case "b":
			return StandingReply{[]string{"y", "z"}}, nil
		}
		return StandingReply{}, errors.New("refused")
	}}
	must.SliceEmpty(t, s.Found(now))
	s.once(t.Context(), []string{"a", "dead", "b"})
	must.Eq(t, []string{"x", "y", "z"}, s.Found(now))
	now = now.Add(reportFor + 1)
	must.SliceEmpty(t, s.Found(now), must.Sprint("too old"))
}

func TestAddressesOfRelays(t *testing.T) {
	l := objectapi.Listing{Objects: []objectapi.Object{{Value: []byte(`{"address":"10.0.0.1:7000"}`)}, {Value: []byte(`{}`)}, {Value: []byte(`?`)}}}
	must.Eq(t, []string{"10.0.0.1:7000"}, Addresses(l))
}
