package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// prestage orders loads of other models to the hosts of serving groups before the first request, when
// loads are fast and exempt from the ceiling. The members of a group need their own model on the host
// no more: it is loaded, and after a failure they join the next group without it. A move of their
// domain to the other model then takes no load, but seconds.
//
// It begins once all groups serve and all spares hold a model. At most as many loads are in flight as
// run at full speed, because those that are left when the traffic starts slow down others.
func (p *Planner) prestage(state *planState, inFlight int, now time.Time) (out []Order) {
	if !p.Prestages || !p.BeforeFirstRequest || len(p.forming) > 0 || len(state.engine.Models) < 2 || now.Sub(p.started) < spareDelay {
		return nil
	}
	for _, in := range p.prestageable(state) {
		if inFlight >= max(state.engine.ConcurrentLoads, 1) {
			return out
		}
		m := otherModel(state.engine, groupModel(in))
		inFlight++
		out = append(out, p.stageOrder(in, m, "its domain may move to the model", now))
	}
	return out
}

// prestageable returns the members of serving groups whose hosts hold no other model yet. Domains of
// each model take turns, so that the models' first domains are complete early.
func (p *Planner) prestageable(state *planState) []*fleet.Instance {
	type candidate struct {
		in    *fleet.Instance
		turn  int // number of the domain among those of its model
		index int // of the model
	}
	var list []candidate
	turns := map[string]map[string]int{} // model, domain: turn
	for _, in := range p.instances(state.view) {
		model := groupModel(in)
		g := state.view.Groups[in.Group.Key()]
		index := slices.IndexFunc(state.engine.Models, func(m routes.Model) bool { return m.Name == model })
		if index < 0 || g == nil || !g.Serving() || in.Draining || p.staging[in.ID].model != "" || !in.HasStaged(model) {
			continue
		}
		if turns[model] == nil {
			turns[model] = map[string]int{}
		}
		turn, known := turns[model][in.Domain]
		if !known {
			turn = len(turns[model])
			turns[model][in.Domain] = turn
		}
		list = append(list, candidate{in, turn, index})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.index, b.index), cmp.Compare(a.in.Group.Name, b.in.Group.Name))
	})
	out := make([]*fleet.Instance, 0, len(list))
	for _, c := range list {
		out = append(out, c.in)
	}
	return out
}

// otherModel returns the model with the largest share of the work beside a given one.
func otherModel(engine *routes.Engine, model string) routes.Model {
	var best routes.Model
	for _, m := range engine.Models {
		if m.Name != model && (best.Name == "" || m.WorkShare > best.WorkShare) {
			best = m
		}
	}
	return best
}

// noteFirstRequest records whether no request is known to have arrived. Loads that began before the first
// one don't count against the ceiling.
func (p *Planner) noteFirstRequest(none bool, now time.Time) {
	before := p.BeforeFirstRequest
	p.BeforeFirstRequest = none && len(p.Demand) == 0
	if before && !p.BeforeFirstRequest {
		p.recentLoads = slices.DeleteFunc(p.recentLoads, func(at time.Time) bool { return now.Sub(at) > firstRequestDelay })
	}
}

// firstRequestDelay is how late the first request at any daemon is known to the planner: two reports of
// loads, and the planning interval.
const firstRequestDelay = time.Second
