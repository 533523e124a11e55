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

// methodLimits exchanges what two daemons know of instances that limit their requests.
const methodLimits = "relay.limits"

// LimitsRequest tells what the asker knows of limits, and may ask for permits.
type LimitsRequest struct {
	From    string                `json:"from"` // the asker, unique for each life of a process
	Updates []backpressure.Update `json:"words,omitempty"`
	Permits bool                  `json:"permits,omitempty"`
}

// LimitsReply is what the daemon knows after it, and the permits for the asker.
type LimitsReply struct {
	Updates []backpressure.Update  `json:"words,omitempty"`
	Permits []backpressure.Permits `json:"permits,omitempty"`
}

// answerLimits answers another daemon, in touch with the store or not.
func (n *Node) answerLimits(_ context.Context, r LimitsRequest) (LimitsReply, error) {
	gate, now := n.o.Gate, n.now()
	if r.Permits && !n.granting() {
		return LimitsReply{}, jrpc2.Errorf(codeNotRelaying, "not relaying")
	}
	gate.Merge(r.Updates, backpressure.ReceivedAt{Earliest: now.Add(-shareTimeout), Latest: now})
	out := LimitsReply{Updates: gate.Updates(now)}
	if r.Permits {
		out.Permits = n.grants.Grant(r.From, gate.Limited(), n.shares(), now)
	}
	return out, nil
}

// granting tells whether this daemon grants permits: it holds its zone's record, and no listing
// since names another one. One that was cut off holds it for long after.
func (n *Node) granting() bool {
	own := n.ownRelay()
	return n.Holding() && (own == "" || own == n.o.Address)
}

// shares tells which part of limits this daemon's zone grants.
func (n *Node) shares() backpressure.Shares {
	n.known.mu.Lock()
	defer n.known.mu.Unlock()
	return backpressure.Shares{Domain: zoneOf(n.o.Key), Domains: n.known.zones, Count: n.o.Traffic.Rule().Pools}
}

// zoneOf returns the zone whose record has a key.
func zoneOf(key string) string {
	_, zone, _ := strings.Cut(key, "/")
	return zone
}

// zonesOf returns the zones whose records a listing holds.
func zonesOf(l objectapi.Listing) []string {
	var out []string
	for _, o := range l.Objects {
		if addressOf(o) != "" {
			out = append(out, zoneOf(o.Key))
		}
	}
	slices.Sort(out)
	return out
}

// limits exchanges updates of limits and gets permits: from its relay, or as a relay of itself.
func (x *Exchange) limits(ctx context.Context) {
	n, gate := x.Node, x.Node.o.Gate
	asked := n.now()
	if n.Holding() {
		if n.granting() {
			gate.Granted(n.grants.Grant(n.o.Holder, gate.Limited(), n.shares(), asked), asked)
		}
		if !gate.Quiet() {
			n.tellLimits(ctx, gate.Updates(asked), asked)
		}
		return
	}
	relay, _ := n.share.last()
	if relay == "" || gate.Quiet() {
		return
	}
	r, err := n.o.Peers.Limits(ctx, relay, LimitsRequest{From: n.o.Holder, Updates: gate.Updates(asked), Permits: true})
	if err != nil {
		return // without an answer for long the gate has a pace of its own
	}
	gate.Merge(r.Updates, backpressure.ReceivedAt{Earliest: asked, Latest: n.now()})
	gate.Granted(r.Permits, asked)
}

// tellLimits exchanges words with all other relays at a time.
func (n *Node) tellLimits(ctx context.Context, words []backpressure.Update, asked time.Time) {
	var wait sync.WaitGroup
	for _, address := range n.relays() {
		wait.Go(func() {
			r, err := n.o.Peers.Limits(ctx, address, LimitsRequest{From: n.o.Holder, Updates: words})
			if err == nil { // a relay without an answer is told again
				n.o.Gate.Merge(r.Updates, backpressure.ReceivedAt{Earliest: asked, Latest: n.now()})
			}
		})
	}
	wait.Wait()
}
