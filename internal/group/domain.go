// Package group forms, repairs and retires groups of VMs that together run one
// model replica. All groups of a fabric domain live in one platform object, so
// that every lasting step is one conditional update and "no VM in two groups" is
// a check inside it. Planning is a pure function; Manager does the I/O.
package group

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	"pearlanding/internal/engine"
)

// KeyPrefix is where domain objects live on the platform.
const KeyPrefix = "domain/"

// Key is the platform key of a fabric domain's object.
func Key(domain string) string { return KeyPrefix + domain }

// Intent is what an operator wants of a VM.
type Intent string

// Intents.
const (
	IntentNone  Intent = ""
	IntentDrain Intent = "drain" // finish what it has, take nothing new
	IntentStop  Intent = "stop"  // drain, then stay out for good
)

// VMRecord is a VM as the domain object knows it.
type VMRecord struct {
	Address      string `json:"address"`
	Accelerators int    `json:"accelerators"`
	Intent       Intent `json:"intent,omitempty"`
	// Leaving is what the platform's list said last.
	Leaving bool `json:"leaving,omitempty"`
	// Gone: the list no longer has the VM, but a group still names it.
	Gone bool `json:"gone,omitempty"`
}

// departing tells whether the VM must not get new work.
func (v VMRecord) departing() bool { return v.Intent != IntentNone || v.Leaving || v.Gone }

// Member is one VM of a group. BootID is set when the group begins to serve.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	BootID  string `json:"boot_id,omitempty"`
}

// Group is one epoch of one replica.
type Group struct {
	ID       string         `json:"id"`
	Pool     string         `json:"pool"`
	Weights  engine.Weights `json:"weights"`
	WeightMB int            `json:"weight_mb"`
	Epoch    uint64         `json:"epoch"`
	State    State          `json:"state"`
	Reason   string         `json:"reason,omitempty"` // why it does not serve
	Members  []Member       `json:"members"`          // by rank
	// Stuck: the domain has no VM to complete the group with, so that other
	// domains may form one in its stead.
	Stuck bool `json:"stuck,omitempty"`
}

// Assignment is what the engine of the given rank is ordered to be.
func (g Group) Assignment(rank int) *engine.Assignment {
	addresses := make([]string, len(g.Members))
	for i, m := range g.Members {
		addresses[i] = m.Address
	}
	return &engine.Assignment{Group: g.ID, Epoch: g.Epoch, Rank: rank, Members: addresses, Weights: g.Weights, WeightMB: g.WeightMB}
}

// Holder is the daemon that holds a domain's duty lease.
type Holder struct {
	Slot        string `json:"slot"`
	Incarnation string `json:"incarnation"`
}

// Domain is the value of a domain object.
type Domain struct {
	Name      string              `json:"name"`
	Place     string              `json:"place"`
	Holder    Holder              `json:"holder"`
	VMs       map[string]VMRecord `json:"vms"`
	Groups    map[string]Group    `json:"groups"`
	LastEpoch uint64              `json:"last_epoch"`
}

// NewDomain returns an empty domain.
func NewDomain(name, place string) Domain {
	return Domain{Name: name, Place: place, VMs: map[string]VMRecord{}, Groups: map[string]Group{}}
}

// Clone copies the maps and member lists.
func (d Domain) Clone() Domain {
	d.VMs = maps.Clone(d.VMs)
	d.Groups = maps.Clone(d.Groups)
	for id, g := range d.Groups {
		g.Members = slices.Clone(g.Members)
		d.Groups[id] = g
	}
	return d
}

// DecodeDomain reads the stored form.
func DecodeDomain(value []byte) (Domain, error) {
	d := NewDomain("", "")
	if err := json.Unmarshal(value, &d); err != nil {
		return d, errors.Annotate(err, "domain object")
	}
	return d, nil
}

// Encode writes the stored form after Validate.
func (d Domain) Encode() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(d)
	return data, errors.Trace(err)
}

// ErrInvalid: a domain that would break an invariant is never written.
const ErrInvalid = errors.ConstError("group: domain breaks an invariant")

// Validate checks the invariants of one domain object: no VM in two groups,
// every member a known VM, epochs at most LastEpoch and unique.
func (d Domain) Validate() error {
	owner := map[string]string{}
	epochs := map[uint64]string{}
	for _, id := range d.GroupIDs() {
		g := d.Groups[id]
		if other, taken := epochs[g.Epoch]; taken || g.Epoch > d.LastEpoch {
			return errors.Annotatef(ErrInvalid, "group %s: epoch %d (also %q, last %d)", id, g.Epoch, other, d.LastEpoch)
		}
		epochs[g.Epoch] = id
		for _, m := range g.Members {
			if _, known := d.VMs[m.VM]; !known {
				return errors.Annotatef(ErrInvalid, "group %s: unknown VM %s", id, m.VM)
			}
			if other, taken := owner[m.VM]; taken {
				return errors.Annotatef(ErrInvalid, "VM %s in groups %s and %s", m.VM, other, id)
			}
			owner[m.VM] = id
		}
	}
	return nil
}

// GroupIDs lists the groups in order.
func (d Domain) GroupIDs() []string { return slices.Sorted(maps.Keys(d.Groups)) }

// VMNames lists the VMs in order.
func (d Domain) VMNames() []string { return slices.Sorted(maps.Keys(d.VMs)) }

// GroupOf returns the group that a VM belongs to.
func (d Domain) GroupOf(vm string) (Group, bool) {
	for _, g := range d.Groups {
		for _, m := range g.Members {
			if m.VM == vm {
				return g, true
			}
		}
	}
	return Group{}, false
}

// Departing tells whether any member of the group must not get new work.
func (d Domain) Departing(g Group) bool {
	for _, m := range g.Members {
		if d.VMs[m.VM].departing() {
			return true
		}
	}
	return false
}

// nextEpoch raises the domain's epoch counter.
func (d *Domain) nextEpoch() uint64 {
	d.LastEpoch++
	return d.LastEpoch
}

// NotServing counts the accelerators of present VMs that are in no serving group.
func (d Domain) NotServing() int {
	n := 0
	for name, record := range d.VMs {
		if g, used := d.GroupOf(name); !record.Gone && (!used || g.State != StateServing) {
			n += record.Accelerators
		}
	}
	return n
}
