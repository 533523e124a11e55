package group

import (
	"fmt"
	"slices"
	"time"

	"pearlanding/internal/catalog"
	"pearlanding/internal/engine"
	"pearlanding/internal/objectapi"
)

// Policy configures the planner.
type Policy struct {
	// Rebuild selects the baseline policy: when a member is lost, the whole group is
	// retired and a new one is formed from any free VMs.
	Rebuild bool
	// If StrandedWeight is greater than DowntimeWeight, a group that can't be
	// completed is retired when its healthy members can serve another pool;
	// otherwise it waits for a VM.
	DowntimeWeight float64
	StrandedWeight float64
	Spares         int // VMs of the domain kept free for repairs
	// EvidenceAge is the maximum age of evidence that a daemon dispatches on.
	EvidenceAge time.Duration
	// OrderTimeout is the maximum time that an order may be in flight.
	OrderTimeout time.Duration
	// ReportLag is the maximum age of an engine's load report.
	ReportLag time.Duration
}

// reuseDelay is the time after an epoch's end before its members may enter another
// epoch. By then its evidence has expired at every daemon, so none dispatches on it.
func (p Policy) reuseDelay() time.Duration { return p.EvidenceAge + p.OrderTimeout }

// Input is a snapshot of what the holder of a domain knows. Times are on the
// holder's own monotonic clock.
type Input struct {
	Domain Domain
	Pools  []catalog.Pool
	// Want is the number of groups of each pool that this domain should have.
	Want     map[string]int
	VMList   []objectapi.VM        // of this domain; nil: unknown
	Probes   map[string]ProbeState // by VM
	Evidence map[string]Evidence   // by group id
	// StateSince is when this holder first saw a group's epoch in its state, by
	// StateKey.
	StateSince map[string]time.Time
	// OrderFrom is the time from which no order of a previous holder can still
	// arrive.
	OrderFrom time.Time
	Now       time.Time
}

// StateKey identifies one epoch of a group in one state.
func StateKey(g Group) string { return fmt.Sprintf("%s#%d#%s", g.ID, g.Epoch, g.State) }

// planner is one planning pass over a clone of the domain.
type planner struct {
	in      Input
	policy  Policy
	domain  Domain
	changed bool
}

// Plan computes the next state of the domain; changed is false if there is nothing
// to write. Plan is a pure function and makes only the steps of one pass: the next
// pass starts from the written state.
func Plan(in Input, policy Policy) (next Domain, changed bool) {
	p := &planner{in: in, policy: policy, domain: in.Domain.Clone()}
	p.mergeVMList()
	for _, id := range p.domain.GroupIDs() {
		p.advance(id)
	}
	p.repairGroups()
	p.retireSurplus()
	p.formGroups()
	return p.domain, p.changed
}

// mergeVMList updates the VM records from the platform's list. An unlisted VM is
// removed unless a group or an intent refers to it.
func (p *planner) mergeVMList() {
	if p.in.VMList == nil {
		return
	}
	listed := map[string]bool{}
	for _, vm := range p.in.VMList {
		listed[vm.Name] = true
		old, known := p.domain.VMs[vm.Name]
		record := VMRecord{Address: vm.Address, Accelerators: vm.Accelerators, Intent: old.Intent, Leaving: vm.State == objectapi.VMLeaving}
		if !known || record != old {
			p.domain.VMs[vm.Name] = record
			p.changed = true
		}
	}
	for name, record := range p.domain.VMs {
		if listed[name] {
			continue
		}
		_, used := p.domain.GroupOf(name)
		switch {
		case !used && record.Intent == IntentNone:
			delete(p.domain.VMs, name)
			p.changed = true
		case !record.Gone:
			record.Gone = true
			p.domain.VMs[name] = record
			p.changed = true
		}
	}
}

// fire applies a trigger to a group and stores the group; it does nothing if the
// group's state does not permit the trigger. The caller changes members beforehand.
func (p *planner) fire(g Group, t Trigger, reason string) {
	next, err := Next(g.State, t)
	if err != nil {
		return
	}
	g.State, g.Reason = next, reason
	p.changed = true
	if next == StateReleased {
		delete(p.domain.Groups, g.ID)
		return
	}
	p.domain.Groups[g.ID] = g
}

// inStateFor reports whether the group has been in its state for at least d.
func (p *planner) inStateFor(g Group, d time.Duration) bool {
	since, ok := p.in.StateSince[StateKey(g)]
	return ok && p.in.Now.Sub(since) >= d
}

// advance fires the trigger that follows from the probes and evidence of a group, if
// any.
func (p *planner) advance(id string) {
	g := p.domain.Groups[id]
	switch g.State {
	case StateLoading:
		p.advanceLoading(g)
	case StateServing, StateDraining:
		p.advanceServing(g)
	case StateRetiring:
		if p.allReleased(g) {
			p.fire(g, TriggerReleased, "")
		}
	}
}

