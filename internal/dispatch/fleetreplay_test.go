package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pearlanding/internal/demand"
	"pearlanding/internal/routes"
)

// ticketEngine has the timing of the measured overload; its small model is "m".
var ticketEngine = &routes.Engine{Slots: 34, StepTime: 6070 * time.Microsecond, StepTimePerRequest: 241 * time.Microsecond, StepsPerPass: 5,
	PrefillTokensPerSecond: 46000, PrefillChunkTokens: 2048, MeanPromptTokens: 674, MeanAnswerTokens: 115,
	Models: []routes.Model{{Name: "m", ReplicaSize: 4, TimeFactor: 0.6}}}

// fleetKind is a kind of request of a replay.
type fleetKind struct {
	priority  int
	objective time.Duration
	rate      func(at time.Duration) float64 // per second, at all daemons together
}

// fleetLoad is a load on a fleet of daemons and replicas of one model.
type fleetLoad struct {
	daemons, replicas, zones int
	reportAge                time.Duration                                 // when a report is received; 0: there are none
	heard                    func(daemon, zone int, at time.Duration) bool // whether the daemons of a zone get its report; nil: yes
	lost                     func(daemon int, at time.Duration) bool       // ended, with its streams; nil: none
	withoutDemand            bool                                          // reports hold no demand, as before it was exchanged
	daemonOf                 func(rng *rand.Rand, at time.Duration) int    // that gets a request; nil: any
	kinds                    []fleetKind
	lasts                    time.Duration
}

// simCall is a request of a caller.
type simCall struct {
	kind             int
	at, arrived, end time.Duration // of the first attempt, of this one, of its time limit
	prompt, answer   int
	passes           int // left
	picker           *Picker
	target           *Target
	first            time.Duration // when it got its first event; 0: none
	eventAt          time.Duration // of its last event
	refusals         int
	reserved         bool
}

// simEngine serves requests in passes.
type simEngine struct {
	running, waiting []*simCall
	passEnds         time.Duration
}

const (
	engineQueue   = 68
	callerPatient = 2 * time.Second
	networkTime   = 8 * time.Millisecond // from daemon to engine and back
)

// run runs the passes that end by a time, and calls back at events and at ends.
func (e *simEngine) run(now time.Duration, event, end func(*simCall, time.Duration)) {
	for e.passEnds <= now {
		for _, c := range e.running {
			event(c, e.passEnds+networkTime)
			if c.passes--; c.passes == 0 {
				end(c, e.passEnds)
			}
		}
		e.running = slices.DeleteFunc(e.running, func(c *simCall) bool { return c.passes == 0 })
		slices.SortStableFunc(e.waiting, func(a, b *simCall) int { return cmp.Compare(a.queuePriority(), b.queuePriority()) })
		step := ticketEngine.StepTime
		prefill := 0
		for len(e.waiting) > 0 && len(e.running) < ticketEngine.Slots {
			c := e.waiting[0]
			e.waiting = e.waiting[1:]
			if c.end < now {
				end(c, now)
				continue
			}
			prefill += c.prompt
			e.running = append(e.running, c)
		}
		if len(e.running) == 0 {
			e.passEnds = now + 1
			return
		}
		step += time.Duration(len(e.running)) * ticketEngine.StepTimePerRequest
		pass := 5*step.Seconds() + float64(prefill)/ticketEngine.PrefillTokensPerSecond
		e.passEnds += time.Duration(0.6 * pass * float64(time.Second))
	}
}

func (c *simCall) queuePriority() int {
	if c.reserved {
		return 0
	}
	return c.kind
}

// fleetReplay is a replay in progress.
type fleetReplay struct {
	fleetLoad
	rng      *rand.Rand
	pickers  []*Picker
	counters []*demand.Counter
	targets  []Target
	engines  map[string]*simEngine
	calls    []*simCall
	returns  map[time.Duration][]*simCall // by tick
	reports  []fleetReport                // in transit, oldest first
}

const fleetTick = 5 * time.Millisecond

