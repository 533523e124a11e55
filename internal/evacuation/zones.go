// Package evacuation keeps which zones an operator has evacuated: their instances receive no new
// requests.
//
// The store holds one object per evacuated zone, named after it. Known is what this daemon knows of
// them, Follower the loop that keeps it current. Known never returns to an older revision within an
// era of the store, whatever the order in which reads, watches and reports of relays arrive; while the store does
// not answer, it stays in force. A state is proved by a listing, as of when that was sent: a watch may
// receive nothing, so it brings changes early but proves nothing.
package evacuation

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pearlanding/internal/objectapi"
)

// Zones is a set of zones that does not change. Nil is the empty set.
type Zones struct {
	names []string // sorted
	set   map[string]bool
}

// newZones returns the set of the given names.
func newZones(names []string) *Zones {
	if len(names) == 0 {
		return nil
	}
	z := &Zones{names: slices.Compact(slices.Sorted(slices.Values(names))), set: map[string]bool{}}
	for _, name := range z.names {
		z.set[name] = true
	}
	return z
}

// Has reports whether a zone is in the set.
func (z *Zones) Has(zone string) bool { return z != nil && z.set[zone] }

// Names returns the zones in order. The result must not be modified.
func (z *Zones) Names() []string {
	if z == nil {
		return nil
	}
	return z.names
}

// Set returns the set as a map, nil if it is empty. The result must not be modified.
func (z *Zones) Set() map[string]bool {
	if z == nil {
		return nil
	}
	return z.set
}

// without returns the names of z that are not in other.
func (z *Zones) without(other *Zones) (out []string) {
	for _, name := range z.Names() {
		if !other.Has(name) {
			out = append(out, name)
		}
	}
	return out
}

// Limits on what other writers of the store can make a daemon keep and send to its peers.
const (
	maxUnknownZones  = 64
	maxZoneNameBytes = 253
)

// bounded returns the set without excess names: all that isKnown accepts and up to maxUnknownZones
// others. Others are kept because a daemon's settings may be older than a zone.
func (z *Zones) bounded(isKnown func(zone string) bool) *Zones {
	if len(z.Names()) <= maxUnknownZones && !slices.ContainsFunc(z.Names(), func(n string) bool { return len(n) > maxZoneNameBytes }) {
		return z
	}
	unknown := 0
	return newZones(slices.DeleteFunc(slices.Clone(z.names), func(name string) bool {
		if isKnown != nil && isKnown(name) {
			return false
		}
		unknown++
		return unknown > maxUnknownZones || len(name) > maxZoneNameBytes
	}))
}

// State is which zones are evacuated as of a revision of the store.
type State struct {
	Zones *Zones
	// Revision is the store's revision up to which the changes of the zones are known.
	Revision uint64
	// ProvedAt is when the listing was sent that last proved the state: it holds every change that the
	// store acknowledged before. Zero: nothing is known.
	ProvedAt time.Time
	// Listed: a listing showed the zones as of Revision. False: a watch reported the last changes, and may
	// have missed others.
	Listed bool
}

// NewState returns the state in which the given zones are evacuated, as a listing shows it.
func NewState(zones []string, revision uint64, provedAt time.Time) State {
	return State{newZones(zones), revision, provedAt, true}
}

// unlisted returns the state as a watch reports it.
func (s State) unlisted() State {
	s.Listed = false
	return s
}

// merge returns what is known from two states. The one of the higher revision is in force, at the same
// revision the one that a listing shows: a watch may have missed changes before the last one that it
// reported. Within an era the later state contains the other, and thereby all that the proof of either
// shows, unless the later one is a watch's. A restored store begins anew: a state of an earlier era says
// nothing about it.
func merge(known, other State) State {
	out := known
	switch {
	case known.ProvedAt.IsZero():
		return other
	case other.Revision > known.Revision, other.Revision == known.Revision && other.Listed && !known.Listed:
		out = other
	case other.Revision < known.Revision && !known.Listed:
		return known
	}
	if objectapi.Era(known.Revision) == objectapi.Era(other.Revision) {
		out.ProvedAt = known.ProvedAt
		if other.ProvedAt.After(out.ProvedAt) {
			out.ProvedAt = other.ProvedAt
		}
	}
	return out
}

// stateOf returns the state that a listing shows which was sent at a time.
func stateOf(l objectapi.Listing, sentAt time.Time) State {
	names := make([]string, 0, len(l.Objects))
	for _, o := range l.Objects {
		names = append(names, zoneOf(o.Key))
	}
	return NewState(names, l.Revision, sentAt)
}

// after returns the state after changes, at least one, that a watch from the state's revision reported. Its revision is
// that of the last change and not the watch's: a watch that missed later changes would otherwise
// outrank a listing that shows them.
func (s State) after(c objectapi.Changes) State {
	events := slices.SortedStableFunc(slices.Values(c.Events), func(a, b objectapi.Event) int {
		return cmp.Compare(a.Object.Version, b.Object.Version)
	})
	if last := events[len(events)-1].Object.Version; last > s.Revision {
		s.Revision = last
	} else {
		s.Revision = max(s.Revision, c.Revision)
	}
	set := map[string]bool{}
	for _, name := range s.Zones.Names() {
		set[name] = true
	}
	for _, e := range events {
		set[zoneOf(e.Object.Key)] = !e.Removed
	}
	var names []string
	for name, evacuated := range set {
		if evacuated {
			names = append(names, name)
		}
	}
	s.Zones = newZones(names)
	return s.unlisted()
}

// zoneOf returns the zone that an object's key names.
func zoneOf(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}
