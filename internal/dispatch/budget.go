package dispatch

import (
	"sync"
	"time"
)

// Budget limits retries to a share of this daemon's own requests within a sliding window. The
// retries of all daemons together then stay within the same share of all requests, plus one
// retry and two seconds of accrued credit per daemon, whatever the number of daemons and
// however often they restart. Safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	origin time.Time // one window before the first use; slots are counted from here
	slots  [budgetSlots + 1]budgetSlot
	credit credit
}

// NewBudget returns a budget without credit.
func NewBudget() *Budget { return &Budget{credit: newCredit()} }

// budgetSlot counts one slot of the window.
type budgetSlot struct {
	number   int64 // slots since the origin
	requests float64
	retries  float64
}

// Parameters of the budget.
const (
	// usedRatio is the share of the allowed ratio that is used: counting by slots is less exact than
	// the sliding window of the rule.
	usedRatio = 0.9
	// budgetSlots is the number of slots in a window.
	budgetSlots = 10
	// defaultWindow applies if the deployment sets none.
	defaultWindow = 10 * time.Second
)

// BudgetRule is the deployment's limit on retries.
type BudgetRule struct {
	Ratio  float64 // retries allowed per request
	Window time.Duration
}

// slot returns the slot of a time, reset if it was last used a window ago.
func (b *Budget) slot(rule BudgetRule, now time.Time) *budgetSlot {
	n := b.slotNumber(rule, now)
	s := &b.slots[n%int64(len(b.slots))]
	if s.number != n {
		*s = budgetSlot{number: n}
	}
	return s
}

// slotNumber counts slots by the steady clock, because the time of day may jump.
func (b *Budget) slotNumber(rule BudgetRule, now time.Time) int64 {
	window := rule.Window
	if window <= 0 {
		window = defaultWindow
	}
	if b.origin.IsZero() {
		b.origin = now.Add(-window)
	}
	return max(int64(now.Sub(b.origin)/(window/budgetSlots)), 0)
}

// CountRequest counts one request.
func (b *Budget) CountRequest(rule BudgetRule, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(rule, now).requests++
	b.credit.add(usedRatio*rule.Ratio, now)
}

// TakeRetry counts one retry if the budget allows it. It returns false if the retry must not be made.
func (b *Budget) TakeRetry(rule BudgetRule, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining(rule, now) < 1 {
		return false
	}
	b.slot(rule, now).retries++
	b.credit.add(-1, now)
	return true
}

// RefundRetry refunds a retry that was counted at now and not made.
func (b *Budget) RefundRetry(rule BudgetRule, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(rule, now).retries--
	b.credit.add(1, now)
}

// TakeSpareRetries removes and returns the credit beyond the one retry that this daemon keeps, for other
// daemons that need more.
func (b *Budget) TakeSpareRetries(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.credit.takeSurplus(now)
}

// RetriesLeft returns how many retries could be made now.
func (b *Budget) RetriesLeft(rule BudgetRule, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(rule, now)
}

func (b *Budget) remaining(rule BudgetRule, now time.Time) float64 {
	// The window ends now and begins within the oldest slot. Retries of that slot may lie inside
	// the window and count; its requests may lie outside and don't.
	oldest := b.slotNumber(rule, now) - budgetSlots
	allowed := 0.0
	for _, s := range b.slots {
		if s.number > oldest {
			allowed += usedRatio * rule.Ratio * s.requests
		}
		if s.number >= oldest {
			allowed -= s.retries
		}
	}
	return min(allowed, b.credit.balance(now))
}

// Budgets holds one budget per service.
type Budgets struct {
	mu       sync.Mutex
	services map[string]*Budget
}

// For returns the budget of a service.
func (b *Budgets) For(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[string]*Budget{}
	}
	if b.services[service] == nil {
		b.services[service] = NewBudget()
	}
	return b.services[service]
}

// TakeSpareRetries removes and returns the surplus credit of each service's budget.
func (b *Budgets) TakeSpareRetries(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]float64{}
	for service, budget := range b.services {
		if n := budget.TakeSpareRetries(now); n > 0 {
			out[service] = n
		}
	}
	return out
}

// RetriesLeft returns how many retries each service's budget allows now.
func (b *Budgets) RetriesLeft(rule BudgetRule, now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.services))
	for service, budget := range b.services {
		out[service] = budget.RetriesLeft(rule, now)
	}
	return out
}
