package dispatch

import "time"

// Patience holds the stall timeouts of a stream: after them it is moved to another replica.
type Patience struct {
	First time.Duration // until its first event
	Pause time.Duration // between two events
}

// StreamLimits are the limits on a stream's silence by its route and the published costs.
type StreamLimits struct {
	Model     string
	Objective time.Duration // for the first event; 0: none
	Gap       time.Duration // for pauses; 0: none
	Longest   time.Duration // longest pass of its replica by the published costs; 0: unknown
}

// Patience returns the stall timeouts of a stream. For a pause it is the time at which a successor
// can still meet the objective, but not before the pause is unusual: a stream moved later is late
// in any case, and one moved while its replica only reads a prompt makes another replica read it
// again. Until enough pauses were observed the objective itself applies: with the published costs
// alone, streams of a large model would be late because of their moves.
func (p *Picker) Patience(limits StreamLimits) Patience {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.statsOf(limits.Model)
	timeouts := Patience{First: defaultFirstEvent, Pause: limits.Gap}
	if limits.Objective > 0 {
		timeouts.First = time.Duration(firstEventFactor * float64(limits.Objective))
	}
	if limits.Gap <= 0 {
		timeouts.Pause = max(limits.Longest, defaultGap)
	}
	if longest, known := stats.longestPause(); known && limits.Gap > 0 {
		timeouts.Pause = max(limits.Gap-stats.meanFirst, time.Duration(unusualFactor*float64(longest)))
	}
	if limits.Longest > 0 {
		timeouts.Pause = min(timeouts.Pause, max(limits.Longest, limits.Gap))
	}
	return timeouts
}

// defaultGap applies to a route without an objective for pauses, if no costs are published.
const defaultGap = time.Second

// Parameters of the statistics of a model.
const (
	// unusualFactor times the longest recent pause is an unusual pause. The margin is for replicas
	// that read longer prompts than any recent one.
	unusualFactor = 1.5
	// pauseWindowSize is the number of pauses in a window; the previous window counts too.
	pauseWindowSize = 5000
	// minPauses is the number of pauses that must be observed before they are used.
	minPauses = 300
	// meanFirstWeight is the weight of a new wait for a first event in their moving average.
	meanFirstWeight = 0.1
)

// modelStats are recent observations of a model's streams at this daemon.
type modelStats struct {
	meanFirst time.Duration // moving average of the wait for a first event; 0: none observed
	// The longest pauses between events, in the current window and in the previous one.
	current, previous pauseWindow
}

// pauseWindow is the longest of a number of pauses.
type pauseWindow struct {
	seen    int
	longest time.Duration
}

// longestPause returns the longest recent pause; false: too few were observed.
func (u *modelStats) longestPause() (time.Duration, bool) {
	return max(u.current.longest, u.previous.longest), u.current.seen+u.previous.seen >= minPauses
}

// addPause adds a pause.
func (u *modelStats) addPause(pause time.Duration) {
	if u.current.seen == pauseWindowSize {
		u.previous, u.current = u.current, pauseWindow{}
	}
	u.current.seen++
	u.current.longest = max(u.current.longest, pause)
}

// statsOf returns the statistics of a model; p.mu is held.
func (p *Picker) statsOf(model string) *modelStats {
	u := p.stats[model]
	if u == nil {
		u = &modelStats{}
		p.stats[model] = u
	}
	return u
}

// Paused records a pause between two events of a running stream of a model.
func (p *Picker) Paused(model string, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statsOf(model).addPause(pause)
}

// addFirst adds the wait for a first event; p.mu is held.
func (u *modelStats) addFirst(first time.Duration) {
	if u.meanFirst == 0 {
		u.meanFirst = first
	}
	u.meanFirst += time.Duration(meanFirstWeight * float64(first-u.meanFirst))
}
