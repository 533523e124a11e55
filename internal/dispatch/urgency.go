package dispatch

import (
	"sync"
	"time"
)

// Urgency orders the requests that wait at a replica.
type Urgency int

// Urgencies. Resumed is served before InTime, which is served before Late.
const (
	// InTime: the answer may still meet its objective.
	InTime Urgency = iota
	// Resumed: part of the answer was sent in time, and its next event is due.
	Resumed
	// Late: the answer can't meet its objective. It is served when no request waits that still can.
	Late
)

// StreamProgress is the progress of a stream.
type StreamProgress struct {
	Waited       time.Duration // time that the caller has waited, including its own earlier attempts
	Objective    time.Duration // for the first event; 0: none
	MaxPause     time.Duration // for pauses; 0: none
	Begun        bool          // an event was sent to the caller
	FirstEvent   time.Duration // wait for the first event
	LongestPause time.Duration // longest pause so far
}

// Urgency returns the urgency of a stream's next send. After an outage two seconds of callers
// arrive at once, most of them already late. Served in order of arrival, they would make all later
// callers late too.
func (p StreamProgress) Urgency() Urgency {
	missed := p.Objective > 0 && (p.Begun && p.FirstEvent > p.Objective || !p.Begun && p.Waited > p.Objective) ||
		p.MaxPause > 0 && p.LongestPause > p.MaxPause
	switch {
	case missed:
		return Late
	case p.Begun:
		return Resumed
	}
	return InTime
}

// maxTrackedRoutes bounds the routes for which callers' time limits are kept.
const maxTrackedRoutes = 4096

// firstAttemptShare is the share of the longest time limit seen on a route that a caller has left at
// least on its first attempt: time limits differ between callers.
const firstAttemptShare = 0.8

// CallerTimeLimits tracks the time limits of the callers of each route on their first attempt: a caller
// with much less time left has made an attempt before. Safe for concurrent use.
type CallerTimeLimits struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

// Elapsed returns the least time that a caller has already waited if its time limit leaves
// remaining; 0: it sent no time limit, has not waited, or nothing is known.
func (w *CallerTimeLimits) Elapsed(route string, remaining time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest, known := w.longest[route]
	if remaining <= 0 {
		return 0
	}
	if remaining <= longest {
		return max(time.Duration(firstAttemptShare*float64(longest))-remaining, 0)
	}
	if w.longest == nil {
		w.longest = map[string]time.Duration{}
	}
	if known || len(w.longest) < maxTrackedRoutes {
		w.longest[route] = remaining
	}
	return 0
}
