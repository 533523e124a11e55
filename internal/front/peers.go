package front

import (
	"context"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/relay"
	"pearlanding/internal/rpc"
)

// Pauses after changes of instances, and ages derived from the bound on leaving instances.
const (
	// plannerUpdatePause is the pause of the planner: each of its steps waits for the changes
	// that the step before caused.
	plannerUpdatePause = 200 * time.Millisecond
	// updatePauseShare of the bound on leaving instances is the pause of daemons that have neither
	// peers nor a relay and have lost none; an equal share is for a slow answer.
	updatePauseShare = 0.4
	// defaultUpdatePause applies where there is no such bound.
	defaultUpdatePause = 700 * time.Millisecond
	// staleShare of the bound on leaving instances is the age at which a relay's answer is too old;
	// the rest is for a call to the store instead.
	staleShare = 0.75
	// headGraceShare of the same bound is how long a head may be sent requests after the last proof
	// that its now missing entry existed, as instances cut off from the store keep serving; the
	// rest is for the pauses between views.
	headGraceShare = 0.75
	// defaultStaleAfter is the age at which a relay's answer is too old where there is no such
	// bound.
	defaultStaleAfter = 2 * time.Second
)

// followMode is how a daemon follows the instances; its values are those of a metric.
type followMode int

const (
	followDirect  followMode = 0 // from the store, for itself only
	followRelayed followMode = 1 // through its zone's relay
	followAsRelay followMode = 2 // from the store, and for the other daemons of its zone
)

// followMode returns how this daemon follows the instances.
func (d *Daemon) followMode() followMode {
	switch {
	case d.relay != nil && d.relay.ServesPeers():
		return followAsRelay
	case d.relay != nil && d.relay.FollowsRelay():
		return followRelayed
	}
	return followDirect
}

// maxProbeInterval returns the maximum time between two reads that the store does not answer.
func (d *Daemon) maxProbeInterval() time.Duration {
	switch {
	case d.relay == nil || d.planning():
		return maxProbeIntervalDirect
	case d.relay.IsRelay():
		return maxProbeIntervalRelay
	case d.relay.RelayAnswered():
		return maxProbeIntervalRelayed
	}
	return maxProbeIntervalDirect
}

// listenForPeers listens on the address for other daemons. If that fails, the daemon runs
// without the address: this costs calls to the store, but no service.
func (d *Daemon) listenForPeers(s *Settings) net.Listener {
	if s.PeerAddress == "" {
		return nil
	}
	l, err := listenForClients(s.PeerAddress)
	if err != nil {
		d.Log.Error("no address for peers", zap.String("decision", "follow_the_store"), zap.Error(err))
		s.PeerAddress = ""
		return nil
	}
	return l
}

// newRelay returns the node with which this daemon uses its zone's relay or is the relay.
func (d *Daemon) newRelay(s Settings, holder string) *relay.Node {
	d.peers = relay.NewPeers(d.runClock)
	if d.dial != nil {
		d.peers = relay.NewPeersWithDialer(d.runClock, d.dial)
	}
	d.stallFound = make(chan struct{}, 1)
	d.survey = &relay.StallSurvey{Ask: d.peers.Stalled, Active: d.planning, Now: d.Clock.Now, RunClock: d.runClock, NewStalls: d.stallFound, ListRelays: func(ctx context.Context) ([]string, error) {
		l, err := d.Platform.Feed.ListKind(ctx, relayKind)
		return relay.RelayAddresses(l), err
	}}
	return relay.NewNode(relay.Options{
		Traffic: relay.Traffic{InFlight: d.picker.InFlight, Demand: d.demand.Rates, OnLoads: d.takeLoads,
			GroupProgress: d.progress, Stalls: d.picker.Stalls(),
			TakeSpareRetries: d.budgets.TakeSpareRetries, RetryPoolRule: d.poolRule},
		Store: d.Platform.Feed, Kind: d.Platform.InstancesKind, Key: relayKind + "/" + s.Zone, Holder: holder, Address: s.PeerAddress, LinkMbps: s.LinkMbps,
		Peers: d.peers, MustFollowStore: d.planning, OnConfigProof: d.config.confirm, ConfigInForce: d.config.stamp, OnConfigStamp: d.config.noteStamp, OnRelayUsed: d.config.storeRecovered,
		StaleAfter:       func() time.Duration { return d.drainShare(staleShare, defaultStaleAfter) },
		StalledInstances: d.stalledOrEndedHeads,
		Evacuations:      d.evacuations.Known,
		ReachesInstances: d.direct.Usable,
		OnStoreRestored:  d.detector.Evidence.ForgetSaved,
		Bootstrap:        s.Bootstrap, Quarantine: d.detector, Gate: d.gate, OnRecordsListed: d.takeRelayListing,
		Uniform: d.uniform, Now: d.Clock.Now, RunClock: d.runClock, Log: d.Log,
	})
}

