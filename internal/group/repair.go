package group

import (
	"cmp"
	"fmt"
	"slices"

	"pearlanding/internal/catalog"
	"pearlanding/internal/engine"
)

// repairGroups starts a new epoch of suspended groups in which lost and leaving
// members are replaced and the others stay, once all that stay are reusable. Groups of
// higher priority come first, then those with the fewest members to replace, which
// return the most capacity per free VM.
func (p *planner) repairGroups() {
	var broken []Group
	for _, id := range p.domain.GroupIDs() {
		g := p.domain.Groups[id]
		if g.State == StateSuspended && p.inStateFor(g, p.policy.reuseDelay()) && p.stayingMembersReusable(g) {
			broken = append(broken, g)
		}
	}
	slices.SortStableFunc(broken, func(a, b Group) int {
		return cmp.Or(cmp.Compare(p.priority(b), p.priority(a)), cmp.Compare(len(p.ranksToReplace(a)), len(p.ranksToReplace(b))))
	})
	for _, g := range broken {
		p.repairGroup(g, broken)
	}
}

// stayingMembersReusable reports whether every member that can stay is reusable.
func (p *planner) stayingMembersReusable(g Group) bool {
	for _, m := range g.Members {
		if p.canStay(m) && !p.reusable(m.VM) {
			return false
		}
	}
	return true
}

func (p *planner) repairGroup(g Group, broken []Group) {
	if current, exists := p.domain.Groups[g.ID]; !exists || current.Epoch != g.Epoch || current.State != g.State {
		return // retired earlier in this pass, in favour of another group
	}
	if p.policy.Rebuild || p.surplus(g.Pool) > 0 {
		p.fire(g, TriggerRetire, g.Reason)
		return
	}
	lost, free := p.ranksToReplace(g), p.freeVMs(g.Weights)
	if len(free) < len(lost) {
		p.resolveShortage(g, lost, broken)
		return
	}
	for i, rank := range lost {
		p.setMember(&g, rank, free[i])
	}
	p.startEpoch(g)
}

// resolveShortage decides whether a broken group without enough free VMs waits or is
// retired. A waiting group returns soonest once a VM is free; a retired one lets its
// healthy members complete another broken group or form a smaller one. A group is
// retired if another broken group of at least its priority needs fewer VMs, or if the
// policy weighs stranded VMs higher than downtime and the healthy members, with the
// free VMs, suffice for a group that another pool is missing.
func (p *planner) resolveShortage(g Group, lost []int, broken []Group) {
	for _, other := range broken {
		stillSuspended := other.ID != g.ID && p.domain.Groups[other.ID].State == other.State
		if stillSuspended && len(p.ranksToReplace(other)) < len(lost) && p.priority(other) >= p.priority(g) {
			p.fire(g, TriggerRetire, "its members complete other groups")
			return
		}
	}
	healthy := len(g.Members) - len(lost)
	if p.policy.StrandedWeight > p.policy.DowntimeWeight && p.usableElsewhere(g, healthy) {
		p.fire(g, TriggerRetire, "its members are wanted elsewhere")
		return
	}
	if !g.Stuck {
		g.Stuck = true
		p.domain.Groups[g.ID] = g
		p.changed = true
	}
}

// usableElsewhere reports whether the healthy members of a group together with the
// free VMs could form a group that another pool is missing.
func (p *planner) usableElsewhere(g Group, healthy int) bool {
	for _, pool := range p.in.Pools {
		if pool.Name != g.Pool && p.missing(pool.Name) > 0 && healthy+len(p.freeVMs(engine.Weights{})) >= pool.VMs {
			return true
		}
	}
	return false
}

// ranksToReplace lists the ranks of the members that can't stay.
func (p *planner) ranksToReplace(g Group) []int {
	var out []int
	for rank, m := range g.Members {
		if !p.canStay(m) {
			out = append(out, rank)
		}
	}
	return out
}

func (p *planner) setMember(g *Group, rank int, vm string) {
	g.Members[rank] = Member{VM: vm, Address: p.domain.VMs[vm].Address}
}

// startEpoch moves a suspended group with its current members back to loading, at a
// new epoch.
func (p *planner) startEpoch(g Group) {
	for rank := range g.Members {
		g.Members[rank].BootID = ""
	}
	g.Epoch = p.domain.nextEpoch()
	g.Stuck = false
	p.fire(g, TriggerReplace, "loading")
}

// priority returns the priority of a group's pool, -1 if the pool no longer exists.
func (p *planner) priority(g Group) int {
	for _, pool := range p.in.Pools {
		if pool.Name == g.Pool {
			return pool.Priority
		}
	}
	return -1
}

// activeGroups counts the groups of a pool in the domain, without the retiring ones.
func (p *planner) activeGroups(pool string) int {
	n := 0
	for _, g := range p.domain.Groups {
		if g.Pool == pool && g.State != StateRetiring {
			n++
		}
	}
	return n
}

func (p *planner) surplus(pool string) int { return p.activeGroups(pool) - p.in.Want[pool] }
func (p *planner) missing(pool string) int { return p.in.Want[pool] - p.activeGroups(pool) }

// retireSurplus retires groups in excess of what is wanted, in the order of
// retireOrder.
func (p *planner) retireSurplus() {
	pools := map[string]bool{}
	for _, g := range p.domain.Groups {
		pools[g.Pool] = true
	}
	for pool := range pools {
		ids := p.domain.GroupIDs()
		slices.SortStableFunc(ids, func(a, b string) int {
			return cmp.Compare(retireOrder(p.domain.Groups[a].State), retireOrder(p.domain.Groups[b].State))
		})
		excess := p.surplus(pool)
		for _, id := range ids {
			if g := p.domain.Groups[id]; excess > 0 && g.Pool == pool && g.State != StateRetiring {
				p.retire(g)
				excess--
			}
		}
	}
}

