package group

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pearlanding/internal/catalog"
	"pearlanding/internal/engine"
	_ "pearlanding/internal/fixedseed"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/standin/enginefake"
	"pearlanding/internal/standin/platformfake"
)

// The simulation runs the real planner against stand-in engines on a virtual clock,
// with two daemons that may both consider themselves holder of the domain. Holders
// pause between check and order, the answers to writes are lost, orders arrive late,
// VMs die, restart, freeze and return, the platform's list lags, and engines may
// ignore fences. Daemons dispatch on evidence as the router does.

const (
	simEvidenceAge  = 1500 * time.Millisecond
	simOrderTimeout = 500 * time.Millisecond
	simLease        = 2 * time.Second
)

type simVM struct {
	name   string
	engine *enginefake.Engine
	up     bool
	frozen bool
}

type simReconciler struct {
	self       Holder
	current    VersionedDomain
	verifiedAt time.Time
	orderFrom  time.Time
	probes     map[string]ProbeState
	stateSince map[string]time.Time
}

// simDispatcher is the state that one daemon routes requests by.
type simDispatcher struct {
	copy     VersionedDomain
	evidence map[string]Evidence
	probes   map[string]ProbeState
}

type groupSim struct {
	t             *rapid.T
	now           time.Time
	store         *platformfake.Store
	vms           []*simVM
	reconcilers   []*simReconciler
	dispatchers   []*simDispatcher
	delayedOrders []func()
	policy        Policy
	pools         []catalog.Pool
	ignoreFence   bool // engines ignore the fence of orders
	served        int  // requests served so far
	activeIndex   int  // of the reconciler that acts unless an outdated one is drawn
}

func newGroupSim(t *rapid.T) *groupSim {
	s := &groupSim{t: t, now: time.Unix(5000, 0), store: platformfake.New(0, 0), ignoreFence: rapid.Bool().Draw(t, "engines ignore fences"),
		policy: Policy{Rebuild: rapid.Bool().Draw(t, "rebuild"), DowntimeWeight: 1, StrandedWeight: 1,
			EvidenceAge: simEvidenceAge, OrderTimeout: simOrderTimeout, ReportLag: 500 * time.Millisecond},
		pools: []catalog.Pool{{Name: "p@1", Model: "m", Version: "1", VMs: 2, Replicas: 2, Places: []string{"here"}}}}
	for i := range 5 {
		name := fmt.Sprintf("vm%d", i)
		e := enginefake.New(enginefake.Options{VM: name, Address: name})
		e.SetFaults(enginefake.Faults{IgnoreFence: s.ignoreFence})
		s.vms = append(s.vms, &simVM{name: name, engine: e, up: true})
	}
	d := NewDomain("d", "here")
	value, _ := d.Encode()
	_, _ = s.store.Create(context.Background(), Key("d"), value)
	for i := range 2 {
		s.reconcilers = append(s.reconcilers, &simReconciler{self: Holder{Slot: fmt.Sprintf("h%d", i), Incarnation: "1"}, probes: map[string]ProbeState{}, stateSince: map[string]time.Time{}})
		s.dispatchers = append(s.dispatchers, &simDispatcher{evidence: map[string]Evidence{}, probes: map[string]ProbeState{}})
	}
	return s
}

func (s *groupSim) advance() {
	s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{50, 250, 700, 2600}).Draw(s.t, "ms")) * time.Millisecond)
	for len(s.delayedOrders) > 0 && rapid.Bool().Draw(s.t, "arrives") {
		s.delayedOrders[0]()
		s.delayedOrders = s.delayedOrders[1:]
	}
}

func (s *groupSim) pickVM() *simVM { return s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(s.t, "vm")] }

func (s *groupSim) vm(name string) *simVM {
	return s.vms[slices.IndexFunc(s.vms, func(v *simVM) bool { return v.name == name })]
}

func (s *groupSim) probeInto(probes map[string]ProbeState, names []string) {
	for _, name := range names {
		v := s.vm(name)
		if v.up && !v.frozen {
			probes[name] = probes[name].WithAnswer(v.engine.Status(), s.now)
		} else {
			probes[name] = probes[name].WithFailure(s.now, !v.up)
		}
	}
}

// actingReconciler returns mostly the active reconciler and sometimes the other one,
// which resumes after a pause with outdated state.
func (s *groupSim) actingReconciler() *simReconciler {
	if rapid.IntRange(0, 19).Draw(s.t, "stale") == 0 {
		return s.reconcilers[1-s.activeIndex]
	}
	return s.reconcilers[s.activeIndex]
}

