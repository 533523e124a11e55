package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

var testRule = BudgetRule{Ratio: 0.2, Window: 10 * time.Second}

func TestBudgetStartsSmall(t *testing.T) {
	var b Budget
	now := time.Unix(100, 0)
	must.True(t, b.Repeat(testRule, now))
	must.True(t, b.Repeat(testRule, now))
	must.False(t, b.Repeat(testRule, now))
}

// What was not spent in a window must not be spent in a later one: saved up
// repeats broke the shared budget on a hunted day.
func TestBudgetKeepsEveryWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b Budget
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
			if !m.request && float64(repeats) > budgetStart+testRule.Ratio*float64(requests) {
				r.Fatalf("%d repeats for %d requests", repeats, requests)
			}
		}
	})
}

func TestBudgetOfAnEarlierWindowIsGone(t *testing.T) {
	var b Budget
	now := time.Unix(1000, 0)
	for range 1000 {
		b.Request(testRule, now)
	}
	must.Positive(t, b.Left(testRule, now)-budgetStart)
	later := now.Add(testRule.Window + time.Second)
	must.Eq(t, float64(budgetStart), b.Left(testRule, later))
}
