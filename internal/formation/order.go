package formation

import "pearlanding/internal/fleet"

// Op is what an order asks of an instance.
type Op string

// Orders.
const (
	OpJoin  Op = "join"
	OpOpen  Op = "open"
	OpClose Op = "close" // finishing what is in progress
	OpLeave Op = "leave"
	OpStage Op = "stage" // load a model to the host, alongside everything else
)

// Order is one order to one instance.
type Order struct {
	Op       Op
	Instance string
	Address  string
	Group    fleet.Key
	Model    string
	Members  []string // of a join; the first is the head
	Version  uint64   // of the instance's entry that a leave rests on
	Reason   string   // for the log
}

// Outcome is what came of an order.
type Outcome int

// Outcomes of orders.
const (
	// Taken: the instance began it, or it was done already.
	Taken Outcome = iota
	// Refused: the instance, or another in its place, won't do it.
	Refused
	// Unanswered: it may still be carried out, seconds later.
	Unanswered
)

// String names the outcome for the log.
func (o Outcome) String() string {
	return [...]string{"taken", "refused", "unanswered"}[o]
}
