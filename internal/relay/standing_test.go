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
	standing := func(ids ...string) report { return report{standing: ids, at: start} }
	must.True(t, r.note("a", standing("x")))
	must.False(t, r.note("b", standing("x")), must.Sprint("no news"))
	must.True(t, r.note("b", standing("x", "y")))
	all, seq := r.standing(start.Add(reportFor))
	must.Eq(t, []string{"x", "y"}, all)
	must.Eq(t, 2, seq)
	all, _ = r.standing(start.Add(reportFor + 1))
	must.SliceEmpty(t, all)
	r.note("a", standing("x"))
	r.note("a", standing()) // it sees them run again
	all, _ = r.standing(start)
	must.SliceEmpty(t, all)
}

func TestLoadIsTheSumOfTheNewestReports(t *testing.T) {
	r := newReports()
	r.note("a", report{load: map[string]int{"x": 2, "y": 1}, at: start})
	r.note("b", report{load: map[string]int{"x": 3}, at: start.Add(reportFor / 2)})
	must.Eq(t, map[string]int{"x": 5, "y": 1}, r.loads(start.Add(reportFor/2)))
	r.note("b", report{load: map[string]int{"x": 1}, at: start.Add(reportFor)})
	must.Eq(t, map[string]int{"x": 3, "y": 1}, r.loads(start.Add(reportFor)))
	must.Eq(t, map[string]int{"x": 1}, r.loads(start.Add(reportFor+1)))
	must.MapEmpty(t, r.loads(start.Add(3*reportFor)))
}

// A daemon is told what the others have in progress, without its own.
func TestDaemonsHearOfTheOthersLoad(t *testing.T) {
	z := newZone(3)
	z.rounds(t, 6)
	for i, d := range z.daemons {
		d.load = map[string]int{"x": 1 << i}
	}
	z.rounds(t, 2)
	for i, d := range z.daemons {
		must.Eq(t, 7-1<<i, d.others["x"])
	}
}

// A daemon for which everything stands still is cut off itself.
func TestReportOfTooMuchSaysNothing(t *testing.T) {
	r := newReports()
	must.False(t, r.note("a", report{standing: make([]string, reportMost+1), at: start}))
	all, _ := r.standing(start)
	must.SliceEmpty(t, all)
}

func TestWhatStandsStillIsToldInTheZone(t *testing.T) {
	z := newZone(3)
	z.rounds(t, 6)
	relay := z.relays()[0]
	var others []*daemon
	for _, d := range z.daemons {
		if d != relay {
			others = append(others, d)
		}
	}
	others[0].standing = []string{"head"}
	must.NoError(t, others[0].step())
	must.NoError(t, others[1].step())
	must.Eq(t, []string{"head"}, relay.suspects)
	must.Eq(t, []string{"head"}, others[1].suspects)
	r, err := relay.Node.answerStanding(t.Context())
	must.NoError(t, err)
	must.Eq(t, []string{"head"}, r.Instances)
	relay.Node.o.Standing = func(time.Time) []string { return []string{"own"} }
	r, err = relay.Node.answerStanding(t.Context())
	must.NoError(t, err)
	must.Eq(t, []string{"head", "own"}, r.Instances)
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
