package quarantine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Stored is what the store keeps of contents that ended instances: what must outlast all
// processes. Contents with one end are not in it.
type Stored struct {
	Contents []StoredContent `json:"contents"`
}

// StoredContent is one content.
type StoredContent struct {
	Digest    Digest    `json:"digest"`
	Workspace string    `json:"workspace,omitempty"`
	Ends      []Life    `json:"ends,omitempty"`
	Changed   time.Time `json:"changed"` // by the writer's time of day, for operators only
	state
}

// Refuses tells whether the content is refused.
func (c *StoredContent) Refuses() bool { return c.state.refuses() }

// ReadStored reads the store's value; an empty one holds nothing. Its error is about the
// value's form.
func ReadStored(value []byte) (Stored, error) {
	var s Stored
	if len(value) == 0 {
		return s, nil
	}
	err := json.Unmarshal(value, &s)
	return s, errors.Annotate(err, "refused requests in the store")
}

// Release lets a content be sent again; false: it is not refused.
func (s *Stored) Release(d Digest, now time.Time) bool {
	for i := range s.Contents {
		c := &s.Contents[i]
		if c.Digest == d && c.Refuses() {
			c.Released, c.Ends, c.Changed = c.Refused, nil, now
			return true
		}
	}
	return false
}

// Load takes in what the store holds, and returns what is refused from now on.
func (e *Evidence) Load(s Stored, now time.Time) (refused []Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range s.Contents {
		if e.load(c, now) {
			refused = append(refused, c.Digest)
		}
	}
	return append(refused, e.decide(now)...)
}

// load takes in one content; e.mu is held. The store tells no times: ends count as of now,
// one after the other, unless this daemon knows better.
func (e *Evidence) load(c StoredContent, now time.Time) (refused bool) {
	known := e.records[c.Digest]
	w := Word{Digest: c.Digest, Workspace: c.Workspace, state: c.state}
	if known == nil || known.good.IsZero() && !known.refuses() {
		for i, life := range c.Ends {
			age := int64(len(c.Ends)-i) * apart.Milliseconds()
			w.Ends = append(w.Ends, EndWord{life, age, age})
		}
	}
	refused = e.merge(w, now)
	r := e.records[c.Digest]
	r.saved.state.merge(c.state)
	r.saved.ends = max(r.saved.ends, len(c.Ends))
	return refused
}

// Unsaved tells whether the store lacks something that must outlast this process.
func (e *Evidence) Unsaved() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.records {
		if r.unsaved() {
			return true
		}
	}
	return false
}

// unsaved: a count of ends matters only until the content is refused.
func (r *record) unsaved() bool {
	known := r.saved.state
	if known.merge(r.state) {
		return true
	}
	return r.hot() && !r.refuses() && len(r.ends) > r.saved.ends
}

// Store returns what the store should hold, in order.
func (e *Evidence) Store(wall time.Time) Stored {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s Stored
	for d, r := range e.records {
		if !r.hot() {
			continue
		}
		c := StoredContent{Digest: d, Workspace: r.workspace, state: r.state, Changed: wall}
		for _, end := range r.ends {
			c.Ends = append(c.Ends, end.Life)
		}
		s.Contents = append(s.Contents, c)
	}
	slices.SortFunc(s.Contents, func(a, b StoredContent) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return s
}

// Saved notes that the store holds something; other relays then need not write it.
func (e *Evidence) Saved(s Stored, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range s.Contents {
		if r := e.records[c.Digest]; r != nil {
			r.saved.state.merge(c.state)
			r.saved.ends = max(r.saved.ends, len(c.Ends))
			e.touch(r, r.hot(), now)
		}
	}
}
