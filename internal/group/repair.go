package group

import (
	"cmp"
	"fmt"
	"slices"

	"pearlanding/internal/catalog"
	"pearlanding/internal/engine"
)

// repair gives suspended groups a new epoch in which the lost or leaving members
// are replaced and the loaded ones stay, once all that stay have come to rest.
// What returns most to service per replaced member comes first.
func (p *planner) repair() {
	var broken []Group
	for _, id := range p.d.GroupIDs() {
		g := p.d.Groups[id]
		if g.State == StateSuspended && p.elapsed(g, p.policy.settle()) && p.membersRested(g) {
			broken = append(broken, g)
		}
	}
	slices.SortStableFunc(broken, func(a, b Group) int {
		return cmp.Or(cmp.Compare(p.priority(b), p.priority(a)), cmp.Compare(len(p.lostOf(a)), len(p.lostOf(b))))
	})
	for _, g := range broken {
		p.repairOne(g, broken)
	}
}

// membersRested tells whether every member that can stay is at rest.
func (p *planner) membersRested(g Group) bool {
	for _, m := range g.Members {
		if p.keepable(m) && !p.rested(m.VM) {
			return false
		}
	}
	return true
}

func (p *planner) repairOne(g Group, broken []Group) {
	if current, exists := p.d.Groups[g.ID]; !exists || current.Epoch != g.Epoch || current.State != g.State {
		return // given up for another group in this pass
	}
	if p.policy.Rebuild || p.surplus(g.Pool) > 0 {
		p.fire(g, TriggerRetire, g.Reason)
		return
	}
	lost, free := p.lostOf(g), p.free(g.Weights)
	if len(free) < len(lost) {
		p.withoutSpares(g, lost, broken)
		return
	}
	for i, rank := range lost {
		p.seat(&g, rank, free[i])
	}
	p.newEpoch(g)
}

