package formation

import (
	"fmt"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// simEngine is the actual state of one instance; its entry may differ.
type simEngine struct {
	in        fleet.Instance
	alive     bool
	cutOff    bool   // alive, but its entry is missing
	lastEpoch uint64 // of the last join that it took
	members   map[fleet.GroupKey][]string
	joinsAt   time.Time // when its load for a join completes
	staging   string    // model that its host loads; empty: none
	stagedAt  time.Time // when its load of staging completes
	lastModel string    // model of the last group that it joined
}

// sim simulates engines that carry out orders, some of them late.
type sim struct {
	t        failer
	now      time.Time
	engines  map[string]*simEngine
	ids      []string
	delayed  []delayedOrder
	engine   *routes.Engine
	wasReady map[fleet.GroupKey]map[string]bool // members that were ready in a group at some time
	opened   int                                // number of times that a group opened
	// drain is how long a closed group finishes its requests. If it is not 0, entries list a loaded
	// model only while the instance is in a group, as engines do.
	drain time.Duration
	// fastLoads divides the time of loads by ten, as before the first request.
	fastLoads bool
}

type failer interface{ Fatalf(string, ...any) }

type delayedOrder struct {
	at    time.Time
	order Order
}

const simService = "engines"

// loadedJoinTime is the join time of an engine whose last group was of the same model.
const loadedJoinTime = 200 * time.Millisecond

func simModels() *routes.Engine {
	return &routes.Engine{ConcurrentLoads: 7, LoadsPerSecond: 5, Models: []routes.Model{
		{Name: "large", ReplicaSize: 4, WorkShare: 0.5, LoadTime: 3 * time.Second, WarmStartTime: time.Second},
		{Name: "small", ReplicaSize: 2, WorkShare: 0.5, LoadTime: 2 * time.Second, WarmStartTime: time.Second},
	}}
}

func newSim(t failer, domains, size int) *sim {
	s := &sim{t: t, now: time.Unix(1000, 0), engines: map[string]*simEngine{}, engine: simModels(), wasReady: map[fleet.GroupKey]map[string]bool{}}
	for d := range domains {
		for range size {
			s.add(fmt.Sprintf("d%d", d))
		}
	}
	return s
}

func (s *sim) add(domain string) {
	id := fmt.Sprintf("e%02d", len(s.ids))
	s.ids = append(s.ids, id)
	s.engines[id] = &simEngine{alive: true, members: map[fleet.GroupKey][]string{},
		in: fleet.Instance{ID: id, Service: simService, Address: id, Zone: "z" + domain, Domain: domain}}
}

// setMembership changes an engine's membership and raises its entry's version.
func (e *simEngine) setMembership(m fleet.Membership) {
	e.in.Group = m
	e.in.Version++
}

// setGroupState changes the state of an engine's membership.
func (e *simEngine) setGroupState(state fleet.GroupState) {
	m := e.in.Group
	m.State = state
	e.setMembership(m)
}

// view returns the view built from the entries of all engines.
func (s *sim) view() *fleet.View {
	all, removed := map[string]*fleet.Instance{}, map[string]fleet.RemovedInstance{}
	for id, e := range s.engines {
		in := e.in
		if e.alive && !e.cutOff {
			all[id] = &in
		} else {
			removed[id] = fleet.RemovedInstance{Instance: &in, At: s.now, Lapsed: s.lapsed(e)}
		}
	}
	return fleet.BuildView(1, s.now, all, removed, s.modelSize)
}

// modelSize implements fleet.SizeOf.
func (s *sim) modelSize(service, model string) int {
	if service != simService {
		return 0
	}
	m, _ := s.engine.Model(model)
	return m.ReplicaSize
}

// lapsed reports whether an instance without an entry may count as a member of its group: it is
// only cut off from the store, and probes reach it.
func (s *sim) lapsed(e *simEngine) bool {
	ready := e.in.Group.State == fleet.Ready || e.in.Group.State == fleet.Open
	return e.alive && e.cutOff && ready && e.in.Group.Rank > 0 && !e.in.Draining
}

// apply carries out one order as the platform's engines do and checks the two safety rules of
// groups. It reports whether the order was taken.
func (s *sim) apply(o Order) bool {
	e := s.engines[o.Instance]
	if e == nil || !e.alive {
		return false
	}
	switch o.Op {
	case OpJoin:
		return s.join(e, o)
	case OpStage:
		m, _ := s.engine.Model(o.Model)
		e.staging, e.stagedAt = o.Model, s.now.Add(s.loadTime(m))
		return true
	}
	if e.in.Group.Key() != o.Group {
		return false
	}
	switch o.Op {
	case OpOpen:
		if e.in.Group.State != fleet.Ready || e.in.Group.Rank != 0 {
			return false
		}
		e.setGroupState(fleet.Open)
		s.checkOpen(e)
	case OpClose:
		if s.drain > 0 {
			e.setGroupState(fleet.Closing)
			e.joinsAt = s.now.Add(s.drain)
			break
		}
		e.setGroupState(fleet.Ready)
	case OpLeave:
		e.setMembership(fleet.Membership{})
		if s.drain > 0 {
			e.in.Models = nil
		}
	}
	return true
}

func (s *sim) join(e *simEngine, o Order) bool {
	list, known := e.members[o.Group]
	if o.Group.Epoch < e.lastEpoch || known && fmt.Sprint(list) != fmt.Sprint(o.Members) {
		return false
	}
	if e.in.Group.Key() == o.Group {
		return true
	}
	s.checkOldGroupClosed(e)
	rank := -1
	for i, id := range o.Members {
		if id == e.in.ID {
			rank = i
		}
	}
	m, _ := s.engine.Model(o.Model)
	wait := s.loadTime(m)
	switch {
	case len(e.in.Models) > 0 && e.in.Models[0] == o.Model, s.drain > 0 && e.lastModel == o.Model:
		wait = loadedJoinTime
	case e.in.HasStaged(o.Model):
		wait = m.WarmStartTime
	}
	e.lastEpoch, e.members[o.Group], e.joinsAt = o.Group.Epoch, o.Members, s.now.Add(wait)
	e.setMembership(fleet.Membership{Name: o.Group.Name, Epoch: o.Group.Epoch, Rank: rank, State: fleet.Joining})
	e.in.Models, e.lastModel = []string{o.Model}, o.Model
	return true
}

// loadTime returns how long a load from the weight store takes.
func (s *sim) loadTime(m routes.Model) time.Duration {
	if s.fastLoads {
		return m.LoadTime / 10
	}
	return m.LoadTime
}

// checkOldGroupClosed fails if the head of the engine's current group is open: the engine must not
// join another group then.
func (s *sim) checkOldGroupClosed(e *simEngine) {
	old := e.in.Group.Key()
	if old.Name == "" {
		return
	}
	for _, h := range s.engines {
		if h.alive && h.in.Group.Key() == old && h.in.Group.Rank == 0 && h.in.Group.State == fleet.Open {
			s.t.Fatalf("%s joins another group while %v is open at %s", e.in.ID, old, h.in.ID)
		}
	}
}

// checkOpen fails unless each member of the opening group was ready in it.
func (s *sim) checkOpen(head *simEngine) {
	s.opened++
	key := head.in.Group.Key()
	list := head.members[key]
	m, _ := s.engine.Model(head.in.Models[0])
	if len(list) != m.ReplicaSize {
		s.t.Fatalf("%v opens with %d members of %d", key, len(list), m.ReplicaSize)
	}
	for _, id := range list {
		if !s.wasReady[key][id] {
			s.t.Fatalf("%v opens though %s was never ready in it", key, id)
		}
	}
}

// step advances time by d: loads complete and delayed orders are carried out.
func (s *sim) step(d time.Duration) {
	s.now = s.now.Add(d)
	for _, e := range s.engines {
		if e.in.Group.State == fleet.Closing && !s.now.Before(e.joinsAt) {
			e.setGroupState(fleet.Ready)
		}
		if e.in.Group.State == fleet.Joining && !s.now.Before(e.joinsAt) {
			e.setGroupState(fleet.Ready)
			e.in.Staged = []string{e.in.Models[0]}
			if s.wasReady[e.in.Group.Key()] == nil {
				s.wasReady[e.in.Group.Key()] = map[string]bool{}
			}
			s.wasReady[e.in.Group.Key()][e.in.ID] = true
		}
		if e.staging != "" && !s.now.Before(e.stagedAt) {
			e.in.Staged, e.staging = []string{e.staging}, ""
		}
	}
	var remaining []delayedOrder
	for _, l := range s.delayed {
		if s.now.Before(l.at) {
			remaining = append(remaining, l)
		} else {
			s.apply(l.order)
		}
	}
	s.delayed = remaining
}

// plan runs a planner once on a view and carries out its orders. delivery decides which of them
// are lost or delayed.
func (s *sim) plan(p *Planner, v *fleet.View, delivery func() (lost, delayed bool, delay time.Duration)) {
	for _, o := range p.Plan(v, s.engine, s.now) {
		lost, delayed, delay := delivery()
		switch {
		case delayed:
			s.delayed = append(s.delayed, delayedOrder{s.now.Add(delay), o})
			p.RecordOutcome(o, Unanswered)
		case lost || !s.engines[o.Instance].alive:
			p.RecordOutcome(o, Unanswered)
		default:
			s.carryOut(p, o)
		}
	}
}

// carryOut carries out an order of a planner and tells it the outcome.
func (s *sim) carryOut(p *Planner, o Order) {
	outcome := Refused
	if s.apply(o) {
		outcome = Taken
	}
	p.RecordOutcome(o, outcome)
}

// onTime delivers every order at once.
func onTime() (bool, bool, time.Duration) { return false, false, 0 }

func (s *sim) serving() map[string]int { return servingIn(s.view()) }

// servingIn returns the number of serving groups of each model in a view.
func servingIn(v *fleet.View) map[string]int {
	n := map[string]int{}
	for _, g := range v.Groups {
		if g.Serving() {
			n[g.Model]++
		}
	}
	return n
}

// run plans on current views for d, without faults.
func (s *sim) run(p *Planner, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.step(250 * time.Millisecond) {
		s.plan(p, s.view(), onTime)
	}
}

// pairSim returns a simulation of one domain with two engines that hold the small model.
func pairSim(t failer) *sim {
	s := newSim(t, 1, 2)
	s.engine.Models = s.engine.Models[1:]
	for _, e := range s.engines {
		e.in.Staged, e.in.Models = []string{"small"}, []string{"small"}
	}
	return s
}

// delayedBy delays every order.
func delayedBy(delay time.Duration) func() (bool, bool, time.Duration) {
	return func() (bool, bool, time.Duration) { return false, true, delay }
}
