package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/evacuation"
	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// targets returns the targets that the request may be sent to now. The result must not be
// modified.
func (x *exchange) targets() []dispatch.Target {
	x.view = x.gateway.View()
	return x.gateway.targets(x.view, x.service, x.req.Model)
}

// targets returns the targets to which requests for a service may be sent now; model selects
// among the groups of an engine service. The result must not be modified.
func (g *Gateway) targets(v *fleet.View, service *routes.Service, model string) []dispatch.Target {
	list := g.targetList(v, service, model)
	if list == nil {
		return nil
	}
	return g.withoutColdBlocked(g.sendableTargets(list), service)
}

// targetList returns the targets that the view contains, without regard to the signals that
// their instances announced, or nil if there is no view. The list is built once per view and set of
// evacuated zones.
func (g *Gateway) targetList(v *fleet.View, service *routes.Service, model string) *targetList {
	if v == nil {
		return nil
	}
	index, evacuated := g.currentTargets.Load(), g.evacuatedZones()
	if index == nil || index.view != v || index.evacuated != evacuated {
		index = &targetIndex{view: v, evacuated: evacuated, lists: map[targetKey]*targetList{}}
		g.currentTargets.Store(index)
	}
	return index.list(service, model)
}

// targetIndex caches the target lists of one view and set of evacuated zones. With thousands of
// instances, building a list would cost more than the rest of a request.
type targetIndex struct {
	view      *fleet.View
	evacuated *evacuation.Zones
	mu        sync.Mutex
	lists     map[targetKey]*targetList
}

// targetKey identifies a target list.
type targetKey struct {
	service *routes.Service
	model   string
}

// list returns the target list of a service and model.
func (i *targetIndex) list(service *routes.Service, model string) *targetList {
	if service.Engine == nil {
		model = ""
	} else if _, known := service.Engine.Model(model); !known {
		return &targetList{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	key := targetKey{service, model}
	list := i.lists[key]
	if list == nil {
		list = listTargets(i.view, service, model)
		list.leaveOut(i.evacuated)
		i.lists[key] = list
	}
	return list
}

// targetList holds the targets of a service and model in one view.
type targetList struct {
	targets []dispatch.Target
	// graceEnd is when the grace period ends in which a group's head may still be sent requests
	// although its entry has lapsed, by instance. nil if there is no such head.
	graceEnd map[string]time.Time
	// noSignalsVersion is 1 plus the gate's version at which no signal of any target was known,
	// so that the targets need not be checked again at that version. 0 if there has been no
	// such version.
	noSignalsVersion atomic.Uint64
	evacuated        bool // targets in evacuated zones were left out
}

// incarnations yields the incarnation of each target.
func (l *targetList) incarnations(yield func(backpressure.Incarnation) bool) {
	for i := range l.targets {
		if !yield(incarnationOf(&l.targets[i])) {
			return
		}
	}
}

// validAt returns the targets that may be sent requests at the given time: all but the heads
// whose grace period has ended since the view was built. A view can be that old because the loop
// that builds the next one is late on a busy machine and does not run on a suspended one.
func (l *targetList) validAt(now time.Time) []dispatch.Target {
	expired := func(t dispatch.Target) bool {
		graceEnd, hasGrace := l.graceEnd[t.Instance]
		return hasGrace && !now.Before(graceEnd)
	}
	if len(l.graceEnd) == 0 || !slices.ContainsFunc(l.targets, expired) {
		return l.targets
	}
	return slices.DeleteFunc(slices.Clone(l.targets), expired)
}

// listTargets returns the instances of a plain service, or the heads of the groups that serve
// a model.
func listTargets(v *fleet.View, service *routes.Service, model string) *targetList {
	if service.Engine == nil {
		return &targetList{targets: plainTargets(v, service.Name)}
	}
	out := &targetList{}
	m, _ := service.Engine.Model(model)
	stallTimeout := dispatch.StallTimeoutFor(service.Engine, m)
	for _, g := range v.Groups {
		if g.Service != service.Name || g.Model != model || !g.Serving() {
			continue
		}
		out.targets = append(out.targets, dispatch.Target{Instance: g.Head.ID, StartedAt: g.Head.StartedAt, Address: g.Head.Address, Zone: g.Zone, Group: g.Key, StallTimeout: stallTimeout})
		if graceEnd, lapsed := v.HeadGraceEnd(g.Head); lapsed {
			if out.graceEnd == nil {
				out.graceEnd = map[string]time.Time{}
			}
			out.graceEnd[g.Head.ID] = graceEnd
		}
	}
	return out
}

// plainTargets returns the instances of a plain service that are not draining.
func plainTargets(v *fleet.View, service string) []dispatch.Target {
	var out []dispatch.Target
	for _, in := range v.Services[service] {
		if !in.Draining {
			out = append(out, dispatch.Target{Instance: in.ID, StartedAt: in.StartedAt, Address: in.Address, Zone: in.Zone})
		}
	}
	return out
}
