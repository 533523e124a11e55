package dispatch

import "time"

// RefusalReason is the reason of a refusal, as far as it determines the retry delay.
type RefusalReason int

// Reasons of refusals.
const (
	// TryAnotherDaemon: this daemon can't remove the cause itself; another daemon, to which a retry goes,
	// may serve the request at once.
	TryAnotherDaemon RefusalReason = iota
	// UpstreamsBusy: the upstreams that were tried are full or gone.
	UpstreamsBusy
	// Overload: all replicas have queues.
	Overload
	// DaemonStarting: this daemon has just started and has no configuration yet. Callers reach such a
	// daemon while most daemons of its zone start or have just stopped, so another daemon is
	// no better.
	DaemonStarting
)

// Retry delays.
const (
	retryAfterBusy = 100 * time.Millisecond
	// retryAfterLocal leaves most of the objective: another daemon serves at once.
	retryAfterLocal = 10 * time.Millisecond
	// retryAfterOverload is about the time in which a queue of one batch drains.
	retryAfterOverload = 400 * time.Millisecond
	// retryAfterStarting is about the time from start to the first served request after all
	// machines lost power: earlier retries are refused again.
	retryAfterStarting = time.Second
)

// RetryAfter returns the retry delay for a refused request.
func RetryAfter(r RefusalReason) time.Duration {
	switch r {
	case Overload:
		return retryAfterOverload
	case DaemonStarting:
		return retryAfterStarting
	case TryAnotherDaemon:
		return retryAfterLocal
	}
	return retryAfterBusy
}

// maxRetryAfter bounds retry delays that instances ask for.
const maxRetryAfter = 10 * time.Second

// RetryAfterFree returns the retry delay for a request that instances can accept after freeAfter.
func RetryAfterFree(freeAfter time.Duration) time.Duration {
	return min(max(freeAfter, retryAfterBusy), maxRetryAfter)
}

// Waiting of a refused request at this daemon.
const (
	// roomWaitShare is the share of a caller's remaining time for which its request may wait for room.
	// Callers give a stream up after some seconds without an event.
	roomWaitShare = 0.25
	// maxRoomWait bounds that time, for callers that wait for two seconds at most.
	maxRoomWait = time.Second
	// roomCheckInterval is the mean time between two looks for room.
	roomCheckInterval = 100 * time.Millisecond
)

// RoomWait returns for how long a request that is refused now may wait for room. Only a late request
// whose caller has returned waits: the caller does not return once more, a late answer is worth more
// to it than none, and no other request is delayed. All others are refused at once.
func (a Admission) RoomWait(returned bool, remaining time.Duration) time.Duration {
	if a.Admitted || a.Reason != AlreadyLate || !returned {
		return 0
	}
	return min(time.Duration(roomWaitShare*float64(remaining)), maxRoomWait)
}

// RoomCheckPause returns how long a waiting request pauses before it looks for room again, at random
// so that requests that wait together are not sent together. draw returns a random number in [0, 1).
func RoomCheckPause(draw float64) time.Duration {
	return time.Duration((0.5 + draw) * float64(roomCheckInterval))
}

// maxWaitShare is the share of the time between the fastest answer and the objective that a request
// may wait for an instance. The remainder is for other requests that wait for the same instance.
const maxWaitShare = 0.5

// ShouldWait reports whether a request should wait for an instance that accepts it after
// freeAfter. remaining is what is left of its objective; the fastest answer takes floor.
func ShouldWait(freeAfter, remaining, floor time.Duration) bool {
	return freeAfter > 0 && freeAfter <= time.Duration(maxWaitShare*float64(remaining-floor))
}