// retire starts to retire a group; a serving group is drained first.
func (p *planner) retire(g Group) {
	switch g.State {
	case StateServing:
		p.fire(g, TriggerDrain, "no longer wanted")
	case StateDraining:
		if p.drained(g) {
			p.fire(g, TriggerRetire, "no longer wanted")
		}
	default:
		p.fire(g, TriggerRetire, "no longer wanted")
	}
}

// retireOrder orders states by the capacity lost when the group is retired, least
// first: a group that is already draining goes before one that loads or serves.
func retireOrder(s State) int {
	return slices.Index([]State{StateSuspended, StateDraining, StateLoading, StateServing}, s)
}

// formGroups forms missing groups from free VMs as long as the spares remain free.
func (p *planner) formGroups() {
	for _, pool := range p.in.Pools {
		w := engine.Weights{Model: pool.Model, Version: pool.Version}
		for p.missing(pool.Name) > 0 {
			free := p.freeVMs(w)
			if len(free) < pool.VMs+p.policy.Spares {
				break
			}
			p.formGroup(pool, w, free[:pool.VMs])
		}
	}
}

func (p *planner) formGroup(pool catalog.Pool, w engine.Weights, vms []string) {
	epoch := p.domain.nextEpoch()
	g := Group{ID: fmt.Sprintf("%s.%d", p.domain.Name, epoch), Pool: pool.Name, Weights: w, WeightMB: pool.WeightMB,
		Epoch: epoch, State: StateLoading, Reason: "loading", Members: make([]Member, len(vms))}
	for i, vm := range vms {
		p.setMember(&g, i, vm)
	}
	p.domain.Groups[g.ID] = g
	p.changed = true
}

// Orders returns, by VM, the assignments that engines must be ordered to take so that
// they match the written domain: those of loading groups, and nil (release) for VMs
// with an assignment that are in no group or in a suspended or retiring one. Engines
// that already match and VMs whose last probe failed get no order.
func Orders(d Domain, probes map[string]ProbeState) map[string]*engine.Assignment {
	out := map[string]*engine.Assignment{}
	for _, name := range d.VMNames() {
		probe := probes[name]
		if probe.AnsweredAt.IsZero() || probe.Failures > 0 {
			continue
		}
		g, used := d.GroupOf(name)
		switch {
		case used && g.State == StateLoading:
			rank := slices.IndexFunc(g.Members, func(m Member) bool { return m.VM == name })
			if !hasAssignment(probe.Status.Assignment, g, rank) {
				out[name] = g.Assignment(rank)
			}
		case (!used || g.State == StateRetiring || g.State == StateSuspended) && probe.Status.Assignment != nil:
			out[name] = nil
		}
	}
	return out
}

// hasAssignment reports whether a is the assignment of the group's rank.
func hasAssignment(a *engine.Assignment, g Group, rank int) bool {
	return a != nil && a.Group == g.ID && a.Epoch == g.Epoch && a.Rank == rank && a.Weights == g.Weights &&
		slices.Equal(a.Members, g.Assignment(rank).Members)
}

// Allocate distributes the replicas of each pool over the domains in the pool's places
// and returns the wanted number of groups by domain and pool. Existing groups stay where
// they are; each missing group goes to the domain with the most unused VMs. A stuck
// group counts only if no domain has the capacity to replace it.
func Allocate(pools []catalog.Pool, domains []Domain) map[string]map[string]int {
	want := map[string]map[string]int{}
	unused := map[string]int{}
	for _, d := range domains {
		want[d.Name] = map[string]int{}
		unused[d.Name] = unusedVMs(d)
	}
	for _, pool := range pools {
		missing := countExisting(pool, domains, want, pool.Replicas, false)
		for ; missing > 0; missing-- {
			best := domainWithMostUnused(pool, domains, unused)
			if best == "" {
				break
			}
			want[best][pool.Name]++
			unused[best] -= pool.VMs
		}
		countExisting(pool, domains, want, missing, true)
	}
	return want
}

// countExisting adds a pool's existing groups to want, at most as many as are missing
// and serving groups first: only stuck groups if stuck is set, otherwise only the
// others. It returns the number of groups that are still missing.
func countExisting(pool catalog.Pool, domains []Domain, want map[string]map[string]int, missing int, stuck bool) int {
	for _, s := range []State{StateServing, StateLoading, StateSuspended, StateDraining} {
		for _, d := range domains {
			if !slices.Contains(pool.Places, d.Place) {
				continue
			}
			for _, g := range d.Groups {
				if missing > 0 && g.Pool == pool.Name && g.State == s && g.Stuck == stuck {
					want[d.Name][pool.Name]++
					missing--
				}
			}
		}
	}
	return missing
}

// domainWithMostUnused returns the domain in the pool's places with the most unused
// VMs, "" if none has enough for a group.
func domainWithMostUnused(pool catalog.Pool, domains []Domain, unused map[string]int) string {
	best := ""
	for _, d := range domains {
		if slices.Contains(pool.Places, d.Place) && unused[d.Name] >= pool.VMs && (best == "" || unused[d.Name] > unused[best]) {
			best = d.Name
		}
	}
	return best
}

// unusedVMs counts the VMs in no group that may get new work.
func unusedVMs(d Domain) int {
	n := 0
	for name, record := range d.VMs {
		if _, used := d.GroupOf(name); !used && !record.departing() {
			n++
		}
	}
	return n
}
