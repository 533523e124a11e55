package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/cluster"
	"pearlanding/internal/control"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/revision"
	"pearlanding/internal/rpc"
)

// membership keeps this daemon in the registry and exchanges state with its peers and the
// platform. Its loops only send and receive; package control makes the decisions.
type membership struct {
	cfg       control.Config
	member    revision.Member // this daemon's entry in the registry
	timing    membershipTiming
	store     objectapi.Store
	control   *control.Control
	peers     *rpc.Peers
	log       *zap.Logger
	responses peerResponses
	started   time.Time
}

// peerResponses logs when a peer stops answering sync calls and when it answers again. Safe
// for concurrent use.
type peerResponses struct {
	log         *zap.Logger
	mu          sync.Mutex
	silentSince map[string]time.Time // by slot: when the first unanswered call was sent
}

func newPeerResponses(log *zap.Logger) peerResponses {
	return peerResponses{log: log, silentSince: map[string]time.Time{}}
}

// note records the result of a sync call.
func (r *peerResponses) note(slot string, sent, ended time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, silent := r.silentSince[slot]
	switch {
	case err != nil && !silent:
		r.silentSince[slot] = sent
		r.log.Info("peer does not answer", zap.String("peer", slot), zap.Int64("waited_ms", ended.Sub(sent).Milliseconds()), zap.Error(err))
	case err == nil && silent:
		delete(r.silentSince, slot)
		r.log.Info("peer answers again", zap.String("peer", slot), zap.Int64("silent_ms", ended.Sub(since).Milliseconds()),
			zap.Int64("took_ms", ended.Sub(sent).Milliseconds()))
	}
}

type membershipTiming struct {
	sync        time.Duration // interval of the loops
	lease       time.Duration // term of the admission lease
	forgetAfter time.Duration // silence after which a slot is removed
}

// syncPeersPerRound is how many random peers are called in one round; they pass on what
// they know of the others.
const syncPeersPerRound = 8

