// Package engine is the client side of the model engines' control protocol:
// status probes and orders. The stand-in engine serves the same messages.
package engine

// State is what an engine says of itself.
type State string

// Engine states.
const (
	StateIdle    State = "idle"
	StateLoading State = "loading"
	StateReady   State = "ready"
)

// Weights names what an engine has loaded: a model at a version.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Assignment binds one VM to one rank of one epoch of a group.
type Assignment struct {
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Rank    int      `json:"rank"`
	Members []string `json:"members"` // addresses by rank
	Weights Weights  `json:"weights"`
	// WeightMB is the size to fetch from the weight store when not loaded.
	WeightMB int `json:"weight_mb"`
}

// Order tells an engine its desired assignment; nil releases it. Orders are
// idempotent. Fence grows with each order's authority; some engines refuse an
// order with a lower fence than one they have seen, others ignore it.
type Order struct {
	Fence      uint64      `json:"fence"`
	Assignment *Assignment `json:"assignment"`
}

// Status is an engine's answer to a probe. BootID changes with each start.
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
	HeaderResume    = "X-Engine-Resume-From" // tokens the caller has already
	HeaderNotRun    = "X-Engine-Not-Run"     // "true" on a refusal before any work
)

// Paths of the control protocol.
const (
	PathStatus = "/engine/status"
	PathOrder  = "/engine/order"
	PathCancel = "/engine/cancel"
	PathEvents = "/engine/cache-events"
)

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
// Events come late and with gaps in Seq.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted"`
}
