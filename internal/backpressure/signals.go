package backpressure

import "time"

// Incarnation identifies one run of an instance under its id. What is known of one run does not apply to
// another.
type Incarnation struct {
	Instance  string
	StartedAt int64 // start time; 0: unknown
}

// Bounds of a limit, in requests a second.
const (
	// MinLimit replaces lower limits: without any request no daemon would notice the end of the
	// limit.
	MinLimit = 0.05
	// MaxLimit replaces higher limits.
	MaxLimit = 1e5
)

// Signals is what one answer reports about the instance that made it.
type Signals struct {
	// Limit is the number of requests a second that the instance accepts from all daemons together;
	// 0: the answer has no limit.
	Limit float64
	// Conclusive reports that the instance itself made the answer and it is not a refusal, so a limit
	// that it does not name has ended.
	Conclusive bool
	// Backoff is how long the instance asks this daemon to send it no request; 0: it does not ask.
	Backoff time.Duration
	// Leaving reports that the instance stops soon and accepts no new requests.
	Leaving bool
	// Cold is for how much longer the instance reports itself cold; 0: it is not, or it does not report it.
	Cold time.Duration
}

// MaxBackoff replaces longer backoffs.
const MaxBackoff = 10 * time.Minute

// MaxCold replaces longer times for which an instance is cold, as reported by itself or as configured.
const MaxCold = 10 * time.Minute
