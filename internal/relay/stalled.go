package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"pearlanding/internal/steady"
)

// Bounds of the reports of stalled instances.
const (
	// maxReported is how many instances a daemon may report at a time. A daemon for which more
	// are stalled is probably cut off itself, and reports none.
	maxReported = 8
	// reportValidFor is how long a report counts. A daemon sends a report with each of its calls,
	// several a second.
	reportValidFor = time.Second
)

// methodStalled asks a relay which instances are stalled for the daemons of its zone.
const methodStalled = "relay.standing"

// StalledReply lists instances whose running streams stopped making progress for daemons of the
// zone.
type StalledReply struct {
	Instances []string `json:"instances,omitempty"`
}

// reports holds the daemons' reports of stalled instances in one zone. Safe for concurrent use;
// time is passed in.
type reports struct {
	mu       sync.Mutex
	byDaemon map[string]report // by id
}

// report is the last report of one daemon.
type report struct {
	stalled    []string
	receivedAt time.Time
}

func newReports() *reports { return &reports{byDaemon: map[string]report{}} }

// note records a daemon's report. One of more than maxReported instances counts as empty.
func (r *reports) note(from string, stalled []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(stalled) > maxReported {
		stalled = nil
	}
	r.byDaemon[from] = report{stalled, now}
}

// stalled returns all recently reported instances, sorted.
func (r *reports) stalled(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.byDaemon, func(_ string, last report) bool { return now.Sub(last.receivedAt) > reportValidFor })
	all := map[string]bool{}
	for _, last := range r.byDaemon {
		for _, id := range last.stalled {
			all[id] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// answerStalled answers the planner's survey.
func (n *Node) answerStalled(context.Context) (StalledReply, error) {
	now := n.now()
	n.reports.note(n.opts.Holder, n.opts.StalledInstances(now), now)
	return StalledReply{n.reports.stalled(now)}, nil
}

// StallSurvey asks the relays of all zones for stalled instances, for the planner: its own requests
// show only some of the stalls.
type StallSurvey struct {
	ListRelays func(ctx context.Context) ([]string, error) // returns their addresses
	Ask        func(ctx context.Context, address string) (StalledReply, error)
	Active     func() bool // reports whether surveys are needed now
	Now        func() time.Time
	RunClock   *steady.RunClock // as in Options
	// NewStalls, if set, is signalled when a survey finds an instance that the previous survey did not.
	NewStalls chan<- struct{}

	mu      sync.Mutex
	found   []string
	foundAt time.Time
}

// Intervals and timeout of a survey.
const (
	surveyInterval = 150 * time.Millisecond
	surveyTimeout  = 250 * time.Millisecond
	// surveyListInterval is how long the list of relays is reused; each listing is a call to
	// the store.
	surveyListInterval = 5 * time.Second
)

// Found returns the instances found by the last survey, or nil if that survey is older than
// reportValidFor.
func (s *StallSurvey) Found(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.foundAt) > reportValidFor {
		return nil
	}
	return s.found
}

// Run makes a survey every surveyInterval while Active returns true, until ctx ends.
func (s *StallSurvey) Run(ctx context.Context) {
	tick := time.NewTicker(surveyInterval)
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
		if now := s.Now(); now.Sub(listed) > surveyListInterval {
			if found, err := s.ListRelays(ctx); err == nil {
				relays = found
			}
			listed = now // an error is counted with the store's calls; the old list stays
		}
		s.runOnce(ctx, relays)
	}
}

// runOnce asks all relays in parallel.
func (s *StallSurvey) runOnce(ctx context.Context, relays []string) {
	ctx, cancel := s.RunClock.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	replies := make([]StalledReply, len(relays))
	var wait sync.WaitGroup
	for i, address := range relays {
		wait.Go(func() {
			if r, err := s.Ask(ctx, address); err == nil {
				replies[i] = r // a relay that does not answer is skipped: its zone replaces it
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
	s.setFound(slices.Sorted(maps.Keys(all)))
}

// setFound stores the result of a survey.
func (s *StallSurvey) setFound(found []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasNew := slices.ContainsFunc(found, func(id string) bool { return !slices.Contains(s.found, id) })
	s.found, s.foundAt = found, s.Now()
	if !hasNew || s.NewStalls == nil {
		return
	}
	select {
	case s.NewStalls <- struct{}{}:
	default: // already signalled
	}
}
