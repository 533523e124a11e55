package evacuation

import "time"

// Shares of the bound on an evacuation.
const (
	// servingReadShare passes between two listings of a daemon whose peers take its proofs, so that
	// theirs stay younger than ownReadShare.
	servingReadShare = 0.2
	// ownReadShare is the age at which a daemon renews its proof itself. Up to jitterShare more passes
	// at random, as all daemons of a zone lose their relay at the same time.
	ownReadShare = 0.5
	jitterShare  = 0.1
)

// Times between calls to the store.
const (
	// minReadPause is the minimum time between two listings.
	minReadPause = 100 * time.Millisecond
	// retryPause is the time after which an unanswered listing is sent again. It does not wait for the
	// answer, which may be lost. Calls that are held back while the store is known not to answer cost
	// nothing.
	retryPause = 500 * time.Millisecond
	// watchWait is how long one watch waits.
	watchWait = 5 * time.Second
	// minWatchPause is the minimum time between two watches. emptyWatchPause applies after one that told
	// nothing: the store may bound the wait.
	minWatchPause   = 50 * time.Millisecond
	emptyWatchPause = time.Second
)

// schedule decides when the list is read and when a watch is sent. Time is passed in.
type schedule struct {
	sentAt      time.Time // when the last listing was sent; zero: none yet
	unanswered  int       // listings sent since the store answered one
	listNow     bool      // a watch found that the store has dropped its history
	nextWatchAt time.Time
}

// maxProofAge returns the age of the proof at which the list is read. jitter is in [0, 1).
func maxProofAge(bound time.Duration, serving bool, jitter float64) time.Duration {
	if serving {
		return time.Duration(servingReadShare * float64(bound))
	}
	return time.Duration((ownReadShare + jitterShare*jitter) * float64(bound))
}

// readDue returns when the list is to be read, given the time of the proof and its maximum age.
func (s *schedule) readDue(provedAt time.Time, maxAge time.Duration) time.Time {
	if s.sentAt.IsZero() {
		return s.sentAt
	}
	due := provedAt.Add(maxAge)
	if s.listNow {
		due = s.sentAt
	}
	pause := minReadPause
	if s.unanswered > 0 {
		pause = retryPause
	}
	if earliest := s.sentAt.Add(pause); due.Before(earliest) {
		return earliest
	}
	return due
}

// sent records that a listing is sent.
func (s *schedule) sent(now time.Time) {
	s.sentAt, s.listNow = now, false
	s.unanswered++
}

// answered records that the store answered a listing.
func (s *schedule) answered() { s.unanswered = 0 }

// mayWatch reports whether a watch may be sent. None is while the store does not answer.
func (s *schedule) mayWatch(now time.Time) bool {
	return s.unanswered == 0 && !now.Before(s.nextWatchAt)
}

// watchEnded records the end of a watch that was sent at a time.
func (s *schedule) watchEnded(sentAt, now time.Time, events int, err error, compacted bool) {
	switch {
	case compacted:
		s.listNow = true
		s.nextWatchAt = now.Add(retryPause)
	case err != nil:
		s.nextWatchAt = now.Add(retryPause)
	case events == 0:
		s.nextWatchAt = sentAt.Add(emptyWatchPause)
	default:
		s.nextWatchAt = now.Add(minWatchPause)
	}
}
