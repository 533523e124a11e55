// Package servicefake is a small stand-in for a plain service. It counts its runs by
// idempotency key; tests of at-most-once requests check against these counts.
package servicefake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the injectable faults of the service.
type Faults struct {
	CutNext int `json:"cut_next"` // number of next requests to run and then cut the connection
	SlowMS  int `json:"slow_ms"`
	Refuse  int `json:"refuse"` // number of next requests to answer with 503 without running them
}

// Service is the stand-in. Create it with New; all methods are safe for concurrent use.
type Service struct {
	name   string
	mu     sync.Mutex
	runs   map[string]int // by idempotency key
	total  int
	faults Faults
}

// New returns a service with a name.
func New(name string) *Service { return &Service{name: name, runs: map[string]int{}} }

// Runs returns the number of runs by idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler returns a handler that runs every request except those of the /fake endpoints.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serveRun)
	mux.HandleFunc("GET /fake/runs", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Runs()) })
	mux.HandleFunc("PUT /fake/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, "want faults as JSON", http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return mux
}

// result is the answer of a run. Run is the number of runs so far.
type result struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	Method  string `json:"method"`
	Bytes   int    `json:"bytes"`
	Run     int    `json:"run"`
}

func (s *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.faults.Refuse > 0 {
		s.faults.Refuse--
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.total++
	run := s.total
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.runs[key]++
	}
	cut := s.faults.CutNext > 0
	if cut {
		s.faults.CutNext--
	}
	slow := time.Duration(s.faults.SlowMS) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(slow)
	if cut {
		panic(http.ErrAbortHandler)
	}
	data, _ := json.Marshal(result{s.name, r.URL.Path, r.URL.RawQuery, r.Method, len(body), run})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	_, _ = w.Write(data)
}

const headerRequestID = "X-Request-Id"