func (p *planner) advanceLoading(g Group) {
	bootIDs := make([]string, len(g.Members))
	ready := true
	for rank, m := range g.Members {
		probe := p.in.Probes[m.VM]
		if p.unreachable(probe) || p.domain.VMs[m.VM].departing() {
			p.fire(g, TriggerMemberLost, "member "+m.VM+" lost while loading")
			return
		}
		ready = ready && p.fresh(probe) && memberReady(g, rank, probe.Status)
		bootIDs[rank] = probe.Status.BootID
	}
	if !ready {
		return
	}
	for rank := range g.Members {
		g.Members[rank].BootID = bootIDs[rank]
	}
	p.fire(g, TriggerVerified, "")
}

func (p *planner) advanceServing(g Group) {
	e, known := p.in.Evidence[g.ID]
	if known && e.Epoch == g.Epoch && len(e.Lost) > 0 {
		p.fire(g, TriggerMemberLost, "member "+e.Lost[0]+" lost")
		return
	}
	if g.State == StateDraining && p.drained(g) && p.surplus(g.Pool) <= 0 {
		p.fire(g, TriggerFinished, g.Reason)
		return
	}
	if g.State == StateServing && (p.domain.Departing(g) || len(e.Leaving) > 0 && e.Epoch == g.Epoch) {
		p.fire(g, TriggerDrain, "a member is leaving")
	}
}

// unreachable reports whether a VM refuses connections or has not answered for
// longer than the evidence age.
func (p *planner) unreachable(probe ProbeState) bool {
	return probe.Failures >= lostAfterFailures && (probe.Refused || p.in.Now.Sub(probe.AnsweredAt) > p.policy.EvidenceAge)
}

// fresh reports whether the last probe was answered and is recent enough to act on.
func (p *planner) fresh(probe ProbeState) bool {
	return probe.Failures == 0 && !probe.AnsweredAt.IsZero() && p.in.Now.Sub(probe.AnsweredAt) <= p.policy.EvidenceAge
}

// allReleased reports whether every member was seen without an assignment or is
// gone, and no daemon can still dispatch on the group's last evidence.
func (p *planner) allReleased(g Group) bool {
	if !p.inStateFor(g, p.policy.reuseDelay()) {
		return false
	}
	for _, m := range g.Members {
		probe := p.in.Probes[m.VM]
		idle := p.fresh(probe) && probe.Status.Assignment == nil
		if !idle && !p.unreachable(probe) && !p.domain.VMs[m.VM].Gone {
			return false
		}
	}
	return true
}

// drained reports whether a draining group has finished all its requests: no daemon
// can still dispatch to it, and every load report since shows no requests.
func (p *planner) drained(g Group) bool {
	if !p.inStateFor(g, p.policy.reuseDelay()+p.policy.ReportLag) {
		return false
	}
	probe := p.in.Probes[g.Members[0].VM]
	return p.fresh(probe) && !probe.NoRequestsSince.IsZero() && p.in.Now.Sub(probe.NoRequestsSince) >= p.policy.ReportLag
}

// canStay reports whether a member can be kept in a new epoch of its group.
func (p *planner) canStay(m Member) bool {
	return p.fresh(p.in.Probes[m.VM]) && !p.in.Probes[m.VM].Status.Leaving && !p.domain.VMs[m.VM].departing()
}

// reusable reports whether a VM has been without an assignment for so long that no
// daemon has fresh evidence of an earlier epoch. If a member went straight from one
// epoch to the next, the other members would still be at the old epoch, and a daemon
// with a stale copy of the domain would dispatch to them. Time before OrderFrom does not
// count: an order of a previous holder could assign the VM again unnoticed.
func (p *planner) reusable(vm string) bool {
	since := p.in.Probes[vm].UnassignedSince
	if since.IsZero() {
		return false
	}
	if since.Before(p.in.OrderFrom) {
		since = p.in.OrderFrom
	}
	return p.in.Now.Sub(since) >= p.policy.reuseDelay()
}

// freeVMs lists the VMs that can join a group now: in no group, not departing,
// answering and reusable. Those that have the wanted weights loaded come first.
func (p *planner) freeVMs(w engine.Weights) []string {
	var out []string
	for _, name := range p.domain.VMNames() {
		probe, record := p.in.Probes[name], p.domain.VMs[name]
		if _, used := p.domain.GroupOf(name); used || record.departing() || probe.Status.Leaving || !p.fresh(probe) {
			continue
		}
		if !p.reusable(name) {
			continue
		}
		out = append(out, name)
	}
	slices.SortStableFunc(out, func(a, b string) int {
		return trueFirst(p.in.Probes[a].Status.Loaded == w) - trueFirst(p.in.Probes[b].Status.Loaded == w)
	})
	return out
}

// trueFirst is a sort key that puts true before false.
func trueFirst(first bool) int {
	if first {
		return 0
	}
	return 1
}
