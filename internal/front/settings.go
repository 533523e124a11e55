package front

import "time"

// Settings describes one daemon and the bounds that it must keep. The program that starts the
// daemon fills it from the deployment's settings file; a zero bound means that the deployment sets
// none.
type Settings struct {
	Node             string
	Zone             string
	Zones            int      // number of failure domains in which daemons run
	ZoneNames        []string // of these; empty: not told
	IP               string
	Bootstrap        bool   // all daemons start for the first time, together
	CallerAddress    string // address that serves callers
	ReadinessAddress string // address of the readiness check
	PeerAddress      string // address that serves other daemons; empty: not served
	Store            Store
	Heartbeat        time.Duration // between the writes of an instance's own entry
	MaxFiles         int           // limit on the process's file descriptors
	MemoryMB         int           // memory that the process may use
	LinkMbps         float64       // rate of the machine's link in Mbit/s
	Bounds           Bounds
}

// Store is the address of the object store and the rates that all daemons together may use.
type Store struct {
	Address         string
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Bounds are the bounds that the deployment guarantees.
type Bounds struct {
	Config         time.Duration // until a change is in force, from its acknowledgement
	Revoke         time.Duration // until a removed key is no longer accepted anywhere
	StrictRevoke   bool          // Revoke also holds for a daemon that does not reach the store
	Drain          time.Duration // until a leaving instance gets no more requests
	Grace          time.Duration // from the stop signal until the kill
	Stall          time.Duration // until a group that lost a member is broken
	Forward        time.Duration // until an event is forwarded
	RetryRatio     float64       // repeats allowed per request
	RetryWindow    time.Duration // window of RetryRatio and RetryExtra
	RetryExtra     float64       // repeats that all daemons may make in a window beyond the ratio
	CeilingWindow  time.Duration // window of the ceiling on loads from the weight store
	CeilingOverage float64
	Evacuate       time.Duration // until an evacuated zone's instances get no more requests; 0: zones are not evacuated
}
