package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// candidate is a group that could be formed now.
type candidate struct {
	domain         *freeDomain
	model          routes.Model
	members        []*fleet.Instance
	loads          int     // number of members that would load the model from the weight store
	deficitRatio   float64 // missing fraction of the model's target
	groupsInDomain int     // number of the model's groups in the domain
	freeInDomain   int     // number of free instances in the domain
}

// formGroups forms groups of free instances until no candidate is left, then warms the remaining
// instances and loads models to their hosts. It plans nothing more once the loads of the next
// group would exceed a limit. It passes each order to yield and stops when yield returns false.
func (p *Planner) formGroups(v *fleet.View, engine *routes.Engine, busy map[string]bool, now time.Time, yield func(...Order) bool) {
	inFlight := p.loadsInFlight(v, now)
	state := p.newPlanState(v, engine, busy, now)
	models, cold := p.assign(state, now), p.BeforeFirstRequest && p.cold(v)
	if !yield(p.retireGroups(state, now)...) {
		return
	}
	for {
		best := state.bestCandidate(models, cold)
		if best == nil {
			break
		}
		if !p.mayLoad(engine, cold, inFlight, best.loads, now) {
			return
		}
		inFlight += best.loads
		p.recordLoads(best.loads, now)
		f := p.startGroup(best, now)
		state.groupStarted(f, best)
		for _, in := range best.members {
			busy[in.ID] = true
			if !yield(p.unlessSentRecently(now, p.joinOrder(f, in, "new group"))...) {
				return
			}
		}
	}
	if yield(p.warmSpares(models, state.domains, busy, now)...) {
		staged := p.stageSpares(state, models, cold, inFlight, now)
		if !yield(staged...) || !yield(p.stageMoves(state, cold, inFlight+len(staged), now)...) || len(staged) > 0 {
			return
		}
		yield(p.prestage(state, inFlight, now)...)
	}
}

// startGroup records a new forming group.
func (p *Planner) startGroup(c *candidate, now time.Time) *formingGroup {
	epoch := p.nextEpoch()
	f := &formingGroup{key: fleet.GroupKey{Name: groupName(c.model.Name, epoch), Epoch: epoch}, model: c.model, since: now, loads: c.loads}
	for _, in := range c.members {
		f.members, f.incarnations = append(f.members, in.ID), append(f.incarnations, in.StartedAt)
	}
	p.forming[f.key] = f
	return f
}

// freeByDomain returns the instances that may join a group, by domain.
func (p *Planner) freeByDomain(v *fleet.View, busy map[string]bool, now time.Time) map[string][]*fleet.Instance {
	out := map[string][]*fleet.Instance{}
	for _, in := range p.instances(v) {
		if !busy[in.ID] && !in.Draining && in.Domain != "" && !p.Evacuated[in.Zone] && (in.Group.Name == "" || p.hasLeft(in)) && !p.mayRejoin(in.ID, now) {
			out[in.Domain] = append(out[in.Domain], in)
		}
	}
	return out
}

// loadsInFlight counts the loads from the weight store that this planner has ordered and that have
// not ended. It drops staging loads that ended or timed out.
func (p *Planner) loadsInFlight(v *fleet.View, now time.Time) int {
	n := 0
	for _, f := range p.forming {
		for _, id := range f.members {
			if in := v.Instances[id]; f.loads > 0 && in != nil && !in.HasStaged(f.model.Name) {
				n++
			}
		}
	}
	for id, s := range p.staging {
		in := v.Instances[id]
		if in == nil || in.HasStaged(s.model) || now.Sub(s.since) > s.timeout {
			delete(p.staging, id)
			continue
		}
		n++
	}
	return n
}

// Limits on loads in flight, in multiples of the loads that the weight store serves at once. Above
// one, loads slow each other down, but the weight store stays busy while views lag.
const (
	coldLoadFactor = 3 // before the first request: only the end of the last load matters
	warmLoadFactor = 2 // later: the ends of the first loads matter too
	// loadCeilingShare is the fraction of the loads allowed in a window that one planner uses, so
	// that its loads and those that its successors accrue in the same window stay within the
	// ceiling.
	loadCeilingShare = 0.45
)