// ensureHolder does the same as reconciler.ensureHolder and takeOver.
func (s *groupSim) ensureHolder() {
	r := s.reconcilers[s.activeIndex]
	obj, err := s.store.Get(context.Background(), Key("d"))
	if err != nil {
		return
	}
	d, _ := DecodeDomain(obj.Value)
	r.current = VersionedDomain{obj.Version, d}
	if d.Holder == r.self {
		r.verifiedAt = s.now
		return
	}
	previous := d.Holder
	next := d.Clone()
	next.Holder = r.self
	if s.update(r, next) {
		r.verifiedAt, r.orderFrom = s.now, s.now
		if previous.Slot != "" {
			r.orderFrom = s.now.Add(simLease + simOrderTimeout)
		}
	}
}

// update writes a reconciler's next domain; the answer may be lost.
func (s *groupSim) update(r *simReconciler, next Domain) bool {
	value, err := next.Encode()
	if err != nil {
		s.t.Fatalf("plan breaks an invariant: %v", err)
	}
	version, err := s.store.Update(context.Background(), Key("d"), r.current.Version, value)
	if err != nil || rapid.IntRange(0, 9).Draw(s.t, "answer") == 0 {
		return false
	}
	r.current = VersionedDomain{version, next}
	return true
}

// plan makes one planning pass of a reconciler on its current state.
func (s *groupSim) plan() {
	r := s.actingReconciler()
	if r.verifiedAt.IsZero() {
		return
	}
	var names []string
	for name := range r.current.Domain.VMs {
		names = append(names, name)
	}
	slices.Sort(names)
	s.probeInto(r.probes, names)
	seen := map[string]time.Time{}
	evidence := map[string]Evidence{}
	for _, g := range r.current.Domain.Groups {
		if at, ok := r.stateSince[StateKey(g)]; ok {
			seen[StateKey(g)] = at
		} else {
			seen[StateKey(g)] = s.now
		}
		evidence[g.ID] = Assess(g, r.probes, s.now, simEvidenceAge)
	}
	r.stateSince = seen
	list, err := s.store.VMs(context.Background(), "")
	if err != nil {
		list = nil
	}
	next, changed := Plan(Input{Domain: r.current.Domain, Pools: s.pools, Want: Allocate(s.pools, []Domain{r.current.Domain})["d"],
		VMList: list, Probes: r.probes, Evidence: evidence, StateSince: r.stateSince, OrderFrom: r.orderFrom, Now: s.now}, s.policy)
	if changed {
		s.update(r, next)
	}
}

// order sends the orders for a reconciler's current domain. The check is made right
// before sending; an order may be in flight for up to the order timeout.
func (s *groupSim) order() {
	r := s.actingReconciler()
	if s.now.Sub(r.verifiedAt) >= simLease || s.now.Before(r.orderFrom) || r.verifiedAt.IsZero() {
		return
	}
	orders := Orders(r.current.Domain, r.probes)
	for _, name := range r.current.Domain.VMNames() {
		assignment, wanted := orders[name]
		if !wanted {
			continue
		}
		v, sent, o := s.vm(name), s.now, engine.Order{Fence: r.current.Version, Assignment: assignment}
		deliver := func() {
			if v.up && !v.frozen && s.now.Sub(sent) <= simOrderTimeout {
				v.engine.Order(o)
			}
		}
		if rapid.Bool().Draw(s.t, "late") {
			s.delayedOrders = append(s.delayedOrders, deliver)
		} else {
			deliver()
		}
	}
}

func (s *groupSim) pickDispatcher() *simDispatcher {
	return s.dispatchers[rapid.IntRange(0, len(s.dispatchers)-1).Draw(s.t, "daemon")]
}

// refreshDomain updates one daemon's copy of the domain. Between calls, which may be
// far apart, the copy is stale.
func (s *groupSim) refreshDomain() {
	d := s.pickDispatcher()
	if obj, err := s.store.Get(context.Background(), Key("d")); err == nil && obj.Version > d.copy.Version {
		domain, _ := DecodeDomain(obj.Value)
		d.copy = VersionedDomain{obj.Version, domain}
	}
}

// probeGroups probes the serving groups in one daemon's copy of the domain.
func (s *groupSim) probeGroups() {
	d := s.pickDispatcher()
	for _, id := range d.copy.Domain.GroupIDs() {
		g := d.copy.Domain.Groups[id]
		if g.State != StateServing {
			continue
		}
		for _, m := range g.Members {
			s.probeInto(d.probes, []string{m.VM})
		}
		d.evidence[id] = Assess(g, d.probes, s.now, simEvidenceAge)
	}
}

