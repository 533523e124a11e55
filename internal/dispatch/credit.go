package dispatch

import (
	"math"
	"time"
)

// Parameters of accrued credit.
const (
	// creditDecay is the time constant with which credit beyond one retry decays. A process can
	// spend its credit just before it exits, beside what its successor accrues in the same window;
	// daemons that restart together must not exceed the shared limit.
	creditDecay = 2 * time.Second
	// creditReserve does not decay: otherwise a service with a request every few seconds could
	// never retry one.
	creditReserve = 1
)

// credit is the number of retries that requests have accrued and retries have not spent. It starts
// at zero: a process can't know what its predecessor spent, and with an initial credit each restart
// would renew the shared limit. Not safe for concurrent use; time is passed in.
type credit struct {
	decay    time.Duration // time constant of the decay beyond reserve
	reserve  float64       // does not decay
	stored   float64
	storedAt time.Time // when stored was valid
}

func newCredit() credit { return credit{decay: creditDecay, reserve: creditReserve} }

// balance returns the credit at a time.
func (c *credit) balance(now time.Time) float64 {
	surplus := c.stored - c.reserve
	if surplus <= 0 || !now.After(c.storedAt) {
		return c.stored
	}
	return c.reserve + surplus*math.Exp(-float64(now.Sub(c.storedAt))/float64(c.decay))
}

// add adds what a request accrues, or subtracts what a retry spends.
func (c *credit) add(retries float64, now time.Time) {
	c.stored = c.balance(now) + retries
	c.storedAt = now
}

// takeSurplus removes and returns the credit beyond the reserve.
func (c *credit) takeSurplus(now time.Time) float64 {
	surplus := max(c.balance(now)-c.reserve, 0)
	if surplus > 0 {
		c.add(-surplus, now)
	}
	return surplus
}
