package front

import (
	"time"

	"pearlanding/internal/demand"
)

// fleetDemand is the demand at all daemons, as last reported.
type fleetDemand struct {
	rates      []demand.Rate
	receivedAt time.Time
}

// fleetDemandTTL is how long reported demand is used. Reports come four times a second: without one for so
// long, the daemon has lost its relay or, if it is a relay itself, all others.
const fleetDemandTTL = 3 * time.Second

// followsDemand reports whether models are placed by demand. They are in fleets whose daemons admit requests
// by the load of all daemons. Daemons of smaller fleets admit by their own requests, which does not keep
// requests in time at the utilization that the planner aims at: with nine daemons, the class of requests
// that was served worst earned 0.62 in place of 0.85 of its credit.
func (d *Daemon) followsDemand() bool { return d.largeFleet.Load() }

// currentDemand returns what callers ask of all daemons, of this one alone if no reports of others are
// recent or there are no others.
func (d *Daemon) currentDemand(now time.Time) []demand.Rate {
	if f := d.fleetDemand.Load(); f != nil && now.Sub(f.receivedAt) < fleetDemandTTL {
		return f.rates
	}
	return d.demand.Rates(now)
}
