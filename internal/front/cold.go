package front

import (
	"sync/atomic"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/gateway"
)

// coldState is what a daemon keeps of cold instances beside its gate.
type coldState struct {
	count   atomic.Int64                    // number of cold instances at the last sweep
	gateway atomic.Pointer[gateway.Gateway] // nil: not created yet
}

// followCold passes the entries of instances on to the gate, which derives from them which instances are
// cold. It tracks the instances of all services, as the configuration may become known after the entries.
func (d *Daemon) followCold() {
	d.instances.OnEntry = func(in *fleet.Instance, first bool) {
		d.gate.Cold.Entry(backpressure.ColdEntry{Incarnation: backpressure.Incarnation{Instance: in.ID, StartedAt: in.StartedAt},
			Service: in.Service, Zone: in.Zone, Version: in.Version, Left: in.ColdLeft, Reported: in.ColdReported, First: first, BeforeTraffic: d.beforeTraffic()}, d.Clock.Now())
	}
	d.picker.Surcharge = d.coldSurcharge
	d.instances.OnRemoved = func(id string) { d.gate.Cold.Removed(id, d.Clock.Now()) }
	d.Metrics.GetOrCreateGauge("pearlanding_upstreams_cold", func() float64 { return float64(d.cold.count.Load()) })
}

// beforeTraffic reports whether the deployment has had no request yet, as far as this daemon knows. A daemon
// that was not there from the beginning assumes that it has had some.
func (d *Daemon) beforeTraffic() bool {
	g := d.cold.gateway.Load()
	return d.Settings().Bootstrap && (g == nil || g.NoRequestsYet()) && len(d.currentDemand(d.Clock.Now())) == 0
}

// coldRule returns a service's rule on cold instances.
func (d *Daemon) coldRule(service string) backpressure.ColdRule {
	table := d.config.Table()
	if table == nil {
		return backpressure.ColdRule{}
	}
	s := table.Service(service)
	if s == nil {
		return backpressure.ColdRule{}
	}
	return backpressure.ColdRule{Duration: s.ColdStart, PerSecond: s.ColdPerSecond}
}

// coldSurcharge returns the surcharge of a target in requests in flight. With it, daemons prefer warm targets
// among those of about the same load: a request to a cold one needs a permit, and permits are few.
func (d *Daemon) coldSurcharge(t *dispatch.Target) float64 {
	if d.limitsColdInstances() && d.gate.Cold.IsColdInstance(t.Instance, d.coldRule, d.Clock.Now()) {
		return coldSurcharge
	}
	return 0
}

// coldSurcharge is the surcharge of a cold target, in requests in flight.
const coldSurcharge = 2

// limitsColdInstances reports whether the configuration has a rule on cold instances.
func (d *Daemon) limitsColdInstances() bool {
	table := d.config.Table()
	return table != nil && table.LimitsColdInstances()
}

// sweepCold counts the cold instances and logs which became cold or warm.
func (d *Daemon) sweepCold(now time.Time) {
	d.cold.count.Store(int64(d.gate.Cold.Sweep(d.coldRule, now, d.Log)))
}

// askColdPermit returns the function that asks for permits for cold instances; nil: this daemon has no
// relay.
func (d *Daemon) askColdPermit() backpressure.AskColdPermit {
	if d.relay == nil {
		return nil
	}
	return d.relay.ColdPermit
}
