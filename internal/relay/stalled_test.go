package relay

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

func TestReportsExpire(t *testing.T) {
	r := newReports()
	r.note("a", []string{"x"}, start)
	r.note("b", []string{"y", "x"}, start)
	must.Eq(t, []string{"x", "y"}, r.stalled(start.Add(reportValidFor)))
	must.SliceEmpty(t, r.stalled(start.Add(reportValidFor+1)))
	r.note("a", []string{"x"}, start)
	r.note("a", nil, start) // the streams of a make progress again
	must.SliceEmpty(t, r.stalled(start))
}

// A daemon for which every instance is stalled is cut off itself.
func TestOversizedReportIsIgnored(t *testing.T) {
	r := newReports()
	r.note("a", make([]string, maxReported+1), start)
	must.SliceEmpty(t, r.stalled(start))
}

func TestRelayCollectsStalledInstances(t *testing.T) {
	z := newZone(3)
	z.stepAll(t, 6)
	relay := z.activeRelays()[0]
	for _, d := range z.daemons {
		d.stalledInstances = []string{d.name}
	}
	z.stepAll(t, 1)
	r, err := relay.answerStalled(t.Context())
	must.NoError(t, err)
	must.Eq(t, []string{"d0", "d1", "d2"}, r.Instances)
}

// Guards against stalls that a relay learns late: daemons pause for a second and more between
// two polls, and a group with a dead member was stalled for 2.6 s until the member was searched
// for. Loads are sent four times a second and carry the stalls.
func TestStalledInstancesArriveWithLoads(t *testing.T) {
	z, relay, a, b := zoneWithRelay(t)
	a.stalledInstances, b.stalledInstances = []string{"head"}, nil
	z.exchangeAll()
	r, err := relay.answerStalled(t.Context())
	must.NoError(t, err)
	must.Eq(t, []string{"head"}, r.Instances)
	a.stalledInstances = nil
	z.advance(reportValidFor)
	z.exchangeAll()
	r, err = relay.answerStalled(t.Context())
	must.NoError(t, err)
	must.SliceEmpty(t, r.Instances)
}

// The planner is signalled at once, and only once, for an instance that a survey newly finds.
func TestSurveySignalsNewInstances(t *testing.T) {
	changed := make(chan struct{}, 1)
	found := []string{"x"}
	s := &StallSurvey{Now: func() time.Time { return start }, NewStalls: changed, Ask: func(context.Context, string) (StalledReply, error) {
		return StalledReply{found}, nil
	}}
	signalled := func() bool {
		s.runOnce(t.Context(), []string{"a"})
		select {
		case <-changed:
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
	s := &StallSurvey{Now: func() time.Time { return now }, Ask: func(_ context.Context, address string) (StalledReply, error) {
		switch address {
		case "a":
			return StalledReply{[]string{"x", "y"}}, nil
		case "b":
			return StalledReply{[]string{"y", "z"}}, nil
		}
		return StalledReply{}, errors.New("refused")
	}}
	must.SliceEmpty(t, s.Found(now))
	s.runOnce(t.Context(), []string{"a", "dead", "b"})
	must.Eq(t, []string{"x", "y", "z"}, s.Found(now))
	now = now.Add(reportValidFor + 1)
	must.SliceEmpty(t, s.Found(now), must.Sprint("too old"))
}

func TestAddressesOfRelays(t *testing.T) {
	l := objectapi.Listing{Objects: []objectapi.Object{{Value: []byte(`{"address":"10.0.0.1:7000"}`)}, {Value: []byte(`{}`)}, {Value: []byte(`?`)}}}
	must.Eq(t, []string{"10.0.0.1:7000"}, RelayAddresses(l))
}
