package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pearlanding/internal/fleet"
)

// Target is where one request may be sent.
type Target struct {
	Instance string // id of the instance, or of a group's head
	Born     int64  // of its life; 0: not told
	Address  string
	Zone     string
	Group    fleet.Key     // zero for plain services
	Quiet    time.Duration // how long its running streams may bring nothing; 0: not told
}

// life is one life of an instance's id. What was seen of one says nothing of the next.
type life struct {
	instance string
	born     int64
}

func (t *Target) life() life { return life{t.Instance, t.Born} }

// Weights of the choice, in requests in progress.
const (
	// otherZonePenalty makes equal targets of the own zone go first: bytes between
	// zones cost, but less than a wait.
	otherZonePenalty = 0.5
	// stillPenalty puts a target that stands still behind others.
	stillPenalty = 40
	// waitUnit of the oldest wait for a first event counts like a request in progress.
	// The last first event does not count beside it: choosing by it too, daemons leave and
	// return to a replica together.
	waitUnit = 50 * time.Millisecond
	// suspectPenalty puts a target that failed lately behind others.
	suspectPenalty = 20
)

// Times of the picker.
const (
	// quietLeast is how long all running streams of a target may bring nothing before
	// it counts as standing still, where its passes are shorter or not known.
	quietLeast = 250 * time.Millisecond
	// quietMargin is added to the longest pass: links, and the processes' own delays.
	quietMargin = 100 * time.Millisecond
	// firstFor is how long a measured first event tells of the next one at most.
	firstFor = 500 * time.Millisecond
	// suspectFor is how long a target that failed is avoided; it doubles with each
	// failure up to suspectMost until the target brings something again.
	suspectFor  = 1500 * time.Millisecond
	suspectMost = 8 * time.Second
	// stoppedFor is how long a stream that stopped counts as a sign that its target
	// stands still: it was moved, and is not there any more.
	stoppedFor = time.Second
	// forgetAfter is how long an unused target is remembered.
	forgetAfter = 30 * time.Second
)

// Picker chooses targets by what this daemon has in progress and saw there. Safe
// for concurrent use.
type Picker struct {
	zone    string
	uniform func(n int) int
	mu      sync.Mutex
	records map[life]*record
	floors  map[string]time.Duration // quickest first events of late, by model
	usuals  map[string]*usual        // by model
	others  Others                   // what the other daemons told
	toldAt  time.Time                // when they did
	stops   chan struct{}
	// Scratch space of one choice, kept as there may be thousands of targets.
	all, well []scoredTarget
	pair      [2]scoredTarget
	ties      []int
}

// NewPicker returns a picker for a daemon in a zone. uniform returns a number in
// [0, n).
func NewPicker(zone string, uniform func(n int) int) *Picker {
	return &Picker{zone: zone, uniform: uniform, records: map[life]*record{}, floors: map[string]time.Duration{}, usuals: map[string]*usual{}, stops: make(chan struct{}, 1)}
}

// Pick takes the least loaded target that was not tried, nil if there is none.
// Its request counts as in progress until Done or Ended is called.
func (p *Picker) Pick(targets []Target, tried map[string]bool, now time.Time) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.least(p.candidates(targets, tried, now), func(s *scoredTarget) float64 { return p.score(s, now) })
	if best == nil {
		return nil
	}
	r := p.record(best.target.life())
	r.inFlight++
	r.used, r.quiet, r.group = now, max(best.target.Quiet, quietLeast), best.target.Group
	return best.target
}

// score is what speaks against a target, in requests in progress. p.mu is held.
func (p *Picker) score(s *scoredTarget, now time.Time) float64 {
	score := s.own
	if p.told(now) {
		score += float64(p.others.InFlight[s.target.Instance])
		if s.target.Zone != p.zone {
			score += toldZonePenalty - otherZonePenalty
		}
	}
	return score
}

// ownScore is the same by this daemon's own requests alone, which r records. p.mu is held.
func (p *Picker) ownScore(t *Target, r *record, now time.Time) float64 {
	score := 0.0
	if t.Zone != p.zone {
		score += otherZonePenalty
	}
	if r == nil {
		return score
	}
	score += float64(r.inFlight) + float64(r.oldestWait(now))/float64(waitUnit)
	if r.still(now) {
		score += stillPenalty
	}
	if now.Before(r.suspectUntil) {
		score += suspectPenalty
	}
	return score
}

// soonest returns the least time that a first event will take at any of the
// targets that do not stand still, as far as is known; ok is false if there are
// none.
func (p *Picker) soonest(targets []Target, now time.Time) (least time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range targets {
		r := p.records[targets[i].life()]
		if r == nil {
			return 0, true
		}
		if r.still(now) || now.Before(r.suspectUntil) {
			continue
		}
		if d := r.expected(now); !ok || d < least {
			least, ok = d, true
		}
	}
	return least, ok
}

