package front

import (
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Backoff of unanswered reads.
const (
	// minProbeInterval is the time after which the first unanswered read is repeated; it doubles
	// with each further one.
	minProbeInterval = 500 * time.Millisecond
	// maxDoublings bounds the doublings of minProbeInterval.
	maxDoublings = 8
)

// readSource is the source of a configuration and its proof, as logged.
type readSource string

const (
	sourceRead      readSource = "read"                  // a current read, which proves its own content
	sourceStaleRead readSource = "old_read_relays_proof" // a read that may be stale, with another daemon's confirmation as its proof
)

// readResult is the result of one read.
type readResult struct {
	source   readSource
	object   objectapi.Object
	provedAt time.Time // the object is proved current as of this time
	err      error
}

// answered reports whether the store answered, with the object or without.
func (r *readResult) answered() bool { return r.err == nil || errors.Is(r.err, objectapi.ErrNotFound) }

// readSchedule decides when the configuration is read. Time is passed in.
type readSchedule struct {
	sentAt     time.Time     // when the last read was sent
	unanswered int           // reads sent since the store answered one, or another daemon reported its recovery
	provedAt   time.Time     // the newest answer is proved current as of this time
	missing    bool          // the last answer was: no configuration
	hint       *confirmation // a newer version that another daemon read
}

// recordSent records that a read is sent.
func (s *readSchedule) recordSent(now time.Time) {
	s.sentAt = now
	s.unanswered++
}

// recordResult records the result of a read. A read clears the hint if it shows the hinted
// version; a current read sent after the hint clears it in any case.
func (s *readSchedule) recordResult(r readResult) {
	if !r.answered() {
		return
	}
	s.unanswered = 0
	s.missing = r.err != nil
	if r.provedAt.After(s.provedAt) {
		s.provedAt = r.provedAt
	}
	if s.hint != nil && (r.object.Version >= s.hint.version || r.source == sourceRead && !r.provedAt.Before(s.hint.provedAt)) {
		s.hint = nil
	}
}

// readPauses are the pauses between reads that apply at a time.
type readPauses struct {
	renewAfter       time.Duration // until a proof is renewed
	noConfigPause    time.Duration // after an answer that there is no configuration
	maxProbeInterval time.Duration // after a read without an answer
}

// due returns when the next read is to be sent: when the proof of the configuration in force, a
// version proved at a time, must be renewed, or at once if another daemon read a newer version.
// Without a fresh proof an unanswered read is repeated within maxProbeInterval, so that the end
// of an outage is detected within that time.
func (s *readSchedule) due(version uint64, provedAt time.Time, pauses readPauses) time.Time {
	next := provedAt
	if s.provedAt.After(next) {
		next = s.provedAt
	}
	next = next.Add(pauses.renewAfter)
	switch {
	case s.sentAt.IsZero():
		return s.sentAt
	case s.hint != nil && s.hint.version > version:
		next = s.sentAt
	case s.missing:
		next = s.sentAt.Add(pauses.noConfigPause)
	}
	backoff := minReadPause
	if s.unanswered > 0 {
		backoff = pauses.maxProbeInterval
		if s.unanswered <= maxDoublings {
			backoff = min(pauses.maxProbeInterval, minProbeInterval<<(s.unanswered-1))
		}
	}
	if earliest := s.sentAt.Add(backoff); next.Before(earliest) {
		return earliest
	}
	return next
}
