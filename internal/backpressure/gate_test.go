package backpressure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time of a test, in seconds.
func at(seconds float64) time.Time {
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

func newGate(daemons int) *Gate {
	return NewGate(func() int { return daemons }, func(least, _ time.Duration) time.Duration { return least }, zap.NewNop())
}

var life = Life{"i-1", 7}

// Guards against a limit that is taken for ended by an answer made before it was named, which
// another connection brought later.
func TestAnswerToARequestFromBeforeEndsNoLimit(t *testing.T) {
	g := newGate(9)
	g.Observe(life, Signals{Limit: 2}, at(0.9), at(1))
	g.Observe(life, Signals{Conclusive: true}, at(0.95), at(1.1))
	must.False(t, g.Open(life, at(1.2)))
	g.Observe(life, Signals{}, at(1.2), at(1.3)) // a refusal that names none
	must.False(t, g.Open(life, at(1.4)))
	g.Observe(life, Signals{Conclusive: true}, at(1.5), at(1.6))
	must.True(t, g.Open(life, at(1.6)))
}

// Guards against a limit of one life that is held against the next one.
func TestLimitIsOfOneLife(t *testing.T) {
	g := newGate(9)
	g.Observe(life, Signals{Limit: 2}, at(0), at(0))
	must.False(t, g.Open(life, at(1)))
	must.True(t, g.Open(Life{"i-1", 8}, at(1)))
	must.True(t, g.Open(Life{"i-2", 7}, at(1)))
}

func TestPermitsAreUsedOnceAndExpire(t *testing.T) {
	g := newGate(9)
	g.Observe(life, Signals{Limit: 2}, at(0), at(0))
	g.Granted([]Permits{{"i-1", 7, 1}, {"i-9", 7, 5}}, at(1))
	permit, ok := g.Take(life, at(1.1))
	must.True(t, permit && ok)
	_, ok = g.Take(life, at(1.1))
	must.False(t, ok)
	g.Granted([]Permits{{"i-1", 7, 1}}, at(2))
	must.False(t, g.Open(life, at(2).Add(permitFor)))
}

// Guards against a daemon whose relay is gone for good: it sends, and so hears the end of the
// limit, but less than its even part.
func TestDaemonThatNobodyGrantsPermitsSendsByItsOwnPace(t *testing.T) {
	g := newGate(71)
	g.Observe(life, Signals{Limit: 2}, at(0), at(0))
	var sent []float64
	for s := 0.0; s < 1000; s += 0.25 {
		if _, ok := g.Take(life, at(s)); ok {
			sent = append(sent, s)
		}
	}
	must.Between(t, 10, len(sent), 14) // each 71 s
	g.Granted(nil, at(1000))
	must.False(t, g.Open(life, at(1001)), must.Sprint("an answer without permits is an answer"))
}

// Guards against an update that seems younger each time it is passed on: an end could never
// overtake it.
func TestWordsDoNotGrowYounger(t *testing.T) {
	a, b := newGate(2), newGate(2)
	a.Observe(life, Signals{Limit: 2}, at(0), at(0))
	for s := 0.25; s < 60; s += 0.25 {
		late := at(s).Add(100 * time.Millisecond) // their way
		b.Merge(a.Updates(at(s)), ReceivedAt{at(s), late})
		a.Merge(b.Updates(late), ReceivedAt{late, late.Add(100 * time.Millisecond)})
	}
	for _, g := range []*Gate{a, b} {
		g.Observe(life, Signals{Conclusive: true}, at(1), at(60))
		must.True(t, g.Open(life, at(60)))
	}
}

// Guards against the end of a limit that a daemon knows of and one that hears it later does
// not.
func TestEndIsToldOn(t *testing.T) {
	a, b, c := newGate(3), newGate(3), newGate(3)
	for _, g := range []*Gate{a, c} {
		g.Observe(life, Signals{Limit: 2}, at(0), at(0))
	}
	a.Observe(life, Signals{Conclusive: true}, at(5), at(5.1))
	b.Merge(a.Updates(at(6)), ReceivedAt{at(6), at(6)}) // it knew of no limit
	c.Merge(b.Updates(at(7)), ReceivedAt{at(7), at(7)})
	must.True(t, c.Open(life, at(7)))
	for s := 6.0; s < 36; s++ { // whoever is asked goes on to name none
		a.Observe(life, Signals{Conclusive: true}, at(s), at(s))
	}
	a.Sweep(at(5).Add(endedFor))
	must.True(t, a.Quiet())
}

// Guards against memory that grows with every life that ever named a limit.
func TestLivesKeptAreBounded(t *testing.T) {
	g := newGate(9)
	for i := range maxLives + 10 {
		g.Observe(Life{fmt.Sprint(i), 0}, Signals{Limit: 1}, at(0), at(float64(i)))
	}
	must.MapLen(t, maxLives, g.Limited())
	must.True(t, g.Open(Life{"0", 0}, at(0)))
	must.False(t, g.Open(Life{fmt.Sprint(maxLives), 0}, at(0)))
}

// Guards against a limit that takes all daemons' requests, or none, when it is told badly.
func TestLimitsThatDaemonsTellAreBounded(t *testing.T) {
	g := newGate(9)
	g.Merge([]Update{{"a", 0, 1e300, 0}, {"b", 0, 1e-300, 0}}, ReceivedAt{at(0), at(0)})
	must.Eq(t, map[Life]float64{{"a", 0}: MostLimit, {"b", 0}: LeastLimit}, g.Limited())
}

// Guards against permits that only the first daemon to ask gets.
func TestPermitsGoToAllThatAsk(t *testing.T) {
	for _, perSecond := range []float64{1, 50} {
		var g Grants
		got := map[string]int{}
		for s := 0.0; s < 60; s += 0.25 {
			for i, daemon := range []string{"a", "b", "c"} {
				for _, p := range g.Grant(daemon, map[Life]float64{life: perSecond}, Shares{Count: 1}, at(s+0.01*float64(i))) {
					got[daemon] += p.Count
				}
			}
		}
		total := got["a"] + got["b"] + got["c"]
		must.Between(t, int(0.8*grantPart*perSecond*60), total, int(grantPart*perSecond*60))
		for daemon, n := range got {
			must.Greater(t, total/6, n, must.Sprint(daemon, got))
		}
	}
}

// Guards against permits that add up where there are many domains: each could send one more.
func TestFewDomainsGrantForOneInstance(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}
	sum, granting := 0.0, map[string]int{}
	for i := range 100 {
		grantors := 0
		for _, d := range domains {
			part := Shares{Domain: d, Domains: domains, Count: len(domains)}.of(fmt.Sprint("i-", i))
			sum += part
			if part > 0 {
				granting[d]++
				grantors++
			}
		}
		must.Eq(t, maxGrantors, grantors)
	}
	must.InDelta(t, 100*grantPart, sum, 1e-6, must.Sprint("sum of the parts"))
	must.MapLen(t, len(domains), granting, must.Sprint("all take turns"))
}

