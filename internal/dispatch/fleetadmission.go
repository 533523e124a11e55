package dispatch

import (
	"math"
	"time"
)

// AdmissionReason says why a stream is not sent.
type AdmissionReason string

// Reasons of refusals; they are the reasons in logs and metrics.
const (
	// NoReplicaInTime: the first event would be late at every replica.
	NoReplicaInTime AdmissionReason = "no_replica_in_time"
	// AlreadyLate: the stream is late at an idle replica, too, and all replicas are needed for streams
	// that are not.
	AlreadyLate AdmissionReason = "already_late"
)

// fleetModel is the predicted state of a model's replicas, with scratch space.
type fleetModel struct {
	projection
	cost       replicaCost
	fastest    float64 // fastest first event measured, seconds
	age        time.Duration
	all        []projectedTarget // by target
	anyHealthy bool
	missing    float64        // by which factor reports are too low, as some are missing
	corrected  []priorityRate // rates with this factor
	// Requests in progress at the replicas whose passes this daemon sees: as the passes show, and as predicted.
	shown, taken float64
	flow         *fleetFlow
}

// admit decides whether a stream is sent. chance returns random numbers in [0, 1).
func (f *fleetModel) admit(req *StreamRequest, chance func() float64) Admission {
	a := Admission{Admitted: true, ByFleet: true, Replicas: len(f.all), Age: f.age, Factor: f.missing, Share: 1, Floor: seconds(f.fastest)}
	a.Load = f.load()
	within := (req.Objective - req.Waited).Seconds()
	extra := f.longPrompt(req, within)
	a.Expected = seconds(f.cost.firstEvent(max(a.Load, 0), f.fastest) + extra)
	usual := f.usualLevel(req.Objective.Seconds())
	f.setShares(func(rank int) float64 { return f.urgencyLevel(rank, usual) })
	if req.Objective <= 0 {
		return a
	}
	a.Limit = max(req.Objective-req.Waited, 0)
	if req.Unrefusable || !f.anyHealthy {
		return a
	}
	highest := f.cost.maxLoad(within-extra, f.fastest) + 1
	a.Late = highest <= 0
	switch {
	case req.Admitted:
	case a.Late:
		a.Level = lateLevel * f.cost.slots
		if req.Returned {
			a.Level = returnedLateLevel * f.cost.slots
		}
		a.Admitted = a.Load <= a.Level
		a.Reason = AlreadyLate
	default:
		rank := f.rank(req.Priority)
		a.Level = f.urgencyLevel(rank, min(usual, max(highest, 1)))
		a.Share, a.Reserved = f.rates[rank].split(f.shares[rank].share, req.Returned), f.shares[rank].reserved
		a.Admitted = (a.Load <= highest || a.Reserved) && (a.Share >= 1 || chance() < a.Share)
		a.Reason = NoReplicaInTime
	}
	if a.Admitted {
		a.Reason = ""
		return a
	}
	a.RetryAfter = f.retryAfter(a.Level, req.Remaining, chance)
	return a
}

// longPrompt returns the time to read a prompt beyond that of the mean one, 0 if the first event could
// not be in time at an idle replica with it: such a request is judged by the wait ahead of it alone.
func (f *fleetModel) longPrompt(req *StreamRequest, within float64) float64 {
	m, _ := req.Engine.Model(req.Model)
	extra := max(prefillSeconds(req.Engine, m, float64(req.PromptTokens))-f.cost.prefill, 0)
	if f.cost.firstEvent(0, f.fastest)+extra > within {
		return 0
	}
	return extra
}

// usualLevel returns the level up to which replicas are filled with usual requests, so that their
// first event is expected within an objective, in seconds, with a margin for long prompts and for the
// error of the prediction.
func (f *fleetModel) usualLevel(objective float64) float64 {
	if objective <= 0 {
		return math.Inf(1)
	}
	full := f.cost.firstEvent(f.cost.slots-1, f.fastest)
	margin := (1 - queueMargin) * max(objective-full, 0)
	return max(f.cost.maxLoad(objective-margin, f.fastest)+1-noiseMargin*f.noise, 1)
}

// urgencyLevel returns the level up to which requests of a rank fill replicas. Less urgent ones leave
// slots free that are left to the more urgent ones.
func (f *fleetModel) urgencyLevel(rank int, usual float64) float64 {
	if rank == 0 {
		return usual
	}
	return min(usual, f.cost.slots) * max(1-urgencyStep*float64(rank), minUrgencyLevel)
}

// rank returns the number of more urgent priorities that ask for the model.
func (f *fleetModel) rank(priority int) int {
	for i, r := range f.rates {
		if r.priority >= priority {
			return i
		}
	}
	return max(len(f.rates)-1, 0)
}

// retryAfter returns after what time a refused caller should retry: a random one of those in which
// capacity becomes free, so that callers do not return together. It is at most maxRetryShare of the
// caller's remaining time.
func (f *fleetModel) retryAfter(level float64, remaining time.Duration, chance func() float64) time.Duration {
	longest := max(seconds(maxRetryShare*remaining.Seconds()), 0)
	excess := max(f.load()-level, 0) * float64(len(f.loads))
	capacity := f.rate * float64(len(f.loads))
	begin := min(max(seconds(excess/max(capacity, 1)), retryAfterBusy), longest/2)
	end := longest
	if spare := capacity - totalRate(f.rates); spare > 0 {
		end = min(max(seconds(excess/spare), 2*begin), longest)
	}
	return begin + time.Duration(chance()*float64(end-begin))
}

// maxRetryShare is the share of the remaining time up to which callers honour Retry-After.
const maxRetryShare = 1.0 / 3
