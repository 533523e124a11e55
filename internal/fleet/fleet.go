// Package fleet keeps a daemon's known state of the instances behind it: their
// addresses, the groups that they form, and which groups can serve. A Follower
// watches the instances' own entries in the object store and publishes the known
// state as an immutable View.
package fleet

import (
	"slices"
	"time"
)

// GroupState is the state of a group as one of its members reports it.
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

// GroupKey identifies one assembly of a group: its name and epoch.
type GroupKey struct {
	Name  string
	Epoch uint64
}

// Key returns the identity of the member's group.
func (m Membership) Key() GroupKey { return GroupKey{m.Name, m.Epoch} }

// Instance is one incarnation of an upstream process, as its own entry describes it.
type Instance struct {
	ID string
	// StartedAt is the start of the process in Unix milliseconds by the instance's own clock; 0:
	// not reported. It tells the incarnations of one id apart; an incarnation keeps nothing of
	// the one before.
	StartedAt int64
	Service   string
	Address   string // IP:port
	Zone      string // failure domain of the machine
	Domain    string // fabric domain; empty for plain services
	Draining  bool
	Slots     int
	Models    []string // loaded models
	Staged    []string // models on the host's disk, fast to load
	Group     Membership
	// ColdLeft is for how much longer the instance is cold, as of when it wrote its entry.
	ColdLeft time.Duration
	// ColdReported is true if the entry says whether the instance is cold.
	ColdReported bool
	// Version is the store's revision of the entry.
	Version uint64
	// MemberSince is the lowest known Version with this incarnation and Group.Key. KnownState sets it.
	MemberSince uint64
}

// HasStaged reports whether a model is on the instance's host.
func (i *Instance) HasStaged(model string) bool { return slices.Contains(i.Staged, model) }

// Group is one assembly of instances, derived from their entries. Entries can contradict each other, as other
// writers may leave some: each rank has one member, and all members are of one service.
type Group struct {
	Key     GroupKey
	Service string
	Model   string
	Zone    string
	Head    *Instance // nil while no member of rank 0 is known
	// Members are ordered by rank. Their ranks differ and, once Size is known, are below it.
	Members []*Instance
	// Lapsed holds members whose entries disappeared without a notice and that may still serve. None of
	// them has the rank of a member with an entry.
	Lapsed []*Instance
	// Conflicting holds the instances whose entries name the group but that can't be members beside
	// Members. They do not count for it, and they are not free to join another one.
	Conflicting []*Instance
	Size        int // number of instances in a replica of the model; 0 while the model is unknown
}

// Complete reports whether every member of the group has an entry, and none is joining, broken
// or draining. A complete group has a head.
func (g *Group) Complete() bool {
	return g.Size > 0 && len(g.Members) == g.Size && g.allMembersReady()
}

// allMembersReady reports whether no member with an entry is joining, broken or draining.
func (g *Group) allMembersReady() bool {
	for _, m := range g.Members {
		if m.Draining || m.Group.State == Joining || m.Group.State == Broken {
			return false
		}
	}
	return true
}

// Serving reports whether requests may be sent to the group's head. A member that was
// ready and whose entry lapsed does not end the group: an instance cut off from the
// store keeps serving, and the streams of the group's head show whether it does.
func (g *Group) Serving() bool {
	return g.Head != nil && g.Head.Group.State == Open && g.Size > 0 &&
		len(g.Members)+len(g.Lapsed) == g.Size && g.allMembersReady()
}

// View is everything that a daemon knows of the instances at one time. It is immutable.
type View struct {
	Revision  uint64
	ProvedAt  time.Time // when the call that last proved this view was sent
	Instances map[string]*Instance
	Services  map[string][]*Instance // by service, ordered by id
	Groups    map[GroupKey]*Group
	// Removed holds the instances whose entries were removed in the last 60 s, by id.
	Removed map[string]RemovedInstance
}

// RemovedInstance is an instance whose entry was removed, and when.
type RemovedInstance struct {
	Instance *Instance
	At       time.Time
	// Lapsed: the instance may still serve. It was ready in its group and not draining, and its
	// entry was removed at most lapsedMemberTimeout ago; for a head it also ends at HeadGraceEnd.
	Lapsed bool
	// Left: the instance served for a while after its entry was removed and no longer listens. It
	// left without a notice, and stays until the streams of its group's head have ended.
	Left bool
	// InHeadGrace: the instance is a lapsed head that may be sent requests, until HeadGraceEnd.
	InHeadGrace  bool
	HeadGraceEnd time.Time
}

// HeadGraceEnd returns until when a lapsed head may be sent requests; lapsed is false if head
// is not such a head.
func (v *View) HeadGraceEnd(head *Instance) (until time.Time, lapsed bool) {
	gone, removed := v.Removed[head.ID]
	return gone.HeadGraceEnd, removed && gone.InHeadGrace
}

// Reachable returns the instance with an id, also one that may still serve although its entry was
// removed; nil if there is none.
func (v *View) Reachable(id string) *Instance {
	if in := v.Instances[id]; in != nil {
		return in
	}
	if gone, ok := v.Removed[id]; ok && (gone.Lapsed || gone.InHeadGrace) {
		return gone.Instance
	}
	return nil
}

// InstanceAt returns the reachable instance at an address; nil if there is none.
func (v *View) InstanceAt(address string) *Instance {
	for _, in := range v.Instances {
		if in.Address == address {
			return in
		}
	}
	for id, gone := range v.Removed {
		if gone.Instance.Address == address && v.Reachable(id) != nil {
			return gone.Instance
		}
	}
	return nil
}

// SizeOf returns the number of instances in a replica of a model; 0: unknown.
type SizeOf func(service, model string) int
