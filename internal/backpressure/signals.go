package backpressure

import "time"

// Life is one life of an instance's id. What is known of one holds for no other.
type Life struct {
	Instance string
	Born     int64 // 0: not told
}

// Bounds of a limit, in requests a second.
const (
	// LeastLimit stands in for a lower limit: at none at all nobody would learn that it ended.
	LeastLimit = 0.05
	// MostLimit stands in for a higher one.
	MostLimit = 1e5
)

// Signals is what one answer says of the instance that made it.
type Signals struct {
	// Limit is how many requests a second the instance takes from all daemons together;
	// 0: it names none.
	Limit float64
	// Conclusive: the instance made the answer itself, so a limit that it does not name has
	// ended. A refusal shows no end.
	Conclusive bool
	// Rest is for how long the instance wants no request from this daemon; 0: it asks for none.
	Rest time.Duration
	// Leaving: the instance ends soon and wants no new request.
	Leaving bool
}

// MostRest stands in for a longer rest.
const MostRest = 10 * time.Minute
