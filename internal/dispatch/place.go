package dispatch

import (
	"math"
	"time"

	"pearlanding/internal/routes"
)

// StreamRequest is what the choice of a replica for a stream depends on.
type StreamRequest struct {
	Service      string
	Model        string
	Engine       *routes.Engine // nil: the timing of the replicas is not known
	Priority     int            // 0 is the most urgent
	Objective    time.Duration  // for the first event; 0: none
	Waited       time.Duration  // time that the caller has waited, including its own earlier attempts
	Remaining    time.Duration  // until the caller's deadline
	PromptTokens int            // 0: unknown
	Returned     bool           // the caller or this daemon has made an attempt before
	Unrefusable  bool           // part of the answer was sent, also by another daemon, or an instance may have run the request
	// Admitted: the request was admitted, and the replica chosen for it was not used, for lack of a permit.
	// It is only placed: a request that had to pass its share with each choice would be refused more
	// often than planned.
	Admitted bool
	// HasIdle reports whether this daemon has an idle connection to an address that the request may
	// use; nil: it has none.
	HasIdle func(address string) bool
}

func (r *StreamRequest) key() ModelKey { return ModelKey{r.Service, r.Model} }

// Place admits a stream and chooses its replica among those that were not tried, by the predicted load
// that all daemons cause. It decides like Admit and Pick, by this daemon's own requests, if loads or
// demand of other daemons or the timing of the replicas are not known; then admission is decided
// only for the first send of a request. A request that was admitted before is only placed.
//
// The target is nil if the stream is refused or no replica is left. Otherwise the request counts as
// in flight as after Pick.
func (p *Picker) Place(targets []Target, tried map[string]bool, req *StreamRequest, now time.Time) (*Target, Admission) {
	p.mu.Lock()
	f, ok := p.fleetState(targets, req, now)
	if !ok {
		p.mu.Unlock()
		a := Admission{Admitted: true, Replicas: len(targets)}
		if len(tried) == 0 && !req.Unrefusable && !req.Admitted {
			a = p.Admit(targets, req.key(), req.Objective, now)
		}
		if !a.Admitted {
			a.Reason, a.RetryAfter = NoReplicaInTime, RetryAfter(Overload)
			return nil, a
		}
		return p.Pick(targets, tried, now), a
	}
	defer p.mu.Unlock()
	a := f.admit(req, p.chance)
	f.recordFlow(targets)
	f.flow.replicas, f.flow.request, f.flow.decidedAt = targets, *req, now
	if !a.Admitted {
		return nil, a
	}
	t := p.belowLevel(f, targets, tried, req.HasIdle)
	if t != nil {
		p.noteChosen(t, now)
		if a.Late || f.rank(req.Priority) > 0 {
			p.record(t.incarnation()).deferredAt = now
		}
	}
	return t, a
}

// noteChosen counts a request in flight at a target. p.mu is held.
func (p *Picker) noteChosen(t *Target, now time.Time) {
	r := p.record(t.incarnation())
	r.inFlight++
	r.usedAt, r.stallTimeout, r.group = now, max(t.StallTimeout, minStallTimeout), t.Group
}

// chance returns a random number in [0, 1).
func (p *Picker) chance() float64 {
	const steps = 1 << 20
	return float64(p.uniform(steps)) / steps
}

// maxOwnAdmissionDaemons is the largest number of daemons with which streams are admitted and placed by
// this daemon's own streams alone.
const maxOwnAdmissionDaemons = MaxOwnLoadDaemons

// fleetState returns the predicted state of a model's replicas; ok is false if it can't be predicted.
// The result is valid until the next call. p.mu is held.
func (p *Picker) fleetState(targets []Target, req *StreamRequest, now time.Time) (f *fleetModel, ok bool) {
	key := req.key()
	rates := p.othersRates[key]
	known := now.Sub(p.othersAt) < loadTTL && p.others.Daemons > maxOwnAdmissionDaemons
	if !known || len(rates) == 0 || len(targets) == 0 {
		return nil, false
	}
	f = &p.fleet
	cost, ok := costOf(req.Engine, req.Model, p.statsOf(key).usual)
	if !ok {
		return nil, false
	}
	f.cost, f.fastest, f.age = cost, p.floors[key].Seconds(), p.others.Age+now.Sub(p.othersAt)
	f.missing, f.corrected = p.missing.factor, f.corrected[:0]
	for _, r := range rates {
		f.corrected = append(f.corrected, priorityRate{r.priority, r.first * f.missing, r.returns * f.missing})
	}
	f.rates, f.flow, f.anyHealthy = f.corrected, p.flowOf(key), false
	f.flow.advance(now)
	p.projectLoads(targets, now)
	return f, true
}

// flowOf returns what was sent to the replicas of a model. p.mu is held.
func (p *Picker) flowOf(key ModelKey) *fleetFlow {
	f := p.flows[key]
	if f == nil {
		f = &fleetFlow{targets: map[incarnation]*targetFlow{}}
		p.flows[key] = f
	}
	return f
}

// unseenPrior is the least number of replicas over which a queue seen by this daemon is averaged, so
// that a single late stream does not make it take all replicas for full.
const unseenPrior = 2

