package formation

import (
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// Loads that may be under way at a time, in multiples of LoadsAtOnce. Beyond one,
// loads slow one another.
const (
	coldLoads = 3 // before requests come: only the last one's end counts
	warmLoads = 1 // later: the first ones' ends count, as each may complete a group
	// loadPart of the allowed loads in a window is used, so that two planners, one
	// after the other, stay within it.
	loadPart = 0.45
)

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

// mayLoad tells whether n more loads may begin.
func (p *Planner) mayLoad(engine *routes.Engine, cold bool, loading, n int, now time.Time) bool {
	if n == 0 {
		return true
	}
	atOnce := max(engine.LoadsAtOnce, 1)
	if cold {
		return loading < coldLoads*atOnce
	}
	return loading < warmLoads*atOnce && p.begun(now)+n <= p.ceiling(engine)
}

// ceiling is how many loads this planner may begin within a window.
func (p *Planner) ceiling(engine *routes.Engine) int {
	if engine.LoadsPerSecond <= 0 || p.Window <= 0 {
		return unlimited
	}
	return max(int(loadPart*engine.LoadsPerSecond*p.Window.Seconds()), 1)
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
