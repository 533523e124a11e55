package relay

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// loads is what daemons have in progress, as they told. Safe for concurrent use.
type loads struct {
	mu    sync.Mutex
	by    map[string]daemonLoad // by daemon of this zone
	far   map[string]int        // of other zones' daemons together
	stand []groupRef            // groups that stand still for other zones
	count int                   // of other zones' daemons
	sum   loadSum               // of all
}

// loadSum is what all daemons have in progress, by instance. It is made once for all that ask
// within sumFor, and never changed once made.
type loadSum struct {
	at      time.Time
	loads   map[string]int
	encoded json.RawMessage // of loads, for the wire
}

// daemonLoad is one daemon's word.
type daemonLoad struct {
	inFlight       map[string]int
	stopped, alive []groupRef
	at             time.Time
}

// note takes in a daemon's word.
func (l *loads) note(r ShareRequest, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.by == nil {
		l.by = map[string]daemonLoad{}
	}
	l.by[r.From] = daemonLoad{r.Loads, r.Stopped, r.Alive, now}
}

// noteFar takes in what other zones' relays told.
func (l *loads) noteFar(far map[string]int, standing []groupRef, daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.far, l.stand, l.count = far, standing, daemons
}

// daemons returns how many daemons of this zone told lately, and of all.
func (l *loads) daemons(now time.Time) (near, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range l.by {
		if now.Sub(one.at) <= loadFor {
			near++
		}
	}
	return near, near + l.count
}

// standingLeast is how many daemons must say that a group's streams stopped, while none
// says that they bring events. A word of one alone was a busy replica more often than a
// dead one: told to all, everybody would leave replicas that only read a long prompt.
const standingLeast = 2

// standing returns the groups that stand still, by this zone's daemons. Words are as fresh
// as those of loads.
func (l *loads) standing(now time.Time) []groupRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.standingNear(now)
}

// standingNear is standing; l.mu is held.
func (l *loads) standingNear(now time.Time) []groupRef {
	stopped := map[groupRef]int{}
	for _, one := range l.by {
		if now.Sub(one.at) > loadFor {
			continue
		}
		for _, g := range one.stopped {
			stopped[g]++
		}
	}
	maps.DeleteFunc(stopped, func(_ groupRef, n int) bool { return n < standingLeast })
	if len(stopped) == 0 {
		return nil
	}
	for _, one := range l.by {
		if now.Sub(one.at) > loadFor {
			continue
		}
		for _, g := range one.alive {
			delete(stopped, g)
		}
	}
	return slices.SortedFunc(maps.Keys(stopped), func(a, b groupRef) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Name, b.Name))
	})
}

// allStanding adds those of other zones.
func (l *loads) allStanding(now time.Time) []groupRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(l.standingNear(now), l.stand...)
}

// near sums the words of this zone's daemons but one; l.mu is held.
func (l *loads) near(but string, now time.Time) map[string]int {
	maps.DeleteFunc(l.by, func(_ string, one daemonLoad) bool { return now.Sub(one.at) > loadFor })
	sum := map[string]int{}
	for from, one := range l.by {
		if from != but {
			addTo(sum, one.inFlight)
		}
	}
	return sum
}

// zone returns the sum of this zone's daemons.
func (l *loads) zone(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.near("", now)
}

// all returns the sum of all daemons.
func (l *loads) all(now time.Time) (loadSum, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sum.loads != nil && now.Sub(l.sum.at) <= sumFor {
		return l.sum, nil
	}
	sum := l.near("", now)
	addTo(sum, l.far)
	encoded, err := json.Marshal(sum)
	if err != nil {
		return loadSum{}, errors.Annotate(err, "loads")
	}
	l.sum = loadSum{now, sum, encoded}
	return l.sum, nil
}

// others returns the sum of all daemons but one of this zone.
func (l *loads) others(but string, now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.near(but, now)
	addTo(sum, l.far)
	return sum
}

func addTo(sum, more map[string]int) {
	for instance, n := range more {
		sum[instance] += n
	}
}

// without returns a sum less one daemon's own part.
func without(sum, own map[string]int) map[string]int {
	out := make(map[string]int, len(sum))
	for instance, n := range sum {
		if rest := n - own[instance]; rest > 0 {
			out[instance] = rest
		}
	}
	return out
}
