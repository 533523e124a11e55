package dispatch

import "time"

// queueShare is the share of the time between the fastest first event and the objective that
// queueing may consume when a stream is admitted. Past it, the stream and those queued behind it
// would be late; refused at once, it may still be in time at another daemon or on a retry. A
// smaller share refuses work that would have been in time.
const queueShare = 0.3

// Admission is the decision whether a new stream is sent at all, with its inputs.
type Admission struct {
	Admitted bool
	Replicas int           // targets that could serve the stream
	Expected time.Duration // lowest expected wait for a first event at any of them
	Floor    time.Duration // fastest recent first event
	Limit    time.Duration // upper bound of Expected for admission; 0: no objective
}

// Admit decides on a new stream of a model. The stream is refused if its first event would be
// late at every target, judged by the streams of this daemon.
func (p *Picker) Admit(targets []Target, model string, objective time.Duration, now time.Time) Admission {
	a := Admission{Admitted: true, Replicas: len(targets), Floor: min(p.FastestFirstEvent(model), objective)}
	expected, known := p.earliestFirstEvent(targets, now)
	a.Expected = expected
	if objective <= 0 {
		return a
	}
	a.Limit = a.Floor + time.Duration(queueShare*float64(objective-a.Floor))
	a.Admitted = !known || expected <= a.Limit
	return a
}