// dispatch sends a request to each group that the router would consider and checks
// by the engines' state that no partially assembled group serves it.
func (s *groupSim) dispatch() {
	d := s.pickDispatcher()
	for _, id := range d.copy.Domain.GroupIDs() {
		g := d.copy.Domain.Groups[id]
		e, known := d.evidence[id]
		if g.State != StateServing || !known || e.Epoch != g.Epoch || e.ReadyAt.IsZero() || s.now.Sub(e.ReadyAt) >= simEvidenceAge {
			continue
		}
		s.checkServed(g)
	}
}

// checkServed checks a request that arrives at rank 0. An engine that is down, frozen
// or at another epoch does not serve the request. If the request is served, no member
// may work for another group or epoch; the group itself detects members that are down
// or restarted.
func (s *groupSim) checkServed(g Group) {
	lead := s.vm(g.Members[0].VM)
	status := lead.engine.Status()
	if !lead.up || lead.frozen || !memberReady(g, 0, status) {
		return
	}
	s.served++
	for rank, m := range g.Members {
		v := s.vm(m.VM)
		a := v.engine.Status().Assignment
		if a == nil || !v.up {
			continue // dead or restarted: detected by the group itself
		}
		if a.Group != g.ID || a.Epoch != g.Epoch {
			s.t.Fatalf("group %s epoch %d is served while member %d (%s) belongs to %s epoch %d", g.ID, g.Epoch, rank, m.VM, a.Group, a.Epoch)
		}
	}
}

// freezeUntilLost freezes a VM just long enough for it to count as lost although it
// never stopped.
func (s *groupSim) freezeUntilLost() {
	v := s.pickVM()
	v.frozen = true
	for range 3 {
		s.ensureHolder()
		s.plan()
		s.now = s.now.Add(simEvidenceAge * 2 / 3)
	}
	s.plan()
	v.frozen = false
}

// probeAndDispatch lets the daemons probe and dispatch on stale copies of the domain.
func (s *groupSim) probeAndDispatch() {
	for range s.dispatchers {
		s.probeGroups()
	}
	s.dispatch()
}

func (s *groupSim) restart() {
	v := s.pickVM()
	v.engine.Restart()
	v.up, v.frozen = true, false
}

func (s *groupSim) publishList() {
	var rows []objectapi.VM
	for _, v := range s.vms {
		state := rapid.SampledFrom([]objectapi.VMState{objectapi.VMLive, objectapi.VMLive, objectapi.VMLive, objectapi.VMLeaving}).Draw(s.t, "state")
		if rapid.IntRange(0, 9).Draw(s.t, "listed") > 0 {
			rows = append(rows, objectapi.VM{Name: v.name, Domain: "d", Place: "here", Address: v.name, Accelerators: 2, State: state})
		}
	}
	s.store.SetVMs(rows)
}

// checkStored checks after each step that the stored domain keeps its invariants, for
// instance that no VM is in two groups.
func (s *groupSim) checkStored(t *rapid.T) {
	obj, err := s.store.Get(context.Background(), Key("d"))
	if err != nil {
		return
	}
	d, _ := DecodeDomain(obj.Value)
	if err := d.Validate(); err != nil {
		t.Fatalf("%v", err)
	}
}

// TestNoPartialGroupServes guards against requests served by a partially assembled
// group and against a VM that belongs to two groups.
func TestNoPartialGroupServes(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newGroupSim(t)
		action := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { s.t = t; f() }
		}
		for _, v := range s.vms {
			s.store.AddVM(objectapi.VM{Name: v.name, Domain: "d", Place: "here", Address: v.name, Accelerators: 2, State: objectapi.VMLive})
		}
		s.t = t
		round := func() {
			s.ensureHolder()
			s.plan()
			s.order()
			s.refreshDomain()
			s.probeGroups()
			s.dispatch()
		}
		t.Repeat(map[string]func(*rapid.T){
			"":          s.checkStored,
			"round":     action(round),
			"round two": action(round),
			"advance":   action(s.advance),
			"advance 2": action(s.advance),
			"hold":      action(s.ensureHolder),
			"plan":      action(s.plan),
			"order":     action(s.order),
			"learn":     action(s.refreshDomain),
			"look":      action(s.probeGroups),
			"dispatch":  action(s.dispatch),
			"work":      action(s.probeAndDispatch),
			"work two":  action(s.probeAndDispatch),
			"alarm":     action(s.freezeUntilLost),
			"switch":    action(func() { s.activeIndex = 1 - s.activeIndex }),
			"kill":      action(func() { s.pickVM().up = false }),
			"restart":   action(s.restart),
			"freeze":    action(func() { v := s.pickVM(); v.frozen = !v.frozen }),
			"list":      action(s.publishList),
			"drain":     action(func() { s.store.SetVMState(s.pickVM().name, objectapi.VMLeaving) }),
		})
		served += s.served
	})
	if served == 0 {
		t.Fatal("no request was ever served: the simulation checked nothing")
	}
}
