package formation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pearlanding/internal/demand"
	"pearlanding/internal/routes"
)

// placementSim is a simulation of 171 engines in nine domains of three zones, with the models of
// docs/design/hard-load.md, and of the demand for them.
type placementSim struct {
	*sim
	planner *Planner
	term    uint64
	// demand returns the work that callers ask of each model, in full replicas, at a time since the start.
	demand  func(at time.Duration) map[string]float64
	urgency map[string]int
	// reported is the fraction of the demand that reports contain.
	reported  float64
	evacuated map[string]bool
	prestages bool // planners load other models to hosts before the first request
	began     time.Time
	deaths    bool // two engines in sixty end every three seconds and start again empty
	moves     []Move
	loads     []time.Time
	closes    int
	stages    int
	replaced  int            // loads to hosts that hold the small model in place of it
	least     map[string]int // fewest groups that served at once since resetLeast
	random    *rand.Rand
	served    map[string]int // groups that serve, by model
}

const placementTick = 250 * time.Millisecond

func newPlacementSim(t failer, shares ...float64) *placementSim {
	s := &placementSim{sim: newSim(t, 0, 0), term: 1, reported: 1, urgency: map[string]int{}, random: rand.New(rand.NewPCG(1, 2))}
	s.began, s.drain, s.least = s.now, 1500*time.Millisecond, map[string]int{}
	s.engine = &routes.Engine{Slots: 34, ConcurrentLoads: 21, LoadsPerSecond: 14, Models: []routes.Model{
		{Name: "large", ReplicaSize: 8, WorkShare: shares[0], LoadTime: 16 * time.Second, WarmStartTime: 1600 * time.Millisecond},
		{Name: "small", ReplicaSize: 4, WorkShare: shares[1], LoadTime: 12 * time.Second, WarmStartTime: 1100 * time.Millisecond},
	}}
	if len(shares) > 2 {
		s.engine.Models = append(s.engine.Models, routes.Model{Name: "rare", ReplicaSize: 4, WorkShare: shares[2], LoadTime: 12 * time.Second, WarmStartTime: 1100 * time.Millisecond})
	}
	for d := range 9 {
		for range 19 {
			s.addTo(d)
		}
	}
	s.demand = func(time.Duration) map[string]float64 { return nil }
	s.takeOver()
	s.planner.BeforeFirstRequest, s.fastLoads = true, true
	return s
}

func (s *placementSim) addTo(domain int) *simEngine {
	s.add(fmt.Sprintf("d%d", domain))
	e := s.engines[s.ids[len(s.ids)-1]]
	e.in.Zone = fmt.Sprintf("z%d", domain%3)
	return e
}

// takeOver replaces the planner by one that knows the view only.
func (s *placementSim) takeOver() {
	s.planner = NewPlanner(simService, s.term, nil, s.now)
	s.planner.LoadWindow, s.planner.Prestages = simWindow, s.prestages
	s.term++
}

// rates returns the demand as reports give it. A model refuses what exceeds 0.9 of its serving groups.
func (s *placementSim) rates() (out []demand.Rate) {
	for model, work := range s.demand(s.now.Sub(s.began)) {
		refused := max(work-0.9*float64(s.served[model]), 0) / max(work, 1e-9)
		const requestsPerWork = 25
		out = append(out, demand.Rate{Key: demand.Key{Service: simService, Model: model, Priority: s.urgency[model]},
			Requests: s.reported * requestsPerWork * work, Refused: s.reported * requestsPerWork * work * refused, Work: s.reported * work})
	}
	return demand.Sum(out)
}

// runUntil plans until a time since the start, or until done returns true.
func (s *placementSim) runUntil(at time.Duration, done func() bool) {
	for v := s.view(); s.now.Sub(s.began) < at && !(done != nil && done()); {
		p := s.planner
		p.Demand, p.Evacuated = s.rates(), s.evacuated
		p.noteFirstRequest(p.BeforeFirstRequest, s.now)
		s.fastLoads = p.BeforeFirstRequest
		for _, o := range p.Plan(v, s.engine, s.now) {
			s.note(o)
			s.carryOut(p, o)
		}
		for _, m := range p.TakeMoves() {
			if !m.Canceled {
				s.moves = append(s.moves, m)
			}
		}
		s.step(placementTick)
		if s.deaths && int(s.now.Sub(s.began)/placementTick)%12 == 0 {
			s.endEngines(5)
		}
		v = s.view()
		s.served = servingIn(v)
		for _, m := range s.engine.Models {
			if n, known := s.least[m.Name]; !known || s.served[m.Name] < n {
				s.least[m.Name] = s.served[m.Name]
			}
		}
	}
}

func (s *placementSim) note(o Order) {
	before := s.planner.BeforeFirstRequest
	if e := s.engines[o.Instance]; !before && (o.Op == OpStage || o.Op == OpJoin && !e.in.HasStaged(o.Model) && e.lastModel != o.Model) {
		s.loads = append(s.loads, s.now)
	}
	if o.Op == OpClose {
		s.closes++
		s.checkHostsHoldAnotherModel(s.engines[o.Instance])
	}
	s.stages += boolToInt(o.Op == OpStage)
	s.replaced += boolToInt(o.Op == OpStage && o.Model != "small" && s.engines[o.Instance].in.HasStaged("small"))
}

// checkHostsHoldAnotherModel fails unless enough hosts of a group's domain hold the model of the next
// group: a group that closes earlier serves nothing while they load.
func (s *placementSim) checkHostsHoldAnotherModel(head *simEngine) {
	n := 0
	for _, e := range s.engines {
		if e.in.Domain == head.in.Domain && len(e.in.Staged) > 0 && e.in.Staged[0] != head.in.Models[0] {
			n++
		}
	}
	if n < 4 {
		s.t.Fatalf("%v closes while %d hosts of its domain hold another model", head.in.Group.Key(), n)
	}
}

func (s *placementSim) resetLeast() { s.least = map[string]int{} }

// endEngines ends some engines; new ones start in their places, without models.
func (s *placementSim) endEngines(n int) {
	for range n {
		e := s.engines[s.ids[s.random.IntN(len(s.ids))]]
		if e.alive {
			e.alive = false
			s.addTo(domainNumber(e))
		}
	}
}

func domainNumber(e *simEngine) (n int) {
	_, _ = fmt.Sscanf(e.in.Domain, "d%d", &n)
	return n
}

// loseDomain ends all engines of a domain.
func (s *placementSim) loseDomain(domain string) {
	for _, e := range s.engines {
		if e.in.Domain == domain {
			e.alive = false
		}
	}
}

// has reports whether models have at least some numbers of serving groups.
func (s *placementSim) has(large, small int) func() bool {
	return func() bool {
		n := s.served
		return n["large"] >= large && n["small"] >= small
	}
}

func (s *placementSim) since() time.Duration { return s.now.Sub(s.began) }

// after returns a demand that changes at a time.
func after(at time.Duration, before, then map[string]float64) func(time.Duration) map[string]float64 {
	return func(now time.Duration) map[string]float64 {
		if now < at {
			return before
		}
		return then
	}
}

// trafficStart is when the first request arrives.
const trafficStart = 14 * time.Second

// work returns the demand for the two models.
func work(large, small float64) map[string]float64 {
	return map[string]float64{"large": large, "small": small}
}
