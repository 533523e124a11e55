package dispatch

import "time"

// queueShare is the part of what the objective leaves beyond the quickest first event
// that a queue may take when a new stream is admitted. Beyond it the stream would come
// late, and so would those behind it; refused at once it may be in time elsewhere, or
// later. A smaller share refuses work that would have been in time.
const queueShare = 0.3

// Admission is the decision whether a new stream is sent at all, with its inputs.
type Admission struct {
	Admitted bool
	Replicas int           // that could take it
	Expected time.Duration // least time to a first event at any of them, as known
	Floor    time.Duration // the quickest first event of late
	Limit    time.Duration // Expected may be that much; 0: no objective
}

// Admit decides on a new stream for a model: it is refused where its first event would
// come late at every replica, as far as this daemon's own streams show.
func (p *Picker) Admit(targets []Target, model string, objective time.Duration, now time.Time) Admission {
	a := Admission{Admitted: true, Replicas: len(targets), Floor: min(p.Floor(model), objective)}
	expected, known := p.soonest(targets, now)
	a.Expected = expected
	if objective <= 0 {
		return a
	}
	a.Limit = a.Floor + time.Duration(queueShare*float64(objective-a.Floor))
	a.Admitted = !known || expected <= a.Limit
	return a
}
