package relay

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/handler"
	"github.com/juju/errors"

	"pearlanding/internal/rpc"
	"pearlanding/internal/steady"
)

// methodPoll is a long poll for changes. A new form of its answer needs a new name, as daemons
// of two versions run side by side during an upgrade.
const methodPoll = "relay.packed_news"

// codeNotRelaying is the error of a daemon that is not a relay, that has not reached the store
// for too long, or that is asked for a snapshot before it knows the entries.
const codeNotRelaying = jrpc2.Code(1)

// codeStopping is the error of a daemon that is shutting down for good.
const codeStopping = jrpc2.Code(2)

// codeNotTheRelay is the error of a daemon that knows the entries but is not its zone's relay, for
// callers that take it for the relay.
const codeNotTheRelay = jrpc2.Code(3)

// PollRequest asks for the entries that changed after a revision, and for a read of the
// configuration later than read number ConfigSeq.
type PollRequest struct {
	After     uint64 `json:"after"`
	ConfigSeq uint64 `json:"config_seq"`
	WaitMS    int64  `json:"wait_ms"` // how long to wait for either
	// From identifies the caller, unique for each process. StalledInstances are the instances
	// whose running streams recently stopped making progress for the caller.
	From             string   `json:"from"`
	StalledInstances []string `json:"standing,omitempty"`
	// QuarantineSeq is the last quarantine sequence number that the caller received; nil: the
	// caller wants none.
	QuarantineSeq *uint64 `json:"quarantine,omitempty"`
	// ConfigInForce is the configuration that the caller applies.
	ConfigInForce ConfigStamp `json:"config_in_force,omitzero"`
	// EvacuationSeq is the number of the last EvacuationReport that the caller received from this
	// relay, 0 if none; nil: the caller wants none.
	EvacuationSeq *uint64 `json:"evacuations,omitempty"`
}

// PollReply is what a relay knows. Ages are in milliseconds before the reply was made, rounded
// up. The reply was made no earlier than HeldMS after the caller sent the request, and the
// caller counts the ages back from then.
type PollReply struct {
	// HeldMS is for how many milliseconds the relay held the request, rounded down.
	HeldMS  int64  `json:"held_ms,omitempty"`
	Gap     bool   `json:"gap,omitempty"`     // not all changes are known any more
	Changes []byte `json:"changes,omitempty"` // the latest change of each object, packed
	// Revision is what the changes lead to. After a gap it is a revision from which on all changes
	// are known; 0: none, or a relay of an earlier version.
	Revision     uint64 `json:"revision"`
	EntriesAgeMS int64  `json:"entries_age_ms"`
	// ConfigVersion is the version of the configuration's object; 0: not read yet.
	ConfigVersion uint64 `json:"config_version"`
	ConfigSeq     uint64 `json:"config_seq"`
	ConfigAgeMS   int64  `json:"config_age_ms"`
	// QuarantineSeq numbers the quarantine updates that all daemons must have: a daemon that
	// last received another number requests them.
	QuarantineSeq uint64 `json:"quarantine,omitempty"`
	// ConfigInForce is the configuration that the relay applies.
	ConfigInForce ConfigStamp `json:"config_in_force,omitzero"`
	// Evacuations are the evacuated zones; nil: the relay does not know them.
	Evacuations *EvacuationReport `json:"evacuations,omitempty"`
}

// ConfigStamp identifies a configuration: by the version of its object, and by the version that the
// operator gave it. The zero value means none.
type ConfigStamp struct {
	Object   uint64 `json:"object"`
	Operator uint64 `json:"operator"`
}

// ageMS returns the age of a proof in whole milliseconds, rounded up so that a proof never
// appears too young.
func ageMS(now, proved time.Time) int64 {
	return int64(math.Ceil(float64(now.Sub(proved)) / float64(time.Millisecond)))
}

// Methods returns the RPC methods that peers may call.
func (n *Node) Methods() handler.Map {
	return handler.Map{methodPoll: handler.New(n.answerPoll), methodStalled: handler.New(n.answerStalled),
		methodShare: handler.New(n.answerShareEncoded), methodRetry: handler.New(n.answerRetry), methodLoads: handler.New(n.answerLoads), methodQuarantine: handler.New(n.answerQuarantine),
		methodLimits: handler.New(n.answerLimits), methodColdPermit: handler.New(n.answerColdPermit), methodSnapshot: handler.New(n.answerSnapshot)}
}

// maxPollWait bounds how long a peer's call is held.
const maxPollWait = 2 * time.Second

// answerPoll answers a peer: at once if something changed, otherwise on the next change or when
// the wait ends. It returns an error as soon as the newest proof is stale, so that the peer
// turns to the store.
func (n *Node) answerPoll(ctx context.Context, r PollRequest) (PollReply, error) {
	received := n.now()
	if received.Sub(n.polledAt.Load()) >= recentContact {
		n.notifyPolled()
	}
	n.polledAt.Store(received)
	n.reports.note(r.From, r.StalledInstances, received)
	n.noteConfigStamp(r.ConfigInForce)
	timer := time.NewTimer(min(time.Duration(r.WaitMS)*time.Millisecond, maxPollWait))
	defer timer.Stop()
	for expired := false; ; {
		entries, config, changed := n.history.proofs()
		remaining := entries.Add(n.opts.StaleAfter()).Sub(n.now())
		if n.stopping.Load() {
			return PollReply{}, jrpc2.Errorf(codeStopping, "stopping")
		}
		if !n.isActiveRelay() || remaining <= 0 {
			return PollReply{}, jrpc2.Errorf(codeNotRelaying, "not relaying")
		}
		changes, err := n.history.packChangesAfter(r.After)
		if err != nil {
			return PollReply{}, errors.Trace(err)
		}
		evacuations := n.evacuations()
		newQuarantine := r.QuarantineSeq != nil && *r.QuarantineSeq != n.clusterWideSeq()
		if expired || changes.gap || len(changes.changes) > 0 || config.seq != r.ConfigSeq || newQuarantine || r.newEvacuations(evacuations) {
			reply := n.makePollReply(received, entries, config, changes)
			reply.Evacuations = r.evacuationReport(evacuations, n.now())
			return reply, nil
		}
		stale := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-evacuations.Changed:
		case <-stale.C:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			stale.Stop()
			return PollReply{}, ctx.Err()
		}
		stale.Stop()
	}
}

