package relay

import (
	"encoding/json"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/fleet"
)

// Names of the calls by which daemons share what they have.
const (
	// methodShare tells a relay a daemon's load and hands over what it has to spare.
	methodShare = "relay.share"
	// methodRepeat asks a relay for a repeat of its zone's pool.
	methodRepeat = "relay.repeat"
	// methodLoads asks another zone's relay what its daemons have in progress.
	methodLoads = "relay.loads"
)

// Times of what daemons share.
const (
	// repeatTimeout bounds the call for a repeat, for which a request waits: links in a zone
	// take a tenth of a millisecond, a busy relay some ms.
	repeatTimeout = 60 * time.Millisecond
	// shareEvery is how often a daemon tells its load, and a relay asks those of other
	// zones: loads as old as a stream lasts spread streams no better than chance does.
	shareEvery   = 250 * time.Millisecond
	shareTimeout = 200 * time.Millisecond
	// loadFor is how long a daemon's word of its load counts.
	loadFor = time.Second
	// sumFor is how long a sum of loads is told to peers: 59 of them ask four times a second.
	sumFor = 50 * time.Millisecond
	// relayList is how often a relay looks who the others are, which is a call to the store.
	relayList = 5 * time.Second
	// sharedFor is how long what a relay told of its pool counts.
	sharedFor = 2 * time.Second
)

// ShareRequest tells what a daemon has in progress, by instance, and hands repeats over, by
// service. From is the daemon, unique for each life of a process.
type ShareRequest struct {
	From    string             `json:"from"`
	Loads   map[string]int     `json:"loads,omitempty"`
	Repeats map[string]float64 `json:"repeats,omitempty"`
	// Stopped are the groups whose running streams stopped for the daemon lately, Alive those
	// whose bring it events.
	Stopped []groupRef `json:"stopped,omitempty"`
	Alive   []groupRef `json:"alive,omitempty"`
	// Standing are the instances whose running streams stopped for the daemon lately.
	Standing []string `json:"standing,omitempty"`
}

// groupRef names one assembly of a group.
type groupRef struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

func toRefs(keys []fleet.Key) []groupRef {
	out := make([]groupRef, 0, len(keys))
	for _, k := range keys {
		out = append(out, groupRef{k.Name, k.Epoch})
	}
	return out
}

func toSet(refs []groupRef) map[fleet.Key]bool {
	out := make(map[fleet.Key]bool, len(refs))
	for _, r := range refs {
		out[fleet.Key{Name: r.Name, Epoch: r.Epoch}] = true
	}
	return out
}

// ShareReply tells what all daemons have in progress, the asker's word included, and what
// the zone's pool of repeats holds.
type ShareReply struct {
	Loads   map[string]int     `json:"loads,omitempty"`
	Repeats map[string]float64 `json:"repeats,omitempty"`
	// Standing are the groups that stand still.
	Standing []groupRef `json:"standing,omitempty"`
	Daemons  int        `json:"daemons"` // that told their loads
	// Limits is what the relay knows of instances that limit their requests.
	Limits []backpressure.Update `json:"limits,omitempty"`
	// Quarantine is as in NewsReply.
	Quarantine uint64 `json:"quarantine,omitempty"`
}

// encodedShare is a ShareReply on the wire whose loads are encoded already.
type encodedShare struct {
	Loads json.RawMessage `json:"loads,omitempty"`
	ShareReply
}

// RepeatRequest asks for one repeat of a service.
type RepeatRequest struct {
	Service string `json:"service"`
}

// RepeatReply grants it or not.
type RepeatReply struct {
	Granted bool `json:"granted"`
}

// LoadsReply is what the daemons of a zone have in progress, by instance, and the groups
// that stand still for them.
type LoadsReply struct {
	Loads    map[string]int `json:"loads,omitempty"`
	Standing []groupRef     `json:"standing,omitempty"`
	Daemons  int            `json:"daemons"`
}
