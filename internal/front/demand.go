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

// fleetDemandTTL is how long reported demand is used: after that the daemon has lost its relay or,
// being one, all others.
const fleetDemandTTL = 3 * time.Second

// currentDemand returns what callers ask of all daemons, of this one alone if no reports of others are
// recent or there are no others.
func (d *Daemon) currentDemand(now time.Time) []demand.Rate {
	if f := d.fleetDemand.Load(); f != nil && now.Sub(f.receivedAt) < fleetDemandTTL {
		return f.rates
	}
	return d.demand.Rates(now)
}