// Guards against a rest that a later answer, or a shorter rest, ends.
func TestRestLastsAsLongAsWasAskedFor(t *testing.T) {
	g := newGate(9)
	g.Observe(life, Signals{Rest: 3 * time.Second}, at(0), at(0.1))
	g.Observe(life, Signals{Rest: time.Second}, at(0), at(0.2))
	g.Observe(life, Signals{Conclusive: true}, at(0.3), at(0.4)) // it was sent before
	must.False(t, g.Open(life, at(3.0)))
	_, ok := g.Take(life, at(3.0))
	must.False(t, ok)
	must.True(t, g.Closed(life, true, at(3.0)), must.Sprint("with a permit too"))
	must.True(t, g.Open(life, at(3.1)))
	must.True(t, g.Open(Life{"i-1", 8}, at(1)), must.Sprint("another life"))
	must.Eq(t, 0, g.Resting(at(3.1)))
	must.False(t, g.KnowsAny(slices.Values([]Life{life})))
}

// Guards against a daemon that stops for what one instance asks.
func TestRestIsBounded(t *testing.T) {
	g := newGate(9)
	g.Observe(life, Signals{Rest: 365 * 24 * time.Hour}, at(0), at(0))
	must.True(t, g.Open(life, at(0).Add(MostRest)))
	for i := range maxLives + 10 {
		g.Observe(Life{fmt.Sprint(i), 0}, Signals{Rest: time.Second}, at(0), at(float64(i)/1e6))
	}
	must.Eq(t, maxLives, g.Resting(at(0.1)))
}

