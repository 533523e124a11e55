package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/quarantine"
)

// methodQuarantine exchanges what two daemons know of requests that crash instances.
const methodQuarantine = "relay.quarantine"

// Quarantine holds what a daemon knows of requests that crash instances. Its methods are safe
// for concurrent use.
type Quarantine interface {
	// UpdatesSince returns the updates after a sequence number, and the number that they lead to. With
	// clusterWide set it leaves out updates that only relays need.
	UpdatesSince(seq uint64, clusterWide bool) (updates []quarantine.Update, upTo uint64)
	// Seq returns the sequence number of the last update, and of the last one that all daemons
	// must have.
	Seq() (all, clusterWide uint64)
	Merge(updates []quarantine.Update)
}

// QuarantineRequest carries the caller's updates and asks for those that it has not seen.
type QuarantineRequest struct {
	From    string              `json:"from"` // identifies the caller, unique for each process
	Updates []quarantine.Update `json:"words,omitempty"`
	// Parts are the updates about parts of prompts. Daemons that know contents only ignore them; among the
	// other updates they would take each part for a content.
	Parts []quarantine.Update `json:"parts,omitempty"`
	// The caller has received the updates of process SeenOf up to number SeenSeq.
	SeenOf      string `json:"of"`
	SeenSeq     uint64 `json:"seen"`
	ClusterWide bool   `json:"hot,omitempty"` // the caller does not count crashes; it needs cluster-wide updates only
}

// QuarantineReply carries what the daemon knew before the request.
type QuarantineReply struct {
	From    string              `json:"from"` // identifies the daemon, unique for each process
	Updates []quarantine.Update `json:"words,omitempty"`
	Parts   []quarantine.Update `json:"parts,omitempty"` // about parts of prompts
	Seq     uint64              `json:"seq"`             // number that the updates lead to
}

// answerQuarantine answers another daemon, whether or not this one reaches the store.
func (n *Node) answerQuarantine(_ context.Context, r QuarantineRequest) (QuarantineReply, error) {
	q := n.opts.Quarantine
	if r.SeenOf != n.opts.Holder {
		r.SeenSeq = 0
	}
	updates, seq := q.UpdatesSince(r.SeenSeq, r.ClusterWide)
	q.Merge(slices.Concat(r.Updates, r.Parts))
	contents, parts := quarantine.SplitParts(updates)
	return QuarantineReply{n.opts.Holder, contents, parts, seq}, nil
}

// syncState is how far two daemons have exchanged their updates.
type syncState struct {
	peerID   string // the other daemon, unique for each process
	received uint64 // sequence number of the other daemon's updates received so far
	sent     uint64 // sequence number of this daemon's updates sent so far
}

// syncStates holds the state of each daemon that this one exchanged updates with, by address.
// Safe for concurrent use.
type syncStates struct {
	mu        sync.Mutex
	byAddress map[string]syncState
}

func (s *syncStates) get(address string) syncState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAddress[address]
}

func (s *syncStates) set(address string, state syncState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress == nil {
		s.byAddress = map[string]syncState{}
	}
	s.byAddress[address] = state
}

// maxSyncRounds bounds the messages of one exchange; what remains is sent with the next exchange.
const maxSyncRounds = 8

// syncQuarantine exchanges updates with one daemon until neither has more.
func (n *Node) syncQuarantine(ctx context.Context, address string, clusterWide bool) error {
	q := n.opts.Quarantine
	for range maxSyncRounds {
		state := n.syncStates.get(address)
		updates, sent := q.UpdatesSince(state.sent, false)
		contents, parts := quarantine.SplitParts(updates)
		r, err := n.opts.Peers.SyncQuarantine(ctx, address, QuarantineRequest{From: n.opts.Holder, Updates: contents, Parts: parts, SeenOf: state.peerID, SeenSeq: state.received, ClusterWide: clusterWide})
		if err != nil {
			return err
		}
		received := slices.Concat(r.Updates, r.Parts)
		q.Merge(received)
		next := syncState{peerID: r.From, received: r.Seq, sent: sent}
		if r.From != state.peerID && state.peerID != "" {
			next.sent = 0 // a new process, which has none of the updates sent to its predecessor
		}
		n.syncStates.set(address, next)
		if all, _ := q.Seq(); len(received) == 0 && next.sent >= all {
			return nil
		}
	}
	return nil
}

// Intervals of exchanging quarantine updates.
const (
	// syncTimeout bounds one exchange.
	syncTimeout = 300 * time.Millisecond
	// syncRetryInterval is the delay before a failed exchange is retried; syncIdleInterval is
	// the interval of checks while there is nothing to send or request.
	syncRetryInterval = 250 * time.Millisecond
	syncIdleInterval  = 2 * time.Second
	// minListInterval is the minimum time between two listings of the relays while there are
	// updates to send: the records may have changed since the last listing.
	minListInterval = time.Second
)

// QuarantineSync exchanges quarantine updates: a relay with the relays of all zones, any other daemon
// with its own relay. Without new updates it makes no call, except one to each relay that it
// never reached.
type QuarantineSync struct {
	Node        *Node
	ListRecords func(ctx context.Context) (objectapi.Listing, error) // lists the records of all zones

	listedAt  time.Time
	listedSeq uint64               // number of this daemon's last update when it listed the relays
	triedAt   map[string]time.Time // when each relay was last tried, by address
}

