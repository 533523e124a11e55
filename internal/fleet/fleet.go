// Package fleet is what a daemon believes of the instances behind it: where they
// are, which groups they form, and which groups can serve. The belief is built
// from the instances' own entries in the object store (Follower) and published
// as an immutable View.
package fleet

import (
	"slices"
	"time"
)

// GroupState is the state of a group as one of its members tells it.
type GroupState string

// States of a group.
const (
	Joining GroupState = "joining"
	Ready   GroupState = "ready"
	Open    GroupState = "open"
	Closing GroupState = "closing"
	Broken  GroupState = "broken"
)

// Membership is an instance's place in a group. The zero value means none.
type Membership struct {
	Name  string
	Epoch uint64
	Rank  int // 0 is the head
	State GroupState
}

// Key identifies one assembly of a group.
type Key struct {
	Name  string
	Epoch uint64
}

// Key returns the group's identity.
func (m Membership) Key() Key { return Key{m.Name, m.Epoch} }

// Instance is one incarnation of an upstream process, as its own entry tells.
type Instance struct {
	ID string
	// Born tells the lives of one id apart: the Unix millisecond of the start, by the
	// instance's own clock; 0: not told. A life holds nothing of the one before.
	Born     int64
	Service  string
	Address  string // IP:port
	Zone     string // failure domain of the machine
	Domain   string // fabric domain; empty for plain services
	Draining bool
	Slots    int
	Models   []string // loaded
	Staged   []string // on the host, fast to load
	Group    Membership
	// Version is the store's revision of the entry.
	Version uint64
}

// HasStaged tells whether a model is on the instance's host.
func (i *Instance) HasStaged(model string) bool { return slices.Contains(i.Staged, model) }

// Group is one assembly of instances as the entries tell it.
type Group struct {
	Key     Key
	Service string
	Model   string
	Zone    string
	Head    *Instance // nil while no entry of rank 0 is known
	Members []*Instance
	// Lapsed are members whose entries went without a word and that may still serve.
	Lapsed []*Instance
	Size   int // of the model; 0 while the model is unknown
}

// Complete tells whether every member of the group is known, ready and staying.
func (g *Group) Complete() bool {
	return g.Size > 0 && len(g.Members) == g.Size && g.allStay()
}

// allStay tells whether each member with an entry is ready and staying.
func (g *Group) allStay() bool {
	for _, m := range g.Members {
		if m.Draining || m.Group.State == Joining || m.Group.State == Broken {
			return false
		}
	}
	return true
}

// Serving tells whether requests may be sent to the group's head. A member that was
// ready and whose entry lapsed does not end the group: an instance cut off from the
// store goes on serving, and its head's streams show whether it does.
func (g *Group) Serving() bool {
	return g.Head != nil && g.Head.Group.State == Open && g.Size > 0 &&
		len(g.Members)+len(g.Lapsed) == g.Size && g.allStay()
}

// View is all a daemon believes of the instances at one time. It is immutable.
type View struct {
	Revision  uint64
	Seen      time.Time // when the last proof of this view was asked for
	Instances map[string]*Instance
	Services  map[string][]*Instance // by service, ordered by id
	Groups    map[Key]*Group
	// Removed is when an instance's entry went, for those that went lately.
	Removed map[string]Gone
}

// Gone is an instance whose entry was removed.
type Gone struct {
	Instance *Instance
	At       time.Time
	// Lapsed: it may still serve. It said nothing of leaving, was ready in its group, and
	// nothing has shown since that it is dead.
	Lapsed bool
	// Leads: it is a lapsed head that may be sent requests, until LeadsUntil.
	Leads      bool
	LeadsUntil time.Time
}

// LeadsUntil tells until when a lapsed head may be sent requests; false: it is none.
func (v *View) LeadsUntil(head *Instance) (until time.Time, lapsed bool) {
	gone, removed := v.Removed[head.ID]
	return gone.LeadsUntil, removed && gone.Leads
}

// SizeOf tells how many instances a replica of a model takes; 0: unknown.
type SizeOf func(service, model string) int