// withoutSpares decides about a broken group that can't be completed. Keeping it
// together brings it back soonest once a VM returns; giving it up lets its
// healthy members complete another broken group or form a smaller one. The
// weights of the two measures decide between waiting and giving up; of several
// broken groups, the one that misses most is given up so that others of no lower
// priority are completed.
func (p *planner) withoutSpares(g Group, lost []int, broken []Group) {
	for _, other := range broken {
		waits := other.ID != g.ID && p.d.Groups[other.ID].State == other.State
		if waits && len(p.lostOf(other)) < len(lost) && p.priority(other) >= p.priority(g) {
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
		p.d.Groups[g.ID] = g
		p.changed = true
	}
}

// usableElsewhere tells whether the healthy members of a group, with what is
// free, could form a group of another pool that misses one.
func (p *planner) usableElsewhere(g Group, healthy int) bool {
	for _, pool := range p.in.Pools {
		if pool.Name != g.Pool && p.missing(pool.Name) > 0 && healthy+len(p.free(engine.Weights{})) >= pool.VMs {
			return true
		}
	}
	return false
}

// lostOf lists the ranks whose members can't stay.
func (p *planner) lostOf(g Group) []int {
	var out []int
	for rank, m := range g.Members {
		if !p.keepable(m) {
			out = append(out, rank)
		}
	}
	return out
}

func (p *planner) seat(g *Group, rank int, vm string) {
	g.Members[rank] = Member{VM: vm, Address: p.d.VMs[vm].Address}
}

// newEpoch puts a group with its members as they now are back to loading.
func (p *planner) newEpoch(g Group) {
	for rank := range g.Members {
		g.Members[rank].BootID = ""
	}
	g.Epoch = p.d.nextEpoch()
	g.Stuck = false
	p.fire(g, TriggerReplace, "loading")
}

func (p *planner) priority(g Group) int {
	for _, pool := range p.in.Pools {
		if pool.Name == g.Pool {
			return pool.Priority
		}
	}
	return -1
}

// count is how many groups of a pool the domain holds that are not given up.
func (p *planner) count(pool string) int {
	n := 0
	for _, g := range p.d.Groups {
		if g.Pool == pool && g.State != StateRetiring {
			n++
		}
	}
	return n
}

func (p *planner) surplus(pool string) int { return p.count(pool) - p.in.Want[pool] }
func (p *planner) missing(pool string) int { return p.in.Want[pool] - p.count(pool) }

// retireSurplus gives up groups that are no longer wanted: broken ones first,
// then loading ones, then serving ones by way of draining.
func (p *planner) retireSurplus() {
	pools := map[string]bool{}
	for _, g := range p.d.Groups {
		pools[g.Pool] = true
	}
	for pool := range pools {
		ids := p.d.GroupIDs()
		slices.SortStableFunc(ids, func(a, b string) int {
			return cmp.Compare(worth(p.d.Groups[a].State), worth(p.d.Groups[b].State))
		})
		over := p.surplus(pool)
		for _, id := range ids {
			if g := p.d.Groups[id]; over > 0 && g.Pool == pool && g.State != StateRetiring {
				p.giveUp(g)
				over--
			}
		}
	}
}

func (p *planner) giveUp(g Group) {
	switch g.State {
	case StateServing:
		p.fire(g, TriggerDrain, "no longer wanted")
	case StateDraining:
		if p.quiet(g) {
			p.fire(g, TriggerRetire, "no longer wanted")
		}
	default:
		p.fire(g, TriggerRetire, "no longer wanted")
	}
}

// worth orders states by what is lost when the group is given up. A group that
// drains already is given up before one that serves.
func worth(s State) int {
	return slices.Index([]State{StateSuspended, StateDraining, StateLoading, StateServing}, s)
}

// form reserves free VMs for pools that miss groups, keeping the spares back.
func (p *planner) form() {
	for _, pool := range p.in.Pools {
		w := engine.Weights{Model: pool.Model, Version: pool.Version}
		for p.missing(pool.Name) > 0 {
			free := p.free(w)
			if len(free) < pool.VMs+p.policy.Spares {
				break
			}
			p.reserve(pool, w, free[:pool.VMs])
		}
	}
}

func (p *planner) reserve(pool catalog.Pool, w engine.Weights, vms []string) {
	epoch := p.d.nextEpoch()
	g := Group{ID: fmt.Sprintf("%s.%d", p.d.Name, epoch), Pool: pool.Name, Weights: w, WeightMB: pool.WeightMB,
		Epoch: epoch, State: StateLoading, Reason: "loading", Members: make([]Member, len(vms))}
	for i, vm := range vms {
		p.seat(&g, i, vm)
	}
	p.d.Groups[g.ID] = g
	p.changed = true
}

// Orders lists what the engines must be told so that the domain as written comes
// true: assignments of loading groups, and releases of VMs that hold one they
// should not: those in no group, and members of groups whose epoch is over. An engine that already stands so gets no order.
func Orders(d Domain, probes map[string]Probe) map[string]*engine.Assignment {
	out := map[string]*engine.Assignment{}
	for _, name := range d.VMNames() {
		probe := probes[name]
		if probe.At.IsZero() || probe.Failures > 0 {
			continue
		}
		g, used := d.GroupOf(name)
		switch {
		case used && g.State == StateLoading:
			rank := slices.IndexFunc(g.Members, func(m Member) bool { return m.VM == name })
			if !assigned(probe.Status.Assignment, g, rank) {
				out[name] = g.Assignment(rank)
			}
		case (!used || g.State == StateRetiring || g.State == StateSuspended) && probe.Status.Assignment != nil:
			out[name] = nil
		}
	}
	return out
}

// assigned tells whether the engine has taken the rank's assignment.
func assigned(a *engine.Assignment, g Group, rank int) bool {
	return a != nil && a.Group == g.ID && a.Epoch == g.Epoch && a.Rank == rank && a.Weights == g.Weights &&
		slices.Equal(a.Members, g.Assignment(rank).Members)
}

// Allocate spreads the replicas that pools still miss over the domains of their
// places and returns, for each domain, how many groups of each pool it should
// hold. Groups that exist stay where they are; each missing one goes to the
// domain with the most VMs that are in no group. A stuck group counts only when
// no domain has room for its successor.
func Allocate(pools []catalog.Pool, domains []Domain) map[string]map[string]int {
	want := map[string]map[string]int{}
	spare := map[string]int{}
	for _, d := range domains {
		want[d.Name] = map[string]int{}
		spare[d.Name] = unusedVMs(d)
	}
	for _, pool := range pools {
		left := keepExisting(pool, domains, want, pool.Replicas, false)
		for ; left > 0; left-- {
			best := roomiest(pool, domains, spare)
			if best == "" {
				break
			}
			want[best][pool.Name]++
			spare[best] -= pool.VMs
		}
		keepExisting(pool, domains, want, left, true)
	}
	return want
}

// keepExisting counts up to left groups that are there, stuck ones or the
// others, best states first, and returns how many are still missing.
func keepExisting(pool catalog.Pool, domains []Domain, want map[string]map[string]int, left int, stuck bool) int {
	for _, s := range []State{StateServing, StateLoading, StateSuspended, StateDraining} {
		for _, d := range domains {
			if !slices.Contains(pool.Places, d.Place) {
				continue
			}
			for _, g := range d.Groups {
				if left > 0 && g.Pool == pool.Name && g.State == s && g.Stuck == stuck {
					want[d.Name][pool.Name]++
					left--
				}
			}
		}
	}
	return left
}

func roomiest(pool catalog.Pool, domains []Domain, spare map[string]int) string {
	best := ""
	for _, d := range domains {
		if slices.Contains(pool.Places, d.Place) && spare[d.Name] >= pool.VMs && (best == "" || spare[d.Name] > spare[best]) {
			best = d.Name
		}
	}
	return best
}

func unusedVMs(d Domain) int {
	n := 0
	for name, record := range d.VMs {
		if _, used := d.GroupOf(name); !used && !record.departing() {
			n++
		}
	}
	return n
}
