// Package admission decides at once whether a request is accepted, by the limits of its workspace,
// which all daemons share, and by its class and the load of the replicas that could serve it. A
// request that can't be served in time is refused with a realistic retry delay; nothing is queued
// here.
package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pearlanding/internal/catalog"
)

// Limits are the limits of one workspace as this daemon applies them.
type Limits struct {
	MaxConcurrent int     // requests in flight, over all daemons
	RatePerSecond float64 // requests, over all daemons; 0: no limit
	Daemons       int     // live daemons, including this one
	OthersInUse   int     // requests in flight at the other daemons, as last received
	// OthersDemand is the requests per second of the workspace at each of the other daemons, as last
	// received. Daemons that are missing count with an even share of the rate.
	OthersDemand []float64
}

// share returns how many requests this daemon may have in flight: its even share or what the other
// daemons leave of the limit, whichever is more. The sum over all daemons may exceed the limit by
// the requests that arrived within one sync interval.
func (l Limits) share() int {
	even := (l.MaxConcurrent + l.Daemons - 1) / max(l.Daemons, 1)
	return max(even, l.MaxConcurrent-l.OthersInUse)
}

// workspaceState is the usage of one workspace at this daemon.
type workspaceState struct {
	inUse   atomic.Int64
	mu      sync.Mutex
	limiter *rate.Limiter // nil until a rate applies; starts with a full burst
	demand  demand        // while a rate applies
}

// Gate counts the requests in flight by workspace. Safe for concurrent use.
type Gate struct {
	mu         sync.Mutex
	workspaces map[string]*workspaceState
}

// NewGate returns an empty gate.
func NewGate() *Gate { return &Gate{workspaces: map[string]*workspaceState{}} }

func (g *Gate) state(workspace string) *workspaceState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.workspaces[workspace]
	if s == nil {
		s = &workspaceState{}
		g.workspaces[workspace] = s
	}
	return s
}

// Acquire admits one request of the workspace. ok is false if a limit is reached; retryAfter is
// then the retry delay. If ok, release must be called when the request has ended; further calls
// have no effect.
func (g *Gate) Acquire(workspace string, l Limits, now time.Time) (release func(), retryAfter time.Duration, ok bool) {
	s := g.state(workspace)
	if wait := s.takeToken(l, now); wait > 0 {
		return nil, wait, false
	}
	if s.inUse.Add(1) > int64(l.share()) {
		s.inUse.Add(-1)
		return nil, time.Second, false
	}
	var once sync.Once
	return func() { once.Do(func() { s.inUse.Add(-1) }) }, 0, true
}

// takeToken takes a token of the rate limit, or returns the time until there is one.
func (s *workspaceState) takeToken(l Limits, now time.Time) time.Duration {
	if l.RatePerSecond <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.add(now)
	share, burst := rate.Limit(l.rateShare()), max(1, int(l.RatePerSecond/float64(max(l.Daemons, 1))))
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(share, burst)
	}
	if s.limiter.Limit() != share {
		s.limiter.SetLimitAt(now, share)
	}
	if s.limiter.Burst() != burst {
		s.limiter.SetBurstAt(now, burst)
	}
	r := s.limiter.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return wait
	}
	return 0
}

// InUse returns the requests in flight by workspace, for the other daemons.
func (g *Gate) InUse() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]int{}
	for name, s := range g.workspaces {
		if n := s.inUse.Load(); n > 0 {
			out[name] = int(n)
		}
	}
	return out
}

// negligibleDemand is the rate of requests below which a workspace is not reported.
const negligibleDemand = 0.01

// Demand returns the requests per second by workspace that has a rate limit, for the other daemons.
func (g *Gate) Demand(now time.Time) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]float64{}
	for name, s := range g.workspaces {
		s.mu.Lock()
		if r := s.demand.rate(now); r > negligibleDemand {
			out[name] = r
		}
		s.mu.Unlock()
	}
	return out
}

// maxLoads holds the load per slot from which a class is refused: patient requests are refused
// first, urgent ones last.
var maxLoads = map[catalog.Class]float64{
	catalog.ClassUrgent:  4,
	catalog.ClassNormal:  2.5,
	catalog.ClassPatient: 1.5,
}

// MaxLoad returns the load per slot from which a class is refused.
func MaxLoad(class catalog.Class) float64 {
	if maxLoad, ok := maxLoads[class]; ok {
		return maxLoad
	}
	return maxLoads[catalog.ClassNormal]
}

// RefuseAtLoad reports whether a request of a class is refused at the load per slot of the least loaded
// replica; retryAfter is the time in which the excess load is served, if requests take service each.
func RefuseAtLoad(class catalog.Class, load float64, service time.Duration) (retryAfter time.Duration, refuse bool) {
	maxLoad := MaxLoad(class)
	if load < maxLoad {
		return 0, false
	}
	excess := load - maxLoad + 1
	return time.Duration(math.Max(1, excess) * float64(service)), true
}

// Priority returns the priority that an engine gives requests of a class; the highest is served
// first.
func Priority(class catalog.Class) int {
	for i, c := range catalog.Classes {
		if c == class {
			return len(catalog.Classes) - i
		}
	}
	return 1
}

// ServiceTime is a moving average of request durations. Safe for concurrent use. The zero value
// reports one second.
type ServiceTime struct{ nanos atomic.Int64 }

// Observe adds the duration of a finished request.
func (s *ServiceTime) Observe(d time.Duration) {
	const inverseWeight = 16 // a new duration has the weight 1/16
	old := s.nanos.Load()
	if old == 0 {
		s.nanos.Store(int64(d))
		return
	}
	s.nanos.Store(old + (int64(d)-old)/inverseWeight)
}

// Mean returns the average, one second if no request has finished.
func (s *ServiceTime) Mean() time.Duration {
	if n := s.nanos.Load(); n > 0 {
		return time.Duration(n)
	}
	return time.Second
}

// RetryBudget limits retries to a ratio of first attempts, so that a failing failure domain does
// not cause a retry storm. Safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	mu     sync.Mutex
	tokens float64
}

// budgetBurst is the largest number of accrued retries.
const budgetBurst = 10

// NewRetryBudget returns a budget of ratio retries per first attempt, with a full burst.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, tokens: budgetBurst}
}

// CountRequest counts a first attempt.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = math.Min(budgetBurst, b.tokens+b.ratio)
}

// TakeRetry takes one retry from the budget. It returns false if the budget has none.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
