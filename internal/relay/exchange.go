package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// answerLoads answers the relay of another zone.
func (n *Node) answerLoads(context.Context) (LoadsReply, error) {
	now := n.now()
	n.share.loads.note(n.shareRequest(now), now)
	zoneDaemons, _ := n.share.loads.countDaemons(now)
	rates, age := n.share.loads.zoneDemand(now)
	return LoadsReply{Loads: n.share.loads.zoneTotal(now), StalledGroups: n.share.loads.stalledGroups(now), Daemons: zoneDaemons,
		Demand: rates, LoadsAgeMS: age.Milliseconds(), TunnelPeers: n.sampleTunnelPeers(n.share.loads.tunnelPeers(now), ""),
		Evacuations: n.endsReport(now)}, nil
}

// shareRequest returns this daemon's report of its own requests, without spare retry credit.
func (n *Node) shareRequest(now time.Time) ShareRequest {
	stalled, active := n.opts.Traffic.GroupProgress(now)
	if len(stalled) > maxReported {
		stalled = nil // with so many, this daemon is probably cut off itself
	}
	return ShareRequest{From: n.opts.Holder, Address: n.tunnelAddress(), Loads: n.opts.Traffic.InFlight(), Demand: n.opts.Traffic.demand(now),
		StalledGroups: toRefs(stalled), ActiveGroups: toRefs(active), StalledInstances: n.opts.StalledInstances(now)}
}

// maxTunnelPeers bounds the daemons that a message names as peers for tunnels.
const maxTunnelPeers = 8

// tunnelAddress returns the address at which this daemon opens tunnels for others, empty if it reaches
// no instances.
func (n *Node) tunnelAddress() string {
	if n.opts.ReachesInstances == nil || !n.opts.ReachesInstances() {
		return ""
	}
	return n.opts.Address
}

// sampleTunnelPeers draws at most maxTunnelPeers of some addresses at random, except one.
func (n *Node) sampleTunnelPeers(all []string, except string) []string {
	all = slices.DeleteFunc(all, func(a string) bool { return a == except })
	count := min(len(all), maxTunnelPeers)
	for i := range count {
		j := i + int(n.opts.Uniform(0, time.Duration(len(all)-i)))
		all[i], all[j] = all[j], all[i]
	}
	return all[:count]
}

// answerShare answers a peer.
func (n *Node) answerShare(_ context.Context, r ShareRequest) (ShareReply, error) {
	reply, sum, err := n.mergeShare(r)
	reply.Loads = sum.loads
	return reply, err
}

// answerShareEncoded is answerShare for the wire: all peers get the same encoded bytes of the
// loads.
func (n *Node) answerShareEncoded(_ context.Context, r ShareRequest) (encodedShare, error) {
	reply, sum, err := n.mergeShare(r)
	return encodedShare{sum.encoded, reply}, err
}

// mergeShare records a peer's report. It returns the answer without loads, and the loads
// separately.
func (n *Node) mergeShare(r ShareRequest) (ShareReply, totalLoad, error) {
	if !n.isActiveRelay() {
		return ShareReply{}, totalLoad{}, jrpc2.Errorf(codeNotRelaying, "not relaying")
	}
	now, rule := n.now(), n.opts.Traffic.RetryPoolRule()
	if n.share.loads.note(r, now) {
		n.ReportNow() // daemons of other zones may have lost them, too
	}
	if len(r.StalledInstances) > 0 {
		n.reports.note(r.From, r.StalledInstances, now)
	}
	n.share.pool.Add(r.Retries, rule, now)
	_, daemons := n.share.loads.countDaemons(now)
	sum, err := n.share.loads.total(now)
	return ShareReply{Retries: n.share.pool.Levels(rule, now), StalledGroups: n.share.loads.allStalledGroups(now), Daemons: daemons,
		Demand: sum.demand, LoadsAgeMS: now.Sub(sum.reportedAt).Milliseconds(),
		Limits: n.opts.Gate.Updates(now), QuarantineSeq: n.clusterWideSeq(),
		TunnelPeers: n.sampleTunnelPeers(n.share.loads.allTunnelPeers(now), r.Address)}, sum, err
}

// LoadExchange sends this daemon's load to the others and receives theirs: through its relay, or,
// on a relay, from the relays of the other zones.
type LoadExchange struct {
	Node        *Node
	ListRecords func(ctx context.Context) (objectapi.Listing, error) // lists the records of all zones

	listedAt time.Time
}

// Run exchanges loads until ctx ends.
func (x *LoadExchange) Run(ctx context.Context) {
	tick := time.NewTicker(shareInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			x.runOnce(ctx)
		case <-x.Node.opts.Traffic.Stalls:
			x.runOnce(ctx)
			tick.Reset(shareInterval)
			pause.For(ctx, minReportInterval)
		case <-x.Node.opts.Gate.Changed():
			x.runOnce(ctx)
			tick.Reset(shareInterval)
			pause.For(ctx, minReportInterval)
		case <-x.Node.reportRequested:
			x.runOnce(ctx)
			tick.Reset(shareInterval)
			pause.For(ctx, minReportInterval)
		}
	}
}

