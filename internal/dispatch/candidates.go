package dispatch

import (
	"time"

	"pearlanding/internal/fleet"
)

// Parameters of the choice where other daemons' loads are told.
const (
	// toldFor is how long what was told counts; it comes once or twice a second.
	toldFor = 3 * time.Second
	// toldZonePenalty is that of another zone, in requests, where loads are known: above
	// the noise of what is told, so that a zone's requests stay there while its replicas
	// are about as busy as others'.
	toldZonePenalty = 1.5
	// nearCandidates of the own zone and farCandidates of the others are compared. What is
	// told is nearly as old as a stream lasts; if each daemon took the least loaded of many,
	// hundreds would send to the same one until the next word. Of 5,400 streams before 95
	// replicas, 9 of them gone, met a full one (simulated; what is told is 0.4 s old): 368 of
	// one and one, 472 of two and one, 839 of three and two, 1,276 with nothing told.
	nearCandidates = 1
	farCandidates  = 1
)

// Others is what all other daemons told.
type Others struct {
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
// Alone, a daemon has no other stream there that would show it, and waits 1.5 objectives
// for a first event: of 2,800 streams that came late by a move, 2,296 had waited 0.76 s in
// the median (a day of 295 daemons).
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

// candidates returns the targets among which the choice is made: all that were not tried,
// or, where others' loads are known, a few of them by chance, of those that stand well if
// there are any. p.mu is held.
func (p *Picker) candidates(targets []Target, tried map[string]bool, now time.Time) []*Target {
	var near, far, all []*Target
	for i := range targets {
		t := &targets[i]
		if tried[t.Instance] {
			continue
		}
		all = append(all, t)
		r := p.records[t.life()]
		if r != nil && (r.still(now) || now.Before(r.suspectUntil)) {
			continue
		}
		if p.toldStanding(t, now) && (r == nil || !r.alive(now)) {
			continue
		}
		if t.Zone == p.zone {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	if now.Sub(p.toldAt) >= toldFor || len(near)+len(far) == 0 {
		return all
	}
	if len(near) == 0 || len(far) == 0 {
		return p.draw(append(near, far...), nearCandidates+farCandidates)
	}
	return append(p.draw(near, nearCandidates), p.draw(far, farCandidates)...)
}

// draw takes up to n of a list by chance; the list's order is lost. p.mu is held.
func (p *Picker) draw(list []*Target, n int) []*Target {
	n = min(n, len(list))
	for i := range n {
		j := i + p.uniform(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
