package dispatch

import (
	"sync"
	"time"
)

// Parameters of a pool.
const (
	// pooledFor is how long what was handed over lasts, as a time constant. With what the
	// daemons keep, one each, a window of ten seconds then bears what eleven earned: 0.18 x
	// 11 = 1.98 of the 2 seconds' requests that the rule allows.
	pooledFor = time.Second
	// extraPart of the repeats that the rule allows beside its ratio, split evenly over
	// windows and pools, is there without a request that earned it: at a start, or for a
	// service of few requests, none is saved. The other part is for the repeat that each
	// daemon keeps, and for two pools in one zone while relays change.
	extraPart = 0.25
)

// PoolRule says what a pool has beside what is handed over to it.
type PoolRule struct {
	Extra  float64 // repeats that all daemons together may make in a window beside the ratio
	Window time.Duration
	Pools  int // that share it
}

// perSecond is what comes to one pool without requests.
func (r PoolRule) perSecond() float64 {
	if r.Window <= 0 || r.Pools <= 0 {
		return 0
	}
	return extraPart * r.Extra / r.Window.Seconds() / float64(r.Pools)
}

// Pool holds repeats of each service that several daemons earned and did not need, for
// those of them that do: a daemon with few requests has none left when it needs one, while
// all together use a part of what they may. Whoever takes the pool over begins with none.
// Safe for concurrent use; time is passed in.
type Pool struct {
	mu sync.Mutex
	m  map[string]*pooled
}

type pooled struct {
	earned
	accrued time.Time // until when the rule's extra was added
}

// of returns a service's part as it is now; p.mu is held.
func (p *Pool) of(service string, rule PoolRule, now time.Time) *pooled {
	if p.m == nil {
		p.m = map[string]*pooled{}
	}
	one := p.m[service]
	if one == nil {
		one = &pooled{earned: earned{lasts: pooledFor}, accrued: now}
		p.m[service] = one
	}
	if since := now.Sub(one.accrued); since > 0 {
		one.add(rule.perSecond()*min(since, pooledFor).Seconds(), now)
		one.accrued = now
	}
	return one
}

// Put adds what a daemon handed over, by service.
func (p *Pool) Put(repeats map[string]float64, rule PoolRule, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, n := range repeats {
		if n > 0 {
			p.of(service, rule, now).add(n, now)
		}
	}
}

// Take takes one repeat; false: there is none.
func (p *Pool) Take(service string, rule PoolRule, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.of(service, rule, now)
	if one.now(now) < 1 {
		return false
	}
	one.add(-1, now)
	return true
}

// Levels returns what is there of each service.
func (p *Pool) Levels(rule PoolRule, now time.Time) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]float64, len(p.m))
	for service := range p.m {
		out[service] = p.of(service, rule, now).now(now)
	}
	return out
}
