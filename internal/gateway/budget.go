package gateway

import "sync"

// Budget bounds repeats by a share of this daemon's own requests. Whatever the
// number of daemons, the sum of their repeats then stays within the same share of
// the sum of their requests. Safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	most   float64
}

// Parameters of the budget.
const (
	// budgetStart lets a daemon that has just begun repeat at all. It is small
	// because every daemon has it beside the shared allowance.
	budgetStart = 2
	// budgetMost is how much unused budget a daemon saves up.
	budgetMost = 30
	// budgetPart of the allowed ratio is used, as windows of the rule slide.
	budgetPart = 0.9
)

// NewBudget returns a budget with its start allowance.
func NewBudget() *Budget { return &Budget{tokens: budgetStart, most: budgetMost} }

// Earn adds the allowance of one request.
func (b *Budget) Earn(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPart*ratio, b.most)
}

// Spend takes one repeat if the budget has it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left is how many repeats could be made now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