// minReportInterval is the minimum time between two exchanges that a stalled stream or a changed
// limit starts. Reported at once instead of with the next periodic exchange, a stalled group is
// known to the relay earlier by half of shareInterval on average.
const minReportInterval = 50 * time.Millisecond

// runOnce makes one exchange.
func (x *LoadExchange) runOnce(ctx context.Context) {
	n := x.Node
	now := n.now()
	// A relay exchanges loads also while no daemon polls it: it may be alone in its zone, or with the planner,
	// which follows the store. Both need what the other zones report, and the addresses of daemons that reach
	// instances.
	isRelay := n.isActiveRelay()
	if isRelay || n.IsRelay() && !n.opts.Gate.HasNoLimits() {
		x.refreshRelays(ctx, now)
	}
	timed, cancel := n.opts.RunClock.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { x.syncLimits(timed) })
	if isRelay {
		n.share.pool.Add(n.opts.Traffic.TakeSpareRetries(now), n.opts.Traffic.RetryPoolRule(), now)
		x.collectZoneLoads(timed)
		return
	}
	if relay, _ := n.share.relayInUse(now); relay != "" {
		x.shareWithRelay(timed, relay, now)
	}
}

// shareWithRelay sends this daemon's load to the relay and merges the loads of the others from
// the reply.
func (x *LoadExchange) shareWithRelay(ctx context.Context, relay string, now time.Time) {
	n := x.Node
	request := n.shareRequest(now)
	request.Retries = n.opts.Traffic.TakeSpareRetries(now)
	r, err := n.opts.Peers.Share(ctx, relay, request)
	if err != nil {
		if n.opts.MustFollowStore() {
			n.share.setSyncDue(relay, true) // the planner polls no relay, so nothing else would notice a missed update
			n.SyncNow()
		}
		return // the last report counts until it expires; a daemon that polls this relay notices the loss there
	}
	n.share.setLevels(r.Retries, n.now())
	n.opts.Gate.Merge(r.Limits, backpressure.ReceivedAt{Earliest: now, Latest: n.now()})
	n.noteClusterWideSeq(relay, r.QuarantineSeq)
	n.setTunnelPeers(r.TunnelPeers)
	n.opts.Traffic.OnLoads(dispatch.PeerReports{Daemons: r.Daemons, InFlight: subtract(r.Loads, request.Loads), StalledGroups: toSet(r.StalledGroups),
		Demand: r.Demand, Age: time.Duration(r.LoadsAgeMS) * time.Millisecond}, n.now())
}

// ReportNow makes this daemon exchange loads at once, because it or another one reaches instances no more.
func (n *Node) ReportNow() {
	select {
	case n.reportRequested <- struct{}{}:
	default: // already signalled
	}
}

// setTunnelPeers records the daemons that reach instances.
func (n *Node) setTunnelPeers(peers []string) { n.tunnelPeers.Store(&peers) }

// TunnelPeers returns addresses of daemons that probably reach instances. If none is known, these are the
// relays of all zones.
func (n *Node) TunnelPeers() []string {
	if peers := n.tunnelPeers.Load(); peers != nil && len(*peers) > 0 {
		return *peers
	}
	return n.otherRelays()
}

// refreshRelays lists the relays if the last listing is older than relayListInterval.
func (x *LoadExchange) refreshRelays(ctx context.Context, now time.Time) {
	if now.Sub(x.listedAt) <= relayListInterval {
		return
	}
	if l, err := x.ListRecords(ctx); err == nil {
		x.Node.noteRecords(l)
	}
	x.listedAt = now // an error is counted with the store's calls; the old list stays
}

// collectZoneLoads asks all other relays in parallel for the loads of their zones.
func (x *LoadExchange) collectZoneLoads(ctx context.Context) {
	n := x.Node
	addresses, asked := n.otherRelays(), n.now()
	replies := make([]LoadsReply, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			if r, err := n.opts.Peers.ZoneLoads(ctx, address); err == nil {
				replies[i] = r // a zone without a reply counts as idle until its next one
				n.noteEnds(r.Evacuations, asked)
			}
		})
	}
	wait.Wait()
	now := n.now()
	n.share.loads.setRemote(replies, now)
	n.share.loads.note(n.shareRequest(now), now)
	n.setTunnelPeers(n.sampleTunnelPeers(n.share.loads.allTunnelPeers(now), n.opts.Address))
	_, all := n.share.loads.countDaemons(now)
	reports := dispatch.PeerReports{Daemons: all, InFlight: n.share.loads.totalExcept(n.opts.Holder, now), StalledGroups: toSet(n.share.loads.allStalledGroups(now))}
	if sum, err := n.share.loads.total(now); err == nil {
		reports.Demand, reports.Age = sum.demand, now.Sub(sum.reportedAt)
	}
	n.opts.Traffic.OnLoads(reports, now)
}
