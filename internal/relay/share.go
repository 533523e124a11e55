package relay

import (
	"context"
	"sync"
	"time"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
)

// Traffic connects a daemon's own requests to what its zone shares.
type Traffic struct {
	// Spare removes and returns the retry credit, by service, that its requests accrued and
	// that it does not need.
	Spare func(now time.Time) map[string]float64
	// InFlight returns its requests in flight, by instance.
	InFlight func() map[string]int
	// Progress returns the groups whose running streams recently stopped making progress, and
	// those whose streams deliver events.
	Progress func(now time.Time) (stalled, active []fleet.Key)
	// Stops is signalled when a running stream stops making progress.
	Stops <-chan struct{}
	// Loaded is called with what all other daemons reported.
	Loaded func(others dispatch.Others, now time.Time)
	// Rule returns the rule of the zone's retry pool.
	Rule func() dispatch.PoolRule
}

// zoneShare is a daemon's part in what its zone shares. Safe for concurrent use.
type zoneShare struct {
	pool  dispatch.Pool // used while peers poll this daemon
	loads loads

	mu         sync.Mutex
	poolLevels map[string]float64 // of the relay's pool, as last received
	levelsAt   time.Time
	relay      string // the address that answered last; empty: none
	// Quarantine updates are requested from a relay as long as it answers, whether or not it
	// reaches the store.
	lastRelay      string
	clusterWideSeq uint64 // the sequence number that it sent last
	syncDue        bool   // that number is new, and no sync has succeeded since
}

// setRelay records the relay that answers this daemon.
func (s *zoneShare) setRelay(relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay = relay
	s.rememberRelay(relay)
}

// rememberRelay records a zone's relay for quarantine syncs; s.mu is held.
func (s *zoneShare) rememberRelay(relay string) {
	if s.lastRelay != relay {
		s.lastRelay, s.clusterWideSeq = relay, 0
	}
}

// lastAnswered returns the relay that answered last, and whether it has updates.
func (s *zoneShare) lastAnswered() (relay string, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRelay, s.syncDue
}

// relayLost reports whether the relay that answered last was lost and none was found since.
func (s *zoneShare) relayLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay == "" && s.lastRelay != ""
}

// setSyncDue records that a relay is being asked for its updates, or that this failed.
func (s *zoneShare) setSyncDue(relay string, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastRelay == relay {
		s.syncDue = failed
	}
}

// lastSeq returns the sequence number that a relay sent last.
func (s *zoneShare) lastSeq(relay string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastRelay != relay {
		return 0
	}
	return s.clusterWideSeq
}

// noteSeq records the sequence number that a relay sent and reports whether it is new.
func (s *zoneShare) noteSeq(relay string, seq uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rememberRelay(relay)
	isNew := s.clusterWideSeq != seq
	s.clusterWideSeq, s.syncDue = seq, s.syncDue || isNew
	return isNew
}

// setLevels records the levels of a relay's pool.
func (s *zoneShare) setLevels(levels map[string]float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poolLevels, s.levelsAt = levels, now
}

// clearRelay records that the relay does not answer.
func (s *zoneShare) clearRelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay, s.poolLevels = "", nil
}

// current returns the relay and its pool's levels, if these are recent.
func (s *zoneShare) current(now time.Time) (relay string, levels map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.levelsAt) > levelsValidFor {
		return s.relay, nil
	}
	return s.relay, s.poolLevels
}

// Repeat takes one retry of a service from the zone's pool. It returns false if the pool has
// none or there is no relay. A retry that was granted and not used is lost to the pool.
func (n *Node) Repeat(ctx context.Context, service string) bool {
	now := n.now()
	if n.relaying() {
		n.share.pool.Put(n.opts.Traffic.Spare(now), n.opts.Traffic.Rule(), now)
		return n.share.pool.Take(service, n.opts.Traffic.Rule(), now)
	}
	relay, _ := n.share.current(now)
	if relay == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	r, err := n.opts.Peers.TakeRetry(ctx, relay, RetryRequest{service})
	return err == nil && r.Granted // a pool that can't be reached grants nothing
}

// MayRepeat reports whether the zone's pool probably has a retry of a service.
func (n *Node) MayRepeat(service string) bool {
	now := n.now()
	if n.relaying() {
		return n.share.pool.Levels(n.opts.Traffic.Rule(), now)[service] >= 1
	}
	_, levels := n.share.current(now)
	return levels[service] >= 1
}

// answerRetry answers a peer that needs a retry.
func (n *Node) answerRetry(_ context.Context, r RetryRequest) (RetryReply, error) {
	if !n.relaying() {
		return RetryReply{}, nil
	}
	return RetryReply{n.share.pool.Take(r.Service, n.opts.Traffic.Rule(), n.now())}, nil
}
