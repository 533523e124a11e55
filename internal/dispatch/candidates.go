package dispatch

import (
	"time"

	"pearlanding/internal/demand"
	"pearlanding/internal/fleet"
)

// Parameters of the choice when loads of other daemons are known.
const (
	// loadTTL is how long received loads are used; they arrive four times a second.
	loadTTL = 3 * time.Second
	// knownLoadZonePenalty is the penalty of another zone, in requests in flight, when loads are
	// known. It exceeds the error of the received loads, so that requests stay in their zone while
	// its replicas are about as busy as others.
	knownLoadZonePenalty = 1.5
)

// MaxOwnLoadDaemons is the largest number of daemons with which a daemon estimates its replicas'
// load best by its own requests alone.
const MaxOwnLoadDaemons = 16

// PeerReports holds the reports of the other daemons, summed up.
type PeerReports struct {
	Daemons       int                     // daemons that reported, including this one
	InFlight      map[string]int          // requests in flight of the other daemons, by instance
	StalledGroups map[fleet.GroupKey]bool // groups that several daemons see stalled and no daemon sees progressing
	Demand        []demand.Rate           // what callers ask of all daemons, including this one
	Age           time.Duration           // mean age of the reports when they were received
}

// SetPeerReports stores what the other daemons reported, as of now. The caller must not change others
// afterwards.
func (p *Picker) SetPeerReports(others PeerReports, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	others.Age = max(others.Age, 0)
	p.othersRates = currentRates(&p.others, &others, now.Sub(p.othersAt))
	p.others, p.othersAt = others, now
	p.missing.note(others.Daemons, now)
	p.followReports(now)
}

// stallReportTTL is how long other daemons' report of a stalled group is used.
const stallReportTTL = time.Second

// reportedStalled reports whether other daemons see the target's group as stalled. p.mu is held.
// A daemon without another stream there can't detect the stall itself and would wait for
// longer than the objective.
func (p *Picker) reportedStalled(t *Target, now time.Time) bool {
	return now.Sub(p.othersAt) < stallReportTTL && p.others.StalledGroups[t.Group]
}

// minBusyStreams is how many requests of other daemons at a group show that its death would have been
// reported: by two daemons with running streams there. With fewer, all of them may still be queued.
const minBusyStreams = 8

// reportedBusy reports whether other daemons have so many requests at the target's group that they
// would report it if it were stalled, and do not. p.mu is held. A request that is silent there is
// queued. Moved to another replica, it would wait in that one's queue, and the retry that it took
// would be missing for streams of groups that died.
func (p *Picker) reportedBusy(t *Target, now time.Time) bool {
	return now.Sub(p.othersAt) < stallReportTTL && p.others.Daemons > MaxOwnLoadDaemons &&
		p.others.InFlight[t.Instance] >= minBusyStreams && !p.others.StalledGroups[t.Group]
}

// GroupProgress returns the groups whose running streams stalled recently at this daemon, and those
// whose running streams make progress.
func (p *Picker) GroupProgress(now time.Time) (stalled, progressing []fleet.GroupKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.records {
		switch {
		case r.group == fleet.GroupKey{}:
		case r.stalledRecently(now):
			stalled = append(stalled, r.group)
		case r.progressing(now):
			progressing = append(progressing, r.group)
		}
	}
	return stalled, progressing
}

// ProgressedSince reports whether a request of this daemon made progress at a group after a time.
func (p *Picker) ProgressedSince(group fleet.GroupKey, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.records {
		if r.group == group && r.progressAt.After(at) {
			return true
		}
	}
	return false
}

// InFlight returns this daemon's requests in flight, by instance.
func (p *Picker) InFlight() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.records))
	for id, r := range p.records {
		if r.inFlight > 0 {
			out[id.instance] += r.inFlight
		}
	}
	return out
}

// scoredTarget is a target with its score by this daemon's own requests.
type scoredTarget struct {
	target *Target
	own    float64
}

// candidates returns the targets to choose among: all that were not tried or, when loads of other
// daemons are known, two of the healthy ones: the least loaded by this daemon's own requests and a
// random one. Received loads are nearly as old as a stream lasts; if each daemon sent to the least
// loaded of many by these reports, hundreds would send to the same target until the next report.
// The result is valid until the next call. p.mu is held.
func (p *Picker) candidates(targets []Target, tried map[string]bool, now time.Time) []scoredTarget {
	all, healthy := p.all[:0], p.healthy[:0]
	known := p.loadsKnown(now)
	for i := range targets {
		t := &targets[i]
		if tried[t.Instance] {
			continue
		}
		r := p.records[t.incarnation()]
		s := scoredTarget{t, p.ownScore(t, r, now)}
		all = append(all, s)
		if known && p.isHealthy(t, r, now) {
			healthy = append(healthy, s)
		}
	}
	p.all, p.healthy = all, healthy
	if len(healthy) == 0 {
		return all
	}
	own := p.lowestScore(healthy, func(s *scoredTarget) float64 { return s.own })
	p.pair = [2]scoredTarget{*own, healthy[p.uniform(len(healthy))]}
	return p.pair[:]
}

// loadsKnown reports whether the other daemons' requests in flight are used. p.mu is held.
func (p *Picker) loadsKnown(now time.Time) bool {
	return now.Sub(p.othersAt) < loadTTL && p.others.Daemons > MaxOwnLoadDaemons
}

// isHealthy reports whether a target is neither suspect nor stalled, by this daemon's streams or,
// if none of these progress, by the reports of other daemons. p.mu is held.
func (p *Picker) isHealthy(t *Target, r *record, now time.Time) bool {
	if r != nil && (r.stalled(now) || now.Before(r.suspectUntil)) {
		return false
	}
	return !p.reportedStalled(t, now) || r != nil && r.progressing(now)
}

// lowestScore returns a target of the lowest score, ties broken at random.
func (p *Picker) lowestScore(scored []scoredTarget, score func(*scoredTarget) float64) *scoredTarget {
	ties := p.ties[:0]
	var best float64
	for i := range scored {
		switch s := score(&scored[i]); {
		case len(ties) == 0 || s < best:
			best, ties = s, append(ties[:0], i)
		case s == best:
			ties = append(ties, i)
		}
	}
	p.ties = ties
	switch len(ties) {
	case 0:
		return nil
	case 1:
		return &scored[ties[0]]
	}
	return &scored[ties[len(ties)-1-p.uniform(len(ties))]]
}
