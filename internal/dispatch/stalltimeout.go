package dispatch

import "time"

// StallTimeouts holds the stall timeouts of a stream, which is moved to another replica after them.
type StallTimeouts struct {
	First time.Duration // until its first event
	Pause time.Duration // between two events
}

// StreamLimits are the limits on a stream's silence that follow from its route and from the
// published costs of its engine.
type StreamLimits struct {
	Model       ModelKey
	Objective   time.Duration // for the first event; 0: none
	MaxPause    time.Duration // for pauses; 0: none
	LongestPass time.Duration // longest pass of its replica by the published costs; 0: unknown
}

// StallTimeouts returns the stall timeouts of a stream. The timeout of a pause ends when a successor can
// still meet the objective, but not before the pause is unusual: a stream moved later is late in
// any case, and one moved while its replica only reads a prompt makes another replica read it
// again. Until enough pauses were observed the objective itself applies: with the published costs
// alone as the limit, streams of a large model would be late because they were moved.
func (p *Picker) StallTimeouts(limits StreamLimits) StallTimeouts {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.statsOf(limits.Model)
	timeouts := StallTimeouts{First: defaultFirstEvent, Pause: limits.MaxPause}
	if limits.Objective > 0 {
		timeouts.First = time.Duration(firstEventFactor * float64(limits.Objective))
	}
	if limits.MaxPause <= 0 {
		timeouts.Pause = max(limits.LongestPass, defaultGap)
	}
	if longest, known := stats.longestPause(); known && limits.MaxPause > 0 {
		timeouts.Pause = max(limits.MaxPause-stats.meanFirstEvent, time.Duration(unusualFactor*float64(longest)))
	}
	if limits.LongestPass > 0 {
		timeouts.Pause = min(timeouts.Pause, max(limits.LongestPass, limits.MaxPause))
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
	// meanFirstEventWeight is the weight of a new wait for a first event in the moving average.
	meanFirstEventWeight = 0.1
)

// modelStats are recent observations of a model's streams at this daemon.
type modelStats struct {
	meanFirstEvent time.Duration // moving average of the wait for a first event; 0: none observed
	// The longest pauses between events, in the current window and in the previous one.
	current, previous pauseWindow
	usual             usualRequest
}

// pauseWindow is a number of pauses and the longest of them.
type pauseWindow struct {
	count   int
	longest time.Duration
}

// longestPause returns the longest recent pause; false: too few were observed.
func (s *modelStats) longestPause() (time.Duration, bool) {
	return max(s.current.longest, s.previous.longest), s.current.count+s.previous.count >= minPauses
}

// addPause adds a pause.
func (s *modelStats) addPause(pause time.Duration) {
	if s.current.count == pauseWindowSize {
		s.previous, s.current = s.current, pauseWindow{}
	}
	s.current.count++
	s.current.longest = max(s.current.longest, pause)
}

// statsOf returns the statistics of a model; p.mu is held.
func (p *Picker) statsOf(model ModelKey) *modelStats {
	s := p.stats[model]
	if s == nil {
		s = &modelStats{}
		p.stats[model] = s
	}
	return s
}

// NotePause records a pause between two events of a running stream of a model at a target, that ends now.
func (p *Picker) NotePause(t *Target, model ModelKey, pause time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statsOf(model).addPause(pause)
	p.record(t.incarnation()).addPause(pause, now)
}

// addFirstEvent adds the wait for a first event; p.mu is held.
func (s *modelStats) addFirstEvent(wait time.Duration) {
	if s.meanFirstEvent == 0 {
		s.meanFirstEvent = wait
	}
	s.meanFirstEvent += time.Duration(meanFirstEventWeight * float64(wait-s.meanFirstEvent))
}
