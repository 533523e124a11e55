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

// The simulation drives the real planner and the real stand-in engines through
// two holders that may both believe they hold the domain, on a virtual clock.
// Holders pause between check and order, writes lose their answers, orders arrive
// late, VMs die, restart, freeze and come back, the platform's list lags, and
// engines may ignore fences. A daemon dispatches on evidence like the real one.

const (
	simAge   = 1500 * time.Millisecond
	simOrder = 500 * time.Millisecond
	simHold  = 2 * time.Second
)

type simVM struct {
	name   string
	engine *enginefake.Engine
	up     bool
	frozen bool
}

type simHolder struct {
	self     Holder
	current  Copy
	verified time.Time
	orderAt  time.Time
	probes   map[string]Probe
	since    map[string]time.Time
}

// simDispatcher is a daemon's view that requests are routed by.
type simDispatcher struct {
	copy     Copy
	evidence map[string]Evidence
	probes   map[string]Probe
}

type groupSim struct {
	t           *rapid.T
	now         time.Time
	store       *platformfake.Store
	vms         []*simVM
	holders     []*simHolder
	dispatchers []*simDispatcher
	late        []func()
	policy      Policy
	pools       []catalog.Pool
	ignoreFence bool
	served      int
	active      int
}

func newGroupSim(t *rapid.T) *groupSim {
	s := &groupSim{t: t, now: time.Unix(5000, 0), store: platformfake.New(0, 0), ignoreFence: rapid.Bool().Draw(t, "engines ignore fences"),
		policy: Policy{Rebuild: rapid.Bool().Draw(t, "rebuild"), DowntimeWeight: 1, StrandedWeight: 1,
			EvidenceAge: simAge, OrderTimeout: simOrder, ReportLag: 500 * time.Millisecond},
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
		s.holders = append(s.holders, &simHolder{self: Holder{Slot: fmt.Sprintf("h%d", i), Incarnation: "1"}, probes: map[string]Probe{}, since: map[string]time.Time{}})
		s.dispatchers = append(s.dispatchers, &simDispatcher{evidence: map[string]Evidence{}, probes: map[string]Probe{}})
	}
	return s
}

func (s *groupSim) advance() {
	s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{50, 250, 700, 2600}).Draw(s.t, "ms")) * time.Millisecond)
	for len(s.late) > 0 && rapid.Bool().Draw(s.t, "arrives") {
		s.late[0]()
		s.late = s.late[1:]
	}
}

func (s *groupSim) pickVM() *simVM { return s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(s.t, "vm")] }

func (s *groupSim) vm(name string) *simVM {
	return s.vms[slices.IndexFunc(s.vms, func(v *simVM) bool { return v.name == name })]
}

func (s *groupSim) probeInto(probes map[string]Probe, names []string) {
	for _, name := range names {
		v := s.vm(name)
		if v.up && !v.frozen {
			probes[name] = probes[name].Answered(v.engine.Status(), s.now)
		} else {
			probes[name] = probes[name].Failed(s.now, !v.up)
		}
	}
}

// holder is the one that acts: mostly the active one, now and then the other,
// which has been paused and believes that nothing has happened.
func (s *groupSim) holder() *simHolder {
	if rapid.IntRange(0, 19).Draw(s.t, "stale") == 0 {
		return s.holders[1-s.active]
	}
	return s.holders[s.active]
}

// hold proves or takes the hold, as holder.hold and takeOver do.
func (s *groupSim) hold() {
	h := s.holders[s.active]
	obj, err := s.store.Get(context.Background(), Key("d"))
	if err != nil {
		return
	}
	d, _ := DecodeDomain(obj.Value)
	h.current = Copy{obj.Version, d}
	if d.Holder == h.self {
		h.verified = s.now
		return
	}
	previous := d.Holder
	next := d.Clone()
	next.Holder = h.self
	if s.update(h, next) {
		h.verified, h.orderAt = s.now, s.now
		if previous.Slot != "" {
			h.orderAt = s.now.Add(simHold + simOrder)
		}
	}
}

// update writes a holder's next domain; the answer may be lost.
func (s *groupSim) update(h *simHolder, next Domain) bool {
	value, err := next.Encode()
	if err != nil {
		s.t.Fatalf("plan breaks an invariant: %v", err)
	}
	version, err := s.store.Update(context.Background(), Key("d"), h.current.Version, value)
	if err != nil || rapid.IntRange(0, 9).Draw(s.t, "answer") == 0 {
		return false
	}
	h.current = Copy{version, next}
	return true
}

// plan makes one pass of a holder with what it knows.
func (s *groupSim) plan() {
	h := s.holder()
	if h.verified.IsZero() {
		return
	}
	var names []string
	for name := range h.current.Domain.VMs {
		names = append(names, name)
	}
	slices.Sort(names)
	s.probeInto(h.probes, names)
	seen := map[string]time.Time{}
	evidence := map[string]Evidence{}
	for _, g := range h.current.Domain.Groups {
		if at, ok := h.since[SinceKey(g)]; ok {
			seen[SinceKey(g)] = at
		} else {
			seen[SinceKey(g)] = s.now
		}
		evidence[g.ID] = Assess(g, h.probes, s.now, simAge)
	}
	h.since = seen
	list, err := s.store.VMs(context.Background(), "")
	if err != nil {
		list = nil
	}
	next, changed := Plan(Input{Domain: h.current.Domain, Pools: s.pools, Want: Allocate(s.pools, []Domain{h.current.Domain})["d"],
		List: list, Probes: h.probes, Evidence: evidence, Since: h.since, OrderFrom: h.orderAt, Now: s.now}, s.policy)
	if changed {
		s.update(h, next)
	}
}

