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

// StandingReply lists instances whose running streams have stopped, or that failed
// lately, as daemons of the zone saw it.
type StandingReply struct {
	Instances []string `json:"instances,omitempty"`
}

// reports holds what the daemons of a zone told. Safe for concurrent use; time is
// passed in.
type reports struct {
	mu   sync.Mutex
	by   map[string]report // by daemon
	load map[string]int    // sum of all reports, by instance
	seq  uint64            // rises when an instance is reported that nobody reported before
}

// report is one daemon's word.
type report struct {
	standing []string       // instances that stand still for it
	load     map[string]int // its requests in progress, by instance
	at       time.Time
}

func newReports() *reports { return &reports{by: map[string]report{}, load: map[string]int{}} }

// note takes in a daemon's report and tells whether something else stands still now.
func (r *reports) note(from string, one report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(one.standing) > reportMost {
		one.standing = nil
	}
	r.expire(one.at)
	before := r.union()
	r.add(r.by[from], -1)
	r.by[from] = one
	r.add(one, 1)
	fresh := slices.ContainsFunc(one.standing, func(id string) bool { return !slices.Contains(before, id) })
	if fresh {
		r.seq++
	}
	return fresh
}

// add adds a report's load to the sum, or takes it off; r.mu is held.
func (r *reports) add(one report, sign int) {
	for id, n := range one.load {
		if r.load[id] += sign * n; r.load[id] == 0 {
			delete(r.load, id)
		}
	}
}

// expire forgets old reports; r.mu is held.
func (r *reports) expire(now time.Time) {
	for from, one := range r.by {
		if now.Sub(one.at) > reportFor {
			r.add(one, -1)
			delete(r.by, from)
		}
	}
}

// standing returns all instances reported lately, in order, and the number of the news.
func (r *reports) standing(now time.Time) ([]string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return r.union(), r.seq
}

// union is what all reports name; r.mu is held.
func (r *reports) union() []string {
	all := map[string]bool{}
	for _, one := range r.by {
		for _, id := range one.standing {
			all[id] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// loads returns the requests in progress of all daemons that reported lately.
func (r *reports) loads(now time.Time) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return maps.Clone(r.load)
}

// report takes in a peer's report, and tells everyone who waits for news.
func (n *Node) report(from string, one report) {
	if n.reports.note(from, one) {
		n.history.tell()
		all, _ := n.reports.standing(one.at)
		n.o.Suspect(all)
	}
}

// shareEvery is how often a relay takes in what its peers have in progress.
const shareEvery = 200 * time.Millisecond

// share keeps this daemon's picture of the others' load while it relays.
func (n *Node) share(now time.Time) {
	if now.Sub(n.sharedAt.Load()) >= shareEvery {
		n.sharedAt.Store(now)
		n.o.Others(n.reports.loads(now))
	}
}

// answerStanding answers the daemon that plans.
func (n *Node) answerStanding(context.Context) (StandingReply, error) {
	now := n.now()
	n.reports.note(n.o.Holder, report{standing: n.o.Standing(now), at: now})
	all, _ := n.reports.standing(now)
	return StandingReply{all}, nil
}

// Survey asks the relays of all zones what stands still. Run serves the daemon that
// plans, whose own requests show only a part.
type Survey struct {
	Relays func(ctx context.Context) ([]string, error) // their addresses
	Ask    func(ctx context.Context, address string) (StandingReply, error)
	Active func() bool
	Now    func() time.Time

	mu    sync.Mutex
	found []string
	at    time.Time
}

// Times of a survey.
const (
	surveyEvery   = 300 * time.Millisecond
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found, s.at = slices.Sorted(maps.Keys(all)), s.Now()
}
