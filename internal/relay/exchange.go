package relay

import (
	"context"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// answerLoads answers another zone's relay.
func (n *Node) answerLoads(context.Context) (LoadsReply, error) {
	now := n.now()
	n.share.loads.note(n.word(now), now)
	near, _ := n.share.loads.daemons(now)
	return LoadsReply{n.share.loads.zone(now), n.share.loads.standing(now), near}, nil
}

// word is what this daemon tells of its own requests.
func (n *Node) word(now time.Time) ShareRequest {
	stopped, alive := n.o.Traffic.Progress(now)
	if len(stopped) > reportMost {
		stopped = nil // it is probably cut off itself
	}
	return ShareRequest{From: n.o.Holder, Loads: n.o.Traffic.InFlight(), Stopped: toRefs(stopped), Alive: toRefs(alive), Standing: n.o.Standing(now)}
}

// answerShare answers a peer.
func (n *Node) answerShare(_ context.Context, r ShareRequest) (ShareReply, error) {
	reply, sum, err := n.shared(r)
	reply.Loads = sum.loads
	return reply, err
}

// answerShareEncoded is answerShare for the wire: all peers get the same bytes.
func (n *Node) answerShareEncoded(_ context.Context, r ShareRequest) (encodedShare, error) {
	reply, sum, err := n.shared(r)
	return encodedShare{sum.encoded, reply}, err
}

// shared takes in a peer's word. It returns the answer without loads, and these.
func (n *Node) shared(r ShareRequest) (ShareReply, loadSum, error) {
	if !n.relaying() {
		return ShareReply{}, loadSum{}, jrpc2.Errorf(codeNotRelaying, "not relaying")
	}
	now, rule := n.now(), n.o.Traffic.Rule()
	n.share.loads.note(r, now)
	if len(r.Standing) > 0 {
		n.reports.note(r.From, r.Standing, now)
	}
	n.share.pool.Put(r.Repeats, rule, now)
	_, daemons := n.share.loads.daemons(now)
	sum, err := n.share.loads.all(now)
	return ShareReply{Repeats: n.share.pool.Levels(rule, now), Standing: n.share.loads.allStanding(now), Daemons: daemons,
		Limits: n.o.Gate.Updates(now), Quarantine: n.hot()}, sum, err
}

// Exchange tells this daemon's load to the others and learns theirs: through its relay, or
// as a relay from those of the other zones.
type Exchange struct {
	Node *Node
	List func(ctx context.Context) (objectapi.Listing, error) // of all zones' records

	listed time.Time
}

// Run exchanges loads until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	tick := time.NewTicker(shareEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			x.once(ctx)
		case <-x.Node.o.Traffic.Stops:
			x.once(ctx)
			tick.Reset(shareEvery)
			pause.For(ctx, stopsApart)
		case <-x.Node.o.Gate.Changed():
			x.once(ctx)
			tick.Reset(shareEvery)
			pause.For(ctx, stopsApart)
		}
	}
}

// stopsApart is the least time between two words that streams stopped. Told at once, a group
// that stands is known to the relay half of shareEvery sooner in the mean.
const stopsApart = 50 * time.Millisecond

// once makes one exchange.
func (x *Exchange) once(ctx context.Context) {
	n := x.Node
	now := n.now()
	if n.Serving() || n.Holding() && !n.o.Gate.Quiet() {
		x.list(ctx, now)
	}
	timed, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { x.limits(timed) })
	if n.Serving() {
		n.share.pool.Put(n.o.Traffic.Spare(now), n.o.Traffic.Rule(), now)
		x.ask(timed)
		return
	}
	if relay, _ := n.share.current(now); relay != "" {
		x.tell(timed, relay, now)
	}
}

// tell tells the relay this daemon's load, and takes in that of the others.
func (x *Exchange) tell(ctx context.Context, relay string, now time.Time) {
	n := x.Node
	word := n.word(now)
	word.Repeats = n.o.Traffic.Spare(now)
	r, err := n.o.Peers.Share(ctx, relay, word)
	if err != nil {
		if n.o.Direct() {
			n.share.asked(relay, true) // whoever plans follows through no relay, and misses none otherwise
		}
		return // the last word counts until it is old; who follows through this relay finds that it is gone
	}
	n.share.told(r.Repeats, n.now())
	n.o.Gate.Merge(r.Limits, backpressure.ReceivedAt{Earliest: now, Latest: n.now()})
	n.hear(relay, r.Quarantine)
	n.o.Traffic.Loaded(dispatch.Others{Daemons: r.Daemons, InFlight: without(r.Loads, word.Loads), Standing: toSet(r.Standing)}, n.now())
}

// list looks now and then who the relays are.
func (x *Exchange) list(ctx context.Context, now time.Time) {
	if now.Sub(x.listed) <= relayList {
		return
	}
	if l, err := x.List(ctx); err == nil {
		x.Node.listed(l)
	}
	x.listed = now // an error is counted with the store's calls; the old list stays
}

// ask asks all other relays at a time.
func (x *Exchange) ask(ctx context.Context) {
	n := x.Node
	relays := n.relays()
	replies := make([]LoadsReply, len(relays))
	var wait sync.WaitGroup
	for i, address := range relays {
		wait.Go(func() {
			if r, err := n.o.Peers.Loads(ctx, address); err == nil {
				replies[i] = r // a zone without a word counts as idle until its next one
			}
		})
	}
	wait.Wait()
	far := map[string]int{}
	var standing []groupRef
	daemons := 0
	for _, r := range replies {
		daemons += r.Daemons
		addTo(far, r.Loads)
		standing = append(standing, r.Standing...)
	}
	now := n.now()
	n.share.loads.noteFar(far, standing, daemons)
	n.share.loads.note(n.word(now), now)
	_, all := n.share.loads.daemons(now)
	n.o.Traffic.Loaded(dispatch.Others{Daemons: all, InFlight: n.share.loads.others(n.o.Holder, now), Standing: toSet(n.share.loads.allStanding(now))}, now)
}
