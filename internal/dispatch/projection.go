package dispatch

import "math"

// Parameters of the levels up to which replicas are filled.
const (
	// queueMargin is the share of the time that an objective leaves beyond the first event at a full
	// replica that queueing may take. The rest is for prompts longer than the mean.
	queueMargin = 0.3
	// noiseMargin times the standard deviation of a replica's load is subtracted from that level. A
	// replica with a few slots free serves nearly as much, and one with a queue makes all late.
	noiseMargin = 1.5
	// urgencyStep is the part of the slots that each priority leaves free for the more urgent ones.
	// A pass of the engines in use admits 1 to 2 requests.
	urgencyStep = 0.06
	// minUrgencyLevel bounds the former for many priorities.
	minUrgencyLevel = 0.75
	// controlTime is the time, in seconds, in which the level of replicas is brought to what is
	// wanted. The reports are older, but their age is taken into account.
	controlTime = 0.2
	// fillTime is the time, in seconds, for which requests are spread over the least loaded replicas.
	// Daemons with few requests decide with intervals of this order.
	fillTime = 0.2
	// lateLevel is the part of the slots up to which requests are admitted that are late already.
	lateLevel = 0.7
	// returnedLateLevel is the same for late requests whose callers were refused before and do not
	// return again. Replicas that serve in time have about 0.9 of their slots in use.
	returnedLateLevel = 0.8
	// reservedShare is the part of capacity that is divided among all priorities by their demand, so
	// that none starves.
	reservedShare = 0.05
	// returnShare is the part of a priority's capacity that returning requests may take before new
	// ones. With all of it, in an overload of 2 every request would be refused at first.
	returnShare = 0.5
)

// loadAfter returns how many of a replica's n requests remain after a time in which none arrives, in
// seconds. The requests that run were sent evenly over the time that they stay.
func (c *replicaCost) loadAfter(n, elapsed float64) float64 {
	return max(n-c.rate(n)*elapsed, 0)
}

// projection is the predicted state of the replicas of a model.
type projection struct {
	loads []float64      // by replica, requests in flight
	rates []priorityRate // demand at the other daemons, by priority
	rate  float64        // requests that a full replica completes per second
	noise float64        // standard deviation of a replica's load from its prediction
	// The following are set by fill.
	level float64 // up to which the least loaded replicas are filled next
	below int     // replicas whose load is below the level
	// The following are set by setShares.
	shares   []rankShare // by rank
	admitted float64     // requests per second of the other daemons
}

func totalRate(rates []priorityRate) (sum float64) {
	for _, r := range rates {
		sum += r.sum()
	}
	return sum
}

// fill sets the level: requests for fillTime at full capacity go to the least loaded replicas.
func (j *projection) fill() {
	requests := fillTime*j.rate*float64(len(j.loads)) + 1
	j.level, j.below = math.Inf(1), 0
	for previous := len(j.loads) + 1; ; previous = j.below {
		sum, n := requests, 0
		for _, load := range j.loads {
			if load < j.level {
				sum += load
				n++
			}
		}
		// The count falls until the level is found. It may rise again where a load is within a rounding
		// error of the level.
		if n == 0 || n >= previous {
			return
		}
		j.level, j.below = sum/float64(n), n
	}
}

// load returns the load of the least loaded replicas if all that is sent next goes to them.
func (j *projection) load() float64 { return j.level - fillTime*j.rate }

// admissible returns how many requests per second the replicas below the level can take so that it
// reaches a target within controlTime.
func (j *projection) admissible(target float64) float64 {
	return max(float64(j.below)*(j.rate+(target-j.load())/controlTime), 0)
}

// setShares sets which share of the requests of each rank can be admitted now. Rank 0 is the most
// urgent priority of rates; levels returns the level up to which a rank may fill replicas. Ranks get
// what is admissible in their order, and each its part of the reserve.
func (j *projection) setShares(levels func(rank int) float64) {
	reserve := reservedShare * ratio(j.admissible(levels(0)), totalRate(j.rates))
	j.admitted = 0
	j.shares = j.shares[:0]
	for rank, r := range j.rates {
		available := j.admissible(levels(rank)) - j.admitted - reserve*totalRate(j.rates[rank+1:])
		s := rankShare{share: max(ratio(available, r.sum()), reserve), reserved: available < reserve*r.sum()}
		j.shares = append(j.shares, s)
		j.admitted += s.share * r.sum()
	}
}

// rankShare is the share of the requests of a rank that can be admitted.
type rankShare struct {
	share    float64
	reserved bool // only from the reserve
}

// split returns the share of the returning or of the new requests that is admitted if a share of all is.
func (r priorityRate) split(share float64, returned bool) float64 {
	admitted := share * r.sum()
	returns := min(r.returns, max(returnShare*admitted, admitted-r.first))
	if returned && r.returns > 0 {
		return ratio(returns, r.returns)
	}
	return min(ratio(admitted-returns, r.first), 1)
}

// ratio returns part/whole, at most 1, and 1 for a whole of 0.
func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return max(min(part/whole, 1), 0)
}
