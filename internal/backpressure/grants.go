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
	// grantBurst is how long permits accumulate while no daemon asks for them. Where that is less than
	// one permit, one permit accumulates.
	grantBurst = 500 * time.Millisecond
	// maxGrantingDomains is the largest number of domains that grant permits for one instance. Each
	// may add one request to a window, whatever the limit.
	maxGrantingDomains = 5
	// askerTTL is how long a daemon counts as asking after its last request for permits.
	askerTTL = time.Second
	// turnTimeout is how long a permit is held for the daemon whose turn it is.
	turnTimeout = 300 * time.Millisecond
)

// Shares determines which share of each limit a domain grants.
type Shares struct {
	Domain  string
	Domains []string // known domains; if there are more, maxGrantingDomains of them are selected per instance
	Count   int      // number of domains of the deployment
}

// share returns the share of an instance's limit that this domain grants; 0: other domains grant.
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

// Grants grants permits for limited instances to the daemons of one domain. When another daemon
// takes over, it starts without permits. The zero value is ready to use. Safe for concurrent use.
type Grants struct {
	mu      sync.Mutex
	grants  map[Incarnation]*grant
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
func (g *Grants) Grant(daemon string, limited map[Incarnation]float64, shares Shares, now time.Time) []Permits {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	var out []Permits
	for inc, limit := range limited {
		if n := g.grant(inc, now).take(daemon, shares.share(inc.Instance)*limit, now); n > 0 {
			out = append(out, Permits{inc.Instance, inc.StartedAt, n})
		}
	}
	return out
}

func (g *Grants) grant(inc Incarnation, now time.Time) *grant {
	if g.grants == nil {
		g.grants = map[Incarnation]*grant{}
	}
	entry := g.grants[inc]
	if entry == nil {
		entry = &grant{refilledAt: now, askedAt: map[string]time.Time{}, grantedAt: map[string]time.Time{}}
		g.grants[inc] = entry
	}
	return entry
}

// sweep removes daemons that stopped asking, and incarnations that no daemon asks for. Permits for
// these start again at zero.
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

// take grants the daemon its part of the permits that accrued at a rate: an even part of what is
// there, and only on its turn.
func (gr *grant) take(daemon string, perSecond float64, now time.Time) int {
	capacity := max(1, perSecond*grantBurst.Seconds())
	gr.permits = min(gr.permits+perSecond*now.Sub(gr.refilledAt).Seconds(), capacity)
	gr.refilledAt = now
	gr.askedAt[daemon] = now
	n := int(gr.permits)
	if n == 0 {
		return 0
	}
	n = int(math.Ceil(float64(n) / float64(len(gr.askedAt))))
	if !gr.hasTurn(daemon, now) {
		return 0
	}
	gr.permits -= float64(n)
	gr.grantedAt[daemon] = now
	return n
}

// hasTurn reports whether no other asking daemon received its last permit earlier than this one. A
// daemon that has not asked within turnTimeout is passed over.
func (gr *grant) hasTurn(daemon string, now time.Time) bool {
	for other, asked := range gr.askedAt {
		if other != daemon && gr.grantedAt[other].Before(gr.grantedAt[daemon]) && now.Sub(asked) < turnTimeout {
			return false
		}
	}
	return true
}