// Run exchanges updates until ctx ends.
func (s *QuarantineSync) Run(ctx context.Context) {
	timer := time.NewTimer(syncRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.Node.syncRequested:
			s.Node.history.notify()
		}
		s.runOnce(ctx)
		timer.Reset(s.nextDelay())
	}
}

// nextDelay returns how long to wait until the next check, unless a sync is requested earlier.
func (s *QuarantineSync) nextDelay() time.Duration {
	if s.pending() || s.Node.relayLost() {
		return syncRetryInterval
	}
	return syncIdleInterval
}

// pending reports whether this daemon has updates to send to a relay or to request from it. A
// relay that listed the records before its last update may not know all relays that lack it.
func (s *QuarantineSync) pending() bool {
	n := s.Node
	all, _ := n.opts.Quarantine.Seq()
	if !n.IsRelay() {
		relay, due := n.share.lastUsed()
		return due || n.syncStates.get(relay).sent < all
	}
	return all > s.listedSeq || slices.ContainsFunc(n.relaysToSync(), func(address string) bool { return s.needsSync(address, all) })
}

// needsSync reports whether a relay is missing updates of this daemon, of which all is the last,
// or was never reached. A relay that was never reached is tried again after relayListInterval.
func (s *QuarantineSync) needsSync(address string, all uint64) bool {
	state := s.Node.syncStates.get(address)
	return state.sent < all || state.peerID == "" && s.Node.now().Sub(s.triedAt[address]) > relayListInterval
}

// runOnce makes the exchanges that are due.
func (s *QuarantineSync) runOnce(ctx context.Context) {
	if s.Node.IsRelay() {
		s.syncWithAllZones(ctx)
	} else {
		s.syncWithRelay(ctx)
	}
}

// syncWithRelay exchanges updates with the zone's relay.
func (s *QuarantineSync) syncWithRelay(ctx context.Context) {
	n := s.Node
	relay, _ := n.share.lastUsed()
	if !s.pending() {
		if n.relayLost() {
			s.trySync(ctx, relay, true) // Follow looks for a new relay if this one does not answer
		}
		return
	}
	all, _ := n.opts.Quarantine.Seq()
	if relay != "" {
		n.share.setSyncDue(relay, false)
		if s.trySync(ctx, relay, true) {
			n.relayUnresponsive.Store(false)
			return
		}
		n.share.setSyncDue(relay, true)
	}
	n.relayUnresponsive.Store(true)
	s.refreshRelays(ctx, all)
	if own := n.zoneRelay(); own != "" && own != n.opts.Address {
		n.share.setRelay(own)
	}
	s.syncWithRemoteZone(ctx, relay, all)
}

// syncWithRemoteZone sends the updates that the zone's own relay does not receive to another
// zone's relay. The other daemons of this zone do the same, so that the crash counts of all add up
// at that relay.
func (s *QuarantineSync) syncWithRemoteZone(ctx context.Context, own string, all uint64) {
	n := s.Node
	for _, address := range n.otherRelays() {
		if address != own && n.syncStates.get(address).sent < all && s.trySync(ctx, address, true) {
			return
		}
	}
}

// relayLost reports whether this daemon lost its relay. The lost relay may still receive
// quarantine updates, but announces none to this daemon until it is used again.
func (n *Node) relayLost() bool { return !n.IsRelay() && n.share.relayLost() }

// RelayUnresponsive reports whether the last quarantine sync of this daemon with its relay failed, or found
// no relay. The daemon must then save durable quarantine records itself.
func (n *Node) RelayUnresponsive() bool { return n.relayUnresponsive.Load() }

// syncWithAllZones exchanges updates with the relays of all zones.
func (s *QuarantineSync) syncWithAllZones(ctx context.Context) {
	n := s.Node
	all, clusterWide := n.opts.Quarantine.Seq()
	// A relay that peers poll lists the records regularly anyway, and learns from these listings
	// of contents that were released from quarantine.
	unpolled := clusterWide > 0 && !n.ServesPeers() && n.now().Sub(s.listedAt) > relayListInterval
	if all > s.listedSeq || unpolled {
		s.refreshRelays(ctx, all)
	}
	var wait sync.WaitGroup
	if s.triedAt == nil {
		s.triedAt = map[string]time.Time{}
	}
	for _, address := range n.relaysToSync() {
		if s.needsSync(address, all) {
			s.triedAt[address] = n.now()
			wait.Go(func() { s.trySync(ctx, address, false) })
		}
	}
	wait.Wait()
}

// trySync exchanges updates with one daemon. It returns false if that daemon did not answer in
// time.
func (s *QuarantineSync) trySync(ctx context.Context, address string, clusterWide bool) bool {
	ctx, cancel := s.Node.opts.RunClock.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return s.Node.syncQuarantine(ctx, address, clusterWide) == nil
}

// refreshRelays lists the relays, to which updates up to a number are to be sent, unless they were
// listed within minListInterval.
func (s *QuarantineSync) refreshRelays(ctx context.Context, seq uint64) {
	now := s.Node.now()
	if now.Sub(s.listedAt) < minListInterval {
		return
	}
	s.listedAt = now
	l, err := s.ListRecords(ctx)
	if err != nil {
		return // counted with the store's calls; the last listing stays
	}
	s.listedSeq = seq
	s.Node.noteRecords(l)
}
