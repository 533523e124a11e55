// Package engine contains the messages and the client of the model engines' control protocol:
// status probes and orders. The fake engine serves the same messages.
package engine

// State is the state that an engine reports.
type State string

// Engine states.
const (
	StateIdle    State = "idle"
	StateLoading State = "loading"
	StateReady   State = "ready"
)

// Weights identifies model weights by model and version.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Assignment assigns a VM to a rank of a group at one epoch of that group.
type Assignment struct {
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Rank    int      `json:"rank"`
	Members []string `json:"members"` // addresses by rank
	Weights Weights  `json:"weights"`
	// WeightMB is the size in MB of the weights that are fetched from the weight store if they
	// are not loaded.
	WeightMB int `json:"weight_mb"`
}

// Order sets the desired assignment of an engine; a nil Assignment releases the engine. Orders
// are idempotent. Fence is a fencing token: an order that is based on a newer version of the
// stored state has a higher one. Some engines refuse an order with a lower fence than one they
// have seen, others ignore the fence.
type Order struct {
	Fence      uint64      `json:"fence"`
	Assignment *Assignment `json:"assignment"`
}

// Status is an engine's response to a status probe. BootID changes with each start of the engine.
type Status struct {
	VM         string      `json:"vm"`
	BootID     string      `json:"boot_id"`
	State      State       `json:"state"`
	Assignment *Assignment `json:"assignment,omitempty"`
	Loaded     Weights     `json:"loaded"`
	Running    int         `json:"running"`
	Queued     int         `json:"queued"`
	Slots      int         `json:"slots"`
	Leaving    bool        `json:"leaving"`
}

// Headers between a daemon and an engine.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderGroup     = "X-Engine-Group"
	HeaderEpoch     = "X-Engine-Epoch"
	HeaderPriority  = "X-Engine-Priority"
	HeaderResume    = "X-Engine-Resume-From" // number of tokens that the caller already has
	HeaderNotRun    = "X-Engine-Not-Run"     // "true" if the request was refused before it ran
)

// Paths of the control protocol.
const (
	PathStatus = "/engine/status"
	PathOrder  = "/engine/order"
	PathCancel = "/engine/cancel"
	PathEvents = "/engine/cache-events"
)

// CacheEvent reports that a prompt prefix was added to or evicted from an engine's cache. Events
// may be delayed, and Seq may have gaps.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted"`
}
