package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// staging is a load to a host that this planner has ordered.
type staging struct {
	model    string
	since    time.Time
	patience time.Duration
}

// settle is how long after its start a planner loads no spares and switches no groups:
// not all entries may have come yet, and groups need the weight store first.
const settle = 2 * time.Second

// stage loads models to hosts, alongside whatever their instances do: first to free
// instances, where a load completes a group soonest, then, while the weight store has
// nothing else to do, a second model to each instance that runs one. Such an instance
// takes its host's model over in a second or two.
func (p *Planner) stage(v *fleet.View, engine *routes.Engine, free map[string][]*fleet.Instance, cold bool, loading int, now time.Time) []Order {
	if now.Sub(p.started) < settle {
		return nil
	}
	early := p.Idle && p.sawCold && len(p.forming) == 0
	demands := p.demands(v, engine)
	var out []Order
	for {
		c := p.mostUseful(v, engine, free, demands)
		if c == nil {
			break
		}
		if !early && !p.mayLoad(engine, cold, loading, 1, now) {
			return out
		}
		loading++
		out = append(out, p.load(c, "a free instance could complete a group", now))
	}
	for _, c := range p.second(v, engine) {
		if !early && !p.mayLoad(engine, cold, loading, 1, now) {
			return out
		}
		loading++
		out = append(out, p.load(&c, "its host can hold a second model ready", now))
	}
	return out
}

// load returns the order that loads a model to a host.
func (p *Planner) load(c *candidate, reason string, now time.Time) Order {
	p.began(1, now)
	p.staging[c.in.ID] = staging{model: c.model.Name, since: now, patience: 2*c.model.Load + formPatience}
	return Order{Op: OpStage, Instance: c.in.ID, Address: c.in.Address, Model: c.model.Name, Reason: reason}
}

// mostUseful returns the load to a free instance that brings most: the gain by a
// further group of its domain, shared among the loads that the group still lacks, for
// the time that they take. One group of the domain is taken to lose a member next, so
// that the first spare of a domain fits its groups. nil: there is none to make.
func (p *Planner) mostUseful(v *fleet.View, engine *routes.Engine, free map[string][]*fleet.Instance, demands map[string]demand) *candidate {
	var best *candidate
	most := 0.0
	for _, domain := range sortedDomains(free) {
		for _, m := range engine.Models {
			at := 0 // instances that are or will be capable
			if p.groupsIn(v, domain, m.Name) > 0 {
				at = m.Size - 1
			}
			for _, in := range free[domain] {
				if p.capable(in, m.Name) || p.staging[in.ID].model == m.Name {
					at++
				}
			}
			worth := demands[m.Name].gain(1) / float64(m.Size-at%m.Size) / max(m.Load.Seconds(), 1)
			if best != nil && worth <= most {
				continue
			}
			for _, in := range free[domain] {
				if p.mayHold(in, m.Name) {
					best, most = &candidate{in, m}, worth
					break
				}
			}
		}
	}
	return best
}

// mayHold tells whether a model may be loaded to an instance's host: the instance is
// not capable of it, and the load takes nothing away that only the host holds.
func (p *Planner) mayHold(in *fleet.Instance, model string) bool {
	if p.staging[in.ID].model != "" || p.capable(in, model) {
		return false
	}
	last := p.lastModel(in)
	return !slices.ContainsFunc(in.Staged, func(held string) bool { return held != last })
}

// smallerPart of a domain's instances that run a model may hold a smaller one ready. The
// others hold their own: a domain that went dark comes back with what its hosts hold.
const smallerPart = 0.5

// running counts the instances of each domain by the model that they run or ran last.
func (p *Planner) running(v *fleet.View) map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, in := range v.Services[p.Service] {
		if out[in.Domain] == nil {
			out[in.Domain] = map[string]int{}
		}
		out[in.Domain][p.lastModel(in)]++
	}
	return out
}

func sizeOf(engine *routes.Engine, model string) int {
	m, _ := engine.Model(model)
	return m.Size
}

// candidate is a model that could be loaded to an instance's host.
type candidate struct {
	in    *fleet.Instance
	model routes.Model
}

// second lists the instances that could hold another model ready beside the one that
// they run or ran last: the larger model first, as its groups are the hardest to
// complete.
func (p *Planner) second(v *fleet.View, engine *routes.Engine) []candidate {
	var out []candidate
	running, smaller := p.running(v), map[string]int{}
	for _, in := range v.Services[p.Service] {
		last := p.lastModel(in)
		if in.Draining || in.Domain == "" || last == "" || p.staging[in.ID].model != "" || in.Group.State == fleet.Joining {
			continue
		}
		if slices.ContainsFunc(in.Staged, func(model string) bool { return model != last }) {
			if sizeOf(engine, in.Staged[0]) < sizeOf(engine, last) {
				smaller[in.Domain]++
			}
			continue // it holds another one already
		}
		var best *routes.Model
		for i := range engine.Models {
			if m := &engine.Models[i]; m.Name != last && (best == nil || m.Size > best.Size) {
				best = m
			}
		}
		if best == nil {
			continue
		}
		if best.Size < sizeOf(engine, last) {
			if smaller[in.Domain]++; float64(smaller[in.Domain]) > smallerPart*float64(running[in.Domain][last]) {
				continue
			}
		}
		out = append(out, candidate{in, *best})
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.model.Size, a.model.Size), cmp.Compare(a.in.Domain, b.in.Domain))
	})
	return out
}
