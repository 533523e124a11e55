package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

var testRule = BudgetRule{Ratio: 0.2, Window: 10 * time.Second}

// A new process has no credit: its predecessor may have spent all of it.
func TestBudgetStartsEmpty(t *testing.T) {
	b := NewBudget()
	now := time.Unix(100, 0)
	must.False(t, b.TakeRetry(testRule, now))
	for range 5 {
		b.CountRequest(testRule, now)
		must.False(t, b.TakeRetry(testRule, now))
	}
	b.CountRequest(testRule, now)
	must.True(t, b.TakeRetry(testRule, now))
	must.False(t, b.TakeRetry(testRule, now))
}

func TestUnusedRetryIsRefunded(t *testing.T) {
	b := NewBudget()
	now := time.Unix(100, 0)
	for range 6 {
		b.CountRequest(testRule, now)
	}
	before := b.RetriesLeft(testRule, now)
	must.True(t, b.TakeRetry(testRule, now))
	b.RefundRetry(testRule, now)
	must.Eq(t, before, b.RetriesLeft(testRule, now))
}

// 30 requests a second, and a domain of instances fails at once with a quarter of the requests
// in flight. All of these may be resent.
func TestBudgetCoversDomainLoss(t *testing.T) {
	b := NewBudget()
	now := time.Unix(1000, 0)
	for range 300 {
		now = now.Add(time.Second / 30)
		b.CountRequest(testRule, now)
	}
	for range 10 {
		must.True(t, b.TakeRetry(testRule, now))
	}
}

// One request in three seconds: credit for one retry is kept.
func TestBudgetOfLowTrafficServiceAllowsRetry(t *testing.T) {
	b := NewBudget()
	now := time.Unix(1000, 0)
	slow := BudgetRule{Ratio: 0.5, Window: testRule.Window}
	for range 3 {
		now = now.Add(3 * time.Second)
		b.CountRequest(slow, now)
	}
	must.True(t, b.TakeRetry(slow, now))
	must.False(t, b.TakeRetry(slow, now))
}

// However often the process restarts, the retries of one daemon in a window stay within the share
// of its requests in that window, plus what was accrued before it.
func TestBudgetHoldsAcrossRestarts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, now, end := NewBudget(), time.Unix(1000, 0), time.Unix(1000, 0).Add(testRule.Window)
		accruedBefore := 1.0
		for range rapid.IntRange(0, 100).Draw(r, "before") {
			b.CountRequest(testRule, now)
			accruedBefore += testRule.Ratio
		}
		requests, retries := 0, 0
		for !now.After(end) {
			switch rapid.SampledFrom([]string{"request", "request", "repeat", "repeat", "restart"}).Draw(r, "what") {
			case "request":
				b.CountRequest(testRule, now)
				requests++
			case "repeat":
				if b.TakeRetry(testRule, now) {
					retries++
				}
			case "restart":
				b = NewBudget()
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
		}
		if float64(retries) > accruedBefore+testRule.Ratio*float64(requests) {
			r.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

// Credit not spent in a window must not be spent in a later one: accrued retries once exceeded
// the shared budget.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := NewBudget()
		now := time.Unix(1000, 0)
		type event struct {
			at      time.Time
			request bool
		}
		var events []event
		for range rapid.IntRange(10, 400).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(r, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(r, "request") {
				b.CountRequest(testRule, now)
				events = append(events, event{now, true})
			} else if b.TakeRetry(testRule, now) {
				events = append(events, event{now, false})
			}
		}
		count := func(end time.Time, request bool) (n int) {
			for _, e := range events {
				if e.request == request && !e.at.After(end) && !e.at.Before(end.Add(-testRule.Window)) {
					n++
				}
			}
			return n
		}
		// At each retry, the retries of the exact window that ends then are within its share.
		for _, e := range events {
			retries, requests := count(e.at, false), count(e.at, true)
			if !e.request && float64(retries) > testRule.Ratio*float64(requests) {
				r.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

func TestBudgetExpiresWithWindow(t *testing.T) {
	b := NewBudget()
	now := time.Unix(1000, 0)
	for range 1000 {
		b.CountRequest(testRule, now)
	}
	must.Positive(t, b.RetriesLeft(testRule, now))
	later := now.Add(testRule.Window + time.Second)
	must.Eq(t, 0, b.RetriesLeft(testRule, later))
}
