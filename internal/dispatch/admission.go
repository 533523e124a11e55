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
	Expected time.Duration // lowest expected wait for a first event at any of them, by own streams or predicted
	Floor    time.Duration // fastest recent first event
	Limit    time.Duration // upper bound of Expected for admission, or what the objective leaves; 0: no objective

	Reason     AdmissionReason // of a refusal
	RetryAfter time.Duration   // for a refused caller

	// The following fields are set if the loads of all daemons were used.
	ByFleet  bool
	Age      time.Duration // of the reports
	Factor   float64       // by which they are too low, because some are missing
	Load     float64       // predicted requests at the least loaded replicas, with this one
	Level    float64       // up to which replicas are filled with requests like this one
	Share    float64       // of requests like this one that can be admitted
	Late     bool          // the first event is late even at an idle replica
	Reserved bool          // admitted from the reserve for less urgent requests
}

// Admit decides on a new stream of a model. The stream is refused if its first event would be
// late at every target, judged by the streams of this daemon.
func (p *Picker) Admit(targets []Target, model ModelKey, objective time.Duration, now time.Time) Admission {
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