func (l fleetLoad) replay(seed uint64) *fleetReplay {
	r := &fleetReplay{fleetLoad: l, rng: rand.New(rand.NewPCG(seed, 7)), engines: map[string]*simEngine{}, returns: map[time.Duration][]*simCall{}}
	zone := func(i int) string { return fmt.Sprint("z", i%l.zones) }
	for i := range l.daemons {
		r.pickers = append(r.pickers, NewPicker(zone(i), r.rng.IntN))
		r.counters = append(r.counters, &demand.Counter{})
	}
	for i := range l.replicas {
		id := fmt.Sprint("g", i)
		r.targets = append(r.targets, Target{Instance: id, StartedAt: 1, Zone: zone(i)})
		r.engines[id] = &simEngine{}
	}
	for at := fleetTick; at < l.lasts; at += fleetTick {
		r.tick(at)
	}
	return r
}

func (r *fleetReplay) tick(at time.Duration) {
	for i := range r.targets {
		r.engines[r.targets[i].Instance].run(at, r.event, r.over)
	}
	r.endLost(at)
	if r.reportAge > 0 && at%(250*time.Millisecond) == 0 {
		r.report(at)
	}
	for _, c := range r.returns[at] {
		r.arrive(c, at)
	}
	delete(r.returns, at)
	for kind, k := range r.kinds {
		for range r.poisson(k.rate(at) * fleetTick.Seconds()) {
			c := &simCall{kind: kind, at: at, end: at + callerPatient, prompt: 300 + r.rng.IntN(748), passes: 12 + r.rng.IntN(23)}
			c.answer = c.passes * ticketEngine.StepsPerPass
			r.calls = append(r.calls, c)
			r.arrive(c, at)
		}
	}
}

// poisson returns a random number of arrivals of a small mean.
func (r *fleetReplay) poisson(mean float64) (n int) {
	for x := r.rng.ExpFloat64(); x < mean; x += r.rng.ExpFloat64() {
		n++
	}
	return n
}

// arrive makes an attempt of a caller at a daemon.
func (r *fleetReplay) arrive(c *simCall, at time.Duration) {
	d := r.rng.IntN(r.daemons)
	if r.daemonOf != nil {
		d = r.daemonOf(r.rng, at)
	}
	k, now, p := r.kinds[c.kind], t0.Add(at), r.pickers[d]
	c.arrived, c.picker = at, p
	elapsed := max(time.Duration(firstAttemptShare*float64(callerPatient))-(c.end-at), 0) // as CallerTimeLimits
	key := demand.Key{Service: "s", Model: "m", Priority: k.priority}
	r.counters[d].Arrived(key, 0, elapsed > 0, now)
	req := &StreamRequest{Service: "s", Model: "m", Engine: ticketEngine, Priority: k.priority, Objective: k.objective, Waited: elapsed,
		Remaining: c.end - at, PromptTokens: c.prompt, Returned: elapsed > 0}
	for tried := map[string]bool{}; ; {
		t, a := p.Place(r.targets, tried, req, now)
		if t == nil {
			r.refused(c, a, at)
			return
		}
		if e := r.engines[t.Instance]; len(e.waiting) < engineQueue {
			c.target, c.reserved = t, a.Reserved
			p.NoteSent(t, minStallTimeout, now)
			e.waiting = append(e.waiting, c)
			return
		}
		p.Release(t)
		p.Suspect(t, now)
		tried[t.Instance] = true
	}
}

// refused lets a caller return once.
func (r *fleetReplay) refused(c *simCall, a Admission, at time.Duration) {
	c.refusals++
	if c.refusals == 1 {
		after := min(max(a.RetryAfter, fleetTick), (c.end-at)/3).Round(fleetTick)
		r.returns[at+after] = append(r.returns[at+after], c)
	}
}

// event records an event of a stream.
func (r *fleetReplay) event(c *simCall, at time.Duration) {
	if c.first == 0 {
		c.first = at
		c.picker.NoteFirstEvent(c.target, testModel, t0.Add(c.arrived), t0.Add(at))
	}
	if c.eventAt > 0 {
		c.picker.NotePause(c.target, testModel, at-c.eventAt, t0.Add(at))
	}
	c.eventAt = at
	if c.passes%2 == 0 { // often enough not to count as stalled
		c.picker.NoteProgress(c.target, t0.Add(at))
	}
}

// over records the end of a stream.
func (r *fleetReplay) over(c *simCall, _ time.Duration) {
	c.picker.EndStream(c.target, t0.Add(c.arrived), c.first > 0)
	if c.first > 0 {
		c.picker.NoteCompleted(testModel, c.prompt, c.answer)
	}
}