// stalledOrEndedHeads lists the heads that this daemon's streams show to be stalled or to have
// ended: a process that ends breaks its streams off, and none of them stalls.
func (d *Daemon) stalledOrEndedHeads(time.Time) []string {
	if d.direct.Lost() {
		return nil // all of them are silent
	}
	out := append(d.picker.RecentlyStalled(d.runClock.Now()), d.detector.RecentlyCrashed()...)
	slices.Sort(out)
	return slices.Compact(out)
}

// progress returns the groups whose running streams stalled for this daemon recently, and those
// whose streams deliver events. The picker runs on the run clock, so the time passed in is ignored.
func (d *Daemon) progress(time.Time) (stalled, progressing []fleet.GroupKey) {
	stalled, progressing = d.picker.GroupProgress(d.runClock.Now())
	if d.direct.Lost() {
		stalled = nil // all of them are silent
	}
	return stalled, progressing
}

// takeLoads applies the loads that all other daemons reported.
func (d *Daemon) takeLoads(others dispatch.PeerReports, _ time.Time) {
	d.loadReporters.Store(int64(others.Daemons))
	if others.Daemons > dispatch.MaxOwnLoadDaemons {
		d.largeFleet.Store(true)
	}
	d.fleetDemand.Store(&fleetDemand{others.Demand, d.Clock.Now()})
	d.picker.SetPeerReports(others, d.runClock.Now())
}

// newExchange returns the loop that exchanges loads with the other daemons; while this daemon
// relays, it exchanges them with the relays of the other zones.
func (d *Daemon) newExchange() *relay.LoadExchange {
	return &relay.LoadExchange{Node: d.relay, ListRecords: func(ctx context.Context) (objectapi.Listing, error) {
		return d.Platform.Feed.ListStale(ctx, relayKind)
	}}
}

// newSpread returns the loop that exchanges evidence about requests that crash instances with
// other daemons.
func (d *Daemon) newSpread() *relay.QuarantineSync {
	return &relay.QuarantineSync{Node: d.relay, ListRecords: func(ctx context.Context) (objectapi.Listing, error) {
		return d.Platform.Feed.ListKind(ctx, relayKind)
	}}
}

// poolRule returns the rule by which this zone's pool of repeats is filled.
func (d *Daemon) poolRule() dispatch.RetryPoolRule {
	s := d.Settings()
	return dispatch.RetryPoolRule{Extra: s.Bounds.RetryExtra, Window: s.Bounds.RetryWindow, Pools: s.Zones}
}

// borrow asks the zone's pool for a repeat of a service and reports whether it got one.
func (d *Daemon) borrow(ctx context.Context, service string) bool {
	return d.relay != nil && d.relay.TakeRetry(ctx, service)
}

// mayBorrow reports whether the zone's pool probably has a repeat of a service.
func (d *Daemon) mayBorrow(service string) bool {
	return d.relay != nil && d.relay.RetryAvailable(service)
}

// stalledHeads lists the heads of groups that are stalled for this daemon or for others.
func (d *Daemon) stalledHeads(now time.Time) []string {
	out := d.picker.Unhealthy(d.runClock.Now())
	if d.survey == nil {
		return out
	}
	for _, id := range d.survey.Found(now) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// answerPeers serves other daemons until ctx ends.
func (d *Daemon) answerPeers(ctx context.Context, l net.Listener) {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	if err := rpc.ServeWithin(ctx, l, d.relay.Methods(), d.peerLimits(), d.upgrades()...); err != nil {
		d.Log.Error("peer server failed", zap.Error(err))
	}
}

// planning reports whether this daemon forms the groups.
func (d *Daemon) planning() bool { return d.lease.Term(d.Clock.Now()) != 0 }

// updatePause returns how long this daemon pauses after changes of instances.
func (d *Daemon) updatePause() time.Duration {
	if d.planning() {
		return plannerUpdatePause
	}
	if d.relay != nil {
		if relayPause := d.relay.PauseAfterChanges(); relayPause > 0 {
			return relayPause
		}
	}
	return d.drainShare(updatePauseShare, defaultUpdatePause)
}

// drainShare returns a share of the bound on leaving instances, def if there is no bound.
func (d *Daemon) drainShare(share float64, def time.Duration) time.Duration {
	if bound := d.Settings().Bounds.Drain; bound > 0 {
		return time.Duration(share * float64(bound))
	}
	return def
}
