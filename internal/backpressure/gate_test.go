package backpressure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time some seconds after the start of a test.
func at(seconds float64) time.Time {
	return simStart.Add(time.Duration(seconds * float64(time.Second)))
}

func newGate(daemons int) *Gate {
	return NewGate(func() int { return daemons }, func(low, _ time.Duration) time.Duration { return low }, zap.NewNop())
}

var testIncarnation = Incarnation{"i-1", 7}

// Guards against ending a limit because of an answer that was made before the limit was named and
// arrived later on another connection.
func TestAnswerToEarlierRequestDoesNotEndLimit(t *testing.T) {
	g := newGate(9)
	g.Observe(testIncarnation, Signals{Limit: 2}, at(0.9), at(1))
	g.Observe(testIncarnation, Signals{Conclusive: true}, at(0.95), at(1.1))
	must.False(t, g.CanSend(testIncarnation, at(1.2)))
	g.Observe(testIncarnation, Signals{}, at(1.2), at(1.3)) // a refusal without a limit
	must.False(t, g.CanSend(testIncarnation, at(1.4)))
	g.Observe(testIncarnation, Signals{Conclusive: true}, at(1.5), at(1.6))
	must.True(t, g.CanSend(testIncarnation, at(1.6)))
}

// Guards against applying the limit of one incarnation to the next.
func TestLimitIsPerIncarnation(t *testing.T) {
	g := newGate(9)
	g.Observe(testIncarnation, Signals{Limit: 2}, at(0), at(0))
	must.False(t, g.CanSend(testIncarnation, at(1)))
	must.True(t, g.CanSend(Incarnation{"i-1", 8}, at(1)))
	must.True(t, g.CanSend(Incarnation{"i-2", 7}, at(1)))
}

func TestPermitsAreUsedOnceAndExpire(t *testing.T) {
	g := newGate(9)
	g.Observe(testIncarnation, Signals{Limit: 2}, at(0), at(0))
	g.AddPermits([]Permits{{"i-1", 7, 1}, {"i-9", 7, 5}}, at(1))
	permit, ok := g.Take(testIncarnation, at(1.1))
	must.True(t, permit && ok)
	_, ok = g.Take(testIncarnation, at(1.1))
	must.False(t, ok)
	g.AddPermits([]Permits{{"i-1", 7, 1}}, at(2))
	must.False(t, g.CanSend(testIncarnation, at(2).Add(permitTTL)))
}

// Guards against a daemon that never sends again after it lost its relay for good: it must send, to
// notice the end of the limit, but less than its even share.
func TestDaemonWithoutGrantsSendsBelowItsShare(t *testing.T) {
	g := newGate(71)
	g.Observe(testIncarnation, Signals{Limit: 2}, at(0), at(0))
	var sent []float64
	for s := 0.0; s < 1000; s += 0.25 {
		if _, ok := g.Take(testIncarnation, at(s)); ok {
			sent = append(sent, s)
		}
	}
	must.Between(t, 10, len(sent), 14) // one each 71 s
	g.AddPermits(nil, at(1000))
	must.False(t, g.CanSend(testIncarnation, at(1001)), must.Sprint("an answer without permits counts as an answer"))
}

// Guards against updates that seem newer each time they are forwarded: the end of a limit could never
// supersede them.
func TestForwardedUpdatesKeepTheirAge(t *testing.T) {
	a, b := newGate(2), newGate(2)
	a.Observe(testIncarnation, Signals{Limit: 2}, at(0), at(0))
	for s := 0.25; s < 60; s += 0.25 {
		receivedAt := at(s).Add(100 * time.Millisecond) // network delay
		b.Merge(a.Updates(at(s)), ReceivedAt{at(s), receivedAt})
		a.Merge(b.Updates(receivedAt), ReceivedAt{receivedAt, receivedAt.Add(100 * time.Millisecond)})
	}
	for _, g := range []*Gate{a, b} {
		g.Observe(testIncarnation, Signals{Conclusive: true}, at(1), at(60))
		must.True(t, g.CanSend(testIncarnation, at(60)))
	}
}

