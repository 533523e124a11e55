package relay

import (
	"encoding/json"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/demand"
	"pearlanding/internal/fleet"
)

// Names of the calls by which daemons share loads and retries.
const (
	// methodShare sends a daemon's load to a relay and hands over spare retry credit.
	methodShare = "relay.share"
	// methodRetry takes one retry from the pool of a relay's zone.
	methodRetry = "relay.repeat"
	// methodLoads asks another zone's relay for the requests in flight of its daemons.
	methodLoads = "relay.loads"
)

// Intervals, timeouts and validity of what daemons share.
const (
	// retryTimeout bounds the call for a retry, which delays a request: links in a zone take a
	// tenth of a millisecond, a busy relay a few ms.
	retryTimeout = 60 * time.Millisecond
	// shareInterval is how often a daemon sends its load, and a relay asks for those of other
	// zones: loads as old as a stream's duration balance streams no better than random choice.
	shareInterval = 250 * time.Millisecond
	// shareTimeout bounds one exchange of loads and limits.
	shareTimeout = 200 * time.Millisecond
	// loadValidFor is how long a daemon's report of its load counts.
	loadValidFor = time.Second
	// totalValidFor is how long a total of loads is reused for peers: 59 peers ask for it four
	// times a second.
	totalValidFor = 50 * time.Millisecond
	// relayListInterval is how often a relay lists the other relays, which is a call to the
	// store.
	relayListInterval = 5 * time.Second
	// levelsValidFor is how long the pool levels sent by a relay count.
	levelsValidFor = 2 * time.Second
)

// ShareRequest carries a daemon's requests in flight, by instance, and its spare retry credit,
// by service. From identifies the daemon, unique for each process.
type ShareRequest struct {
	From    string             `json:"from"`
	Loads   map[string]int     `json:"loads,omitempty"`
	Retries map[string]float64 `json:"repeats,omitempty"`
	// StalledGroups are the groups whose running streams recently stopped making progress for
	// the daemon, ActiveGroups those whose streams deliver events.
	StalledGroups []groupRef `json:"stopped,omitempty"`
	ActiveGroups  []groupRef `json:"alive,omitempty"`
	// StalledInstances are the instances whose running streams recently stopped making progress
	// for the daemon.
	StalledInstances []string `json:"standing,omitempty"`
	// Demand is what callers ask of the daemon.
	Demand []demand.Rate `json:"demand,omitempty"`
	// Address is where the daemon serves peers if it can open tunnels to instances for them; empty:
	// it can't.
	Address string `json:"address,omitempty"`
}

// groupRef identifies one formation of a group.
type groupRef struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

func toRefs(keys []fleet.GroupKey) []groupRef {
	out := make([]groupRef, 0, len(keys))
	for _, k := range keys {
		out = append(out, groupRef{k.Name, k.Epoch})
	}
	return out
}

func toSet(refs []groupRef) map[fleet.GroupKey]bool {
	out := make(map[fleet.GroupKey]bool, len(refs))
	for _, r := range refs {
		out[fleet.GroupKey{Name: r.Name, Epoch: r.Epoch}] = true
	}
	return out
}

// ShareReply carries the requests in flight of all daemons, the caller included, and the levels
// of the zone's retry pool.
type ShareReply struct {
	Loads   map[string]int     `json:"loads,omitempty"`
	Retries map[string]float64 `json:"repeats,omitempty"`
	// StalledGroups are the groups that are stalled for several daemons.
	StalledGroups []groupRef `json:"standing,omitempty"`
	Daemons       int        `json:"daemons"` // number of daemons that reported their loads
	// Demand is what callers ask of all daemons, the caller included.
	Demand []demand.Rate `json:"demand,omitempty"`
	// LoadsAgeMS is the mean age of the reports in Loads and Demand when the reply was made.
	LoadsAgeMS int64 `json:"loads_age_ms,omitempty"`
	// Limits are the limits known to the relay.
	Limits []backpressure.Update `json:"limits,omitempty"`
	// QuarantineSeq is as in PollReply.
	QuarantineSeq uint64 `json:"quarantine,omitempty"`
	// TunnelPeers are addresses of daemons of all zones that reach instances, drawn at random.
	TunnelPeers []string `json:"tunnel_peers,omitempty"`
}

// encodedShare is a ShareReply on the wire whose loads are already encoded.
type encodedShare struct {
	Loads json.RawMessage `json:"loads,omitempty"`
	ShareReply
}

// RetryRequest asks for one retry of a service.
type RetryRequest struct {
	Service string `json:"service"`
}

// RetryReply grants or refuses a retry.
type RetryReply struct {
	Granted bool `json:"granted"`
}

// LoadsReply carries the requests in flight of a zone's daemons, by instance, and the groups
// that are stalled for them.
type LoadsReply struct {
	Loads         map[string]int `json:"loads,omitempty"`
	StalledGroups []groupRef     `json:"standing,omitempty"`
	Daemons       int            `json:"daemons"`
	// Demand is what callers ask of the zone's daemons. LoadsAgeMS is as in ShareReply.
	Demand     []demand.Rate `json:"demand,omitempty"`
	LoadsAgeMS int64         `json:"loads_age_ms,omitempty"`
	// TunnelPeers are as in ShareReply, of this zone.
	TunnelPeers []string `json:"tunnel_peers,omitempty"`
	// Evacuations are the evacuations that ended a short while ago; nil: that is not exchanged.
	Evacuations *EvacuationReport `json:"evacuations,omitempty"`
}
