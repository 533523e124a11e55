package relay

import (
	"context"
	"sync"
	"time"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
)

// Traffic is what a daemon's own requests give to the others and take from them.
type Traffic struct {
	// Spare takes out the repeats that its requests earned and that it does not need.
	Spare func(now time.Time) map[string]float64
	// InFlight returns its requests in progress, by instance.
	InFlight func() map[string]int
	// Progress returns the groups whose running streams stopped lately, and those whose
	// bring events.
	Progress func(now time.Time) (stopped, alive []fleet.Key)
	// Stops is signalled when a running stream stopped.
	Stops <-chan struct{}
	// Loaded takes in what all other daemons told.
	Loaded func(others dispatch.Others, now time.Time)
	// Rule is that of the zone's pool of repeats.
	Rule func() dispatch.PoolRule
}

// share is a daemon's part in what its zone shares. Safe for concurrent use.
type share struct {
	pool  dispatch.Pool // used while peers ask this daemon
	loads loads

	mu     sync.Mutex
	levels map[string]float64 // of the relay's pool, as told last
	toldAt time.Time
	relay  string // the address that answered last; empty: none
	// What is known of requests that end instances is asked of a relay as long as it
	// answers, in touch with the store or not.
	lastRelay string
	hot       uint64 // the number that it told last
	due       bool   // that number is news, and it was not asked since
}

// found notes the relay that answers this daemon.
func (s *share) found(relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay = relay
	s.remember(relay)
}

// remember notes a zone's relay for what is known of requests that end instances; s.mu is
// held.
func (s *share) remember(relay string) {
	if s.lastRelay != relay {
		s.lastRelay, s.hot = relay, 0
	}
}

// last returns the relay that answered last, and whether it has news.
func (s *share) last() (relay string, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRelay, s.due
}

// untold tells whether the relay that answered last was lost and none was found since.
func (s *share) untold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay == "" && s.lastRelay != ""
}

// asked notes that a relay is asked for its news now, or that this failed.
func (s *share) asked(relay string, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastRelay == relay {
		s.due = failed
	}
}

// heard returns the number that a relay told last.
func (s *share) heard(relay string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastRelay != relay {
		return 0
	}
	return s.hot
}

// hear takes in the number that a relay told; false: it is no news.
func (s *share) hear(relay string, hot uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remember(relay)
	news := s.hot != hot
	s.hot, s.due = hot, s.due || news
	return news
}

// told takes in what a relay's pool holds.
func (s *share) told(levels map[string]float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.levels, s.toldAt = levels, now
}

// lost notes that the relay does not answer.
func (s *share) lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay, s.levels = "", nil
}

// current returns the relay and what its pool held lately.
func (s *share) current(now time.Time) (relay string, levels map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.toldAt) > sharedFor {
		return s.relay, nil
	}
	return s.relay, s.levels
}

// Repeat asks the zone's pool for a repeat of a service; false: it has none, or there is no
// relay. One that was granted and not used is lost to the pool.
func (n *Node) Repeat(ctx context.Context, service string) bool {
	now := n.now()
	if n.relaying() {
		n.share.pool.Put(n.o.Traffic.Spare(now), n.o.Traffic.Rule(), now)
		return n.share.pool.Take(service, n.o.Traffic.Rule(), now)
	}
	relay, _ := n.share.current(now)
	if relay == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, repeatTimeout)
	defer cancel()
	r, err := n.o.Peers.Repeat(ctx, relay, RepeatRequest{service})
	return err == nil && r.Granted // a pool that can't be reached grants nothing
}

// MayRepeat tells whether the zone's pool probably has a repeat of a service.
func (n *Node) MayRepeat(service string) bool {
	now := n.now()
	if n.relaying() {
		return n.share.pool.Levels(n.o.Traffic.Rule(), now)[service] >= 1
	}
	_, levels := n.share.current(now)
	return levels[service] >= 1
}

// answerRepeat answers a peer that needs a repeat.
func (n *Node) answerRepeat(_ context.Context, r RepeatRequest) (RepeatReply, error) {
	if !n.relaying() {
		return RepeatReply{}, nil
	}
	return RepeatReply{n.share.pool.Take(r.Service, n.o.Traffic.Rule(), n.now())}, nil
}
