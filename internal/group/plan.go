package group

import (
	"fmt"
	"slices"
	"time"

	"pearlanding/internal/catalog"
	"pearlanding/internal/engine"
	"pearlanding/internal/objectapi"
)

// Policy holds the planner's knobs.
type Policy struct {
	// Rebuild selects the baseline: a lost member retires the whole group and a
	// new one is formed from any free VMs.
	Rebuild        bool
	DowntimeWeight float64
	StrandedWeight float64
	Spares         int // VMs of the domain kept free for repair
	// EvidenceAge bounds how long a daemon may dispatch on old evidence.
	EvidenceAge time.Duration
	// OrderTimeout bounds how long an order may be in flight.
	OrderTimeout time.Duration
	// ReportLag bounds how old an engine's load report may be.
	ReportLag time.Duration
}

// settle is how long after the last evidence of an epoch its members may be
// used otherwise: every daemon has stopped dispatching on it by itself.
func (p Policy) settle() time.Duration { return p.EvidenceAge + p.OrderTimeout }

// Input is a snapshot of what the holder of a domain knows. Times are on its
// own monotonic clock.
type Input struct {
	Domain Domain
	Pools  []catalog.Pool
	// Want is how many groups of each pool this domain should hold.
	Want     map[string]int
	List     []objectapi.VM // of this domain; nil: not known
	Probes   map[string]Probe
	Evidence map[string]Evidence // by group id
	// Since is when this holder first saw the group's epoch in its state.
	Since map[string]time.Time
	// OrderFrom is from when no order of an earlier holder can land any more.
	OrderFrom time.Time
	Now       time.Time
}

// SinceKey names one epoch of a group in one state.
func SinceKey(g Group) string { return fmt.Sprintf("%s#%d#%s", g.ID, g.Epoch, g.State) }

// planner carries one planning pass over a clone of the domain.
type planner struct {
	in      Input
	policy  Policy
	d       Domain
	changed bool
}

// Plan computes the domain as it should be next. It is pure; changed is false
// when there is nothing to write. It makes the steps of one pass only: the next
// pass starts from what was written.
func Plan(in Input, policy Policy) (next Domain, changed bool) {
	p := &planner{in: in, policy: policy, d: in.Domain.Clone()}
	p.adoptList()
	for _, id := range p.d.GroupIDs() {
		p.step(id)
	}
	p.repair()
	p.retireSurplus()
	p.form()
	return p.d, p.changed
}

// adoptList folds the platform's list into the VM records.
func (p *planner) adoptList() {
	if p.in.List == nil {
		return
	}
	listed := map[string]bool{}
	for _, vm := range p.in.List {
		listed[vm.Name] = true
		old, known := p.d.VMs[vm.Name]
		record := VMRecord{Address: vm.Address, Accelerators: vm.Accelerators, Intent: old.Intent, Leaving: vm.State == objectapi.VMLeaving}
		if !known || record != old {
			p.d.VMs[vm.Name] = record
			p.changed = true
		}
	}
	for name, record := range p.d.VMs {
		if listed[name] {
			continue
		}
		_, used := p.d.GroupOf(name)
		switch {
		case !used && record.Intent == IntentNone:
			delete(p.d.VMs, name)
			p.changed = true
		case !record.Gone:
			record.Gone = true
			p.d.VMs[name] = record
			p.changed = true
		}
	}
}

// fire moves a group by a trigger; the caller changes members beforehand.
func (p *planner) fire(g Group, t Trigger, reason string) {
	next, err := Next(g.State, t)
	if err != nil {
		return
	}
	g.State, g.Reason = next, reason
	p.changed = true
	if next == StateReleased {
		delete(p.d.Groups, g.ID)
		return
	}
	p.d.Groups[g.ID] = g
}

// elapsed tells whether the group has stood in its state for at least d.
func (p *planner) elapsed(g Group, d time.Duration) bool {
	since, ok := p.in.Since[SinceKey(g)]
	return ok && p.in.Now.Sub(since) >= d
}

// step moves one group on by what is known of it.
func (p *planner) step(id string) {
	g := p.d.Groups[id]
	switch g.State {
	case StateLoading:
		p.stepLoading(g)
	case StateServing, StateDraining:
		p.stepServing(g)
	case StateRetiring:
		if p.allReleased(g) {
			p.fire(g, TriggerReleased, "")
		}
	}
}