// projectLoads predicts the load of each target. Streams of this daemon that wait for longer than the
// prediction explains show a queue, as replicas start requests in order; without other knowledge
// replicas that it does not use have the same. p.mu is held.
func (p *Picker) projectLoads(targets []Target, now time.Time) {
	f := &p.fleet
	f.all, f.loads, f.shown, f.taken = f.all[:0], f.loads[:0], 0, 0
	age, queued, observed := f.age.Seconds(), 0.0, 0.0
	full := f.cost.firstEvent(f.cost.slots-1, f.fastest)
	elapsed := min(age, f.cost.stay(f.cost.slots))
	for i := range targets {
		t := &targets[i]
		id := t.incarnation()
		r := p.records[id]
		load, others := 0.0, f.missing*float64(p.others.InFlight[t.Instance])
		if r != nil {
			load = float64(r.inFlight)
		}
		if n := load + others; others > 0 {
			load += others * f.cost.loadAfter(n, age) / n
		}
		load += f.flow.sent(id, int(elapsed/flowSlot.Seconds())) * totalRate(f.rates)
		if p.Surcharge != nil {
			load += p.Surcharge(t)
		}
		healthy := p.isHealthy(t, r, now)
		seen := healthy && r != nil && r.observed(now)
		if healthy && r != nil && now.Sub(r.pauseAt) < pauseTTL && f.cost.passGrowth() > 0 {
			f.shown += f.cost.inProgress(r.meanPause)
			f.taken += min(load, f.cost.slots)
		}
		if seen {
			before := load
			if late := r.expectedWait(now).Seconds() - full; late > 0 {
				load = max(load, f.cost.slots+late*f.cost.rate(f.cost.slots))
			}
			queued += load - before
			observed++
		}
		f.anyHealthy = f.anyHealthy || healthy
		f.all = append(f.all, projectedTarget{load, t.Zone != p.zone, healthy, seen})
	}
	for i := range f.all {
		if t := &f.all[i]; !t.seen {
			t.load += queued / max(observed, unseenPrior)
		}
	}
	for _, t := range f.all {
		if t.healthy || !f.anyHealthy {
			f.loads = append(f.loads, t.load)
		}
	}
	f.rate = f.cost.rate(f.cost.slots)
	f.noise = math.Sqrt(min(totalRate(f.rates)/float64(max(len(f.loads), 1)), f.rate) * elapsed)
	f.fill()
}

// recordFlow records which part of the demand the other daemons send to each replica from now on. They
// have no common zone.
func (f *fleetModel) recordFlow(targets []Target) {
	room := 0.0
	for _, t := range f.all {
		if t.healthy || !f.anyHealthy {
			room += max(f.level-t.load, 0)
		}
	}
	for i, t := range f.all {
		share := 0.0
		if t.healthy || !f.anyHealthy {
			share = max(f.level-t.load, 0) / room
		}
		f.flow.set(targets[i].incarnation(), ratio(f.admitted, totalRate(f.rates))*share)
	}
}

// projectedTarget is a replica with its predicted load, before what was sent since the last report.
type projectedTarget struct {
	load      float64
	otherZone bool
	healthy   bool
	seen      bool // own requests there began recently, or wait to begin
}

// weight returns by how much a target lies below a level; a target of another zone lies lower by the
// penalty of the distance.
func (t projectedTarget) weight(level float64) float64 {
	if t.otherZone {
		level -= knownLoadZonePenalty
	}
	return level - t.load
}

// belowLevel returns a target below the common level of all replicas, at random by how far it is
// below, or the lowest one if none is. Unhealthy ones are chosen only if all are unhealthy. p.mu is
// held. Among several drawn it prefers one to which this daemon has an idle connection.
func (p *Picker) belowLevel(f *fleetModel, targets []Target, tried map[string]bool, hasIdle func(address string) bool) *Target {
	open := func(i int) bool { return (f.all[i].healthy || !f.anyHealthy) && !tried[targets[i].Instance] }
	total, lowest := 0.0, -1
	for i, t := range f.all {
		if !open(i) {
			continue
		}
		w := t.weight(f.level)
		total += max(w, 0)
		if lowest < 0 || w > f.all[lowest].weight(f.level) {
			lowest = i
		}
	}
	if lowest < 0 {
		return p.untried(targets, tried)
	}
	for draw := 1; total > 0; draw++ {
		i := f.draw(p.chance()*total, open)
		if i < 0 {
			break
		}
		if draw == idleDraws || hasIdle == nil || hasIdle(targets[i].Address) {
			return &targets[i]
		}
	}
	return &targets[lowest]
}

// idleDraws is how many replicas are drawn at most until this daemon has an idle connection to one: a
// new one takes a round trip. More draws would narrow the choice to the few replicas used last.
const idleDraws = 4

// draw returns the open target at a point of the sum of all weights, -1 if there is none.
func (f *fleetModel) draw(x float64, open func(i int) bool) int {
	for i, t := range f.all {
		if !open(i) {
			continue
		}
		if x -= max(t.weight(f.level), 0); x < 0 {
			return i
		}
	}
	return -1
}

// untried returns any target that was not tried, nil if there is none.
func (p *Picker) untried(targets []Target, tried map[string]bool) *Target {
	for i := range targets {
		if !tried[targets[i].Instance] {
			return &targets[i]
		}
	}
	return nil
}
