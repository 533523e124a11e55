package gateway

import (
	"time"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// targets lists where the request may go now.
func (x *exchange) targets() []dispatch.Target {
	x.view = x.gateway.View()
	return listTargets(x.view, x.service, x.req.Model, x.gateway.Clock.Now())
}

// listTargets lists the instances of a plain service, or the groups that serve a
// model.
func listTargets(v *fleet.View, service *routes.Service, model string, now time.Time) []dispatch.Target {
	if v == nil {
		return nil
	}
	if service.Engine == nil {
		return plainTargets(v, service.Name)
	}
	var out []dispatch.Target
	m, _ := service.Engine.Model(model)
	quiet := dispatch.QuietFor(service.Engine, m)
	for _, g := range v.Groups {
		if g.Service == service.Name && g.Model == model && g.Serving() && !v.PastLead(g.Head, now) {
			out = append(out, dispatch.Target{Instance: g.Head.ID, Born: g.Head.Born, Address: g.Head.Address, Zone: g.Zone, Group: g.Key, Quiet: quiet})
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