// Guards against a caller that is told to come back before any instance takes it.
func TestFreeInIsWhenTheFirstTakesRequestsAgain(t *testing.T) {
	g := newGate(9)
	a, b, c := Life{"a", 0}, Life{"b", 0}, Life{"c", 0}
	g.Observe(a, Signals{Rest: 3 * time.Second}, at(0), at(0))
	g.Observe(b, Signals{Limit: 0.5}, at(0), at(0))
	g.Observe(c, Signals{Limit: 10, Rest: 5 * time.Second}, at(0), at(0))
	must.Eq(t, Free{2 * time.Second, false}, g.FreeIn([]Life{a, b, c}, at(0)))
	must.Eq(t, Free{time.Second, true}, g.FreeIn([]Life{a, b, c}, at(2)))
	must.Eq(t, Free{5 * time.Second, false}, g.FreeIn([]Life{c}, at(0)))
	must.Eq(t, Free{}, g.FreeIn([]Life{{"d", 0}}, at(0)))
}

// Guards against a life that comes back into use after it said that it leaves: by a later answer,
// with time, or under an entry that does not tell its start.
func TestLifeThatLeavesGetsNoRequestAnyMore(t *testing.T) {
	g := newGate(9)
	g.Observe(life, Signals{Leaving: true, Conclusive: true}, at(0), at(0))
	g.Observe(life, Signals{Conclusive: true}, at(1), at(1))
	g.Sweep(at(1e5))
	must.False(t, g.Open(life, at(1e5)))
	must.True(t, g.Closed(life, true, at(1e5)))
	must.False(t, g.Open(Life{"i-1", 0}, at(1)))
	must.True(t, g.Open(Life{"i-1", 8}, at(1)), must.Sprint("the next life"))
	must.Eq(t, Free{}, g.FreeIn([]Life{life}, at(1)), must.Sprint("nobody waits for it"))
	for i := range maxLives {
		g.Observe(Life{fmt.Sprint(i), 0}, Signals{Leaving: true}, at(2), at(2))
	}
	must.MapLen(t, maxLives, g.leaving)
}

// Guards against messages that grow with all limits that are known, and against a limit that a
// daemon which started later is never told of.
func TestMessagesTellNewsAndTheRestInTurns(t *testing.T) {
	a, b := newGate(2), newGate(2)
	for i := range 100 {
		a.Observe(Life{fmt.Sprint(i), 0}, Signals{Limit: 2}, at(0), at(0))
	}
	must.Len(t, 100, a.Updates(at(1)))
	a.Observe(Life{"new", 0}, Signals{Limit: 2}, at(10), at(10))
	for s := 10.0; s < 10+0.25*100/olderUpdates+1; s += 0.25 {
		updates := a.Updates(at(s))
		must.LessEq(t, olderUpdates+1, len(updates))
		b.Merge(updates, ReceivedAt{at(s), at(s)})
	}
	must.MapLen(t, 101, b.Limited())
}

// Guards against a relay that took over, knows of no limit, grants nothing and is never told: its
// peers would leave the instance out for good.
func TestNewRelayIsToldOfOldLimits(t *testing.T) {
	peer, relay := newGate(2), newGate(2)
	for i := range 5 {
		peer.Observe(Life{fmt.Sprint(i), 0}, Signals{Limit: 2}, at(0), at(0))
	}
	for s := 100.0; s < 101; s += 0.25 {
		relay.Merge(peer.Updates(at(s)), ReceivedAt{at(s), at(s)})
	}
	must.MapLen(t, 5, relay.Limited())
}