// Health is what this daemon's own requests show of a target.
type Health int

const (
	Unknown Health = iota // no stream runs there that would show it
	Alive                 // streams bring events
	Still                 // streams have stopped to, or requests failed lately
)

// Health tells what is known of a target.
func (p *Picker) Health(t *Target, now time.Time) Health {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.records[t.life()]
	switch {
	case r != nil && (r.still(now) || now.Before(r.suspectUntil)):
		return Still
	case r != nil && r.running > 0:
		return Alive
	case p.toldStanding(t, now):
		return Still
	}
	return Unknown
}

// record returns a target's record; p.mu is held.
func (p *Picker) record(of life) *record {
	r := p.records[of]
	if r == nil {
		r = &record{quiet: quietLeast}
		p.records[of] = r
	}
	return r
}

// Waits notes that a stream was sent and waits for its first event. quiet is how long
// streams at the target may bring nothing before it counts as standing still.
func (p *Picker) Waits(t *Target, quiet time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(t.life())
	r.quiet = quiet
	r.waiting = append(r.waiting, now)
}

// Runs notes the first event of a stream that was sent at a time.
func (p *Picker) Runs(t *Target, model string, sent, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn(model, now.Sub(sent))
	p.usualOf(model).awaited(now.Sub(sent))
	r := p.record(t.life())
	r.running++
	r.first, r.firstAt = now.Sub(sent), now
	r.unwait(sent)
}

// floorRise is the part by which each slower first event lifts the floor, so that
// it follows an engine that changed within some thousand requests.
const floorRise = 0.001

// learn keeps the floor of a model's first events; p.mu is held.
func (p *Picker) learn(model string, first time.Duration) {
	floor, known := p.floors[model]
	if !known || first < floor {
		p.floors[model] = first
		return
	}
	p.floors[model] = floor + time.Duration(floorRise*float64(first-floor))
}

// Floor returns the quickest first event that a model showed of late: what a
// stream takes where nothing waits before it. 0: not known.
func (p *Picker) Floor(model string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.floors[model]
}

// Done ends a request at a target.
func (p *Picker) Done(t *Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(t.life()).inFlight--
}

// Ended ends a stream that was sent at a time; ran tells whether it brought an
// event.
func (p *Picker) Ended(t *Target, sent time.Time, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(t.life())
	r.inFlight--
	if ran {
		r.running--
	} else {
		r.unwait(sent)
	}
}

// Progressed notes that a target did something for a request.
func (p *Picker) Progressed(t *Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(t.life())
	r.progress, r.used, r.suspicion = now, now, 0
}

// Suspect notes that a target failed; it is avoided for a while.
func (p *Picker) Suspect(t *Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(t.life())
	if now.Before(r.suspectUntil) {
		return // failed together with others
	}
	r.suspicion = min(max(2*r.suspicion, suspectFor), suspectMost)
	r.suspectUntil = now.Add(r.suspicion)
}

// Load is what this daemon has in progress at one target.
type Load struct {
	Instance string // id of the instance, or of a group's head
	InFlight int
	Expected time.Duration // until the next first event, at least; as known
}

// Loads returns the loads of the targets used lately, ordered by instance.
func (p *Picker) Loads(now time.Time) []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Load, 0, len(p.records))
	for of, r := range p.records {
		out = append(out, Load{of.instance, r.inFlight, r.expected(now)})
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Still lists the instances whose running streams have stopped to bring events,
// or to which requests failed lately.
func (p *Picker) Still(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for of, r := range p.records {
		if r.still(now) || now.Before(r.suspectUntil) {
			out = append(out, of.instance)
		}
	}
	return out
}

// NoteStopped notes that a running stream stopped and was moved away.
func (p *Picker) NoteStopped(t *Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(t.life()).stoppedAt = now
	select {
	case p.stops <- struct{}{}:
	default: // signalled already
	}
}

// Stops is signalled when a running stream stopped and was moved away.
func (p *Picker) Stops() <-chan struct{} { return p.stops }

// Stopped lists the instances at which running streams of this daemon stopped lately and
// nothing came since, in order.
func (p *Picker) Stopped(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for of, r := range p.records {
		if r.stopped(now) {
			out = append(out, of.instance)
		}
	}
	slices.Sort(out)
	return out
}

// Sweep forgets targets that were not used lately.
func (p *Picker) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for of, r := range p.records {
		if r.inFlight == 0 && now.Sub(r.used) > forgetAfter {
			delete(p.records, of)
		}
	}
}
