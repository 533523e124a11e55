package daemon

import (
	"context"

	"github.com/juju/errors"

	"pearlanding/internal/cluster"
	"pearlanding/internal/control"
	"pearlanding/internal/ledger"
	"pearlanding/internal/rpc"
)

// peerHandler answers the calls of other daemons.
type peerHandler struct {
	control *control.Control
	ledger  *ledger.Ledger
}

// Sync implements cluster.Handler.
func (h *peerHandler) Sync(ctx context.Context, req cluster.SyncRequest) (cluster.SyncReply, error) {
	return h.control.Sync(ctx, req)
}

// Offer implements cluster.Handler.
func (h *peerHandler) Offer(ctx context.Context, head cluster.VersionedHead) (cluster.OfferReply, error) {
	return h.control.Offer(ctx, head)
}

// Append implements cluster.Handler: it batches a peer's records with this daemon's own.
func (h *peerHandler) Append(ctx context.Context, req cluster.AppendRequest) (cluster.AppendReply, error) {
	entries, err := h.ledger.AppendLocal(ctx, req.Shard, req.Records)
	if errors.Is(err, ledger.ErrFull) {
		return cluster.AppendReply{Full: true}, nil
	}
	return cluster.AppendReply{Entries: entries}, err
}

// recordForwarder sends ledger records to the daemon that owns the duty of their shard.
type recordForwarder struct {
	control *control.Control
	peers   *rpc.Peers
}

// Forward implements ledger.Forwarder. It returns false if this daemon should append the
// records itself.
func (f *recordForwarder) Forward(ctx context.Context, shard int, records []ledger.Record) ([]ledger.Entry, bool, error) {
	snap := f.control.Snapshot()
	owner := snap.Owner(ledger.DutyName(shard))
	if owner == "" || owner == snap.Slot {
		return nil, false, nil
	}
	var reply cluster.AppendReply
	request := cluster.AppendRequest{Shard: shard, Records: records}
	err := f.peers.Call(ctx, snap.Peers[owner].Peer, cluster.MethodAppend, request, &reply)
	if err == nil && reply.Full {
		err = ledger.ErrFull
	}
	return reply.Entries, true, err
}
