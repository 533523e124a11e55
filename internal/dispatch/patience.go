package dispatch

import "time"

// Patience is how long a stream may bring nothing before it goes on elsewhere.
type Patience struct {
	First time.Duration // before its first event
	Pause time.Duration // between two events
}

// StreamLimits are the limits on a stream's silence that its route and the published costs set.
type StreamLimits struct {
	Model     string
	Objective time.Duration // for the first event; 0: none
	Gap       time.Duration // for pauses; 0: none
	Longest   time.Duration // longest pass of its replica by the published costs; 0: not told
}

// Patience returns a stream's patience. A pause ends when a successor can still bring its
// event within the objective, but not before it is unusual: a stream moved later is late in
// any case, and one that is moved while its replica only reads makes another one read it
// again. Where too few pauses were seen to tell, the objective itself bounds them: moved by
// the published costs alone, streams of a large model would be late by their moves.
func (p *Picker) Patience(w StreamLimits) Patience {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.usualOf(w.Model)
	out := Patience{First: defaultFirstEvent, Pause: w.Gap}
	if w.Objective > 0 {
		out.First = time.Duration(firstEventTimes * float64(w.Objective))
	}
	if w.Gap <= 0 {
		out.Pause = max(w.Longest, defaultGap)
	}
	if longest, known := u.longest(); known && w.Gap > 0 {
		out.Pause = max(w.Gap-u.first, time.Duration(unusualTimes*float64(longest)))
	}
	if w.Longest > 0 {
		out.Pause = min(out.Pause, max(w.Longest, w.Gap))
	}
	return out
}

// defaultGap stands in for a route without an objective for pauses, where no costs are told.
const defaultGap = time.Second

// How what is usual follows what is seen.
const (
	// unusualTimes is how many times the longest pause seen of late a pause is unusual: the
	// rest is for replicas that read longer prompts than any of late.
	unusualTimes = 1.5
	// pausesKept is how many pauses a window holds; the one before it counts too.
	pausesKept = 5000
	// pausesLeast is how many must be seen before they tell what is usual.
	pausesLeast = 300
	// firstWeight is that of one more wait for a first event in their mean.
	firstWeight = 0.1
)

// usual is what the streams of a model showed of late at this daemon.
type usual struct {
	first time.Duration // mean wait for a first event; 0: none was seen
	// The longest pauses between events: of the window that fills now, and of the one before.
	filling, full pauseWindow
}

// pauseWindow keeps the longest of some pauses.
type pauseWindow struct {
	seen    int
	longest time.Duration
}

// longest returns the longest pause of late; false: too few were seen.
func (u *usual) longest() (time.Duration, bool) {
	return max(u.filling.longest, u.full.longest), u.filling.seen+u.full.seen >= pausesLeast
}

// paused takes in a pause.
func (u *usual) paused(pause time.Duration) {
	if u.filling.seen == pausesKept {
		u.full, u.filling = u.filling, pauseWindow{}
	}
	u.filling.seen++
	u.filling.longest = max(u.filling.longest, pause)
}

// usualOf returns what is usual for a model; p.mu is held.
func (p *Picker) usualOf(model string) *usual {
	u := p.usuals[model]
	if u == nil {
		u = &usual{}
		p.usuals[model] = u
	}
	return u
}

// Paused notes a pause between two events of a running stream of a model.
func (p *Picker) Paused(model string, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usualOf(model).paused(pause)
}

// awaited notes how long a first event took; p.mu is held.
func (u *usual) awaited(first time.Duration) {
	if u.first == 0 {
		u.first = first
	}
	u.first += time.Duration(firstWeight * float64(first-u.first))
}
