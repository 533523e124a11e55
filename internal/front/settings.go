package front

import "time"

// Settings is what a daemon is told about itself and its bounds. Whoever starts
// the daemon fills it from the deployment's settings file; zero bounds mean that
// the deployment sets none.
type Settings struct {
	Node      string
	Zone      string
	Zones     int // failure domains in which daemons run
	IP        string
	Bootstrap bool   // all daemons start for the first time, together
	Callers   string // address that serves callers
	Readiness string // address asked whether this daemon takes connections
	Peers     string // address that answers other daemons; empty: none may ask
	Store     Store
	Heartbeat time.Duration // between the writes of an instance's own entry
	MaxFiles  int           // descriptors of the process
	MemoryMB  int
	LinkMbps  float64 // rate of the machine's link in Mbit/s
	Bounds    Bounds
}

// Store says where the object store is and what all daemons together may ask.
type Store struct {
	Address         string
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Bounds are the deployment's promises in figures.
type Bounds struct {
	Config         time.Duration // until a change is in force, from its acknowledgement
	Revoke         time.Duration // until a removed key no longer runs anywhere
	StrictRevoke   bool          // Revoke holds out of touch too
	Drain          time.Duration // until a leaving instance gets no more requests
	Grace          time.Duration // from the signal to stop until the kill
	Stall          time.Duration // until a group that lost a member is broken
	Pass           time.Duration // until an event is passed on
	RetryRatio     float64       // repeats allowed per request
	RetryWindow    time.Duration
	RetryExtra     float64       // repeats that all daemons may make in a window beside the ratio
	CeilingWindow  time.Duration // of loads from the weight store
	CeilingOverage float64
}
