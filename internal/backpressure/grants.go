package backpressure

import (
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"
)

// Parameters of grants.
const (
	// grantShare is the share of a limit that is granted: while one daemon of a domain replaces
	// another, both may grant.
	grantShare = 0.9
	// grantBurst is how much unrequested grant capacity is kept, as time; at least one permit.
	grantBurst = 500 * time.Millisecond
	// maxGrantingDomains is the number of domains that grant permits for one instance. Each may add
	// one request to a window, whatever the limit.
	maxGrantingDomains = 5
	// askerTTL is how long a daemon counts as asking after its last request for permits.
	askerTTL = time.Second
	// turnTimeout is how long a permit is held for the daemon whose turn it is.
	turnTimeout = 300 * time.Millisecond
)

// Shares determines which share of each limit a domain grants.
type Shares struct {
	Domain  string
	Domains []string // known domains; maxGrantingDomains of them are selected per instance
	Count   int      // number of domains of the deployment
}

// share returns the share of an instance's limit; 0: other domains grant.
func (s Shares) share(instance string) float64 {
	if s.Count <= maxGrantingDomains {
		return grantShare / float64(max(s.Count, 1))
	}
	ranked := slices.Clone(s.Domains)
	slices.SortFunc(ranked, func(a, b string) int {
		x, y := rendezvousWeight(instance, a), rendezvousWeight(instance, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	if slices.Contains(ranked[:min(maxGrantingDomains, len(ranked))], s.Domain) {
		return grantShare / maxGrantingDomains
	}
	return 0
}

// rendezvousWeight orders domains for an instance (rendezvous hashing).
func rendezvousWeight(instance, domain string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance + "\x00" + domain)) // never fails
	return h.Sum64()
}

// Grants grants permits for limited instances to the daemons of one domain. After a change of the
// granting daemon it starts empty. The zero value is ready to use. Safe for concurrent use.
type Grants struct {
	mu      sync.Mutex
	grants  map[Life]*grant
	sweptAt time.Time
}

// grant holds the permits of one incarnation.
type grant struct {
	permits    float64
	refilledAt time.Time            // time up to which permits were added
	askedAt    map[string]time.Time // last request of each daemon
	grantedAt  map[string]time.Time // last grant to each daemon
}

// Grant returns the permits that a daemon receives now for the limited incarnations.
func (g *Grants) Grant(to string, limited map[Life]float64, shares Shares, now time.Time) []Permits {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	var out []Permits
	for inc, limit := range limited {
		if n := g.grant(inc, now).take(to, shares.share(inc.Instance)*limit, now); n > 0 {
			out = append(out, Permits{inc.Instance, inc.Born, n})
		}
	}
	return out
}

func (g *Grants) grant(inc Life, now time.Time) *grant {
	if g.grants == nil {
		g.grants = map[Life]*grant{}
	}
	entry := g.grants[inc]
	if entry == nil {
		entry = &grant{refilledAt: now, askedAt: map[string]time.Time{}, grantedAt: map[string]time.Time{}}
		g.grants[inc] = entry
	}
	return entry
}

// sweep removes daemons and incarnations that nobody asks for. They start again without permits.
func (g *Grants) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < askerTTL/2 {
		return
	}
	g.sweptAt = now
	for inc, entry := range g.grants {
		for daemon, at := range entry.askedAt {
			if now.Sub(at) > askerTTL {
				delete(entry.askedAt, daemon)
				delete(entry.grantedAt, daemon)
			}
		}
		if now.Sub(entry.refilledAt) > askerTTL {
			delete(g.grants, inc)
		}
	}
}

// take returns the daemon's part of the permits that accrue at a rate.
func (gr *grant) take(to string, perSecond float64, now time.Time) int {
	most := max(1, perSecond*grantBurst.Seconds())
	gr.permits = min(gr.permits+perSecond*now.Sub(gr.refilledAt).Seconds(), most)
	gr.refilledAt = now
	gr.askedAt[to] = now
	n := int(gr.permits)
	if n == 0 {
		return 0
	}
	n = int(math.Ceil(float64(n) / float64(len(gr.askedAt))))
	if !gr.hasTurn(to, now) {
		return 0
	}
	gr.permits -= float64(n)
	gr.grantedAt[to] = now
	return n
}

// hasTurn reports whether no other asking daemon has waited for a permit for longer. A daemon that
// does not ask within turnTimeout loses its turn.
func (gr *grant) hasTurn(to string, now time.Time) bool {
	for daemon, asked := range gr.askedAt {
		if daemon != to && gr.grantedAt[daemon].Before(gr.grantedAt[to]) && now.Sub(asked) < turnTimeout {
			return false
		}
	}
	return true
}
