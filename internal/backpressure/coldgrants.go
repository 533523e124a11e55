package backpressure

import (
	"sync"
	"time"
)

// Parameters of the grants for cold instances.
const (
	// coldGrantShare is the part of the rule's rate that is granted. The sends within a second may hold the
	// permits of 1.1 s (ColdPermitTTL), and some are sent without permits where relays are lost.
	coldGrantShare = 0.92
	// coldBurst is the rule's burst in requests. The domains share it evenly.
	coldBurst = 5.0
	// coldBurstTime is how long permits accumulate after there is one, while no daemon asks for them:
	// most refused daemons ask again within that time.
	coldBurstTime = 50 * time.Millisecond
	// coldBucketTTL is how long a bucket is kept that no daemon asks.
	coldBucketTTL = 10 * time.Second
)

// ColdGrants grants permits for cold instances to the daemons of one domain, one for each send. The
// zero value has no permits and is ready to use. Safe for concurrent use.
type ColdGrants struct {
	mu      sync.Mutex
	buckets map[string]*coldBucket // by instance
	sweptAt time.Time
}

// coldBucket holds the permits of one instance.
type coldBucket struct {
	permits    float64
	refilledAt time.Time
}

// Reset drops all permits: another daemon may have granted others meanwhile.
func (g *ColdGrants) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.buckets = nil
}

// Take grants one permit for an instance that takes perSecond requests a second from all domains
// together, or returns when there will be one.
func (g *ColdGrants) Take(instance string, perSecond float64, shares Shares, now time.Time) ColdAnswer {
	rate := shares.share(instance) / grantShare * coldGrantShare * perSecond
	if rate <= 0 {
		return ColdAnswer{Granting: true, Wait: maxColdBlock}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	b := g.buckets[instance]
	if b == nil {
		if g.buckets == nil {
			g.buckets = map[string]*coldBucket{}
		}
		b = &coldBucket{refilledAt: now}
		g.buckets[instance] = b
	}
	domains := min(max(shares.Count, 1), maxGrantingDomains)
	capacity := min(1+rate*coldBurstTime.Seconds(), coldBurst/float64(domains))
	b.permits = min(b.permits+rate*now.Sub(b.refilledAt).Seconds(), capacity)
	b.refilledAt = now
	if b.permits < 1 {
		// Daemons wait no longer than maxColdBlock. With a very small rate, a duration would overflow.
		seconds := min((1-b.permits)/rate, maxColdBlock.Seconds())
		return ColdAnswer{Granting: true, Wait: time.Duration(seconds * float64(time.Second))}
	}
	b.permits--
	return ColdAnswer{Granted: true, Granting: true}
}

// sweep removes buckets that no daemon asks; g.mu is held.
func (g *ColdGrants) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < coldBucketTTL {
		return
	}
	g.sweptAt = now
	for instance, b := range g.buckets {
		if now.Sub(b.refilledAt) >= coldBucketTTL {
			delete(g.buckets, instance)
		}
	}
}