// Guards against the end of a limit that is not forwarded by a daemon that did not know the limit.
func TestEndOfLimitIsForwarded(t *testing.T) {
	a, b, c := newGate(3), newGate(3), newGate(3)
	for _, g := range []*Gate{a, c} {
		g.Observe(testIncarnation, Signals{Limit: 2}, at(0), at(0))
	}
	a.Observe(testIncarnation, Signals{Conclusive: true}, at(5), at(5.1))
	b.Merge(a.Updates(at(6)), ReceivedAt{at(6), at(6)}) // b knew no limit
	c.Merge(b.Updates(at(7)), ReceivedAt{at(7), at(7)})
	must.True(t, c.CanSend(testIncarnation, at(7)))
	for s := 6.0; s < 36; s++ { // further answers without a limit
		a.Observe(testIncarnation, Signals{Conclusive: true}, at(s), at(s))
	}
	a.Sweep(at(5).Add(endTTL))
	must.True(t, a.HasNoLimits())
}

// Guards against memory use that grows with every incarnation that ever had a limit.
func TestTrackedIncarnationsAreBounded(t *testing.T) {
	g := newGate(9)
	for i := range maxIncarnations + 10 {
		g.Observe(Incarnation{fmt.Sprint(i), 0}, Signals{Limit: 1}, at(0), at(float64(i)))
	}
	must.MapLen(t, maxIncarnations, g.Limited())
	must.True(t, g.CanSend(Incarnation{"0", 0}, at(0)))
	must.False(t, g.CanSend(Incarnation{fmt.Sprint(maxIncarnations), 0}, at(0)))
}

// Guards against bad values in updates that would allow all requests, or none.
func TestReceivedLimitsAreClamped(t *testing.T) {
	g := newGate(9)
	g.Merge([]Update{{"a", 0, 1e300, 0}, {"b", 0, 1e-300, 0}}, ReceivedAt{at(0), at(0)})
	must.Eq(t, map[Incarnation]float64{{"a", 0}: MaxLimit, {"b", 0}: MinLimit}, g.Limited())
}

// Guards against granting all permits to the first daemon that asks.
func TestPermitsGoToAllAskingDaemons(t *testing.T) {
	for _, perSecond := range []float64{1, 50} {
		var g Grants
		got := map[string]int{}
		for s := 0.0; s < 60; s += 0.25 {
			for i, daemon := range []string{"a", "b", "c"} {
				for _, p := range g.Grant(daemon, map[Incarnation]float64{testIncarnation: perSecond}, Shares{Count: 1}, at(s+0.01*float64(i))) {
					got[daemon] += p.Count
				}
			}
		}
		total := got["a"] + got["b"] + got["c"]
		must.Between(t, int(0.8*grantShare*perSecond*60), total, int(grantShare*perSecond*60))
		for daemon, n := range got {
			must.Greater(t, total/6, n, must.Sprint(daemon, got))
		}
	}
}

// Guards against permits that add up with many domains, each of which may allow one more request.
func TestFewDomainsGrantForOneInstance(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}
	sum, granting := 0.0, map[string]int{}
	for i := range 100 {
		grantors := 0
		for _, d := range domains {
			share := Shares{Domain: d, Domains: domains, Count: len(domains)}.share(fmt.Sprint("i-", i))
			sum += share
			if share > 0 {
				granting[d]++
				grantors++
			}
		}
		must.Eq(t, maxGrantingDomains, grantors)
	}
	must.InDelta(t, 100*grantShare, sum, 1e-6, must.Sprint("sum of the shares"))
	must.MapLen(t, len(domains), granting, must.Sprint("all domains take turns"))
}

// Guards against a backoff that a later answer or a shorter backoff ends.
func TestBackoffLastsAsLongAsRequested(t *testing.T) {
	g := newGate(9)
	g.Observe(testIncarnation, Signals{Backoff: 3 * time.Second}, at(0), at(0.1))
	g.Observe(testIncarnation, Signals{Backoff: time.Second}, at(0), at(0.2))
	g.Observe(testIncarnation, Signals{Conclusive: true}, at(0.3), at(0.4)) // the request was sent before
	must.False(t, g.CanSend(testIncarnation, at(3.0)))
	_, ok := g.Take(testIncarnation, at(3.0))
	must.False(t, ok)
	must.True(t, g.Revoked(testIncarnation, true, at(3.0)), must.Sprint("with a permit too"))
	must.True(t, g.CanSend(testIncarnation, at(3.1)))
	must.True(t, g.CanSend(Incarnation{"i-1", 8}, at(1)), must.Sprint("another incarnation"))
	must.Eq(t, 0, g.BackoffCount(at(3.1)))
	must.False(t, g.KnowsAny(slices.Values([]Incarnation{testIncarnation})))
}

