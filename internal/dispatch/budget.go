package dispatch

import (
	"sync"
	"time"
)

// Budget bounds repeats by a share of this daemon's own requests within a sliding
// window. Whatever the number of daemons, and however often they are started anew, the
// sum of their repeats then stays within the same share of the sum of their requests, but
// for one and what two seconds earn for each daemon. Safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	begun  time.Time // a window before the first use; slots are counted from here
	slots  [budgetSlots + 1]budgetSlot
	earned earned
}

// NewBudget returns a budget that has earned nothing.
func NewBudget() *Budget { return &Budget{earned: newEarned()} }

// budgetSlot counts one part of the window.
type budgetSlot struct {
	number   int64 // of the slot since the budget began
	requests float64
	repeats  float64
}

// Parameters of the budget.
const (
	// budgetPart of the allowed ratio is used, as slots are coarser than the rule.
	budgetPart = 0.9
	// budgetSlots is into how many parts the window is cut.
	budgetSlots = 10
	// defaultWindow stands in where the deployment names none.
	defaultWindow = 10 * time.Second
)

// BudgetRule is the deployment's rule on repeats.
type BudgetRule struct {
	Ratio  float64 // repeats allowed per request
	Window time.Duration
}

// slot returns the slot of a time, emptied if it was last used a window ago.
func (b *Budget) slot(rule BudgetRule, now time.Time) *budgetSlot {
	n := b.slotNumber(rule, now)
	s := &b.slots[n%int64(len(b.slots))]
	if s.number != n {
		*s = budgetSlot{number: n}
	}
	return s
}

// slotNumber counts slots by the steady clock: the time of day may jump.
func (b *Budget) slotNumber(rule BudgetRule, now time.Time) int64 {
	window := rule.Window
	if window <= 0 {
		window = defaultWindow
	}
	if b.begun.IsZero() {
		b.begun = now.Add(-window)
	}
	return max(int64(now.Sub(b.begun)/(window/budgetSlots)), 0)
}

// Request counts one request.
func (b *Budget) Request(rule BudgetRule, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(rule, now).requests++
	b.earned.add(budgetPart*rule.Ratio, now)
}

// Repeat counts one repeat if the budget has it; false: it must not be made.
func (b *Budget) Repeat(rule BudgetRule, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left(rule, now) < 1 {
		return false
	}
	b.slot(rule, now).repeats++
	b.earned.add(-1, now)
	return true
}

// Return gives back a repeat that was counted at now and not made.
func (b *Budget) Return(rule BudgetRule, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(rule, now).repeats--
	b.earned.add(1, now)
}

// Spare takes out what was earned beyond the repeat that this daemon keeps, for daemons
// that need more.
func (b *Budget) Spare(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.earned.spare(now)
}

// Left is how many repeats could be made now.
func (b *Budget) Left(rule BudgetRule, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(rule, now)
}

func (b *Budget) left(rule BudgetRule, now time.Time) float64 {
	// The window ends now and begins within the oldest slot: that slot's repeats may lie
	// inside and count, its requests may lie outside and don't.
	oldest := b.slotNumber(rule, now) - budgetSlots
	left := 0.0
	for _, s := range b.slots {
		if s.number > oldest {
			left += budgetPart * rule.Ratio * s.requests
		}
		if s.number >= oldest {
			left -= s.repeats
		}
	}
	return min(left, b.earned.now(now))
}

// Budgets holds one budget a service.
type Budgets struct {
	mu sync.Mutex
	m  map[string]*Budget
}

// Of returns a service's budget.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.m == nil {
		b.m = map[string]*Budget{}
	}
	if b.m[service] == nil {
		b.m[service] = NewBudget()
	}
	return b.m[service]
}

// Spare takes out of each service's budget what this daemon does not need itself.
func (b *Budgets) Spare(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]float64{}
	for service, budget := range b.m {
		if n := budget.Spare(now); n > 0 {
			out[service] = n
		}
	}
	return out
}

// Left returns what is left of each service's budget.
func (b *Budgets) Left(rule BudgetRule, now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.m))
	for service, budget := range b.m {
		out[service] = budget.Left(rule, now)
	}
	return out
}
