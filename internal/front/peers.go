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

// Pauses after news of instances.
const (
	// planPace is that of the daemon that plans: each of its steps waits for what the
	// one before changed.
	planPace = 200 * time.Millisecond
	// drainPart of the bound on leaving instances is the pause otherwise; as much
	// again is for a slow answer.
	drainPart = 0.4
	// defaultPace stands in where there is no such bound.
	defaultPace = 700 * time.Millisecond
	// stalePart of the same bound is the age at which what a relay tells is too old;
	// the rest is for asking the store instead.
	stalePart = 0.75
	// leadsPart of it is how long after the last proof that it stood the entry of a head
	// may be gone while requests are sent there, as instances cut off from the store serve on:
	// the rest is for the view's own pace.
	leadsPart    = 0.75
	defaultStale = 2 * time.Second
)

// follows is how a daemon follows the instances; its values are those of a metric.
type follows int

const (
	followsAlone   follows = 0 // from the store, for itself
	followsRelayed follows = 1 // through its zone's relay
	followsForAll  follows = 2 // from the store, for others too
)

// following tells how this daemon follows the instances.
func (d *Daemon) following() follows {
	switch {
	case d.relay != nil && d.relay.Serving():
		return followsForAll
	case d.relay != nil && d.relay.Relayed():
		return followsRelayed
	}
	return followsAlone
}

// probeEvery is the most time between two reads that a store does not answer.
func (d *Daemon) probeEvery() time.Duration {
	switch {
	case d.relay == nil || d.planning():
		return probeAlone
	case d.relay.Holding():
		return probeRelay
	case d.relay.Told():
		return probeRelayed
	}
	return probeAlone
}

// listenForPeers opens the address for other daemons. One that can't be had costs
// calls to the store, no service: the daemon then has none.
func (d *Daemon) listenForPeers(s *Settings) net.Listener {
	if s.Peers == "" {
		return nil
	}
	l, err := net.Listen("tcp", s.Peers)
	if err != nil {
		d.Log.Error("no address for peers", zap.String("decision", "follow_the_store"), zap.Error(err))
		s.Peers = ""
		return nil
	}
	return l
}

// newRelay joins the relays of this daemon's zone.
func (d *Daemon) newRelay(s Settings, holder string) *relay.Node {
	d.peers = relay.NewPeers()
	if d.dial != nil {
		d.peers = relay.NewPeersOver(d.dial)
	}
	d.surveyed = make(chan struct{}, 1)
	d.survey = &relay.Survey{Ask: d.peers.Standing, Active: d.planning, Now: d.Clock.Now, News: d.surveyed, Relays: func(ctx context.Context) ([]string, error) {
		l, err := d.Outside.Feed.ListKind(ctx, relayKind)
		return relay.Addresses(l), err
	}}
	return relay.NewNode(relay.Options{
		Traffic: relay.Traffic{Spare: d.budgets.Spare, InFlight: d.picker.InFlight, Progress: d.progress, Stops: d.picker.Stops(), Loaded: d.loaded, Rule: d.poolRule},
		Store:   d.Outside.Feed, Kind: d.Outside.InstancesKind, Key: relayKind + "/" + s.Zone, Holder: holder, Address: s.Peers, LinkMbps: s.LinkMbps,
		Peers: d.peers, Direct: d.planning, Confirm: d.config.confirm, Returned: d.config.returned,
		Stale:     func() time.Duration { return d.drainPart(stalePart, defaultStale) },
		Standing:  d.standing,
		Bootstrap: s.Bootstrap, Quarantine: d.watch, Gate: d.gate, Listed: d.listed,
		Uniform: d.uniform, Now: d.Clock.Now, Log: d.Log,
	})
}

// standing lists the heads that this daemon's streams show to stand still, or to have ended: a
// process that ends breaks its streams off, and none stands still.
func (d *Daemon) standing(time.Time) []string {
	out := append(d.picker.Stopped(d.run.Now()), d.watch.EndedLately()...)
	slices.Sort(out)
	return slices.Compact(out)
}

// progress returns the groups whose running streams stopped for this daemon lately, and those
// whose bring events. loaded takes in what all other daemons told. The picker has a time of its own.
func (d *Daemon) progress(time.Time) (stopped, alive []fleet.Key) {
	return d.picker.Progress(d.run.Now())
}

func (d *Daemon) loaded(others dispatch.Others, _ time.Time) {
	d.sharing.Store(int64(others.Daemons))
	d.picker.Loaded(others, d.run.Now())
}

// exchange tells this daemon, while it relays, what other zones have in progress.
func (d *Daemon) exchange() *relay.Exchange {
	return &relay.Exchange{Node: d.relay, List: func(ctx context.Context) (objectapi.Listing, error) {
		return d.Outside.Feed.ListStale(ctx, relayKind)
	}}
}

// spread tells other daemons of requests that end instances.
func (d *Daemon) spread() *relay.Spread {
	return &relay.Spread{Node: d.relay, List: func(ctx context.Context) (objectapi.Listing, error) {
		return d.Outside.Feed.ListKind(ctx, relayKind)
	}}
}

// poolRule is the rule of this zone's pool of repeats.
func (d *Daemon) poolRule() dispatch.PoolRule {
	s := d.Settings()
	return dispatch.PoolRule{Extra: s.Bounds.RetryExtra, Window: s.Bounds.RetryWindow, Pools: s.Zones}
}

// borrow asks the zone's pool for a repeat of a service; mayBorrow tells whether it
// probably has one.
func (d *Daemon) borrow(ctx context.Context, service string) bool {
	return d.relay != nil && d.relay.Repeat(ctx, service)
}

func (d *Daemon) mayBorrow(service string) bool {
	return d.relay != nil && d.relay.MayRepeat(service)
}

// still lists the heads of groups that stand still, for this daemon or for others.
func (d *Daemon) still(now time.Time) []string {
	out := d.picker.Still(d.run.Now())
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
	if err := rpc.Serve(ctx, l, d.relay.Methods()); err != nil {
		d.Log.Error("peers not answered any more", zap.Error(err))
	}
}

// planning tells whether this daemon forms the groups.
func (d *Daemon) planning() bool { return d.lease.Held(d.Clock.Now()) != 0 }

// pace is how long this daemon rests after news of instances.
func (d *Daemon) pace() time.Duration {
	if d.planning() {
		return planPace
	}
	if d.relay != nil {
		if pace := d.relay.Pace(); pace > 0 {
			return pace
		}
	}
	return d.drainPart(drainPart, defaultPace)
}

// drainPart returns a part of the bound on leaving instances, def if there is none.
func (d *Daemon) drainPart(part float64, def time.Duration) time.Duration {
	if bound := d.Settings().Bounds.Drain; bound > 0 {
		return time.Duration(part * float64(bound))
	}
	return def
}
