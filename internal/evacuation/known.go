package evacuation

import (
	"sync"
	"sync/atomic"
	"time"
)

// Source is where a state came from, as logged.
type Source string

// Sources of states.
const (
	FromListing Source = "listing"
	FromWatch   Source = "watch"
	FromRelay   Source = "relay"
)

// Change is a change of the evacuated zones.
type Change struct {
	State  State
	Source Source
	Begun  []string // zones
	Ended  []string
}

// Known is what a daemon knows of the evacuated zones. Safe for concurrent use.
type Known struct {
	// IsKnownZone reports whether a zone is one of the deployment's; nil: that is not known.
	IsKnownZone func(zone string) bool
	// OnChange, if set, is called with each change, in order, and OnEnded with each zone whose
	// evacuation ended at a time.
	OnChange func(c Change)
	OnEnded  func(zone string, at time.Time)
	// OnEndsKnown, if set, is called with the time after which every end is known. Earlier ones may be
	// unknown in the given zones; nil: in any.
	OnEndsKnown func(since time.Time, zones *Zones)
	// ColdFor returns for how long an end matters; known: the configuration, which tells that, is known.
	// 0: ends do not matter. Nil: they do not.
	ColdFor func() (d time.Duration, known bool)
	// Now returns the time; nil: that of the machine's steady clock. The functions must be set before use and must not call Known.
	Now func() time.Time

	zones atomic.Pointer[Zones] // of state, read by each request
	mu    sync.Mutex
	state State
	// seq is incremented when the first state and with each change of the zones.
	seq     uint64
	changed chan struct{} // closed at the next increment of seq; nil: nobody asked for it
	ends    Ends
	// firstProvedAt is the time of the first state's proof; zero: none yet.
	firstProvedAt time.Time
}

// KnowsZone reports whether a zone is one of the deployment's, as far as that is known.
func (k *Known) KnowsZone(zone string) bool { return k.IsKnownZone == nil || k.IsKnownZone(zone) }

// UnknownZones returns the evacuated zones that are none of the deployment's.
func (k *Known) UnknownZones() (out []string) {
	for _, zone := range k.Zones().Names() {
		if !k.KnowsZone(zone) {
			out = append(out, zone)
		}
	}
	return out
}

// Snapshot is what is known at one time.
type Snapshot struct {
	State
	Seq     uint64          // changes with the zones; 0: nothing is known
	Changed <-chan struct{} // closed when Seq changes
	Ends    Ends
}

// Snapshot returns what is known now.
func (k *Known) Snapshot() Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return Snapshot{k.state, k.seq, k.changed, k.recentEnds()}
}

// Zones returns the evacuated zones.
func (k *Known) Zones() *Zones { return k.zones.Load() }

// ProvedAt returns when the listing was sent that last proved the state; zero: nothing is known.
func (k *Known) ProvedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.ProvedAt
}

// Apply applies a state and reports whether the evacuated zones changed.
func (k *Known) Apply(s State, source Source) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.Zones = s.Zones.bounded(k.IsKnownZone)
	before := k.state
	k.state = merge(before, s)
	if k.firstProvedAt.IsZero() && !k.state.ProvedAt.IsZero() {
		k.firstProvedAt = k.state.ProvedAt
		k.setEndsSince(k.state.ProvedAt)
	}
	c := Change{State: k.state, Source: source, Begun: k.state.Zones.without(before.Zones), Ended: before.Zones.without(k.state.Zones)}
	if len(c.Begun)+len(c.Ended) == 0 {
		k.state.Zones = before.Zones // the same pointer while the zones are the same
		if k.seq == 0 && !k.state.ProvedAt.IsZero() {
			k.notify()
		}
		return false
	}
	if k.OnChange != nil {
		k.OnChange(c)
	}
	for _, zone := range c.Ended {
		k.noteEnd(zone, k.now())
	}
	k.zones.Store(k.state.Zones) // last: no request may reach a zone before its instances count as cold
	k.notify()
	return true
}

// notify increments seq; k.mu is held.
func (k *Known) notify() {
	k.seq++
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
}