// order sends what a holder last planned. The check is made right before, the
// order may be in flight for up to the order timeout.
func (s *groupSim) order() {
	h := s.holder()
	if s.now.Sub(h.verified) >= simHold || s.now.Before(h.orderAt) || h.verified.IsZero() {
		return
	}
	orders := Orders(h.current.Domain, h.probes)
	for _, name := range h.current.Domain.VMNames() {
		assignment, wanted := orders[name]
		if !wanted {
			continue
		}
		v, sent, o := s.vm(name), s.now, engine.Order{Fence: h.current.Version, Assignment: assignment}
		deliver := func() {
			if v.up && !v.frozen && s.now.Sub(sent) <= simOrder {
				v.engine.Order(o)
			}
		}
		if rapid.Bool().Draw(s.t, "late") {
			s.late = append(s.late, deliver)
		} else {
			deliver()
		}
	}
}

func (s *groupSim) dispatcher() *simDispatcher {
	return s.dispatchers[rapid.IntRange(0, len(s.dispatchers)-1).Draw(s.t, "daemon")]
}

// learn brings a daemon's copy of the domain up to date, or not for long.
func (s *groupSim) learn() {
	d := s.dispatcher()
	if obj, err := s.store.Get(context.Background(), Key("d")); err == nil && obj.Version > d.copy.Version {
		domain, _ := DecodeDomain(obj.Value)
		d.copy = Copy{obj.Version, domain}
	}
}

// look probes the serving groups that a daemon knows.
func (s *groupSim) look() {
	d := s.dispatcher()
	for _, id := range d.copy.Domain.GroupIDs() {
		g := d.copy.Domain.Groups[id]
		if g.State != StateServing {
			continue
		}
		for _, m := range g.Members {
			s.probeInto(d.probes, []string{m.VM})
		}
		d.evidence[id] = Assess(g, d.probes, s.now, simAge)
	}
}

// dispatch sends a request the way the router would, and judges by the engines'
// own state whether a partially assembled group would serve it.
func (s *groupSim) dispatch() {
	d := s.dispatcher()
	for _, id := range d.copy.Domain.GroupIDs() {
		g := d.copy.Domain.Groups[id]
		e, known := d.evidence[id]
		if g.State != StateServing || !known || e.Epoch != g.Epoch || e.Ready.IsZero() || s.now.Sub(e.Ready) >= simAge {
			continue
		}
		s.judge(g)
	}
}

// judge checks the request's fate at rank 0. An engine that is down, frozen or at
// another epoch refuses or never answers; one that accepts must have a whole group
// behind it, or notice: members down or restarted are noticed by the group itself.
// What must never be is a member that works for another group or epoch meanwhile.
func (s *groupSim) judge(g Group) {
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
			continue // dead or restarted: the group is lost, and notices
		}
		if a.Group != g.ID || a.Epoch != g.Epoch {
			s.t.Fatalf("group %s epoch %d is served while member %d (%s) belongs to %s epoch %d", g.ID, g.Epoch, rank, m.VM, a.Group, a.Epoch)
		}
	}
}

// falseAlarm lets a VM be silent for just long enough to be thought lost.
func (s *groupSim) falseAlarm() {
	v := s.pickVM()
	v.frozen = true
	for range 3 {
		s.hold()
		s.plan()
		s.now = s.now.Add(simAge * 2 / 3)
	}
	s.plan()
	v.frozen = false
}

// work lets the routing daemons look and dispatch without learning anything.
func (s *groupSim) work() {
	for range s.dispatchers {
		s.look()
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

// check is the standing invariant: the object holds no VM in two groups, and no
// two engines of different groups claim the same rank's members whole.
func (s *groupSim) check(t *rapid.T) {
	obj, err := s.store.Get(context.Background(), Key("d"))
	if err != nil {
		return
	}
	d, _ := DecodeDomain(obj.Value)
	if err := d.Validate(); err != nil {
		t.Fatalf("%v", err)
	}
}

// TestNoPartialGroupServes is promises 1 and 2.
func TestNoPartialGroupServes(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newGroupSim(t)
		act := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { s.t = t; f() }
		}
		for _, v := range s.vms {
			s.store.AddVM(objectapi.VM{Name: v.name, Domain: "d", Place: "here", Address: v.name, Accelerators: 2, State: objectapi.VMLive})
		}
		s.t = t
		round := func() {
			s.hold()
			s.plan()
			s.order()
			s.learn()
			s.look()
			s.dispatch()
		}
		t.Repeat(map[string]func(*rapid.T){
			"":          s.check,
			"round":     act(round),
			"round two": act(round),
			"advance":   act(s.advance),
			"advance 2": act(s.advance),
			"hold":      act(s.hold),
			"plan":      act(s.plan),
			"order":     act(s.order),
			"learn":     act(s.learn),
			"look":      act(s.look),
			"dispatch":  act(s.dispatch),
			"work":      act(s.work),
			"work two":  act(s.work),
			"alarm":     act(s.falseAlarm),
			"switch":    act(func() { s.active = 1 - s.active }),
			"kill":      act(func() { s.pickVM().up = false }),
			"restart":   act(s.restart),
			"freeze":    act(func() { v := s.pickVM(); v.frozen = !v.frozen }),
			"list":      act(s.publishList),
			"drain":     act(func() { s.store.SetVMState(s.pickVM().name, objectapi.VMLeaving) }),
		})
		served += s.served
	})
	if served == 0 {
		t.Fatal("no request was ever served: the simulation shows nothing")
	}
}
