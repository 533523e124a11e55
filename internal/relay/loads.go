package relay

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/demand"
)

// loads holds the requests in flight that daemons reported. Safe for concurrent use.
type loads struct {
	mu            sync.Mutex
	byDaemon      map[string]daemonReport // daemons of this zone, by id
	remote        map[string]int          // sum over the daemons of other zones
	remoteStalled []groupRef              // groups stalled for other zones
	remoteDaemons int                     // number of daemons in other zones
	remotePeers   []string                // daemons of other zones that reach instances
	remoteDemand  []demand.Rate           // sum over the daemons of other zones
	remoteAt      time.Time               // mean time of the reports of other zones
	cached        totalLoad               // sum over all daemons
}

// totalLoad is the requests in flight of all daemons, by instance. It is computed once for all
// callers within totalValidFor and is immutable.
type totalLoad struct {
	computedAt time.Time
	loads      map[string]int
	encoded    json.RawMessage // loads, encoded for the wire
	demand     []demand.Rate
	reportedAt time.Time // mean time of the reports
}

// daemonReport is the last report of one daemon.
type daemonReport struct {
	inFlight        map[string]int
	demand          []demand.Rate
	stalled, active []groupRef
	address         string // if it reaches instances
	receivedAt      time.Time
}

// note records a daemon's report, and returns whether the daemon reaches instances no more.
func (l *loads) note(r ShareRequest, now time.Time) (lostInstances bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lostInstances = r.Address == "" && l.byDaemon[r.From].address != ""
	if l.byDaemon == nil {
		l.byDaemon = map[string]daemonReport{}
	}
	l.byDaemon[r.From] = daemonReport{r.Loads, r.Demand, r.StalledGroups, r.ActiveGroups, r.Address, now}
	return lostInstances
}

// setRemote records what the relays of other zones reported, received now.
func (l *loads) setRemote(replies []LoadsReply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remote, l.remoteStalled, l.remoteDaemons, l.remotePeers, l.remoteDemand = map[string]int{}, nil, 0, nil, nil
	age := time.Duration(0)
	for _, r := range replies {
		addTo(l.remote, r.Loads)
		l.remoteStalled = append(l.remoteStalled, r.StalledGroups...)
		l.remoteDaemons += r.Daemons
		l.remotePeers = append(l.remotePeers, r.TunnelPeers...)
		l.remoteDemand = demand.Sum(l.remoteDemand, r.Demand)
		age += time.Duration(r.Daemons) * time.Duration(r.LoadsAgeMS) * time.Millisecond
	}
	l.remoteAt = now.Add(-age / time.Duration(max(l.remoteDaemons, 1)))
}

// tunnelPeers returns the addresses of this zone's daemons that reach instances, in no particular
// order.
func (l *loads) tunnelPeers(now time.Time) (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, last := range l.byDaemon {
		if last.address != "" && now.Sub(last.receivedAt) <= loadValidFor {
			out = append(out, last.address)
		}
	}
	return out
}

// allTunnelPeers is tunnelPeers with those of other zones.
func (l *loads) allTunnelPeers(now time.Time) []string {
	own := l.tunnelPeers(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(own, l.remotePeers...)
}

// countDaemons returns how many daemons of this zone reported recently, and how many of all
// zones.
func (l *loads) countDaemons(now time.Time) (zone, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, last := range l.byDaemon {
		if now.Sub(last.receivedAt) <= loadValidFor {
			zone++
		}
	}
	return zone, zone + l.remoteDaemons
}

// minStallReporters is how many daemons must report that a group's streams stopped, while none
// reports that they deliver events. A report by one daemon alone was a busy replica more often
// than a dead one; announced to all, it would drive all daemons away from replicas that only read
// a long prompt.
const minStallReporters = 2

// stalledGroups returns the groups that are stalled according to this zone's daemons, by reports
// no older than loadValidFor.
func (l *loads) stalledGroups(now time.Time) []groupRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stalledGroupsLocked(now)
}

