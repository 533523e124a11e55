package dispatch

import "time"

// Limits on the silence of a stream, after which it is moved to another replica if the route allows
// that.
const (
	// firstEventFactor is how many times the objective a first event may take at a replica about
	// which nothing else is known. Where other streams make progress the request is only queued,
	// and moving it would add load to an overload.
	firstEventFactor = 1.5
	// busyFactor times the stall timeout is how long a first event may take at a replica that others use
	// and do not report. Nobody reports a replica that stalled before any stream began to run, and callers
	// give up after eight objectives or two seconds.
	busyFactor = 4
	// defaultFirstEvent applies to a route without an objective.
	defaultFirstEvent = 2 * time.Second
)

// SilentStream describes a stream that was sent and is currently silent.
type SilentStream struct {
	Begun        bool          // it had events before, and none since for its stall timeout
	Waited       time.Duration // time since it was sent
	StallTimeout time.Duration // stall timeout of its first event
	Replica      Health        // as seen by all streams of this daemon there
}

// ShouldMove reports whether the stream should be moved. A stream that has begun and exceeds its stall
// timeout is moved in any case: either its answer is lost or its replica is stalled.
func (s SilentStream) ShouldMove() bool {
	if s.Replica == Unhealthy || s.Begun {
		return true
	}
	switch s.Replica {
	case Progressing:
		return false
	case Busy:
		return s.Waited >= busyFactor*s.StallTimeout
	}
	return s.Waited >= s.StallTimeout
}

// FirstCheck returns how long after its send a stream is first checked for silence.
func (p StallTimeouts) FirstCheck() time.Duration { return min(p.First, p.Pause) }

// resendShare is the share of a route's objective after which a retryable plain request without
// an answer is sent to another instance. A much earlier resend would give the upstream no chance;
// half leaves the other half for the second send.
const resendShare = 0.5

// PlainTimeout returns how long a retryable plain request may go without an answer before it is
// sent to another instance; 0: no limit.
func PlainTimeout(objective time.Duration) time.Duration {
	return time.Duration(resendShare * float64(objective))
}
