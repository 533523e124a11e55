package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pearlanding/internal/fleet"
)

// Target is an instance, or a group by its head, that a request may be sent to.
type Target struct {
	Instance     string // id of the instance, or of a group's head
	StartedAt    int64  // start time of its incarnation; 0: unknown
	Address      string
	Zone         string
	Group        fleet.GroupKey // zero for an instance of a plain service
	StallTimeout time.Duration  // stall timeout of its running streams; 0: unknown
}

// incarnation is one run of an instance under its id. Observations of one incarnation
// do not apply to the next.
type incarnation struct {
	instance  string
	startedAt int64
}

func (t *Target) incarnation() incarnation { return incarnation{t.Instance, t.StartedAt} }

// Weights of the score, in requests in flight.
const (
	// otherZonePenalty makes the picker prefer its own zone among equal targets: traffic between
	// zones has a cost, but less than queueing.
	otherZonePenalty = 0.5
	// stalledPenalty ranks a stalled target behind others.
	stalledPenalty = 40
	// waitUnit is how long the oldest stream without an event must have waited to count like one
	// request in flight. The last measured first event is not part of the score: with it, daemons
	// would leave a replica and return to it together.
	waitUnit = 50 * time.Millisecond
	// suspectPenalty ranks a target that failed recently behind others.
	suspectPenalty = 20
)

// Durations of the picker.
const (
	// minStallTimeout is how long all running streams of a target may be silent before it counts
	// as stalled, if its passes are shorter than that or unknown.
	minStallTimeout = 250 * time.Millisecond
	// stallMargin is added to the longest pass for network and scheduling delays.
	stallMargin = 100 * time.Millisecond
	// firstEventTTL is how long a measured first event is used to predict the next one.
	firstEventTTL = 500 * time.Millisecond
	// minSuspicion is how long a target that failed is avoided. It doubles with each failure up to
	// maxSuspicion, until the target makes progress again.
	minSuspicion = 1500 * time.Millisecond
	maxSuspicion = 8 * time.Second
	// recentStall is how long a moved stream counts as a sign that the target is stalled. The
	// stream itself no longer runs there, so it can't show the stall any more.
	recentStall = time.Second
	// recordTTL is how long an unused target is remembered.
	recordTTL = 30 * time.Second
)

// Picker chooses targets by this daemon's requests in flight, its observations of them and the
// reports of other daemons. Safe for concurrent use.
type Picker struct {
	// Surcharge returns what is added to the score of a target, in requests in flight; nil: nothing. Set
	// before use.
	Surcharge func(t *Target) float64

	zone     string
	uniform  func(n int) int
	mu       sync.Mutex
	records  map[incarnation]*record
	floors   map[ModelKey]time.Duration // fastest recent first events
	stats    map[ModelKey]*modelStats
	others   PeerReports // reports of the other daemons
	othersAt time.Time   // when they were received
	// othersRates is the demand at the other daemons.
	othersRates map[ModelKey][]priorityRate
	missing     missingReports // of othersRates and others.InFlight
	flows       map[ModelKey]*fleetFlow
	stalls      chan struct{}
	// Scratch space of Pick, reused because there may be thousands of targets.
	all, healthy []scoredTarget
	pair         [2]scoredTarget
	ties         []int
	fleet        fleetModel // of Place
}

// NewPicker returns a picker for a daemon in a zone. uniform returns a random number in [0, n).
func NewPicker(zone string, uniform func(n int) int) *Picker {
	return &Picker{zone: zone, uniform: uniform, records: map[incarnation]*record{}, floors: map[ModelKey]time.Duration{}, stats: map[ModelKey]*modelStats{}, flows: map[ModelKey]*fleetFlow{}, stalls: make(chan struct{}, 1)}
}

// Pick returns the least loaded target that was not tried, nil if there is none. The request
// counts as in flight until its end is recorded: by EndStream for a stream that was sent, by Release
// otherwise.
func (p *Picker) Pick(targets []Target, tried map[string]bool, now time.Time) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.lowestScore(p.candidates(targets, tried, now), func(s *scoredTarget) float64 { return p.score(s, now) })
	if best == nil {
		return nil
	}
	p.noteChosen(best.target, now)
	return best.target
}

// score returns the load of a target, in requests in flight, with penalties. p.mu is held.
func (p *Picker) score(s *scoredTarget, now time.Time) float64 {
	score := s.own
	if p.Surcharge != nil {
		score += p.Surcharge(s.target)
	}
	if p.loadsKnown(now) {
		score += float64(p.others.InFlight[s.target.Instance])
		if s.target.Zone != p.zone {
			score += knownLoadZonePenalty - otherZonePenalty
		}
	}
	return score
}

// ownScore is the score by this daemon's own requests alone, recorded in r. p.mu is held.
func (p *Picker) ownScore(t *Target, r *record, now time.Time) float64 {
	score := 0.0
	if t.Zone != p.zone {
		score += otherZonePenalty
	}
	if r == nil {
		return score
	}
	score += float64(r.inFlight) + float64(r.oldestWait(now))/float64(waitUnit)
	if r.stalled(now) {
		score += stalledPenalty
	}
	if now.Before(r.suspectUntil) {
		score += suspectPenalty
	}
	return score
}

// earliestFirstEvent returns the lowest expected wait for a first event at any target that is neither
// stalled nor suspect; ok is false if there is no such target. A target without a record counts as
// free.
func (p *Picker) earliestFirstEvent(targets []Target, now time.Time) (lowest time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range targets {
		r := p.records[targets[i].incarnation()]
		if r == nil {
			return 0, true
		}
		if r.stalled(now) || now.Before(r.suspectUntil) {
			continue
		}
		if d := r.expectedWait(now); !ok || d < lowest {
			lowest, ok = d, true
		}
	}
	return lowest, ok
}

