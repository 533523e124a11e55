// Package revision decides when a configuration change is in force everywhere.
//
// One platform object, the head, holds the configuration, its revision and the registry
// of daemons. A change is one conditional update of the head. It is accepted once no
// daemon can still admit requests under an older revision:
//
//   - every registered daemon has acknowledged it or refuses connections, which means
//     that its process is gone; or
//   - a majority has acknowledged it and kept running for the fence time, in which the
//     other daemons have either lost their admission lease or learned the revision.
//
// A daemon admits requests only while its lease is valid (see Lease). A quorum is a
// majority of two registries, that of the last accepted revision and the current one, so
// that changes of the registry follow the same rule.
package revision

import (
	"encoding/json"
	"slices"
	"sort"

	"github.com/juju/errors"

	"pearlanding/internal/catalog"
)

// Key is the platform key of the head object.
const Key = "config/head"

// Member is one registered daemon. Its slot is the daemon's name and survives restarts: a
// restarted daemon takes the slot over by a conditional update of the head, so it has the
// current revision before it counts in a quorum.
type Member struct {
	Incarnation string `json:"incarnation"`
	Peer        string `json:"peer"`     // IP:port of the peers' listener
	Operator    string `json:"operator"` // IP:port of the operators' listener
	Place       string `json:"place"`
	Domain      string `json:"domain"`
}

// Change is a written change. It is kept so that an operator whose answer was lost can ask
// for the result.
type Change struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	By       string `json:"by"`
}

// Head is the value of the head object.
type Head struct {
	Revision uint64            `json:"revision"`
	Accepted uint64            `json:"accepted"`
	Doc      catalog.Doc       `json:"doc"`
	Members  map[string]Member `json:"members"`
	// AcceptedSlots is the registry of the accepted revision, by slot.
	AcceptedSlots []string `json:"base"`
	// Fenced lists the slots removed since the accepted revision whose daemons may still
	// run. The next revision is accepted only once their leases have ended.
	Fenced  []string `json:"fenced,omitempty"`
	Changes []Change `json:"changes"`
}

// maxChanges is how many changes a head keeps.
const maxChanges = 64

// NewHead returns the head of an empty platform.
func NewHead() Head {
	return Head{Doc: catalog.NewDoc(), Members: map[string]Member{}}
}

// Decode decodes a head from its stored JSON form.
func Decode(value []byte) (Head, error) {
	h := NewHead()
	if err := json.Unmarshal(value, &h); err != nil {
		return h, errors.Annotate(err, "configuration head")
	}
	return h, nil
}

// Encode returns the stored JSON form.
func (h Head) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	return data, errors.Trace(err)
}

// WithDoc returns the head after a change of the configuration.
func (h Head) WithDoc(doc catalog.Doc, change Change) Head {
	h.Revision++
	change.Revision = h.Revision
	h.Doc = doc
	h.Changes = append(slices.Clone(h.Changes), change)
	if len(h.Changes) > maxChanges {
		h.Changes = h.Changes[len(h.Changes)-maxChanges:]
	}
	return h
}

// WithMember returns the head after a daemon took its slot.
func (h Head) WithMember(slot string, m Member) Head {
	h.Members = cloneMembers(h.Members)
	h.Members[slot] = m
	h.Revision++
	if h.Accepted == 0 {
		// First daemon of the system: no daemon can hold an older revision.
		h.AcceptedSlots = []string{slot}
		h.Accepted = h.Revision
	}
	return h
}

// WithoutMember returns the head after a slot was removed. stopped is true if the slot's
// daemon has stopped admitting for good, as reported by itself or by an operator. Otherwise
// it may still run, and the slot is fenced.
func (h Head) WithoutMember(slot string, stopped bool) Head {
	h.Members = cloneMembers(h.Members)
	delete(h.Members, slot)
	h.Fenced = slices.DeleteFunc(slices.Clone(h.Fenced), func(s string) bool { return s == slot })
	if !stopped {
		h.Fenced = append(h.Fenced, slot)
	}
	h.Revision++
	return h
}

// WithAccepted returns the head with its own revision marked as accepted.
func (h Head) WithAccepted() Head {
	h.Accepted = h.Revision
	h.AcceptedSlots = h.Slots()
	h.Fenced = nil
	return h
}

// Slots returns the registered slots, sorted.
func (h Head) Slots() []string {
	out := make([]string, 0, len(h.Members))
	for slot := range h.Members {
		out = append(out, slot)
	}
	sort.Strings(out)
	return out
}

// Find returns the change with an id, if the head still keeps it.
func (h Head) Find(id string) (Change, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

func cloneMembers(m map[string]Member) map[string]Member {
	out := make(map[string]Member, len(m)+1)
	for k, v := range m {
		out[k] = v
	}
	return out
}

// quorum reports whether the slots for which has returns true form a strict majority of
// both registries, AcceptedSlots and Members.
func (h Head) quorum(has func(slot string) bool) bool {
	return majority(h.AcceptedSlots, has) && majority(h.Slots(), has)
}

func majority(slots []string, has func(string) bool) bool {
	n := 0
	for _, s := range slots {
		if has(s) {
			n++
		}
	}
	return 2*n > len(slots)
}