// Guards against backoffs that one instance makes endless, and against a map that grows with every
// incarnation that asks for one.
func TestBackoffIsBounded(t *testing.T) {
	g := newGate(9)
	g.Observe(testIncarnation, Signals{Backoff: 365 * 24 * time.Hour}, at(0), at(0))
	must.True(t, g.CanSend(testIncarnation, at(0).Add(MaxBackoff)))
	for i := range maxIncarnations + 10 {
		g.Observe(Incarnation{fmt.Sprint(i), 0}, Signals{Backoff: time.Second}, at(0), at(float64(i)/1e6))
	}
	must.Eq(t, maxIncarnations, g.BackoffCount(at(0.1)))
}

// Guards against a retry delay after which no instance accepts a request yet.
func TestNextSendIsThatOfTheFirstInstance(t *testing.T) {
	g := newGate(9)
	a, b, c := Incarnation{"a", 0}, Incarnation{"b", 0}, Incarnation{"c", 0}
	g.Observe(a, Signals{Backoff: 3 * time.Second}, at(0), at(0))
	g.Observe(b, Signals{Limit: 0.5}, at(0), at(0))
	g.Observe(c, Signals{Limit: 10, Backoff: 5 * time.Second}, at(0), at(0))
	must.Eq(t, NextSend{2 * time.Second, false}, g.NextSend([]Incarnation{a, b, c}, at(0)))
	must.Eq(t, NextSend{time.Second, true}, g.NextSend([]Incarnation{a, b, c}, at(2)))
	must.Eq(t, NextSend{5 * time.Second, false}, g.NextSend([]Incarnation{c}, at(0)))
	must.Eq(t, NextSend{}, g.NextSend([]Incarnation{{"d", 0}}, at(0)))
}

// Guards against requests to a leaving incarnation: after a later answer, after a long time, or by a
// target without start time.
func TestLeavingIncarnationGetsNoRequests(t *testing.T) {
	g := newGate(9)
	g.Observe(testIncarnation, Signals{Leaving: true, Conclusive: true}, at(0), at(0))
	g.Observe(testIncarnation, Signals{Conclusive: true}, at(1), at(1))
	g.Sweep(at(1e5))
	must.False(t, g.CanSend(testIncarnation, at(1e5)))
	must.True(t, g.Revoked(testIncarnation, true, at(1e5)))
	must.False(t, g.CanSend(Incarnation{"i-1", 0}, at(1)))
	must.True(t, g.CanSend(Incarnation{"i-1", 8}, at(1)), must.Sprint("the next incarnation"))
	must.Eq(t, NextSend{}, g.NextSend([]Incarnation{testIncarnation}, at(1)), must.Sprint("a leaving incarnation has no next send"))
	for i := range maxIncarnations {
		g.Observe(Incarnation{fmt.Sprint(i), 0}, Signals{Leaving: true}, at(2), at(2))
	}
	must.MapLen(t, maxIncarnations, g.leaving)
}

// Guards against messages that grow with the number of limits, and against limits that a daemon
// started later never receives.
func TestMessagesHoldChangesAndOlderLimitsInTurns(t *testing.T) {
	a, b := newGate(2), newGate(2)
	for i := range 100 {
		a.Observe(Incarnation{fmt.Sprint(i), 0}, Signals{Limit: 2}, at(0), at(0))
	}
	must.Len(t, 100, a.Updates(at(1)))
	a.Observe(Incarnation{"new", 0}, Signals{Limit: 2}, at(10), at(10))
	for s := 10.0; s < 10+0.25*100/olderUpdates+1; s += 0.25 {
		updates := a.Updates(at(s))
		must.LessEq(t, olderUpdates+1, len(updates))
		b.Merge(updates, ReceivedAt{at(s), at(s)})
	}
	must.MapLen(t, 101, b.Limited())
}

// Guards against a new relay that never receives limits and so grants nothing: its peers would never
// send to the instance again.
func TestNewRelayReceivesOlderLimits(t *testing.T) {
	peer, relay := newGate(2), newGate(2)
	for i := range 5 {
		peer.Observe(Incarnation{fmt.Sprint(i), 0}, Signals{Limit: 2}, at(0), at(0))
	}
	for s := 100.0; s < 101; s += 0.25 {
		relay.Merge(peer.Updates(at(s)), ReceivedAt{at(s), at(s)})
	}
	must.MapLen(t, 5, relay.Limited())
}
