package dispatch

import (
	"sync"
	"time"
)

// Parameters of a pool.
const (
	// poolDecay is the time constant with which credit in the pool decays. With the one retry that
	// each daemon keeps, retries in a window of ten seconds may then spend the credit of eleven
	// seconds. At a ratio of 0.2, of which usedRatio leaves 0.18, that is 0.18 x 11 = 1.98 seconds
	// of requests, of the 2 that the rule allows.
	poolDecay = time.Second
	// extraShare is the share of the rule's extra retries that pools receive without requests,
	// split evenly over windows and pools: after a start, or for a service of few requests, no
	// credit has accrued. The remainder is for the retry that each daemon keeps, and for two pools
	// in one zone while relays change.
	extraShare = 0.25
)

// RetryPoolRule determines the credit that a pool receives in addition to what daemons hand over.
type RetryPoolRule struct {
	Extra  float64 // retries per window of all daemons together, in addition to the ratio
	Window time.Duration
	Pools  int // number of pools that share it
}

// refillRate returns the retries a second that one pool receives without requests.
func (r RetryPoolRule) refillRate() float64 {
	if r.Window <= 0 || r.Pools <= 0 {
		return 0
	}
	return extraShare * r.Extra / r.Window.Seconds() / float64(r.Pools)
}

// RetryPool holds surplus credit for retries, by service, for daemons that have used up their own: a
// daemon with few requests has no credit when it needs it, while all daemons together use a part of
// theirs. A daemon that takes over as the relay starts with an empty pool. Safe for concurrent use;
// time is passed in.
type RetryPool struct {
	mu       sync.Mutex
	services map[string]*pooledCredit
}

type pooledCredit struct {
	credit
	accruedAt time.Time // time up to which the rule's extra retries were added
}

// credit returns the credit of a service as of now; p.mu is held.
func (p *RetryPool) credit(service string, rule RetryPoolRule, now time.Time) *pooledCredit {
	if p.services == nil {
		p.services = map[string]*pooledCredit{}
	}
	c := p.services[service]
	if c == nil {
		c = &pooledCredit{credit: credit{decay: poolDecay}, accruedAt: now}
		p.services[service] = c
	}
	if elapsed := now.Sub(c.accruedAt); elapsed > 0 {
		c.add(rule.refillRate()*min(elapsed, poolDecay).Seconds(), now)
		c.accruedAt = now
	}
	return c
}

// Add adds the credit that a daemon handed over, by service.
func (p *RetryPool) Add(credit map[string]float64, rule RetryPoolRule, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, n := range credit {
		if n > 0 {
			p.credit(service, rule, now).add(n, now)
		}
	}
}

// TakeRetry takes the credit of one retry; false: the service has less than that.
func (p *RetryPool) TakeRetry(service string, rule RetryPoolRule, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.credit(service, rule, now)
	if c.balance(now) < 1 {
		return false
	}
	c.add(-1, now)
	return true
}

// Levels returns the credit of each service.
func (p *RetryPool) Levels(rule RetryPoolRule, now time.Time) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]float64, len(p.services))
	for service := range p.services {
		out[service] = p.credit(service, rule, now).balance(now)
	}
	return out
}
