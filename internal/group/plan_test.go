package group

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/catalog"
	"pearlanding/internal/engine"
)

var testPolicy = Policy{EvidenceAge: 1500 * time.Millisecond, OrderTimeout: 500 * time.Millisecond, ReportLag: time.Second,
	DowntimeWeight: 1, StrandedWeight: 1}

var testWeights = engine.Weights{Model: "m", Version: "1"}

// testDomain returns a domain with one group of two VMs in the given state and a spare VM.
func testDomain(state State) Domain {
	d := NewDomain("d", "here")
	for _, vm := range []string{"vm0", "vm1", "vm2"} {
		d.VMs[vm] = VMRecord{Address: vm, Accelerators: 2}
	}
	d.LastEpoch = 1
	d.Groups["d.1"] = Group{ID: "d.1", Pool: "p@1", Weights: testWeights, Epoch: 1, State: state,
		Members: []Member{{VM: "vm0", Address: "vm0", BootID: "b"}, {VM: "vm1", Address: "vm1", BootID: "b"}}}
	return d
}

func testInput(d Domain, now time.Time) Input {
	in := Input{Domain: d, Pools: []catalog.Pool{{Name: "p@1", Model: "m", Version: "1", VMs: 2, Replicas: 1, Places: []string{"here"}}},
		Want: map[string]int{"p@1": 1}, Probes: map[string]ProbeState{}, Evidence: map[string]Evidence{}, StateSince: map[string]time.Time{}, Now: now}
	for _, g := range d.Groups {
		in.StateSince[StateKey(g)] = now.Add(-time.Hour)
	}
	return in
}

// ready returns the probe state of a member that has just answered ready at its epoch.
func ready(g Group, rank int, now time.Time) ProbeState {
	return ProbeState{}.WithAnswer(engine.Status{VM: g.Members[rank].VM, BootID: "b", State: engine.StateReady,
		Assignment: g.Assignment(rank), Loaded: testWeights}, now)
}

// idle returns the probe state of a VM without an assignment since the given time.
func idle(since, now time.Time) ProbeState {
	s := engine.Status{BootID: "b", State: engine.StateIdle, Loaded: testWeights}
	return ProbeState{}.WithAnswer(s, since).WithAnswer(s, now)
}

// If no member was really lost, all members are still assigned to the old epoch, and a
// daemon with a stale copy of the domain has fresh evidence of it. If a member could go
// straight to the next epoch, that daemon would dispatch to a partial group;
// models/group.pml shows this fault with NO_REST.
func TestMemberEntersEpochOnlyAfterEvidenceExpires(t *testing.T) {
	now := time.Unix(9000, 0)
	d := testDomain(StateSuspended)
	in := testInput(d, now)
	in.Probes["vm0"], in.Probes["vm1"] = ready(d.Groups["d.1"], 0, now), ready(d.Groups["d.1"], 1, now)
	in.Probes["vm2"] = idle(now.Add(-time.Hour), now)

	next, changed := Plan(in, testPolicy)
	must.False(t, changed)
	orders := Orders(next, in.Probes)
	must.MapLen(t, 2, orders)
	must.Nil(t, orders["vm0"])
	must.Nil(t, orders["vm1"])

	in.Probes["vm0"], in.Probes["vm1"] = idle(now.Add(-time.Second), now), idle(now.Add(-time.Second), now)
	_, changed = Plan(in, testPolicy)
	must.False(t, changed, must.Sprint("evidence of the old epoch may still be fresh"))

	in.Probes["vm0"], in.Probes["vm1"] = idle(now.Add(-3*time.Second), now), idle(now.Add(-3*time.Second), now)
	in.OrderFrom = now.Add(-time.Second)
	_, changed = Plan(in, testPolicy)
	must.False(t, changed, must.Sprint("an order of the previous holder may have assigned them again"))

	in.OrderFrom = now.Add(-time.Hour)
	next, changed = Plan(in, testPolicy)
	must.True(t, changed)
	must.Eq(t, StateLoading, next.Groups["d.1"].State)
	must.Eq(t, uint64(2), next.Groups["d.1"].Epoch)
}

func TestLostMemberIsReplacedAndOthersStay(t *testing.T) {
	now := time.Unix(9000, 0)
	d := testDomain(StateSuspended)
	in := testInput(d, now)
	in.Probes["vm0"] = idle(now.Add(-time.Hour), now)
	in.Probes["vm1"] = ProbeState{Failures: 9}
	in.Probes["vm2"] = idle(now.Add(-time.Hour), now)
	next, changed := Plan(in, testPolicy)
	must.True(t, changed)
	g := next.Groups["d.1"]
	must.Eq(t, "vm0", g.Members[0].VM)
	must.Eq(t, "vm2", g.Members[1].VM)

	rebuild := testPolicy
	rebuild.Rebuild = true
	next, _ = Plan(in, rebuild)
	must.Eq(t, StateRetiring, next.Groups["d.1"].State)
}

func TestEvidenceEndsWithEpoch(t *testing.T) {
	now := time.Unix(9000, 0)
	g := testDomain(StateServing).Groups["d.1"]
	probes := map[string]ProbeState{"vm0": ready(g, 0, now), "vm1": ready(g, 1, now.Add(-time.Second))}
	e := Assess(g, probes, now, testPolicy.EvidenceAge)
	must.Eq(t, now.Add(-time.Second), e.ReadyAt) // the time of the oldest answer
	must.SliceEmpty(t, e.Lost)

	restarted := probes["vm1"]
	restarted.Status.BootID = "another"
	probes["vm1"] = restarted
	e = Assess(g, probes, now, testPolicy.EvidenceAge)
	must.True(t, e.ReadyAt.IsZero())
	must.Eq(t, []string{"vm1"}, e.Lost)
}

func TestNoVMInTwoGroups(t *testing.T) {
	d := testDomain(StateServing)
	d.LastEpoch = 2
	d.Groups["d.2"] = Group{ID: "d.2", Epoch: 2, State: StateLoading, Members: []Member{{VM: "vm1"}, {VM: "vm2"}}}
	_, err := d.Encode()
	must.ErrorIs(t, err, ErrInvalid)
}

func TestStateMachineRefusesOtherTransitions(t *testing.T) {
	for _, tc := range []struct {
		from    State
		trigger Trigger
		to      State
		ok      bool
	}{
		{StateLoading, TriggerVerified, StateServing, true},
		{StateServing, TriggerMemberLost, StateSuspended, true},
		{StateDraining, TriggerFinished, StateSuspended, true},
		{StateServing, TriggerReplace, StateServing, false},
		{StateDraining, TriggerReplace, StateDraining, false},
		{StateRetiring, TriggerVerified, StateRetiring, false},
	} {
		got, err := Next(tc.from, tc.trigger)
		must.Eq(t, tc.to, got)
		must.Eq(t, tc.ok, err == nil)
	}
}

func TestStuckGroupIsFormedInAnotherDomain(t *testing.T) {
	stuck := testDomain(StateSuspended)
	g := stuck.Groups["d.1"]
	g.Stuck = true
	stuck.Groups["d.1"] = g
	other := NewDomain("e", "here")
	for _, vm := range []string{"e0", "e1"} {
		other.VMs[vm] = VMRecord{Address: vm}
	}
	want := Allocate(testInput(stuck, time.Unix(9000, 0)).Pools, []Domain{stuck, other})
	must.Eq(t, 1, want["e"]["p@1"])
	must.Eq(t, 0, want["d"]["p@1"])
}
