// Package revision decides when a configuration change is in force everywhere.
//
// One platform object, the head, holds the configuration, its revision and the
// registry of daemons. A change is one conditional update of the head. It is
// accepted once no daemon can still admit requests under an older revision:
//
//   - every registered daemon has acknowledged it or refuses connections, that
//     is, its process is gone; or
//   - a majority has, and lived on for the fence time, in which the others must
//     have lost their admission lease or learned the revision.
//
// A daemon admits requests only while its lease holds (see Lease). Quorums are
// counted over two registries, the one of the last accepted revision and the
// current one, so that the registry changes under the same rule.
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

// Member is one registered daemon. Its slot (the daemon's name) outlives
// restarts; a restarted daemon takes the slot over by a conditional update and
// so knows the current revision before it counts.
type Member struct {
	Incarnation string `json:"incarnation"`
	Peer        string `json:"peer"`     // IP:port of the peers' listener
	Operator    string `json:"operator"` // IP:port of the operators' listener
	Place       string `json:"place"`
	Domain      string `json:"domain"`
}

// Change is one change that was written, kept so that an editor whose answer
// was lost can ask for it.
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
	// Base is the registry of the accepted revision, by slot.
	Base []string `json:"base"`
	// Fenced are slots removed since the accepted revision whose daemons may
	// still run: acceptance must wait until their leases have surely ended.
	Fenced  []string `json:"fenced,omitempty"`
	Changes []Change `json:"changes"`
}

// keptChanges is how many changes stay askable.
const keptChanges = 64

// NewHead returns the head of an empty system.
func NewHead() Head {
	return Head{Doc: catalog.NewDoc(), Members: map[string]Member{}}
}

// Decode reads a head from its stored form.
func Decode(value []byte) (Head, error) {
	h := NewHead()
	if err := json.Unmarshal(value, &h); err != nil {
		return h, errors.Annotate(err, "configuration head")
	}
	return h, nil
}

// Encode writes the stored form.
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
	if len(h.Changes) > keptChanges {
		h.Changes = h.Changes[len(h.Changes)-keptChanges:]
	}
	return h
}

// WithMember returns the head after a daemon took its slot.
func (h Head) WithMember(slot string, m Member) Head {
	h.Members = cloneMembers(h.Members)
	h.Members[slot] = m
	h.Revision++
	if h.Accepted == 0 {
		// The first daemon founds the system: nobody can hold anything older.
		h.Base = []string{slot}
		h.Accepted = h.Revision
	}
	return h
}

// WithoutMember returns the head after a slot was given up. stopped says that
// the slot's daemon has stopped admitting for good, by its own or an operator's
// word; otherwise it may still run and is fenced by time.
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

// WithAccepted records that the head's own revision was accepted.
func (h Head) WithAccepted() Head {
	h.Accepted = h.Revision
	h.Base = h.Slots()
	h.Fenced = nil
	return h
}

// Slots lists the registered slots in order.
func (h Head) Slots() []string {
	out := make([]string, 0, len(h.Members))
	for slot := range h.Members {
		out = append(out, slot)
	}
	sort.Strings(out)
	return out
}

// Find returns a kept change by its id.
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

// quorum tells whether the slots that satisfy has are a strict majority of both
// registries of the head.
func (h Head) quorum(has func(slot string) bool) bool {
	return majority(h.Base, has) && majority(h.Slots(), has)
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
