package dispatch

import "time"

// Silence after which a stream goes on at another replica, if it may.
const (
	// firstEventTimes is how many times the objective a first event may take at a
	// replica of which nothing else is known. Where other streams bring events the
	// request only waits its turn, and moving would add load to an overload.
	firstEventTimes = 1.5
	// defaultFirstEvent stands in for a route without an objective.
	defaultFirstEvent = 2 * time.Second
)

// Silence is a stream that was sent and brings nothing.
type Silence struct {
	Begun    bool          // it brought an event before, and none since for its patience
	Waited   time.Duration // since it was sent
	Patience time.Duration // for its first event
	Replica  Health        // by all streams of this daemon there
}

// Move decides whether the stream should go on elsewhere. One that has begun and is
// silent for longer than its patience has lost its answer, or its replica
// stands still.
func (s Silence) Move() bool {
	if s.Replica == Still || s.Begun {
		return true
	}
	if s.Replica == Alive {
		return false
	}
	return s.Waited >= s.Patience
}

// FirstLook is how long after it was sent a stream's silence is looked at first.
func (p Patience) FirstLook() time.Duration { return min(p.First, p.Pause) }

// moveShare is the part of a route's objective after which a repeatable plain request
// without an answer is sent elsewhere. A send that is cut much earlier would give its
// upstream no chance; half leaves the other half for the second try.
const moveShare = 0.5

// PlainPatience is how long a repeatable plain request may go without an answer before
// it is sent elsewhere; 0: as long as it takes.
func PlainPatience(objective time.Duration) time.Duration {
	return time.Duration(moveShare * float64(objective))
}