func (p *planner) stepLoading(g Group) {
	boots := make([]string, len(g.Members))
	ready := true
	for rank, m := range g.Members {
		probe := p.in.Probes[m.VM]
		if p.unreachable(probe) || p.d.VMs[m.VM].departing() {
			p.fire(g, TriggerMemberLost, "member "+m.VM+" lost while loading")
			return
		}
		ready = ready && p.fresh(probe) && memberReady(g, rank, probe.Status)
		boots[rank] = probe.Status.BootID
	}
	if !ready {
		return
	}
	for rank := range g.Members {
		g.Members[rank].BootID = boots[rank]
	}
	p.fire(g, TriggerVerified, "")
}

func (p *planner) stepServing(g Group) {
	e, known := p.in.Evidence[g.ID]
	if known && e.Epoch == g.Epoch && len(e.Lost) > 0 {
		p.fire(g, TriggerMemberLost, "member "+e.Lost[0]+" lost")
		return
	}
	if g.State == StateDraining && p.quiet(g) && p.surplus(g.Pool) <= 0 {
		p.fire(g, TriggerFinished, g.Reason)
		return
	}
	if g.State == StateServing && (p.d.Departing(g) || len(e.Leaving) > 0 && e.Epoch == g.Epoch) {
		p.fire(g, TriggerDrain, "a member is leaving")
	}
}

// unreachable tells whether a probed VM refuses connections or has not answered
// for the evidence age.
func (p *planner) unreachable(probe Probe) bool {
	return probe.Failures >= lostFailures && (probe.Refused || p.in.Now.Sub(probe.At) > p.policy.EvidenceAge)
}

// fresh tells whether the last answer is young enough to act on.
func (p *planner) fresh(probe Probe) bool {
	return probe.Failures == 0 && !probe.At.IsZero() && p.in.Now.Sub(probe.At) <= p.policy.EvidenceAge
}

// allReleased tells whether every member was read back without an assignment,
// or is gone, and no daemon can still dispatch on the group's last evidence.
func (p *planner) allReleased(g Group) bool {
	if !p.elapsed(g, p.policy.settle()) {
		return false
	}
	for _, m := range g.Members {
		probe := p.in.Probes[m.VM]
		idle := p.fresh(probe) && probe.Status.Assignment == nil
		if !idle && !p.unreachable(probe) && !p.d.VMs[m.VM].Gone {
			return false
		}
	}
	return true
}

// quiet tells whether a draining group has surely finished its requests: no
// daemon can dispatch any more, and every report since says nothing runs.
func (p *planner) quiet(g Group) bool {
	if !p.elapsed(g, p.policy.settle()+p.policy.ReportLag) {
		return false
	}
	probe := p.in.Probes[g.Members[0].VM]
	return p.fresh(probe) && !probe.QuietSince.IsZero() && p.in.Now.Sub(probe.QuietSince) >= p.policy.ReportLag
}

// keepable tells whether a member can stay in a new epoch of its group.
func (p *planner) keepable(m Member) bool {
	return p.fresh(p.in.Probes[m.VM]) && !p.in.Probes[m.VM].Status.Leaving && !p.d.VMs[m.VM].departing()
}

// rested tells whether a VM has answered "no assignment" for so long that no
// daemon can hold evidence of an earlier epoch any more. A VM enters an epoch only
// from rest: a member that went straight from one epoch to the next would leave
// the others behind at the old one, and a daemon with an old copy of the domain
// would still dispatch to them. Rest counts only from when no order of an earlier
// holder can land: such an order could end it unseen.
func (p *planner) rested(vm string) bool {
	from := p.in.Probes[vm].IdleSince
	if from.IsZero() {
		return false
	}
	if from.Before(p.in.OrderFrom) {
		from = p.in.OrderFrom
	}
	return p.in.Now.Sub(from) >= p.policy.settle()
}

// free lists the VMs that can join a group now: live, answering, idle for so
// long that nobody can still dispatch to them, and in no group. Those that have
// the wanted weights loaded come first.
func (p *planner) free(w engine.Weights) []string {
	var out []string
	for _, name := range p.d.VMNames() {
		probe, record := p.in.Probes[name], p.d.VMs[name]
		if _, used := p.d.GroupOf(name); used || record.departing() || probe.Status.Leaving || !p.fresh(probe) {
			continue
		}
		if !p.rested(name) {
			continue
		}
		out = append(out, name)
	}
	slices.SortStableFunc(out, func(a, b string) int {
		return rank(p.in.Probes[a].Status.Loaded == w) - rank(p.in.Probes[b].Status.Loaded == w)
	})
	return out
}

func rank(first bool) int {
	if first {
		return 0
	}
	return 1
}
