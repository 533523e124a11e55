package front

import (
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Reads without an answer.
const (
	// probeFirst is the time after which the first is repeated; it doubles with each further one.
	probeFirst = 500 * time.Millisecond
	// doublings is after how many the time between them grows no more.
	doublings = 8
)

// readSource is where a configuration and its proof come from, as logged.
type readSource string

const (
	sourceRead    readSource = "read"                  // one whole read proves it
	sourceOldRead readSource = "old_read_relays_proof" // a read that may be old, and a relay's word
)

// readResult is how one read ended.
type readResult struct {
	source readSource
	object objectapi.Object
	proved time.Time // since when the object is proved current
	err    error
}

// answered tells whether the store answered, whatever it said of the object.
func (r *readResult) answered() bool { return r.err == nil || errors.Is(r.err, objectapi.ErrNotFound) }

// readSchedule decides when the configuration is read. Time is passed in.
type readSchedule struct {
	asked      time.Time     // when the last read was sent
	unanswered int           // reads sent since the store answered one, or another daemon said that it is back
	proved     time.Time     // since when the newest answer proves what it showed
	missing    bool          // the last answer was that there is no configuration
	hint       *confirmation // a newer version that another daemon saw
}

// sent notes that a read is sent.
func (s *readSchedule) sent(now time.Time) {
	s.asked = now
	s.unanswered++
}

// ended takes in how a read ended.
func (s *readSchedule) ended(r readResult) {
	if !r.answered() {
		return
	}
	s.unanswered = 0
	s.missing = r.err != nil
	if r.proved.After(s.proved) {
		s.proved = r.proved
	}
	if s.hint != nil && (r.object.Version >= s.hint.version || r.source == sourceRead && !r.proved.Before(s.hint.proved)) {
		s.hint = nil
	}
}

// readPace is how long a daemon waits between reads, as things are.
type readPace struct {
	every      time.Duration // until a proof is renewed
	untilFirst time.Duration // after an answer that there is no configuration
	most       time.Duration // after a read without an answer
}

// due returns when the next read is to be sent: when the proof of what is in force, a version
// proved at a time, gets old; at once if another daemon saw a newer version. While what is in
// force is not proved, a read without an answer is repeated within the pace's most: no belief
// that the store is away outlasts that.
func (s *readSchedule) due(version uint64, proved time.Time, pace readPace) time.Time {
	next := proved
	if s.proved.After(next) {
		next = s.proved
	}
	next = next.Add(pace.every)
	switch {
	case s.asked.IsZero():
		return s.asked
	case s.hint != nil && s.hint.version > version:
		next = s.asked
	case s.missing:
		next = s.asked.Add(pace.untilFirst)
	}
	least := leastPause
	if s.unanswered > 0 {
		least = pace.most
		if s.unanswered <= doublings {
			least = min(pace.most, probeFirst<<(s.unanswered-1))
		}
	}
	if earliest := s.asked.Add(least); next.Before(earliest) {
		return earliest
	}
	return next
}
