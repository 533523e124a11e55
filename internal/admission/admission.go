// Package admission decides at once whether a request is taken: limits of its
// workspace, shared between the daemons, and the load of the replicas it may go
// to, by class. What can't be met in time is refused with an honest time to come
// back; nothing waits here.
package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pearlanding/internal/catalog"
)

// Limits of one workspace as this daemon applies them.
type Limits struct {
	MaxConcurrent int     // over all daemons
	RatePerSecond float64 // over all daemons; 0: none
	Daemons       int     // live daemons, this one included
	OthersInUse   int     // requests in progress at the other daemons, as heard
}

// share is how many requests this daemon may have in progress: its equal part,
// or all that the others leave, whichever is more. The sum over daemons may pass
// the limit by what came within one sync interval.
func (l Limits) share() int {
	equal := (l.MaxConcurrent + l.Daemons - 1) / max(l.Daemons, 1)
	return max(equal, l.MaxConcurrent-l.OthersInUse)
}

// workspaceState is one workspace's usage at this daemon.
type workspaceState struct {
	inUse   atomic.Int64
	mu      sync.Mutex
	limiter *rate.Limiter // nil until a rate applies; starts with a full burst
}

// Gate counts what is in progress by workspace. Safe for concurrent use.
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

// Enter takes a place of the workspace. ok is false when a limit is reached;
// then retry says when to come back. leave must be called once when ok.
func (g *Gate) Enter(workspace string, l Limits, now time.Time) (leave func(), retry time.Duration, ok bool) {
	s := g.state(workspace)
	if wait := s.rateWait(l, now); wait > 0 {
		return nil, wait, false
	}
	if s.inUse.Add(1) > int64(l.share()) {
		s.inUse.Add(-1)
		return nil, time.Second, false
	}
	var once sync.Once
	return func() { once.Do(func() { s.inUse.Add(-1) }) }, 0, true
}

// rateWait takes a token, or tells how long until there is one.
func (s *workspaceState) rateWait(l Limits, now time.Time) time.Duration {
	if l.RatePerSecond <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	share := rate.Limit(l.RatePerSecond / float64(max(l.Daemons, 1)))
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(share, max(1, int(share)))
	}
	if s.limiter.Limit() != share {
		s.limiter.SetLimitAt(now, share)
		s.limiter.SetBurstAt(now, max(1, int(share)))
	}
	r := s.limiter.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return wait
	}
	return 0
}

// InUse returns the requests in progress by workspace, for the other daemons.
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

// ceilings is the load per slot up to which a class is taken: patient work is
// refused first, urgent work last.
var ceilings = map[catalog.Class]float64{
	catalog.ClassUrgent:  4,
	catalog.ClassNormal:  2.5,
	catalog.ClassPatient: 1.5,
}

// Ceiling returns the highest load per slot at which a class is still taken.
func Ceiling(class catalog.Class) float64 {
	if c, ok := ceilings[class]; ok {
		return c
	}
	return ceilings[catalog.ClassNormal]
}

// Shed decides whether a request of a class is refused at the load per slot of
// the least loaded replica; retry is how long the excess takes to work off.
func Shed(class catalog.Class, load float64, service time.Duration) (retry time.Duration, shed bool) {
	ceiling := Ceiling(class)
	if load < ceiling {
		return 0, false
	}
	excess := load - ceiling + 1
	return time.Duration(math.Max(1, excess) * float64(service)), true
}

// Priority is the engine priority of a class, higher first.
func Priority(class catalog.Class) int {
	for i, c := range catalog.Classes {
		if c == class {
			return len(catalog.Classes) - i
		}
	}
	return 1
}

// ServiceTime is a moving average of how long requests take. Safe for
// concurrent use; the zero value starts at one second.
type ServiceTime struct{ nanos atomic.Int64 }

// Note folds one finished request.
func (s *ServiceTime) Note(d time.Duration) {
	const weight = 16
	old := s.nanos.Load()
	if old == 0 {
		s.nanos.Store(int64(d))
		return
	}
	s.nanos.Store(old + (int64(d)-old)/weight)
}

// Mean returns the average.
func (s *ServiceTime) Mean() time.Duration {
	if n := s.nanos.Load(); n > 0 {
		return time.Duration(n)
	}
	return time.Second
}

// RetryBudget allows retries in proportion to first tries, so that a failing
// domain does not cause a storm. Safe for concurrent use.
type RetryBudget struct {
	ratio float64
	mu    sync.Mutex
	saved float64
}

// budgetBurst is how many retries may be saved up.
const budgetBurst = 10

// NewRetryBudget allows ratio retries per first try.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, saved: budgetBurst}
}

// First notes a first try.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = math.Min(budgetBurst, b.saved+b.ratio)
}

// Retry takes one retry from the budget, or reports that there is none.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
