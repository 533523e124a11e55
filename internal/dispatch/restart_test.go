package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sharedLoad is the load on all daemons of a large deployment together, and the limit on their
// retries: the rule's ratio of the requests, and extra more.
type sharedLoad struct {
	daemons  int
	interval time.Duration // between two requests to one daemon
	failFrom time.Duration // from then on the first send of every second request fails
	duration time.Duration
	extra    int
	restarts []time.Duration // of all daemons
}

// sharedCounts are counts per step of halfSecond.
type sharedCounts struct{ requests, retries []int }

const halfSecond = 500 * time.Millisecond

// simulate returns what the daemons did.
func (l sharedLoad) simulate() sharedCounts {
	steps := int(l.duration / halfSecond)
	counts := sharedCounts{make([]int, steps), make([]int, steps)}
	start := time.Unix(1000, 0)
	for d := range l.daemons {
		offset := l.interval * time.Duration(d) / time.Duration(l.daemons)
		budget, restarts := NewBudget(), l.restarts
		for i, at := 0, offset; at < l.duration; i, at = i+1, at+l.interval {
			if len(restarts) > 0 && at >= restarts[0] {
				budget, restarts = NewBudget(), restarts[1:]
			}
			budget.CountRequest(testRule, start.Add(at))
			counts.requests[at/halfSecond]++
			if at >= l.failFrom && i%2 == 0 && budget.TakeRetry(testRule, start.Add(at)) {
				counts.retries[at/halfSecond]++
			}
		}
	}
	return counts
}

// excess returns by how many retries the worst window exceeds the limit. The limit follows from the
// requests of the window, of the previous one or of the one halfway between, whichever has most.
func (l sharedLoad) excess(c sharedCounts) int {
	sum := func(counts []int, from, to int) (n int) {
		for _, count := range counts[max(from, 0):max(to, 0)] {
			n += count
		}
		return n
	}
	width := int(testRule.Window / halfSecond)
	worst := -l.extra
	for from := 0; from+width <= len(c.retries); from++ {
		requests := max(sum(c.requests, from, from+width), sum(c.requests, from-width/2, from+width/2), sum(c.requests, from-width, from))
		worst = max(worst, sum(c.retries, from, from+width)-int(testRule.Ratio*float64(requests))-l.extra)
	}
	return worst
}

// Guards against retry budgets that are renewed by restarts. Half of the answers of all engines
// failed, and all daemons were killed and restarted meanwhile. New processes started with a budget
// beside what their predecessors had retried in the same ten seconds, and together exceeded the
// limit:
//
//	killed once:   1652 retries in 10 s for 6915 requests, 1648 allowed
//	three times:   1856 retries in 10 s for 6888 requests, 1643 allowed
//	not killed:    within the limit, same load
func TestRestartsStayWithinSharedBudget(t *testing.T) {
	for name, restarts := range map[string][]time.Duration{
		"never":       nil,
		"once":        {13 * time.Second},
		"three times": {10 * time.Second, 12 * time.Second, 14 * time.Second},
		"each second": {10 * time.Second, 11 * time.Second, 12 * time.Second, 13 * time.Second, 14 * time.Second, 15 * time.Second, 16 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			load := sharedLoad{daemons: 90, interval: time.Second / 7, failFrom: 6 * time.Second, duration: 30 * time.Second, extra: 265, restarts: restarts}
			must.LessEq(t, 0, load.excess(load.simulate()), must.Sprint("retries beyond the limit"))
		})
	}
}
