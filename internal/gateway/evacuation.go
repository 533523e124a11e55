package gateway

import (
	"net/http"
	"slices"
	"time"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/evacuation"
)

// reasonZonesEvacuated is the reason of a refusal because all instances that could serve the request
// are in evacuated zones.
const reasonZonesEvacuated = "zones_evacuated"

// evacuatedRetryAfter is the retry delay of such a refusal. No other daemon serves the request either;
// an operator ends the evacuation, or groups form in another zone, which takes a second or more.
const evacuatedRetryAfter = time.Second

// evacuatedZones returns the zones whose instances get no new requests.
func (g *Gateway) evacuatedZones() *evacuation.Zones {
	if g.Evacuated == nil {
		return nil
	}
	return g.Evacuated()
}

// leaveOut removes the targets in evacuated zones.
func (l *targetList) leaveOut(evacuated *evacuation.Zones) {
	inEvacuated := func(t dispatch.Target) bool { return evacuated.Has(t.Zone) }
	if evacuated != nil && slices.ContainsFunc(l.targets, inEvacuated) {
		l.targets, l.evacuated = slices.DeleteFunc(l.targets, inEvacuated), true
	}
}

// allEvacuated reports whether all targets of the request are in evacuated zones.
func (x *exchange) allEvacuated() bool {
	list := x.gateway.targetList(x.gateway.View(), x.service, x.req.Model)
	return list != nil && list.evacuated && len(list.targets) == 0
}

// refuseEvacuated refuses the request if all its targets are in evacuated zones, and reports whether
// it did.
func (x *exchange) refuseEvacuated() bool {
	if x.gateway.evacuatedZones() == nil || !x.allEvacuated() {
		return false
	}
	x.countRefusedDemand()
	x.refuse(http.StatusServiceUnavailable, reasonZonesEvacuated, evacuatedRetryAfter)
	return true
}

// withholdFrom reports whether a request must not be written to an instance of a zone after all,
// because the zone was evacuated since the instance was chosen.
func (g *Gateway) withholdFrom(zone string) bool {
	if !g.evacuatedZones().Has(zone) {
		return false
	}
	g.Metrics.set.GetOrCreateCounter("pearlanding_sends_withheld_evacuated_total").Inc()
	return true
}
