// Package enginefake is a small stand-in for the model engine of one VM: control protocol,
// weight loading, continuous batching over a few slots, token streams that are a pure
// function of the prompt, and faults that tests inject. It records the requests that it
// served; fault tests check their results against that record.
package enginefake

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"pearlanding/internal/engine"
)

// Faults are the injectable faults of one engine.
type Faults struct {
	IgnoreFence    bool `json:"ignore_fence"`
	Leaving        bool `json:"leaving"`
	CutAfterTokens int  `json:"cut_after_tokens"` // cut the next answer after n tokens
	CrossNext      bool `json:"cross_next"`       // the next answer carries another request's id
	CrossBody      bool `json:"cross_body"`       // as CrossNext, but only in the body, not in the header
	SlowMS         int  `json:"slow_ms"`          // extra time per token
	ReportLagMS    int  `json:"report_lag_ms"`    // age of the reported load
}

// Options describe one stand-in VM.
type Options struct {
	VM      string
	Address string
	Slots   int
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// FetchWeights loads megabytes from the weight store. If it is nil, loading takes no time.
	FetchWeights func(ctx context.Context, megabytes int) error
}

// Served is the record of one request that the engine started. Complete is set when its
// answer was written completely.
type Served struct {
	RequestID string    `json:"request_id"`
	Key       string    `json:"key,omitempty"`
	Group     string    `json:"group"`
	Epoch     uint64    `json:"epoch"`
	At        time.Time `json:"at"`
	Complete  bool      `json:"whole"`
	// Partial: some member of the group was not ready at this epoch when the request started.
	Partial bool `json:"partial"`
}

// Engine is the engine of one stand-in VM. Create it with New; all methods are safe for
// concurrent use.
type Engine struct {
	opts Options
	http *http.Client

	mu            sync.Mutex
	bootID        string
	state         engine.State
	assign        *engine.Assignment
	loaded        engine.Weights
	fence         uint64 // highest fence seen in an order
	running       int
	queue         requestQueue
	faults        Faults
	served        []Served
	cancels       map[string]context.CancelFunc // of the running requests, by request id
	cache         prefixCache
	reports       []loadReport // for Faults.ReportLagMS, oldest first
	cancelLoading context.CancelFunc
}

type loadReport struct {
	at      time.Time
	running int
	queued  int
}

// New returns an idle engine with a fresh boot id.
func New(opts Options) *Engine {
	if opts.Slots == 0 {
		opts.Slots = 8
	}
	return &Engine{
		opts: opts, bootID: uuid.NewString(), state: engine.StateIdle,
		cancels: map[string]context.CancelFunc{},
		http:    &http.Client{Timeout: 500 * time.Millisecond},
	}
}

// Restart resets the engine's state and boot id, as after a restart of the VM.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cancel := range e.cancels {
		cancel()
	}
	if e.cancelLoading != nil {
		e.cancelLoading()
	}
	e.bootID, e.state, e.assign, e.loaded, e.fence = uuid.NewString(), engine.StateIdle, nil, engine.Weights{}, 0
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Served returns the records of all requests so far.
func (e *Engine) Served() []Served {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Served(nil), e.served...)
}

// Status returns the answer to a probe. Its load is as old as Faults.ReportLagMS.
func (e *Engine) Status() engine.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.reportedLoad()
	return engine.Status{
		VM: e.opts.VM, BootID: e.bootID, State: e.state, Assignment: e.assign, Loaded: e.loaded,
		Running: load.running, Queued: load.queued, Slots: e.opts.Slots, Leaving: e.faults.Leaving,
	}
}

// reportedLoad returns the load to report. The caller holds mu.
func (e *Engine) reportedLoad() loadReport {
	now := time.Now()
	current := loadReport{at: now, running: e.running, queued: e.queue.Len()}
	if e.faults.ReportLagMS == 0 {
		e.reports = nil
		return current
	}
	e.reports = append(e.reports, current)
	asOf := now.Add(-time.Duration(e.faults.ReportLagMS) * time.Millisecond)
	out := loadReport{}
	for len(e.reports) > 0 && !e.reports[0].at.After(asOf) {
		out, e.reports = e.reports[0], e.reports[1:]
	}
	if out.at.IsZero() {
		return out
	}
	e.reports = append([]loadReport{out}, e.reports...)
	return out
}

// Order applies an order. It returns false if it refused the order because of its fence.
func (e *Engine) Order(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.faults.IgnoreFence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	if sameAssignment(e.assign, o.Assignment) {
		return true
	}
	if e.cancelLoading != nil {
		e.cancelLoading()
		e.cancelLoading = nil
	}
	e.assign = o.Assignment
	if e.assign == nil {
		e.state = engine.StateIdle
		return true
	}
	if e.loaded == e.assign.Weights || e.opts.FetchWeights == nil {
		e.loaded, e.state = e.assign.Weights, engine.StateReady
		return true
	}
	e.state, e.loaded = engine.StateLoading, engine.Weights{}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelLoading = cancel
	go e.load(ctx, e.assign)
	return true
}

func (e *Engine) load(ctx context.Context, a *engine.Assignment) {
	for e.opts.FetchWeights(ctx, a.WeightMB) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil && e.assign == a {
		e.loaded, e.state, e.cancelLoading = a.Weights, engine.StateReady, nil
	}
}

func sameAssignment(a, b *engine.Assignment) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank &&
		a.Weights == b.Weights && slices.Equal(a.Members, b.Members)
}

// leads reports whether the engine is ready as rank 0 of the group at the epoch, and returns
// its assignment.
func (e *Engine) leads(group string, epoch uint64) (*engine.Assignment, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := e.state == engine.StateReady && e.assign != nil && e.assign.Rank == 0 &&
		e.assign.Group == group && e.assign.Epoch == epoch
	return e.assign, ok
}

// cancel stops the named request.
func (e *Engine) cancel(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop, ok := e.cancels[requestID]; ok {
		stop()
	}
}
