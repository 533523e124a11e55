package dispatch

import (
	"sync"
	"time"
)

// Urgency orders the requests that wait at a replica.
type Urgency int

// Urgencies. Resumed goes before InTime, which goes before Late.
const (
	// InTime: the answer may still come within its objective.
	InTime Urgency = iota
	// Resumed: a part of the answer has gone out in time, and its next event is due.
	Resumed
	// Late: it can't come in time. It is served when nobody waits that still could be.
	Late
)

// StreamProgress is how far a stream has come.
type StreamProgress struct {
	Waited    time.Duration // by the caller, earlier attempts of its own included
	Objective time.Duration // for the first event; 0: none
	Gap       time.Duration // for pauses; 0: none
	Begun     bool          // an event went out
	First     time.Duration // when the first one did
	Pause     time.Duration // the longest until now
}

// Urgency tells how urgent a stream's next send is. After an outage two seconds of callers
// come at once, most of them late already: served in the order of their coming, they make
// all who come after them late too.
func (p StreamProgress) Urgency() Urgency {
	missed := p.Objective > 0 && (p.Begun && p.First > p.Objective || !p.Begun && p.Waited > p.Objective) ||
		p.Gap > 0 && p.Pause > p.Gap
	switch {
	case missed:
		return Late
	case p.Begun:
		return Resumed
	}
	return InTime
}

// maxRoutes bounds the routes whose callers' waits are kept.
const maxRoutes = 4096

// firstAskPart of the longest wait seen on a route is what a caller that asks first has left at
// least: callers' own limits differ.
const firstAskPart = 0.8

// CallerWaits knows for how long the callers of each route wait when they ask first: one that has
// much less time left has asked before. Safe for concurrent use.
type CallerWaits struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

// Elapsed returns for how long a caller has waited at least that has so much time left; 0: not
// told, or not known.
func (w *CallerWaits) Elapsed(route string, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest, known := w.longest[route]
	if left <= 0 {
		return 0
	}
	if left <= longest {
		return max(time.Duration(firstAskPart*float64(longest))-left, 0)
	}
	if w.longest == nil {
		w.longest = map[string]time.Duration{}
	}
	if known || len(w.longest) < maxRoutes {
		w.longest[route] = left
	}
	return 0
}