// fleetReport is a report in transit.
type fleetReport struct {
	sums []PeerReports    // by zone of the receiver
	own  []map[string]int // by daemon, what the sums hold of its own
}

// report sends the loads and the demand of the daemons, and delivers those sent reportAge ago.
func (r *fleetReplay) report(at time.Duration) {
	sent := fleetReport{own: make([]map[string]int, r.daemons)}
	for zone := range r.zones {
		sum := PeerReports{InFlight: map[string]int{}, Age: r.reportAge}
		var rates [][]demand.Rate
		for i, p := range r.pickers {
			if r.heard != nil && !r.heard(i, zone, at) || r.isLost(i, at) {
				continue
			}
			own := p.InFlight()
			sum.Daemons++
			for id, n := range own {
				sum.InFlight[id] += n
			}
			rates = append(rates, r.counters[i].Rates(t0.Add(at)))
			if i%r.zones == zone {
				sent.own[i] = own
			}
		}
		if !r.withoutDemand {
			sum.Demand = demand.Sum(rates...)
		}
		sent.sums = append(sent.sums, sum)
	}
	r.reports = append(r.reports, sent)
	if len(r.reports) <= int(r.reportAge/(250*time.Millisecond)) {
		return
	}
	received := r.reports[0]
	r.reports = r.reports[1:]
	for i, p := range r.pickers {
		others := received.sums[i%r.zones]
		loads := others.InFlight
		others.InFlight = map[string]int{}
		for id, n := range loads {
			others.InFlight[id] = n - received.own[i][id]
		}
		p.SetPeerReports(others, t0.Add(at))
	}
}

func (r *fleetReplay) isLost(daemon int, at time.Duration) bool {
	return r.lost != nil && r.lost(daemon, at)
}

// endLost ends the streams of daemons that are lost.
func (r *fleetReplay) endLost(at time.Duration) {
	if r.lost == nil {
		return
	}
	lost := func(c *simCall) bool { return r.isLost(slices.Index(r.pickers, c.picker), at) }
	for _, e := range r.engines {
		e.running, e.waiting = slices.DeleteFunc(e.running, lost), slices.DeleteFunc(e.waiting, lost)
	}
}

// outcome counts the requests of a period.
type outcome struct {
	arrived, inTime, late, inTimeLater, failed int
}

// served returns the share of the callers that got a first event in time, at once or after a refusal.
func (o outcome) served() float64 {
	return float64(o.inTime+o.inTimeLater) / float64(max(o.arrived, 1))
}

// atOnce returns the share that got it at the first attempt, lateShare the one that got it too late.
func (o outcome) atOnce() float64    { return float64(o.inTime) / float64(max(o.arrived, 1)) }
func (o outcome) lateShare() float64 { return float64(o.late) / float64(max(o.arrived, 1)) }

// outcome returns the outcome of the first attempts of a kind made in a period. include selects among
// them; nil: all.
func (r *fleetReplay) outcome(kind int, from, to time.Duration, include func(*simCall) bool) (o outcome) {
	for _, c := range r.calls {
		if c.kind != kind || c.at < from || c.at >= to || include != nil && !include(c) {
			continue
		}
		o.arrived++
		switch inTime := c.first > 0 && c.first-c.arrived <= r.kinds[kind].objective; {
		case inTime && c.refusals == 0:
			o.inTime++
		case inTime:
			o.inTimeLater++
		case c.first > 0:
			o.late++
		default:
			o.failed++
		}
	}
	return o
}

// burst returns a rate of base per second, times factor from 2 s on for 4 s.
func burst(base, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= burstBegins && at < burstEnds {
			return base * factor
		}
		return base
	}
}

const burstBegins, burstEnds = 2 * time.Second, 6 * time.Second

// utilisation returns the part of the capacity that served callers of the burst in time.
func (r *fleetReplay) utilisation() float64 {
	served := 0
	for kind := range r.kinds {
		o := r.outcome(kind, burstBegins, burstEnds, nil)
		served += o.inTime + o.inTimeLater
	}
	return float64(served) / (replicaRate * float64(r.replicas) * (burstEnds - burstBegins).Seconds())
}

// replicaRate is what a replica of the model serves per second while its slots are full, measured
// with the requests of the replay.
const replicaRate = 25.6
