package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"pearlanding/internal/catalog"
	_ "pearlanding/internal/fixedseed"
)

func TestShareFollowsDemand(t *testing.T) {
	even := Limits{MaxConcurrent: 90, Daemons: 9, OthersInUse: 80}
	must.Eq(t, 10, even.share())
	alone := Limits{MaxConcurrent: 90, Daemons: 9, OthersInUse: 0}
	must.Eq(t, 90, alone.share())
}

// Requests in flight never exceed the share of this daemon; an ended request no longer counts.
func TestGateNeverExceedsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate()
		l := Limits{MaxConcurrent: rapid.IntRange(1, 20).Draw(t, "max"), Daemons: rapid.IntRange(1, 4).Draw(t, "daemons"),
			OthersInUse: rapid.IntRange(0, 30).Draw(t, "others")}
		var releases []func()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(releases) > 0 && rapid.Bool().Draw(t, "leave") {
				releases[0]()
				releases[0]() // a second release has no effect
				releases = releases[1:]
				continue
			}
			release, retryAfter, ok := g.Acquire("w", l, time.Unix(1, 0))
			must.Eq(t, len(releases) < l.share(), ok)
			if !ok {
				must.Positive(t, retryAfter)
				continue
			}
			releases = append(releases, release)
			must.Eq(t, len(releases), g.InUse()["w"])
		}
	})
}

func TestRateLimitReturnsRetryDelay(t *testing.T) {
	g, now := NewGate(), time.Unix(1, 0)
	l := Limits{MaxConcurrent: 100, Daemons: 2, RatePerSecond: 4}
	for range 2 { // the burst of this daemon's half of the rate
		_, _, ok := g.Acquire("w", l, now)
		must.True(t, ok)
	}
	_, retryAfter, ok := g.Acquire("w", l, now)
	must.False(t, ok)
	must.Eq(t, 500*time.Millisecond, retryAfter)
	_, _, ok = g.Acquire("w", l, now.Add(retryAfter))
	must.True(t, ok)
}

func TestUrgentIsRefusedLast(t *testing.T) {
	for load := 0.0; load < 6; load += 0.1 {
		_, patient := RefuseAtLoad(catalog.ClassPatient, load, time.Second)
		_, normal := RefuseAtLoad(catalog.ClassNormal, load, time.Second)
		retryAfter, urgent := RefuseAtLoad(catalog.ClassUrgent, load, time.Second)
		must.True(t, (!urgent || normal) && (!normal || patient))
		must.Eq(t, urgent, retryAfter > 0)
	}
	must.Greater(t, Priority(catalog.ClassPatient), Priority(catalog.ClassUrgent))
}

// If every attempt fails, attempts stay within 1.1 times the requests plus the initial
// burst.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := NewRetryBudget(0.1)
	retries := 0
	const requests = 10000
	for range requests {
		b.CountRequest()
		for range 2 {
			if b.TakeRetry() {
				retries++
			}
		}
	}
	must.LessEq(t, requests/10+budgetBurst, retries)
}
