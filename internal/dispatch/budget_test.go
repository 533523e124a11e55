package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

var testRule = BudgetRule{Ratio: 0.2, Window: 10 * time.Second}

// A process that begins has earned nothing: the one before it may have spent all.
func TestBudgetStartsEmpty(t *testing.T) {
	b := NewBudget()
	now := time.Unix(100, 0)
	must.False(t, b.Repeat(testRule, now))
	for range 5 {
		b.Request(testRule, now)
		must.False(t, b.Repeat(testRule, now))
	}
	b.Request(testRule, now)
	must.True(t, b.Repeat(testRule, now))
	must.False(t, b.Repeat(testRule, now))
}

func TestRepeatThatWasNotMadeIsGivenBack(t *testing.T) {
	b := NewBudget()
	now := time.Unix(100, 0)
	for range 6 {
		b.Request(testRule, now)
	}
	left := b.Left(testRule, now)
	must.True(t, b.Repeat(testRule, now))
	b.Return(testRule, now)
	must.Eq(t, left, b.Left(testRule, now))
}

// Load: 30 requests a second, and at one moment a domain of instances is gone, with a
// quarter of the requests in progress. All of them may be sent again.
func TestBudgetBearsTheLossOfADomain(t *testing.T) {
	b := NewBudget()
	now := time.Unix(1000, 0)
	for range 300 {
		now = now.Add(time.Second / 30)
		b.Request(testRule, now)
	}
	for range 10 {
		must.True(t, b.Repeat(testRule, now))
	}
}

// Load: a request in three seconds. What one repeat takes is saved up.
func TestBudgetOfAQuietServiceAllowsARepeat(t *testing.T) {
	b := NewBudget()
	now := time.Unix(1000, 0)
	slow := BudgetRule{Ratio: 0.5, Window: testRule.Window}
	for range 3 {
		now = now.Add(3 * time.Second)
		b.Request(slow, now)
	}
	must.True(t, b.Repeat(slow, now))
	must.False(t, b.Repeat(slow, now))
}

// Whatever it is that ends processes, and how often: one daemon's repeats in a window are
// within the share of its requests in that window, but for what was saved before it.
func TestBudgetBoundsAllLivesOfADaemon(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, now, end := NewBudget(), time.Unix(1000, 0), time.Unix(1000, 0).Add(testRule.Window)
		saved := 1.0
		for range rapid.IntRange(0, 100).Draw(r, "before") {
			b.Request(testRule, now)
			saved += testRule.Ratio
		}
		requests, repeats := 0, 0
		for !now.After(end) {
			switch rapid.SampledFrom([]string{"request", "request", "repeat", "repeat", "restart"}).Draw(r, "what") {
			case "request":
				b.Request(testRule, now)
				requests++
			case "repeat":
				if b.Repeat(testRule, now) {
					repeats++
				}
			case "restart":
				b = NewBudget()
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
		}
		if float64(repeats) > saved+testRule.Ratio*float64(requests) {
			r.Fatalf("%d repeats for %d requests", repeats, requests)
		}
	})
}

// What was not spent in a window must not be spent in a later one: saved up
// repeats broke the shared budget on a hunted day.
func TestBudgetKeepsEveryWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := NewBudget()
		now := time.Unix(1000, 0)
		type moment struct {
			at      time.Time
			request bool
		}
		var log []moment
		for range rapid.IntRange(10, 400).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(r, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(r, "request") {
				b.Request(testRule, now)
				log = append(log, moment{now, true})
			} else if b.Repeat(testRule, now) {
				log = append(log, moment{now, false})
			}
		}
		count := func(end time.Time, request bool) (n int) {
			for _, m := range log {
				if m.request == request && !m.at.After(end) && !m.at.Before(end.Add(-testRule.Window)) {
					n++
				}
			}
			return n
		}
		// When a repeat is made, the exact window that ends then holds its share.
		for _, m := range log {
			repeats, requests := count(m.at, false), count(m.at, true)
			if !m.request && float64(repeats) > testRule.Ratio*float64(requests) {
				r.Fatalf("%d repeats for %d requests", repeats, requests)
			}
		}
	})
}

func TestBudgetOfAnEarlierWindowIsGone(t *testing.T) {
	b := NewBudget()
	now := time.Unix(1000, 0)
	for range 1000 {
		b.Request(testRule, now)
	}
	must.Positive(t, b.Left(testRule, now))
	later := now.Add(testRule.Window + time.Second)
	must.Eq(t, 0, b.Left(testRule, later))
}