// syncLoop calls random peers every sync interval until ctx ends.
func (m *membership) syncLoop(ctx context.Context) {
	ticker := time.NewTicker(m.timing.sync)
	defer ticker.Stop()
	for {
		m.syncRound(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *membership) syncRound(ctx context.Context) {
	snap := m.control.Snapshot()
	var others []string
	for slot := range snap.Peers {
		if slot != m.cfg.Slot {
			others = append(others, slot)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	request := m.control.NewSyncRequest()
	for _, slot := range others[:min(len(others), syncPeersPerRound)] {
		go m.syncWith(ctx, slot, snap.Peers[slot].Peer, request)
	}
}

func (m *membership) syncWith(ctx context.Context, slot, address string, request cluster.SyncRequest) {
	sent := time.Now()
	var reply cluster.SyncReply
	err := m.peers.Call(ctx, address, cluster.MethodSync, request, &reply)
	m.responses.note(slot, sent, time.Now(), err)
	switch {
	case err == nil && reply.Slot == slot:
		m.control.ObserveSyncReply(reply, sent)
	case errors.Is(err, rpc.ErrRefused):
		m.control.ObserveRefusal(slot, sent)
	}
}

// pollLoop reads the head from the platform, but only when no peer has passed on a recent
// read, so that the platform's load does not grow with the number of daemons.
func (m *membership) pollLoop(ctx context.Context) {
	for {
		if m.control.Snapshot().PollDue(time.Now(), m.timing.lease) {
			m.poll(ctx)
		}
		if !sleep(ctx, m.timing.sync/2+time.Duration(rand.Int64N(int64(m.timing.sync/2)))) {
			return
		}
	}
}

func (m *membership) poll(ctx context.Context) {
	sent := time.Now()
	head, version, err := revision.Read(ctx, m.store)
	if err != nil {
		return
	}
	m.control.ObserveHead(ctx, head, version, sent)
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ErrSuperseded: another process has taken over this daemon's slot.
const ErrSuperseded = errors.ConstError("daemon: slot was taken by another process")

// registerLoop joins the registry, and joins again if the slot was removed while this
// daemon was silent. It returns nil when ctx ends, and ErrSuperseded if another process
// holds the slot.
func (m *membership) registerLoop(ctx context.Context) error {
	joined := false
	for {
		snap := m.control.Snapshot()
		holder, exists := snap.Head.Members[m.cfg.Slot]
		switch {
		case snap.Registered:
			joined = true
		case joined && exists && holder.Incarnation != m.cfg.Incarnation:
			return errors.Annotatef(ErrSuperseded, "%s at %s", m.cfg.Slot, holder.Peer)
		default:
			m.join(ctx)
		}
		if !sleep(ctx, m.timing.sync) {
			return nil
		}
	}
}

// join takes the slot. If the slot is registered at another address, its process may
// still run: the slot is removed first and taken only once that removal is accepted, by
// which time the process has lost its lease.
func (m *membership) join(ctx context.Context) {
	sent := time.Now()
	head, version, err := revision.Commit(ctx, m.store, func(h revision.Head) (revision.Head, error) {
		old, exists := h.Members[m.cfg.Slot]
		switch {
		case exists && old.Incarnation == m.cfg.Incarnation:
			return h, revision.ErrUnchanged
		case exists && old.Peer != m.member.Peer:
			return h.WithoutMember(m.cfg.Slot, false), nil
		case slices.Contains(h.Fenced, m.cfg.Slot):
			return h, revision.ErrUnchanged
		}
		return h.WithMember(m.cfg.Slot, m.member), nil
	})
	if err != nil && !errors.Is(err, revision.ErrUnchanged) {
		m.log.Info("registry not reachable", zap.Error(err))
		return
	}
	m.publishHead(ctx, head, version, sent)
}

// publishHead applies a head that this daemon wrote or read, and offers it to all peers.
func (m *membership) publishHead(ctx context.Context, head revision.Head, version uint64, sent time.Time) {
	m.control.ObserveHead(ctx, head, version, sent)
	m.offer(ctx, head, version)
}

// offer sends a head to every registered peer and records which of them applied it.
func (m *membership) offer(ctx context.Context, head revision.Head, version uint64) {
	for slot, member := range head.Members {
		if slot == m.cfg.Slot {
			continue
		}
		go func() {
			var reply cluster.OfferReply
			offered := cluster.VersionedHead{Version: version, Head: head}
			if m.peers.Call(ctx, member.Peer, cluster.MethodOffer, offered, &reply) == nil {
				m.control.ObserveOfferReply(reply)
			}
		}()
	}
}

// acceptLoop records accepted revisions in the head and removes silent slots, while this
// daemon owns that duty.
func (m *membership) acceptLoop(ctx context.Context) {
	for sleep(ctx, m.timing.sync) {
		snap := m.control.Snapshot()
		if !snap.Registered || !snap.Owns("accept", 1) {
			continue
		}
		if snap.AcceptedUpTo >= snap.Head.Revision && snap.Head.Accepted < snap.Head.Revision {
			m.recordAccepted(ctx, snap.Head.Revision)
		}
		m.removeSilent(ctx, snap)
	}
}

func (m *membership) recordAccepted(ctx context.Context, accepted uint64) {
	sent := time.Now()
	head, version, err := revision.Commit(ctx, m.store, func(h revision.Head) (revision.Head, error) {
		if h.Revision != accepted || h.Accepted >= accepted {
			return h, revision.ErrUnchanged
		}
		return h.WithAccepted(), nil
	})
	if err == nil {
		m.control.ObserveHead(ctx, head, version, sent)
	}
}

func (m *membership) removeSilent(ctx context.Context, snap *control.Snapshot) {
	now := time.Now()
	for slot, p := range snap.Peers {
		last := p.LastContact
		if last.Before(m.started) {
			last = m.started
		}
		if slot == m.cfg.Slot || now.Sub(last) < m.timing.forgetAfter {
			continue
		}
		m.log.Info("silent daemon removed from the registry", zap.String("slot", slot), zap.Duration("silent", now.Sub(last)))
		m.remove(ctx, slot, p.Incarnation, p.Refused)
		return
	}
}

// remove removes a slot from the registry if that incarnation still holds it. stopped
// is true if its process has stopped admitting for good.
func (m *membership) remove(ctx context.Context, slot, incarnation string, stopped bool) {
	sent := time.Now()
	head, version, err := revision.Commit(ctx, m.store, func(h revision.Head) (revision.Head, error) {
		if h.Members[slot].Incarnation != incarnation {
			return h, revision.ErrUnchanged
		}
		return h.WithoutMember(slot, stopped), nil
	})
	if err == nil {
		m.publishHead(ctx, head, version, sent)
	}
}

// leave releases this daemon's own slot. The daemon must have stopped admitting.
func (m *membership) leave(ctx context.Context) { m.remove(ctx, m.cfg.Slot, m.cfg.Incarnation, true) }
