package front

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"pearlanding/internal/evacuation"
)

// buildEvacuations creates the loop that follows which zones are evacuated.
func (d *Daemon) buildEvacuations(s Settings) {
	known := &evacuation.Known{Now: d.Clock.Now, OnChange: d.logEvacuations, OnEnded: d.gate.ZoneCold, ColdFor: d.coldFor, OnEndsKnown: func(since time.Time, zones *evacuation.Zones) {
		if zones == nil {
			since = time.Time{} // what is not known is warm: else a start of all daemons refuses nearly everything
		}
		d.gate.Cold.UnseenEnds(since, zones.Set())
	}}
	if len(s.ZoneNames) > 0 {
		known.IsKnownZone = func(zone string) bool { return slices.Contains(s.ZoneNames, zone) }
	}
	d.evacuations = &evacuation.Follower{Known: known, Clock: d.Clock, Feed: d.Platform.Feed, Kind: d.Platform.EvacuationsKind,
		Bound: s.evacuateBound, Watches: d.watchesEvacuations, Serves: d.servesPeers, Uniform: d.uniform, Log: d.Log}
	if !d.evacuations.Enabled() {
		return
	}
	for _, zone := range s.ZoneNames {
		d.registerZone(zone)
	}
	d.Metrics.GetOrCreateGauge("pearlanding_evacuations_proof_age_seconds", d.evacuationProofAge)
	d.Metrics.GetOrCreateGauge("pearlanding_evacuations_unknown_zones", func() float64 { return float64(len(known.UnknownZones())) })
}

// evacuateBound returns the bound on an evacuation.
func (s *Settings) evacuateBound() time.Duration { return s.Bounds.Evacuate }

// coldFor returns for how long after the end of an evacuation a zone's instances are cold; known: the
// configuration is. Before the deployment's first request none are.
func (d *Daemon) coldFor() (cold time.Duration, known bool) {
	table := d.config.Table()
	if table == nil {
		return 0, false
	}
	if d.beforeTraffic() {
		return 0, true
	}
	return table.LongestCold(), true
}

// registerZone registers the metric of a zone.
func (d *Daemon) registerZone(zone string) {
	d.Metrics.GetOrCreateGauge(fmt.Sprintf("pearlanding_zone_evacuated{zone=%q}", zone), func() float64 {
		if d.evacuations.Known.Zones().Has(zone) {
			return 1
		}
		return 0
	})
}

// evacuationProofAge returns the age of the proof of the evacuated zones in seconds, -1 if nothing is
// known yet.
func (d *Daemon) evacuationProofAge() float64 {
	provedAt := d.evacuations.Known.ProvedAt()
	if provedAt.IsZero() {
		return -1
	}
	return d.Clock.Since(provedAt).Seconds()
}

// watchesEvacuations reports whether this daemon watches for evacuations. The planner does as its
// zone's relay does, as it does not poll that.
func (d *Daemon) watchesEvacuations() bool {
	return d.relay != nil && d.relay.IsRelay() || d.planning()
}

// servesPeers reports whether peers take this daemon's proofs.
func (d *Daemon) servesPeers() bool { return d.relay != nil && d.relay.ServesPeers() }

// evacuatedZones returns the evacuated zones, nil if there are none.
func (d *Daemon) evacuatedZones() map[string]bool { return d.evacuations.Known.Zones().Set() }

// evacuationsSettled reports whether this daemon knows the evacuated zones or cannot read them now.
func (d *Daemon) evacuationsSettled() bool {
	return d.evacuations.Settled() || d.calls.reachability.Unreachable()
}

// logEvacuations logs a change of the evacuated zones.
func (d *Daemon) logEvacuations(c evacuation.Change) {
	fields := func(zone string) []zap.Field {
		return []zap.Field{zap.String("zone", zone), zap.String("source", string(c.Source)), zap.Uint64("revision", c.State.Revision),
			zap.Int64("proved_ms_ago", d.Clock.Since(c.State.ProvedAt).Milliseconds())}
	}
	for _, zone := range c.Begun {
		if !d.evacuations.Known.KnowsZone(zone) {
			d.Log.Warn("evacuation of an unknown zone", append(fields(zone), zap.String("decision", "no_effect"))...)
			continue
		}
		d.registerZone(zone)
		d.Log.Info("zone evacuated", append(fields(zone), zap.String("decision", "no_new_requests"))...)
	}
	for _, zone := range c.Ended {
		if d.evacuations.Known.KnowsZone(zone) {
			d.Log.Info("zone evacuation ended", fields(zone)...)
		}
	}
}
