package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// option is a group that could be formed now.
type option struct {
	domain  *freeDomain
	model   routes.Model
	members []*fleet.Instance
	loads   int     // members that would load from the weight store
	lack    float64 // part of the model's target that is missing
	same    int     // groups of the model in the domain
	free    int     // free instances of the domain
}

// form plans new groups from free instances until none fits, then loads models
// to the hosts of those that stay free. It hands each order to yield and stops when that
// returns false.
func (p *Planner) form(v *fleet.View, engine *routes.Engine, busy map[string]bool, now time.Time, yield func(...Order) bool) {
	loading := p.loading(v, now)
	c := p.census(v, engine, busy, now)
	models, cold := p.assign(c), p.Idle && p.cold(v)
	for {
		best := c.best(models, cold)
		if best == nil {
			break
		}
		if !p.mayLoad(engine, cold, loading, best.loads, now) {
			return
		}
		loading += best.loads
		p.began(best.loads, now)
		f := p.begin(best, now)
		c.begun(f, best)
		for _, in := range best.members {
			busy[in.ID] = true
			if !yield(p.send(now, p.join(f, in, "new group"))...) {
				return
			}
		}
	}
	if yield(p.warm(models, c.domains, busy, now)...) {
		yield(p.stage(c, models, cold, loading, now)...)
	}
}

// begin records a new group.
func (p *Planner) begin(o *option, now time.Time) *forming {
	epoch := p.nextEpoch()
	f := &forming{key: fleet.Key{Name: name(o.model.Name, epoch), Epoch: epoch}, model: o.model, since: now, loads: o.loads}
	for _, in := range o.members {
		f.members, f.born = append(f.members, in.ID), append(f.born, in.Born)
	}
	p.forming[f.key] = f
	return f
}

// free lists the instances that may join a group, by domain.
func (p *Planner) free(v *fleet.View, busy map[string]bool, now time.Time) map[string][]*fleet.Instance {
	out := map[string][]*fleet.Instance{}
	for _, in := range v.Services[p.Service] {
		if !busy[in.ID] && !in.Draining && in.Domain != "" && (in.Group.Name == "" || p.hasLeft(in)) && !p.mayReturn(in.ID, now) {
			out[in.Domain] = append(out[in.Domain], in)
		}
	}
	return out
}

// loading counts the loads from the weight store under way.
func (p *Planner) loading(v *fleet.View, now time.Time) int {
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
		if in == nil || in.HasStaged(s.model) || now.Sub(s.since) > s.patience {
			delete(p.staging, id)
			continue
		}
		n++
	}
	return n
}

// Loads that may be under way at a time, in multiples of LoadsAtOnce. Beyond one,
// loads slow one another, and the weight store stays busy while views lag.
const (
	coldLoads = 3 // before requests come: only the last one's end counts
	warmLoads = 2 // later: the first ones' ends count too
	// loadPart of the allowed loads in a window is used: what one planner began in a
	// window and what its successors earned in the same one stay within the ceiling.
	loadPart = 0.45
)

// mayLoad tells whether n more loads may begin.
func (p *Planner) mayLoad(engine *routes.Engine, cold bool, loading, n int, now time.Time) bool {
	if n == 0 {
		return true
	}
	atOnce := max(engine.LoadsAtOnce, 1)
	if cold {
		return loading < coldLoads*atOnce
	}
	return loading < warmLoads*atOnce && p.begun(now)+n <= p.ceiling(engine, now)
}

// ceiling is how many loads this planner may have begun within the last window. In its
// first one it earns them with time, as it does not know what the ones before it began:
// with a whole window for each, three takeovers in 5 s made 33 loads of 30 allowed.
func (p *Planner) ceiling(engine *routes.Engine, now time.Time) int {
	if engine.LoadsPerSecond <= 0 || p.Window <= 0 {
		return unlimited
	}
	earned := min(now.Sub(p.started), p.Window)
	return max(int(loadPart*engine.LoadsPerSecond*earned.Seconds()), 1)
}

// unlimited stands in for a ceiling that the deployment doesn't set.
const unlimited = 1 << 30

// begun counts the loads that this planner began within the last window.
func (p *Planner) begun(now time.Time) int {
	p.loads = slices.DeleteFunc(p.loads, func(at time.Time) bool { return now.Sub(at) > p.Window })
	return len(p.loads)
}

// began notes loads that begin now.
func (p *Planner) began(n int, now time.Time) {
	p.loadsBegun += n
	for range n {
		p.loads = append(p.loads, now)
	}
}

// cold tells whether most instances hold no model yet: then groups load as they
// join, which saves the warm start. Later loads are scarce, and each is made
// where it helps most.
func (p *Planner) cold(v *fleet.View) bool {
	warm := 0
	for _, in := range v.Services[p.Service] {
		if len(in.Staged) > 0 || len(in.Models) > 0 {
			warm++
		}
	}
	return float64(warm) < coldShare*float64(len(v.Services[p.Service]))
}

// coldShare is the part of the instances that hold a model below which a service
// counts as cold.
const coldShare = 0.75

func better(a, b *option) bool {
	return cmp.Or(
		cmp.Compare(boolToInt(b.loads == 0), boolToInt(a.loads == 0)),
		cmp.Compare(b.lack, a.lack),
		cmp.Compare(b.model.Size, a.model.Size),
		cmp.Compare(a.same, b.same),
		cmp.Compare(b.free, a.free),
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

// choose picks the members of a group of the model among free instances of one
// domain: those loaded with it first, then those whose host has it, of these those
// that were in a group of it.
func choose(m routes.Model, free []*fleet.Instance, warmed map[string]string) *option {
	if len(free) < m.Size {
		return nil
	}
	list := slices.Clone(free)
	slices.SortStableFunc(list, func(a, b *fleet.Instance) int {
		return cmp.Or(cmp.Compare(joinCost(a, m.Name), joinCost(b, m.Name)),
			cmp.Compare(boolToInt(warmed[a.ID] != m.Name), boolToInt(warmed[b.ID] != m.Name)))
	})
	o := &option{model: m, members: list[:m.Size]}
	for _, in := range o.members {
		if joinCost(in, m.Name) > costStaged {
			o.loads++
		}
	}
	return o
}

// Ranks of how long an instance takes to join a group of a model.
const (
	costLoaded = iota // its last group was of the model
	costStaged        // the model is on its host
	costEmpty         // nothing is staged: a load loses nothing
	costOther         // a load drops another staged model
)

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
