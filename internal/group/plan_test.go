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

// testDomain holds one group of two in the state, and one spare VM.
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
		Want: map[string]int{"p@1": 1}, Probes: map[string]Probe{}, Evidence: map[string]Evidence{}, Since: map[string]time.Time{}, Now: now}
	for _, g := range d.Groups {
		in.Since[SinceKey(g)] = now.Add(-time.Hour)
	}
	return in
}

// ready is a fresh answer of a member at its epoch.
func ready(g Group, rank int, now time.Time) Probe {
	return Probe{}.Answered(engine.Status{VM: g.Members[rank].VM, BootID: "b", State: engine.StateReady,
		Assignment: g.Assignment(rank), Loaded: testWeights}, now)
}

// idle is a fresh answer of a VM that has had no assignment since then.
func idle(since, now time.Time) Probe {
	s := engine.Status{BootID: "b", State: engine.StateIdle, Loaded: testWeights}
	return Probe{}.Answered(s, since).Answered(s, now)
}

// TestMemberEntersEpochOnlyFromRest: after a false alarm all members still stand
// at the old epoch, and a daemon with an old copy of the domain has fresh evidence
// of it. models/group.pml refuted going straight to the next epoch (NO_REST).
func TestMemberEntersEpochOnlyFromRest(t *testing.T) {
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
	must.False(t, changed, must.Sprint("not rested long enough"))

	in.Probes["vm0"], in.Probes["vm1"] = idle(now.Add(-3*time.Second), now), idle(now.Add(-3*time.Second), now)
	in.OrderFrom = now.Add(-time.Second)
	_, changed = Plan(in, testPolicy)
	must.False(t, changed, must.Sprint("an order of the last holder may have ended the rest"))

	in.OrderFrom = now.Add(-time.Hour)
	next, changed = Plan(in, testPolicy)
	must.True(t, changed)
	must.Eq(t, StateLoading, next.Groups["d.1"].State)
	must.Eq(t, uint64(2), next.Groups["d.1"].Epoch)
}

func TestLostMemberIsReplacedAndLoadedOnesStay(t *testing.T) {
	now := time.Unix(9000, 0)
	d := testDomain(StateSuspended)
	in := testInput(d, now)
	in.Probes["vm0"] = idle(now.Add(-time.Hour), now)
	in.Probes["vm1"] = Probe{Failures: 9}
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

func TestEvidenceEndsWithTheEpoch(t *testing.T) {
	now := time.Unix(9000, 0)
	g := testDomain(StateServing).Groups["d.1"]
	probes := map[string]Probe{"vm0": ready(g, 0, now), "vm1": ready(g, 1, now.Add(-time.Second))}
	e := Assess(g, probes, now, testPolicy.EvidenceAge)
	must.Eq(t, now.Add(-time.Second), e.Ready) // the oldest member's
	must.SliceEmpty(t, e.Lost)

	restarted := probes["vm1"]
	restarted.Status.BootID = "another"
	probes["vm1"] = restarted
	e = Assess(g, probes, now, testPolicy.EvidenceAge)
	must.True(t, e.Ready.IsZero())
	must.Eq(t, []string{"vm1"}, e.Lost)
}

func TestNoVMInTwoGroups(t *testing.T) {
	d := testDomain(StateServing)
	d.LastEpoch = 2
	d.Groups["d.2"] = Group{ID: "d.2", Epoch: 2, State: StateLoading, Members: []Member{{VM: "vm1"}, {VM: "vm2"}}}
	_, err := d.Encode()
	must.ErrorIs(t, err, ErrInvalid)
}

func TestStateMachineRefusesOtherMoves(t *testing.T) {
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

func TestStuckGroupLetsAnotherDomainFormItsSuccessor(t *testing.T) {
	dark := testDomain(StateSuspended)
	g := dark.Groups["d.1"]
	g.Stuck = true
	dark.Groups["d.1"] = g
	other := NewDomain("e", "here")
	for _, vm := range []string{"e0", "e1"} {
		other.VMs[vm] = VMRecord{Address: vm}
	}
	want := Allocate(testInput(dark, time.Unix(9000, 0)).Pools, []Domain{dark, other})
	must.Eq(t, 1, want["e"]["p@1"])
	must.Eq(t, 0, want["d"]["p@1"])
}
