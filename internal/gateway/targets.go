package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// targets lists where the request may go now. The list must not be changed.
func (x *exchange) targets() []dispatch.Target {
	x.view = x.gateway.View()
	return x.gateway.targets(x.view, x.service, x.req.Model)
}

// targets lists where requests of a service, and for a model of one that serves models, may go
// now. The list must not be changed.
func (g *Gateway) targets(v *fleet.View, service *routes.Service, model string) []dispatch.Target {
	list := g.listed(v, service, model)
	if list == nil {
		return nil
	}
	return g.open(list)
}

// listed is targets by the view alone, nil without one. The list is made once a view.
func (g *Gateway) listed(v *fleet.View, service *routes.Service, model string) *targetList {
	if v == nil {
		return nil
	}
	index := g.index.Load()
	if index == nil || index.view != v {
		index = &targetIndex{view: v, lists: map[targetsOf]*targetList{}}
		g.index.Store(index)
	}
	return index.list(service, model)
}

// targetIndex holds the targets of one view as requests ask for them: listed anew for each
// request, they would cost more than the request with thousands of instances.
type targetIndex struct {
	view  *fleet.View
	mu    sync.Mutex
	lists map[targetsOf]*targetList
}

// targetsOf is what targets are listed for.
type targetsOf struct {
	service *routes.Service
	model   string
}

// list returns the targets of a service and model.
func (i *targetIndex) list(service *routes.Service, model string) *targetList {
	if service.Engine == nil {
		model = ""
	} else if _, known := service.Engine.Model(model); !known {
		return &targetList{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	of := targetsOf{service, model}
	list := i.lists[of]
	if list == nil {
		list = listTargets(i.view, service, model)
		i.lists[of] = list
	}
	return list
}

// targetList is the targets of a service and model in one view.
type targetList struct {
	targets []dispatch.Target
	// until is when targets end whose entries have lapsed, by instance; nil: there are none.
	until map[string]time.Time
	// unknown is one more than the gate's version at which nothing was known of any target;
	// 0: something was, or nobody looked.
	unknown atomic.Uint64
}

// lives yields the lives of the targets.
func (l *targetList) lives(yield func(backpressure.Life) bool) {
	for i := range l.targets {
		if !yield(lifeOf(&l.targets[i])) {
			return
		}
	}
}

// at returns the targets that may be sent requests at a time. A view may be older than that: the
// loop that makes the next one is late on a busy machine, and stands still on a suspended one.
func (l *targetList) at(now time.Time) []dispatch.Target {
	past := func(t dispatch.Target) bool {
		until, ends := l.until[t.Instance]
		return ends && !now.Before(until)
	}
	if len(l.until) == 0 || !slices.ContainsFunc(l.targets, past) {
		return l.targets
	}
	return slices.DeleteFunc(slices.Clone(l.targets), past)
}

// listTargets lists the instances of a plain service, or the groups that serve a
// model.
func listTargets(v *fleet.View, service *routes.Service, model string) *targetList {
	if service.Engine == nil {
		return &targetList{targets: plainTargets(v, service.Name)}
	}
	out := &targetList{}
	m, _ := service.Engine.Model(model)
	quiet := dispatch.QuietFor(service.Engine, m)
	for _, g := range v.Groups {
		if g.Service != service.Name || g.Model != model || !g.Serving() {
			continue
		}
		out.targets = append(out.targets, dispatch.Target{Instance: g.Head.ID, Born: g.Head.Born, Address: g.Head.Address, Zone: g.Zone, Group: g.Key, Quiet: quiet})
		if until, leads := v.LeadsUntil(g.Head); leads {
			if out.until == nil {
				out.until = map[string]time.Time{}
			}
			out.until[g.Head.ID] = until
		}
	}
	return out
}

func plainTargets(v *fleet.View, service string) []dispatch.Target {
	var out []dispatch.Target
	for _, in := range v.Services[service] {
		if !in.Draining {
			out = append(out, dispatch.Target{Instance: in.ID, Born: in.Born, Address: in.Address, Zone: in.Zone})
		}
	}
	return out
}
