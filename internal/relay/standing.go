package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of what daemons tell one another of instances that stand still.
const (
	// reportMost is how many instances a daemon may report at a time. One for which
	// more stand still is probably cut off itself, and reports none.
	reportMost = 8
	// reportFor is how long a report counts: a daemon makes one with each of its calls,
	// several a second.
	reportFor = time.Second
)

// methodStanding asks a relay which instances stand still for the daemons of its zone.
const methodStanding = "relay.standing"

// StandingReply lists instances whose running streams stopped, as daemons of the zone
// saw it.
type StandingReply struct {
	Instances []string `json:"instances,omitempty"`
}

// reports holds what the daemons of a zone told. Safe for concurrent use; time is
// passed in.
type reports struct {
	mu sync.Mutex
	by map[string]report // by daemon
}

// report is one daemon's word.
type report struct {
	standing []string
	at       time.Time
}

func newReports() *reports { return &reports{by: map[string]report{}} }

// note takes in a daemon's report.
func (r *reports) note(from string, standing []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(standing) > reportMost {
		standing = nil
	}
	r.by[from] = report{standing, now}
}

// standing returns all instances reported lately, in order.
func (r *reports) standing(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.by, func(_ string, one report) bool { return now.Sub(one.at) > reportFor })
	all := map[string]bool{}
	for _, one := range r.by {
		for _, id := range one.standing {
			all[id] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// answerStanding answers the daemon that plans.
func (n *Node) answerStanding(context.Context) (StandingReply, error) {
	now := n.now()
	n.reports.note(n.o.Holder, n.o.Standing(now), now)
	return StandingReply{n.reports.standing(now)}, nil
}

// Survey asks the relays of all zones what stands still. Run serves the daemon that
// plans, whose own requests show only a part.
type Survey struct {
	Relays func(ctx context.Context) ([]string, error) // their addresses
	Ask    func(ctx context.Context, address string) (StandingReply, error)
	Active func() bool
	Now    func() time.Time
	// News, if set, is signalled when a survey finds an instance that the one before did not.
	News chan<- struct{}

	mu    sync.Mutex
	found []string
	at    time.Time
}

// Times of a survey.
const (
	surveyEvery   = 150 * time.Millisecond
	surveyTimeout = 250 * time.Millisecond
	// relaysFor is how long the list of relays is kept; each look is a call to the
	// store.
	relaysFor = 5 * time.Second
)

// Found returns the instances that the last survey found, if it is not old.
func (s *Survey) Found(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.at) > reportFor {
		return nil
	}
	return s.found
}

// Run makes a survey every now and then while it is active, until ctx ends.
func (s *Survey) Run(ctx context.Context) {
	tick := time.NewTicker(surveyEvery)
	defer tick.Stop()
	var relays []string
	var listed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !s.Active() {
			continue
		}
		if now := s.Now(); now.Sub(listed) > relaysFor {
			if found, err := s.Relays(ctx); err == nil {
				relays = found
			}
			listed = now // an error is counted with the store's calls; the old list stays
		}
		s.once(ctx, relays)
	}
}

// once asks all relays at a time.
func (s *Survey) once(ctx context.Context, relays []string) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	replies := make([]StandingReply, len(relays))
	var wait sync.WaitGroup
	for i, address := range relays {
		wait.Go(func() {
			if r, err := s.Ask(ctx, address); err == nil {
				replies[i] = r // a relay without an answer is replaced by its zone
			}
		})
	}
	wait.Wait()
	all := map[string]bool{}
	for _, r := range replies {
		for _, id := range r.Instances {
			all[id] = true
		}
	}
	s.take(slices.Sorted(maps.Keys(all)))
}

// take takes in what a survey found.
func (s *Survey) take(found []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := slices.ContainsFunc(found, func(id string) bool { return !slices.Contains(s.found, id) })
	s.found, s.at = found, s.Now()
	if !news || s.News == nil {
		return
	}
	select {
	case s.News <- struct{}{}:
	default: // signalled already
	}
}
