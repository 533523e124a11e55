package api

import (
	"sync"
	"time"

	"pearlanding/internal/problem"
)

// Attempt is one attempt to send a request to an upstream, as shown to operators.
type Attempt struct {
	Group      string        `json:"group"`
	Epoch      uint64        `json:"epoch,omitempty"`
	Place      string        `json:"place"`
	Address    string        `json:"address"`
	Load       float64       `json:"load"`
	Candidates int           `json:"among"` // number of permitted destinations at the time
	Result     string        `json:"result"`
	Took       time.Duration `json:"took_ns"`
}

// attemptLog holds the attempts of one request, in order.
type attemptLog struct{ attempts []Attempt }

func (t *attemptLog) add(at Attempt) { t.attempts = append(t.attempts, at) }

// Explanation shows where a recent request was sent and why, or why it was refused.
type Explanation struct {
	RequestID string           `json:"request_id"`
	At        time.Time        `json:"at"`
	Took      time.Duration    `json:"took_ns"`
	Workspace string           `json:"workspace"`
	Revision  uint64           `json:"revision"`
	Permitted []string         `json:"permitted_places"`
	Attempts  []Attempt        `json:"attempts"`
	Refusal   *problem.Problem `json:"refusal,omitempty"`
}

// maxRecent is the number of requests kept for Explain.
const maxRecent = 4096

// recent is a ring buffer of the last requests. Safe for concurrent use.
type recent struct {
	mu   sync.Mutex
	ring []Explanation
	next int
}

func newRecent() *recent { return &recent{ring: make([]Explanation, 0, 64)} }

func (r *recent) add(x *exchange, p *problem.Problem) {
	e := Explanation{RequestID: x.id, At: x.start, Took: time.Since(x.start), Workspace: x.workspace,
		Revision: x.snap.Head.Revision, Permitted: x.ws.Places, Attempts: x.attemptLog.attempts, Refusal: p}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < maxRecent {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % maxRecent
}

// Explain returns the explanation of a recent request, or false if it is not kept.
func (a *API) Explain(requestID string) (Explanation, bool) {
	a.recent.mu.Lock()
	defer a.recent.mu.Unlock()
	for i := len(a.recent.ring) - 1; i >= 0; i-- {
		if a.recent.ring[i].RequestID == requestID {
			return a.recent.ring[i], true
		}
	}
	return Explanation{}, false
}