// notifyPolled signals that a peer polls after none did for recentContact.
func (n *Node) notifyPolled() {
	select {
	case n.polled <- struct{}{}:
	default:
	}
}

// makePollReply returns the answer to a poll that was received at a time.
func (n *Node) makePollReply(received, entries time.Time, config configProof, changes packedChanges) PollReply {
	now := n.now()
	out := PollReply{HeldMS: now.Sub(received).Milliseconds(), Gap: changes.gap, Changes: changes.changes, Revision: changes.end, EntriesAgeMS: ageMS(now, entries),
		ConfigSeq: config.seq, ConfigVersion: config.version, QuarantineSeq: n.clusterWideSeq(), ConfigInForce: n.configInForce()}
	if config.version != 0 {
		out.ConfigAgeMS = ageMS(now, config.provedAt)
	}
	return out
}

// configInForce returns the configuration that this daemon applies.
func (n *Node) configInForce() ConfigStamp {
	if n.opts.ConfigInForce == nil {
		return ConfigStamp{}
	}
	return n.opts.ConfigInForce()
}

// noteConfigStamp passes on which configuration another daemon applies.
func (n *Node) noteConfigStamp(s ConfigStamp) {
	if n.opts.OnConfigStamp != nil && s != (ConfigStamp{}) {
		n.opts.OnConfigStamp(s)
	}
}

// clusterWideSeq returns the sequence number of the last quarantine update that all daemons
// must have.
func (n *Node) clusterWideSeq() uint64 {
	if n.opts.Quarantine == nil {
		return 0
	}
	_, clusterWide := n.opts.Quarantine.Seq()
	return clusterWide
}

// noteClusterWideSeq records the quarantine sequence number that a relay sent; a new one starts
// a sync at once.
func (n *Node) noteClusterWideSeq(address string, seq uint64) {
	if n.share.noteSeq(address, seq) {
		n.SyncNow()
	}
}

// SyncNow starts an exchange of quarantine updates at once, without waiting for the next interval.
func (n *Node) SyncNow() {
	select {
	case n.syncRequested <- struct{}{}:
	default:
	}
}

// Peers calls other daemons over JSON-RPC.
type Peers struct{ rpc *rpc.Peers }

// NewPeers returns a transport without connections, whose calls end by a clock as in Options.
func NewPeers(clock *steady.RunClock) *Peers {
	p := &Peers{rpc: rpc.NewPeers(maxPollWait)}
	p.rpc.RunClock = clock
	return p
}

// NewPeersWithDialer is NewPeers with connections made by dial.
func NewPeersWithDialer(clock *steady.RunClock, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Peers {
	p := NewPeers(clock)
	p.rpc.Dial = dial
	return p
}

// Poll implements Transport.
func (p *Peers) Poll(ctx context.Context, address string, r PollRequest) (PollReply, error) {
	var out PollReply
	err := p.rpc.Call(ctx, address, methodPoll, r, &out)
	return out, err
}

// Stalled asks a relay which instances are stalled in its zone.
func (p *Peers) Stalled(ctx context.Context, address string) (StalledReply, error) {
	var out StalledReply
	err := p.rpc.Call(ctx, address, methodStalled, nil, &out)
	return out, err
}

// Share implements Transport.
func (p *Peers) Share(ctx context.Context, address string, r ShareRequest) (ShareReply, error) {
	var out ShareReply
	err := p.rpc.Call(ctx, address, methodShare, r, &out)
	return out, err
}

// TakeRetry implements Transport.
func (p *Peers) TakeRetry(ctx context.Context, address string, r RetryRequest) (RetryReply, error) {
	var out RetryReply
	err := p.rpc.Call(ctx, address, methodRetry, r, &out)
	return out, err
}

// ZoneLoads implements Transport.
func (p *Peers) ZoneLoads(ctx context.Context, address string) (LoadsReply, error) {
	var out LoadsReply
	err := p.rpc.Call(ctx, address, methodLoads, nil, &out)
	return out, err
}

// SyncQuarantine implements Transport.
func (p *Peers) SyncQuarantine(ctx context.Context, address string, r QuarantineRequest) (QuarantineReply, error) {
	var out QuarantineReply
	err := p.rpc.Call(ctx, address, methodQuarantine, r, &out)
	return out, err
}

// SyncLimits implements Transport.
func (p *Peers) SyncLimits(ctx context.Context, address string, r LimitsRequest) (LimitsReply, error) {
	var out LimitsReply
	err := p.rpc.Call(ctx, address, methodLimits, r, &out)
	return out, err
}

// Close closes all connections.
func (p *Peers) Close() { p.rpc.Close() }
