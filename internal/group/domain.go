// Package group forms, repairs and retires groups of VMs that together run one
// model replica. All groups of a fabric domain are stored in one platform object,
// so each change is one conditional update and "no VM in two groups" is validated
// within that object. One daemon at a time holds a domain: its reconciler reads the
// object and probes the VMs, Plan (a pure function) computes the next state, and the
// reconciler writes it and sends the resulting orders to the engines.
package group

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	"pearlanding/internal/engine"
)

// KeyPrefix is the prefix of the platform keys of domain objects.
const KeyPrefix = "domain/"

// Key returns the platform key of a fabric domain's object.
func Key(domain string) string { return KeyPrefix + domain }

// Intent is the operator's request for a VM.
type Intent string

// Values of Intent.
const (
	IntentNone  Intent = ""
	IntentDrain Intent = "drain" // finish running requests, accept no new ones
	IntentStop  Intent = "stop"  // drain, then never use the VM again
)

// VMRecord is the stored record of a VM in a domain object.
type VMRecord struct {
	Address      string `json:"address"`
	Accelerators int    `json:"accelerators"`
	Intent       Intent `json:"intent,omitempty"`
	// Leaving is set if the platform's latest VM list shows the VM as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Gone is set if the platform no longer lists the VM but a group or an
	// operator's intent still refers to it.
	Gone bool `json:"gone,omitempty"`
}

// departing reports whether the VM must not get new work.
func (v VMRecord) departing() bool { return v.Intent != IntentNone || v.Leaving || v.Gone }

// Member is one VM of a group. BootID is recorded when the group starts serving.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	BootID  string `json:"boot_id,omitempty"`
}

// Group is one model replica at its current epoch.
type Group struct {
	ID       string         `json:"id"`
	Pool     string         `json:"pool"`
	Weights  engine.Weights `json:"weights"`
	WeightMB int            `json:"weight_mb"`
	Epoch    uint64         `json:"epoch"` // unique in the domain; a repaired group gets a new one
	State    State          `json:"state"`
	Reason   string         `json:"reason,omitempty"` // why the group does not serve
	Members  []Member       `json:"members"`          // indexed by rank
	// Stuck is set if the domain has no VM to replace a lost member with. Another
	// domain may then form a group in place of this one.
	Stuck bool `json:"stuck,omitempty"`
}

// Assignment returns the assignment to send to the engine of the given rank.
func (g Group) Assignment(rank int) *engine.Assignment {
	addresses := make([]string, len(g.Members))
	for i, m := range g.Members {
		addresses[i] = m.Address
	}
	return &engine.Assignment{Group: g.ID, Epoch: g.Epoch, Rank: rank, Members: addresses, Weights: g.Weights, WeightMB: g.WeightMB}
}

// Holder identifies the daemon process that may write a domain object and send
// orders for it.
type Holder struct {
	Slot        string `json:"slot"`
	Incarnation string `json:"incarnation"`
}

// Domain is the stored state of one fabric domain.
type Domain struct {
	Name      string              `json:"name"`
	Place     string              `json:"place"`
	Holder    Holder              `json:"holder"`
	VMs       map[string]VMRecord `json:"vms"`
	Groups    map[string]Group    `json:"groups"`
	LastEpoch uint64              `json:"last_epoch"`
}

// NewDomain returns a domain without VMs, groups or holder.
func NewDomain(name, place string) Domain {
	return Domain{Name: name, Place: place, VMs: map[string]VMRecord{}, Groups: map[string]Group{}}
}

// Clone returns a deep copy.
func (d Domain) Clone() Domain {
	d.VMs = maps.Clone(d.VMs)
	d.Groups = maps.Clone(d.Groups)
	for id, g := range d.Groups {
		g.Members = slices.Clone(g.Members)
		d.Groups[id] = g
	}
	return d
}

// DecodeDomain decodes the stored form; it fails if value is not valid JSON of a
// domain. It does not validate the invariants.
func DecodeDomain(value []byte) (Domain, error) {
	d := NewDomain("", "")
	if err := json.Unmarshal(value, &d); err != nil {
		return d, errors.Annotate(err, "decoding domain object")
	}
	return d, nil
}

// Encode returns the stored form, or an error that wraps ErrInvalid if the domain
// breaks an invariant.
func (d Domain) Encode() ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(d)
	return data, errors.Trace(err)
}

// ErrInvalid is returned for a domain that breaks an invariant. Such a domain is
// never written.
const ErrInvalid = errors.ConstError("group: domain breaks an invariant")

// Validate checks the invariants of a domain object: no VM is in two groups, every
// member is a known VM, and epochs are unique and at most LastEpoch. Its errors
// wrap ErrInvalid.
func (d Domain) Validate() error {
	owner := map[string]string{}
	epochs := map[uint64]string{}
	for _, id := range d.GroupIDs() {
		g := d.Groups[id]
		if other, taken := epochs[g.Epoch]; taken || g.Epoch > d.LastEpoch {
			return errors.Annotatef(ErrInvalid, "group %s: epoch %d is also used by group %q or exceeds the last epoch %d", id, g.Epoch, other, d.LastEpoch)
		}
		epochs[g.Epoch] = id
		for _, m := range g.Members {
			if _, known := d.VMs[m.VM]; !known {
				return errors.Annotatef(ErrInvalid, "group %s: unknown VM %s", id, m.VM)
			}
			if other, taken := owner[m.VM]; taken {
				return errors.Annotatef(ErrInvalid, "VM %s is a member of groups %s and %s", m.VM, other, id)
			}
			owner[m.VM] = id
		}
	}
	return nil
}

// GroupIDs returns the group ids, sorted.
func (d Domain) GroupIDs() []string { return slices.Sorted(maps.Keys(d.Groups)) }

// VMNames returns the names of the VMs, sorted.
func (d Domain) VMNames() []string { return slices.Sorted(maps.Keys(d.VMs)) }

// GroupOf returns the group that a VM is a member of; false if the VM is in no group.
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

// Departing reports whether any member of the group must not get new work.
func (d Domain) Departing(g Group) bool {
	for _, m := range g.Members {
		if d.VMs[m.VM].departing() {
			return true
		}
	}
	return false
}

// nextEpoch increments the domain's epoch counter and returns it.
func (d *Domain) nextEpoch() uint64 {
	d.LastEpoch++
	return d.LastEpoch
}

// AcceleratorsNotServing returns the number of accelerators on listed VMs that are not in a
// serving group.
func (d Domain) AcceleratorsNotServing() int {
	n := 0
	for name, record := range d.VMs {
		if g, used := d.GroupOf(name); !record.Gone && (!used || g.State != StateServing) {
			n += record.Accelerators
		}
	}
	return n
}
