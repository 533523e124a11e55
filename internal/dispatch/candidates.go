package dispatch

import (
	"time"

	"pearlanding/internal/fleet"
)

// Parameters of the choice where other daemons' loads are told.
const (
	// toldFor is how long what was told counts; it comes four times a second.
	toldFor = 3 * time.Second
	// toldZonePenalty is that of another zone, in requests, where loads are known: above
	// the noise of what is told, so that a zone's requests stay there while its replicas
	// are about as busy as others'.
	toldZonePenalty = 1.5
)

// fewDaemons is up to how many daemons each knows its replicas' load best by its own
// requests.
const fewDaemons = 16

// Others is what all other daemons told.
type Others struct {
	Daemons  int                // that told, this one included
	InFlight map[string]int     // their requests in progress, by instance
	Standing map[fleet.Key]bool // groups that stand still for several, and bring nobody events
}

// Loaded takes in what all other daemons told, as of now. It must not be changed afterwards.
func (p *Picker) Loaded(others Others, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others, p.toldAt = others, now
}

// standingFor is how long others' word that a group stands still counts.
const standingFor = time.Second

// toldStanding tells whether others say that a target's group stands still. p.mu is held.
// Alone, a daemon has no other stream there that would show it, and waits for longer than the
// objective.
func (p *Picker) toldStanding(t *Target, now time.Time) bool {
	return now.Sub(p.toldAt) < standingFor && p.others.Standing[t.Group]
}

// Progress returns the groups whose running streams stopped for this daemon lately, and
// those whose bring events.
func (p *Picker) Progress(now time.Time) (stopped, alive []fleet.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.records {
		switch {
		case r.group == fleet.Key{}:
		case r.stopped(now):
			stopped = append(stopped, r.group)
		case r.alive(now):
			alive = append(alive, r.group)
		}
	}
	return stopped, alive
}

// InFlight returns this daemon's requests in progress, by instance.
func (p *Picker) InFlight() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.records))
	for of, r := range p.records {
		if r.inFlight > 0 {
			out[of.instance] += r.inFlight
		}
	}
	return out
}

// scoredTarget is a target with its score by this daemon's own requests.
type scoredTarget struct {
	target *Target
	own    float64
}

// candidates returns the targets among which the choice is made: all that were not tried,
// or, where others' loads are known, two of those that stand well: the least loaded by this
// daemon's own requests and one by chance. What is told is nearly as old as a stream lasts; if
// each daemon took the least loaded of many by it, hundreds would send to the same one until
// the next word. The result is valid until the next call. p.mu is held.
func (p *Picker) candidates(targets []Target, tried map[string]bool, now time.Time) []scoredTarget {
	all, well := p.all[:0], p.well[:0]
	told := p.told(now)
	for i := range targets {
		t := &targets[i]
		if tried[t.Instance] {
			continue
		}
		r := p.records[t.life()]
		s := scoredTarget{t, p.ownScore(t, r, now)}
		all = append(all, s)
		if told && p.standsWell(t, r, now) {
			well = append(well, s)
		}
	}
	p.all, p.well = all, well
	if len(well) == 0 {
		return all
	}
	own := p.least(well, func(s *scoredTarget) float64 { return s.own })
	p.pair = [2]scoredTarget{*own, well[p.uniform(len(well))]}
	return p.pair[:]
}

// told tells whether others' requests in progress count. p.mu is held.
func (p *Picker) told(now time.Time) bool {
	return now.Sub(p.toldAt) < toldFor && p.others.Daemons > fewDaemons
}

// standsWell tells whether nothing is known against a target. p.mu is held.
func (p *Picker) standsWell(t *Target, r *record, now time.Time) bool {
	if r != nil && (r.still(now) || now.Before(r.suspectUntil)) {
		return false
	}
	return !p.toldStanding(t, now) || r != nil && r.alive(now)
}

// least returns the one with the least score, one by chance of those that share it.
func (p *Picker) least(of []scoredTarget, score func(*scoredTarget) float64) *scoredTarget {
	ties := p.ties[:0]
	var best float64
	for i := range of {
		switch s := score(&of[i]); {
		case len(ties) == 0 || s < best:
			best, ties = s, append(ties[:0], i)
		case s == best:
			ties = append(ties, i)
		}
	}
	p.ties = ties
	switch len(ties) {
	case 0:
		return nil
	case 1:
		return &of[ties[0]]
	}
	return &of[ties[len(ties)-1-p.uniform(len(ties))]]
}