// mayLoad reports whether n more loads may start beside those in flight.
func (p *Planner) mayLoad(engine *routes.Engine, cold bool, inFlight, n int, now time.Time) bool {
	if n == 0 {
		return true
	}
	atOnce := max(engine.ConcurrentLoads, 1)
	if cold {
		return inFlight < coldLoadFactor*atOnce
	}
	return inFlight < warmLoadFactor*atOnce && p.loadsInWindow(now)+n <= p.loadCeiling(engine, now)
}

// loadCeiling returns how many loads this planner may start within a window. During its first
// window they accrue with time, as it does not know how many loads its predecessors started:
// with a full window for each planner, three takeovers in 5 s started 33 loads of 30 allowed.
func (p *Planner) loadCeiling(engine *routes.Engine, now time.Time) int {
	if engine.LoadsPerSecond <= 0 || p.LoadWindow <= 0 {
		return unlimited
	}
	elapsed := min(now.Sub(p.started), p.LoadWindow)
	return max(int(loadCeilingShare*engine.LoadsPerSecond*elapsed.Seconds()), 1)
}

// unlimited is the ceiling if the deployment sets none.
const unlimited = 1 << 30

// loadsInWindow counts the loads that this planner started within the last window.
func (p *Planner) loadsInWindow(now time.Time) int {
	p.recentLoads = slices.DeleteFunc(p.recentLoads, func(at time.Time) bool { return now.Sub(at) > p.LoadWindow })
	return len(p.recentLoads)
}

// recordLoads records n loads that start now.
func (p *Planner) recordLoads(n int, now time.Time) {
	p.loadsStarted += n
	for range n {
		p.recentLoads = append(p.recentLoads, now)
	}
}

// cold reports whether less than coldThreshold of the instances hold a model. Groups of a cold
// service load as they join, which saves the warm start. Later, loads are scarce and go where
// they help most.
func (p *Planner) cold(v *fleet.View) bool {
	withModel := 0
	for _, in := range p.instances(v) {
		if len(in.Staged) > 0 || len(in.Models) > 0 {
			withModel++
		}
	}
	return float64(withModel) < coldThreshold*float64(len(p.instances(v)))
}

// coldThreshold is the fraction of instances with a model below which a service counts as cold.
const coldThreshold = 0.75

// better reports whether a is to be formed before b.
func better(a, b *candidate) bool {
	return cmp.Or(
		cmp.Compare(boolToInt(b.loads == 0), boolToInt(a.loads == 0)),
		cmp.Compare(b.deficitRatio, a.deficitRatio),
		cmp.Compare(b.model.ReplicaSize, a.model.ReplicaSize),
		cmp.Compare(a.groupsInDomain, b.groupsInDomain),
		cmp.Compare(b.freeInDomain, a.freeInDomain),
	) < 0
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func sortedDomains(free map[string][]*fleet.Instance) []string {
	out := make([]string, 0, len(free))
	for d := range free {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// chooseMembers returns a candidate group of the model from the free instances of one domain, nil
// if there are too few. It prefers instances with the lowest join cost and, among equals, those
// whose last group was of the model.
func (p *Planner) chooseMembers(m routes.Model, free []*fleet.Instance) *candidate {
	cost := func(in *fleet.Instance) int {
		if p.Prestages && p.lastModel[in.ID] == m.Name {
			return costLoaded // its host may hold another model
		}
		return joinCost(in, m.Name)
	}
	if len(free) < m.ReplicaSize {
		return nil
	}
	list := slices.Clone(free)
	slices.SortStableFunc(list, func(a, b *fleet.Instance) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)),
			cmp.Compare(boolToInt(p.lastModel[a.ID] != m.Name), boolToInt(p.lastModel[b.ID] != m.Name)))
	})
	c := &candidate{model: m, members: list[:m.ReplicaSize]}
	for _, in := range c.members {
		if cost(in) > costStaged {
			c.loads++
		}
	}
	return c
}

// Costs of joining a group of a model: ranks of the time that it takes, fastest first.
const (
	costLoaded = iota // the model is loaded: the last group was of it
	costStaged        // the model is on its host
	costEmpty         // nothing is staged: a load replaces nothing
	costOther         // a load replaces another staged model
)

// joinCost returns the cost at which an instance joins a group of a model.
func joinCost(in *fleet.Instance, model string) int {
	switch {
	case slices.Contains(in.Models, model):
		return costLoaded
	case in.HasStaged(model):
		return costStaged
	case len(in.Staged) == 0:
		return costEmpty
	}
	return costOther
}
