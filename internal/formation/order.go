package formation

import "pearlanding/internal/fleet"

// Op is the operation that an order requests from an instance.
type Op string

// Operations of orders.
const (
	OpJoin  Op = "join"
	OpOpen  Op = "open"
	OpClose Op = "close" // to new requests; those in progress finish
	OpLeave Op = "leave"
	OpStage Op = "stage" // load a model to the host, concurrently with other work
)

// Order is one order to one instance.
type Order struct {
	Op       Op
	Instance string
	Address  string
	Group    fleet.GroupKey
	Model    string
	Members  []string // of a join: ids in rank order; the first is the head
	Version  uint64   // of a leave: version of the instance's entry on which the decision was based
	Reason   string   // for the log
}

// Outcome is the result of sending an order.
type Outcome int

// Outcomes of orders.
const (
	// Taken: the instance accepted the order, or had already carried it out.
	Taken Outcome = iota
	// Refused: the instance, or another one at its address, will not carry it out.
	Refused
	// Unanswered: no answer came; the order may still be carried out seconds later.
	Unanswered
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"taken", "refused", "unanswered"}[o]
}
