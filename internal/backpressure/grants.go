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
	// grantPart of a limit is granted: two daemons of one domain may both grant while the one
	// takes the other's place.
	grantPart = 0.9
	// grantBurst is how much of what was not asked for is kept, as time; one permit at least.
	grantBurst = 500 * time.Millisecond
	// maxGrantors is how many domains grant permits for one instance. Each adds one permit to
	// what a window may see, whatever the limit.
	maxGrantors = 5
	// askingFor is how long after its last question a daemon counts as asking.
	askingFor = time.Second
	// turnFor is how long a permit is kept for the daemon whose turn it is.
	turnFor = 300 * time.Millisecond
)

// Shares says which part of limits a domain grants.
type Shares struct {
	Domain  string
	Domains []string // known ones; those beyond maxGrantors take turns by instance
	Count   int      // of the deployment's domains
}

// of returns the part of an instance's limit; 0: other domains grant.
func (s Shares) of(instance string) float64 {
	if s.Count <= maxGrantors {
		return grantPart / float64(max(s.Count, 1))
	}
	ranked := slices.Clone(s.Domains)
	slices.SortFunc(ranked, func(a, b string) int {
		x, y := weight(instance, a), weight(instance, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	if slices.Contains(ranked[:min(maxGrantors, len(ranked))], s.Domain) {
		return grantPart / maxGrantors
	}
	return 0
}

// weight orders domains for an instance (rendezvous hashing).
func weight(instance, domain string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance + "\x00" + domain)) // never fails
	return h.Sum64()
}

// Grants hands permits for limited instances to the daemons of one domain. Whoever takes over
// begins with none. The zero value is ready; safe for concurrent use.
type Grants struct {
	mu    sync.Mutex
	by    map[Life]*grant
	swept time.Time
}

// grant is the permits of one life.
type grant struct {
	permits float64
	at      time.Time            // until when permits were added
	asked   map[string]time.Time // when each daemon asked last
	given   map[string]time.Time // when each was given a permit last
}

// Grant returns the permits for lives with a limit that a daemon gets now.
func (g *Grants) Grant(to string, limited map[Life]float64, shares Shares, now time.Time) []Permits {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	var out []Permits
	for life, limit := range limited {
		if n := g.of(life, now).take(to, shares.of(life.Instance)*limit, now); n > 0 {
			out = append(out, Permits{life.Instance, life.Born, n})
		}
	}
	return out
}

func (g *Grants) of(life Life, now time.Time) *grant {
	if g.by == nil {
		g.by = map[Life]*grant{}
	}
	one := g.by[life]
	if one == nil {
		one = &grant{at: now, asked: map[string]time.Time{}, given: map[string]time.Time{}}
		g.by[life] = one
	}
	return one
}

// sweep forgets what nobody asks for. Permits that come back after it begin with none.
func (g *Grants) sweep(now time.Time) {
	if now.Sub(g.swept) < askingFor/2 {
		return
	}
	g.swept = now
	for life, one := range g.by {
		for daemon, at := range one.asked {
			if now.Sub(at) > askingFor {
				delete(one.asked, daemon)
				delete(one.given, daemon)
			}
		}
		if now.Sub(one.at) > askingFor {
			delete(g.by, life)
		}
	}
}

// take gives a daemon its part of the permits at a rate.
func (o *grant) take(to string, perSecond float64, now time.Time) int {
	most := max(1, perSecond*grantBurst.Seconds())
	o.permits = min(o.permits+perSecond*now.Sub(o.at).Seconds(), most)
	o.at = now
	o.asked[to] = now
	n := int(o.permits)
	if n == 0 {
		return 0
	}
	n = int(math.Ceil(float64(n) / float64(len(o.asked))))
	if !o.turn(to, now) {
		return 0
	}
	o.permits -= float64(n)
	o.given[to] = now
	return n
}

// turn tells whether no other daemon that asks was given a permit longer ago. One that has not
// come for its turn is passed over.
func (o *grant) turn(to string, now time.Time) bool {
	for daemon, asked := range o.asked {
		if daemon != to && o.given[daemon].Before(o.given[to]) && now.Sub(asked) < turnFor {
			return false
		}
	}
	return true
}
