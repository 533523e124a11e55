package relay

import (
	"context"
	"sync"
	"time"

	"pearlanding/internal/demand"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
)

// Traffic connects a daemon's own requests to what its zone shares.
type Traffic struct {
	// TakeSpareRetries removes and returns the retry credit, by service, that the daemon's requests accrued
	// and that the daemon does not need.
	TakeSpareRetries func(now time.Time) map[string]float64
	// InFlight returns the daemon's requests in flight, by instance.
	InFlight func() map[string]int
	// Demand returns what callers ask of this daemon; nil: nothing is reported.
	Demand func(now time.Time) []demand.Rate
	// GroupProgress returns the groups whose running streams recently stopped making progress, and
	// those whose streams deliver events.
	GroupProgress func(now time.Time) (stalled, active []fleet.GroupKey)
	// Stalls is signalled when a running stream stops making progress.
	Stalls <-chan struct{}
	// OnLoads is called with what all other daemons reported.
	OnLoads func(others dispatch.PeerReports, now time.Time)
	// RetryPoolRule returns the rule of the zone's retry pool.
	RetryPoolRule func() dispatch.RetryPoolRule
}

// demand returns what callers ask of this daemon.
func (t *Traffic) demand(now time.Time) []demand.Rate {
	if t.Demand == nil {
		return nil
	}
	return t.Demand(now)
}

// zoneShare is a daemon's part in what its zone shares. Safe for concurrent use.
type zoneShare struct {
	pool  dispatch.RetryPool // used while peers poll this daemon
	loads loads

	mu         sync.Mutex
	poolLevels map[string]float64 // retry credit in the relay's pool, by service, as last received
	levelsAt   time.Time          // when poolLevels were received
	relay      string             // address of the relay in use; empty: none
	// lastUsedRelay stays after the relay is lost: quarantine updates are requested from a relay
	// as long as it answers, whether or not it reaches the store.
	lastUsedRelay  string
	clusterWideSeq uint64 // quarantine sequence number that lastUsedRelay sent last
	syncDue        bool   // that number is new, and no sync has succeeded since
}

// setRelay records the relay that this daemon uses.
func (s *zoneShare) setRelay(relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay = relay
	s.rememberRelay(relay)
}

// rememberRelay records the relay to sync quarantine updates with; s.mu is held.
func (s *zoneShare) rememberRelay(relay string) {
	if s.lastUsedRelay != relay {
		s.lastUsedRelay, s.clusterWideSeq = relay, 0
	}
}

// lastUsed returns the relay in use or, after its loss, the one used last, and whether a
// quarantine sync with it is due.
func (s *zoneShare) lastUsed() (relay string, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastUsedRelay, s.syncDue
}

// relayLost reports whether the relay in use was lost and none was found since.
func (s *zoneShare) relayLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay == "" && s.lastUsedRelay != ""
}

// setSyncDue records whether a quarantine sync with a relay is due: not while a sync runs, but
// again if it failed.
func (s *zoneShare) setSyncDue(relay string, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastUsedRelay == relay {
		s.syncDue = due
	}
}

// lastSeq returns the quarantine sequence number that a relay sent last; 0: none.
func (s *zoneShare) lastSeq(relay string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastUsedRelay != relay {
		return 0
	}
	return s.clusterWideSeq
}

// noteSeq records the quarantine sequence number that a relay sent and reports whether it is new.
func (s *zoneShare) noteSeq(relay string, seq uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rememberRelay(relay)
	isNew := s.clusterWideSeq != seq
	s.clusterWideSeq, s.syncDue = seq, s.syncDue || isNew
	return isNew
}

// setLevels records the levels of the relay's retry pool.
func (s *zoneShare) setLevels(levels map[string]float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poolLevels, s.levelsAt = levels, now
}

// clearRelay records that the relay was lost.
func (s *zoneShare) clearRelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay, s.poolLevels = "", nil
}

// relayInUse returns the address of the relay in use (empty: none), and the levels of its retry
// pool if these are recent.
func (s *zoneShare) relayInUse(now time.Time) (relay string, levels map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.levelsAt) > levelsValidFor {
		return s.relay, nil
	}
	return s.relay, s.poolLevels
}

// TakeRetry takes one retry of a service from the zone's pool. It returns false if the pool has
// none or there is no relay. A retry that was granted and not used is lost to the pool.
func (n *Node) TakeRetry(ctx context.Context, service string) bool {
	now := n.now()
	if n.isActiveRelay() {
		n.share.pool.Add(n.opts.Traffic.TakeSpareRetries(now), n.opts.Traffic.RetryPoolRule(), now)
		return n.share.pool.TakeRetry(service, n.opts.Traffic.RetryPoolRule(), now)
	}
	relay, _ := n.share.relayInUse(now)
	if relay == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	r, err := n.opts.Peers.TakeRetry(ctx, relay, RetryRequest{service})
	return err == nil && r.Granted // a pool that can't be reached grants nothing
}

// RetryAvailable reports whether the zone's pool probably has a retry of a service.
func (n *Node) RetryAvailable(service string) bool {
	now := n.now()
	if n.isActiveRelay() {
		return n.share.pool.Levels(n.opts.Traffic.RetryPoolRule(), now)[service] >= 1
	}
	_, levels := n.share.relayInUse(now)
	return levels[service] >= 1
}

// answerRetry answers a peer that needs a retry.
func (n *Node) answerRetry(_ context.Context, r RetryRequest) (RetryReply, error) {
	if !n.isActiveRelay() {
		return RetryReply{}, nil
	}
	return RetryReply{n.share.pool.TakeRetry(r.Service, n.opts.Traffic.RetryPoolRule(), n.now())}, nil
}
