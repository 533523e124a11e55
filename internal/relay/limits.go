package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/objectapi"
)

// methodLimits exchanges what two daemons know of instances that limit their request rate.
const methodLimits = "relay.limits"

// LimitsRequest carries the limits known to the caller, and may ask for permits.
type LimitsRequest struct {
	From        string                `json:"from"` // identifies the caller, unique for each process
	Updates     []backpressure.Update `json:"words,omitempty"`
	WantPermits bool                  `json:"permits,omitempty"`
}

// LimitsReply carries the limits that the daemon knows after merging the request, and the
// permits granted to the caller.
type LimitsReply struct {
	Updates []backpressure.Update  `json:"words,omitempty"`
	Permits []backpressure.Permits `json:"permits,omitempty"`
}

// answerLimits answers another daemon, whether or not this one reaches the store.
func (n *Node) answerLimits(_ context.Context, r LimitsRequest) (LimitsReply, error) {
	gate, now := n.opts.Gate, n.now()
	if r.WantPermits && !n.grantsPermits() {
		return LimitsReply{}, jrpc2.Errorf(codeNotRelaying, "not relaying")
	}
	gate.Merge(r.Updates, backpressure.ReceivedAt{Earliest: now.Add(-shareTimeout), Latest: now})
	out := LimitsReply{Updates: gate.Updates(now)}
	if r.WantPermits {
		out.Permits = n.grants.Grant(r.From, gate.Limited(), n.permitShares(), now)
	}
	return out, nil
}

// grantsPermits reports whether this daemon grants permits: it is its zone's relay as far as it
// knows, and no later listing names another daemon. A relay that was cut off would otherwise keep
// granting permits long after it was replaced.
func (n *Node) grantsPermits() bool {
	relay := n.zoneRelay()
	return n.IsRelay() && (relay == "" || relay == n.opts.Address)
}

// permitShares returns the share of each limit that this daemon's zone may grant.
func (n *Node) permitShares() backpressure.Shares {
	n.knownRelays.mu.Lock()
	defer n.knownRelays.mu.Unlock()
	return backpressure.Shares{Domain: zoneOfKey(n.opts.Key), Domains: n.knownRelays.zones, Count: n.opts.Traffic.RetryPoolRule().Pools}
}

// zoneOfKey returns the zone whose record has a key.
func zoneOfKey(key string) string {
	_, zone, _ := strings.Cut(key, "/")
	return zone
}

// zonesWithRelay returns, sorted, the zones whose records in a listing name a relay.
func zonesWithRelay(l objectapi.Listing) []string {
	var out []string
	for _, o := range l.Objects {
		if addressOf(o) != "" {
			out = append(out, zoneOfKey(o.Key))
		}
	}
	slices.Sort(out)
	return out
}

// syncLimits exchanges limit updates and gets permits: from the zone's relay or, on a relay,
// from itself.
func (x *LoadExchange) syncLimits(ctx context.Context) {
	n, gate := x.Node, x.Node.opts.Gate
	asked := n.now()
	if n.IsRelay() {
		if n.grantsPermits() {
			gate.AddPermits(n.grants.Grant(n.opts.Holder, gate.Limited(), n.permitShares(), asked), asked)
		}
		if !gate.HasNoLimits() {
			n.syncLimitsWithZones(ctx, gate.Updates(asked), asked)
		}
		return
	}
	relay, _ := n.share.lastUsed()
	if relay == "" || gate.HasNoLimits() {
		return
	}
	r, err := n.opts.Peers.SyncLimits(ctx, relay, LimitsRequest{From: n.opts.Holder, Updates: gate.Updates(asked), WantPermits: true})
	if err != nil {
		return // after too long without an answer the gate falls back to its own rate
	}
	gate.Merge(r.Updates, backpressure.ReceivedAt{Earliest: asked, Latest: n.now()})
	gate.AddPermits(r.Permits, asked)
}

// syncLimitsWithZones exchanges updates with all other relays in parallel.
func (n *Node) syncLimitsWithZones(ctx context.Context, updates []backpressure.Update, asked time.Time) {
	var wait sync.WaitGroup
	for _, address := range n.otherRelays() {
		wait.Go(func() {
			r, err := n.opts.Peers.SyncLimits(ctx, address, LimitsRequest{From: n.opts.Holder, Updates: updates})
			if err == nil { // a relay that does not answer gets the updates with the next exchange
				n.opts.Gate.Merge(r.Updates, backpressure.ReceivedAt{Earliest: asked, Latest: n.now()})
			}
		})
	}
	wait.Wait()
}