// stalledGroupsLocked is stalledGroups; l.mu is held.
func (l *loads) stalledGroupsLocked(now time.Time) []groupRef {
	reporters := map[groupRef]int{}
	for _, last := range l.byDaemon {
		if now.Sub(last.receivedAt) > loadValidFor {
			continue
		}
		for _, g := range last.stalled {
			reporters[g]++
		}
	}
	maps.DeleteFunc(reporters, func(_ groupRef, n int) bool { return n < minStallReporters })
	if len(reporters) == 0 {
		return nil
	}
	for _, last := range l.byDaemon {
		if now.Sub(last.receivedAt) > loadValidFor {
			continue
		}
		for _, g := range last.active {
			delete(reporters, g)
		}
	}
	return slices.SortedFunc(maps.Keys(reporters), func(a, b groupRef) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Name, b.Name))
	})
}

// allStalledGroups returns the groups that are stalled according to the daemons of any zone.
func (l *loads) allStalledGroups(now time.Time) []groupRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(l.stalledGroupsLocked(now), l.remoteStalled...)
}

// zoneTotalLocked sums the reports of this zone's daemons except one; l.mu is held.
func (l *loads) zoneTotalLocked(except string, now time.Time) map[string]int {
	maps.DeleteFunc(l.byDaemon, func(_ string, last daemonReport) bool { return now.Sub(last.receivedAt) > loadValidFor })
	sum := map[string]int{}
	for from, last := range l.byDaemon {
		if from != except {
			addTo(sum, last.inFlight)
		}
	}
	return sum
}

// zoneTotal returns the sum over this zone's daemons.
func (l *loads) zoneTotal(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zoneTotalLocked("", now)
}

// zoneDemandLocked returns the demand at this zone's daemons, and the mean age of their reports;
// l.mu is held.
func (l *loads) zoneDemandLocked(now time.Time) ([]demand.Rate, time.Duration) {
	lists := make([][]demand.Rate, 0, len(l.byDaemon))
	age, n := time.Duration(0), 0
	for _, last := range l.byDaemon {
		if now.Sub(last.receivedAt) > loadValidFor {
			continue
		}
		lists = append(lists, last.demand)
		age += now.Sub(last.receivedAt)
		n++
	}
	return demand.Sum(lists...), age / time.Duration(max(n, 1))
}

// zoneDemand returns the demand at this zone's daemons, and the mean age of their reports.
func (l *loads) zoneDemand(now time.Time) ([]demand.Rate, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zoneDemandLocked(now)
}

// total returns the sum over all daemons.
func (l *loads) total(now time.Time) (totalLoad, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cached.loads != nil && now.Sub(l.cached.computedAt) <= totalValidFor {
		return l.cached, nil
	}
	sum := l.zoneTotalLocked("", now)
	addTo(sum, l.remote)
	encoded, err := json.Marshal(sum)
	if err != nil {
		return totalLoad{}, errors.Annotate(err, "loads")
	}
	zoneDemand, age := l.zoneDemandLocked(now)
	reportedAt := now.Add(-age)
	if l.remoteDaemons > 0 {
		zone := len(l.byDaemon)
		remoteShare := float64(l.remoteDaemons) / float64(zone+l.remoteDaemons)
		reportedAt = reportedAt.Add(time.Duration(remoteShare * float64(l.remoteAt.Sub(reportedAt))))
	}
	l.cached = totalLoad{now, sum, encoded, demand.Sum(zoneDemand, l.remoteDemand), reportedAt}
	return l.cached, nil
}

// totalExcept returns the sum over all daemons except one of this zone.
func (l *loads) totalExcept(except string, now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.zoneTotalLocked(except, now)
	addTo(sum, l.remote)
	return sum
}

// addTo adds the requests in flight in more to sum, by instance.
func addTo(sum, more map[string]int) {
	for instance, n := range more {
		sum[instance] += n
	}
}

// subtract returns a sum without one daemon's own requests; instances without others are left
// out.
func subtract(sum, own map[string]int) map[string]int {
	out := make(map[string]int, len(sum))
	for instance, n := range sum {
		if remaining := n - own[instance]; remaining > 0 {
			out[instance] = remaining
		}
	}
	return out
}