// Health is the state of a target as shown by this daemon's own requests and, where these show
// nothing, by the reports of other daemons.
type Health int

const (
	Unknown     Health = iota // no running stream or report shows its state
	Progressing               // running streams make progress
	Busy                      // other daemons have many requests there and report no stall
	Unhealthy                 // running streams are stalled, or requests failed recently
)

// Health returns the known state of a target.
func (p *Picker) Health(t *Target, now time.Time) Health {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.records[t.incarnation()]
	switch {
	case r != nil && (r.stalled(now) || now.Before(r.suspectUntil)):
		return Unhealthy
	case r != nil && r.running > 0:
		return Progressing
	case p.reportedStalled(t, now):
		return Unhealthy
	case p.reportedBusy(t, now):
		return Busy
	}
	return Unknown
}

// record returns a target's record, created if needed; p.mu is held.
func (p *Picker) record(id incarnation) *record {
	r := p.records[id]
	if r == nil {
		r = &record{stallTimeout: minStallTimeout}
		p.records[id] = r
	}
	return r
}

// NoteSent records that a stream was sent and waits for its first event. stallTimeout applies from now
// on to all running streams of the target.
func (p *Picker) NoteSent(t *Target, stallTimeout time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(t.incarnation())
	r.stallTimeout = stallTimeout
	r.waiting = append(r.waiting, now)
}

// NoteFirstEvent records the first event of a stream that was sent at a time.
func (p *Picker) NoteFirstEvent(t *Target, model ModelKey, sent, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateFloor(model, now.Sub(sent))
	p.statsOf(model).addFirstEvent(now.Sub(sent))
	r := p.record(t.incarnation())
	r.running++
	r.lastFirstEvent, r.lastFirstEventAt = now.Sub(sent), now
	r.endWait(sent)
}

// floorRise is the fraction by which each slower first event raises the floor, so that it follows
// a changed engine within some thousand requests.
const floorRise = 0.001

// updateFloor updates the fastest recent first event of a model; p.mu is held.
func (p *Picker) updateFloor(model ModelKey, wait time.Duration) {
	floor, known := p.floors[model]
	if !known || wait < floor {
		p.floors[model] = wait
		return
	}
	p.floors[model] = floor + time.Duration(floorRise*float64(wait-floor))
}

// FastestFirstEvent returns the fastest recent first event of a model, which is the time that one takes without
// queueing; 0: unknown.
func (p *Picker) FastestFirstEvent(model ModelKey) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.floors[model]
}

// Release records the end of a plain request at a target, or that a picked target is not used.
func (p *Picker) Release(t *Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(t.incarnation()).inFlight--
}

// EndStream records the end of a stream that was sent at a time; ran reports whether it had any event.
func (p *Picker) EndStream(t *Target, sent time.Time, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(t.incarnation())
	r.inFlight--
	if ran {
		r.running--
	} else {
		r.endWait(sent)
	}
}

// NoteProgress records that a target made progress on a request.
func (p *Picker) NoteProgress(t *Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(t.incarnation())
	r.progressAt, r.usedAt, r.suspicion = now, now, 0
}

// SinceProgress returns how long ago a target last made progress on any request; 0: it has not made any.
func (p *Picker) SinceProgress(t *Target, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.records[t.incarnation()]; r != nil && !r.progressAt.IsZero() {
		return now.Sub(r.progressAt)
	}
	return 0
}

// Suspect records that a target failed; it is avoided for a while.
func (p *Picker) Suspect(t *Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(t.incarnation())
	if now.Before(r.suspectUntil) {
		return // one of several requests that failed together
	}
	r.suspicion = min(max(2*r.suspicion, minSuspicion), maxSuspicion)
	r.suspectUntil = now.Add(r.suspicion)
}

// Load is the load of this daemon on one target.
type Load struct {
	Instance string // id of the instance, or of a group's head
	InFlight int
	Expected time.Duration // lower bound of the wait for the next first event
}

// Loads returns the loads of the targets used recently, ordered by instance.
func (p *Picker) Loads(now time.Time) []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Load, 0, len(p.records))
	for id, r := range p.records {
		out = append(out, Load{id.instance, r.inFlight, r.expectedWait(now)})
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Unhealthy returns the instances whose running streams are stalled, and those that failed recently.
func (p *Picker) Unhealthy(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for id, r := range p.records {
		if r.stalled(now) || now.Before(r.suspectUntil) {
			out = append(out, id.instance)
		}
	}
	return out
}

// NoteStall records that a running stream stalled and was moved.
func (p *Picker) NoteStall(t *Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(t.incarnation()).stalledAt = now
	select {
	case p.stalls <- struct{}{}:
	default: // already signalled
	}
}

// ForgetFailures forgets all failures and stalls, because the path to the targets failed and not the
// targets. Running streams that stay silent count as stalled after their stall timeout again.
func (p *Picker) ForgetFailures(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.records {
		r.suspectUntil, r.suspicion, r.stalledAt, r.progressAt = time.Time{}, 0, time.Time{}, now
	}
}

// Stalls is signalled when a running stream stalled and was moved.
func (p *Picker) Stalls() <-chan struct{} { return p.stalls }

// RecentlyStalled returns the instances, in order, at which running streams of this daemon stalled
// recently and made no progress since.
func (p *Picker) RecentlyStalled(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for id, r := range p.records {
		if r.stalledRecently(now) {
			out = append(out, id.instance)
		}
	}
	slices.Sort(out)
	return out
}

// Sweep removes the records of targets that were not used recently.
func (p *Picker) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, r := range p.records {
		if r.inFlight == 0 && now.Sub(r.usedAt) > recordTTL {
			delete(p.records, id)
		}
	}
}
