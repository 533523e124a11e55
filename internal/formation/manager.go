package formation

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"pearlanding/internal/demand"
	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
)

// OrderSender sends orders to instances.
type OrderSender interface {
	// Send sends one order. The error explains an outcome other than Taken.
	Send(ctx context.Context, o Order) (Outcome, error)
}

// Manager runs the planners of all model services while this daemon holds the lease.
type Manager struct {
	Clock       *steady.Clock    // nil: this machine's clock
	RunClock    *steady.RunClock // measures probe timeouts; nil: one over this machine's clock
	Lease       *Lease
	Orders      OrderSender
	View        func() *fleet.View
	ViewChanged <-chan struct{} // signaled after the view changed
	// ViewConfirmedAt returns when the call was sent that last confirmed the view as current.
	// RefreshView requests a full listing.
	ViewConfirmedAt func() time.Time
	RefreshView     func()
	RoutingTable    func() *routes.Table
	Prober          Prober
	// BeforeFirstRequest reports whether this daemon has received no request yet. LoadWindow is
	// the period over which loads from the weight store are limited.
	BeforeFirstRequest func() bool
	LoadWindow         func() time.Duration
	// Evacuated returns the zones in which no group is to be formed; nil: never any. The result is not
	// modified.
	Evacuated func() map[string]bool
	// IsRelay reports whether this daemon relays the instances to the other daemons of its
	// zone. Relays, one in each zone, check the lease most often. nil: it is no relay.
	IsRelay func() bool
	// UsesRelay reports whether this daemon follows the instances through a relay, which
	// then also checks for neglected work. nil: it does not.
	UsesRelay func() bool
	// FirstLeaseCheckDelay is the delay from the start of Run to the first check of the lease. By then
	// a daemon knows whether it follows through a relay.
	FirstLeaseCheckDelay time.Duration
	// Suspects returns the ids of group heads with stalled streams or recently failed requests, at
	// this daemon or at others as far as it knows.
	Suspects func(now time.Time) []string
	// ProgressedSince reports whether streams of this daemon made progress at a group after a time of
	// RunClock; nil: unknown.
	ProgressedSince func(group fleet.GroupKey, at time.Time) bool
	// Demand returns what callers ask of all daemons; nil: models are placed by their configured
	// shares only.
	Demand func(now time.Time) []demand.Rate
	// FollowsDemand reports whether models are placed by demand; nil: they are.
	FollowsDemand func() bool
	// SuspectsChanged is signaled when there may be more such heads; nil: plans find them later.
	SuspectsChanged <-chan struct{}
	Log             *zap.Logger
	// Metrics receives the counters of orders, loads and groups.
	Metrics *metrics.Set

	counts           *planMetrics
	detector         *failureDetector
	planners         map[string]*Planner  // by service, for the current term
	panicked         map[string]time.Time // when a service's planner panicked in the current term, by service
	logged           map[string]summary   // last one logged, by service
	results          chan orderResult
	term             uint64
	epochTerm        uint64       // of the epochs in this term; 0: not decided yet
	lastNeglectCheck time.Time    // when the view was last checked for neglected work
	checked          pendingInput // input of the last check
	workPending      bool         // whether that input shows work for a planner
	pendingSince     time.Time    // since when there is pending work; zero: none
	// neglected is set while work has been pending for more than neglectAfter.
	neglected atomic.Bool
	termStart time.Time // when this daemon noticed that it holds the lease in this term
	era       viewEra
}

// orderResult is the outcome of an order sent in a term.
type orderResult struct {
	service string
	term    uint64
	order   Order
	outcome Outcome
}

// Intervals and timeouts of the manager.
const (
	planInterval = 250 * time.Millisecond
	orderTimeout = time.Second
	// deathBatchDelay is how long the manager waits for more deaths before it plans: the
	// probes of a failed domain end within some milliseconds of one another. Without it 36 dead
	// members caused 36 plans, each of a view in which the others were still alive.
	deathBatchDelay = 25 * time.Millisecond
	// releaseTimeout bounds the release of the lease on shutdown.
	releaseTimeout = 500 * time.Millisecond
)

// Run plans until ctx ends, then releases the lease.
func (m *Manager) Run(ctx context.Context) {
	m.results, m.detector, m.counts = make(chan orderResult), newFailureDetector(m.Prober, m.Log), newPlanMetrics(m.Metrics)
	m.detector.clock, m.detector.progressedSince = m.Clock, m.ProgressedSince
	if m.RunClock != nil {
		m.detector.run = m.RunClock
	}
	released := make(chan struct{})
	acquired := make(chan struct{}, 1)
	go m.keepLease(ctx, acquired, released)
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			<-released
			return
		case <-acquired:
		case r := <-m.results:
			if !m.recordResults(r, m.Clock.Now()) {
				continue
			}
		case <-m.ViewChanged:
		case <-m.SuspectsChanged:
		case <-m.detector.detected:
			pause.For(ctx, deathBatchDelay)
		case <-tick.C:
		}
		m.plan(ctx, m.Clock.Now())
	}
}

// keepLease acquires, renews and releases the lease; nothing else does. A daemon that has not
// acquired the lease checks it only while work is neglected or no holder is known, and at long
// intervals: each check is a call to the store, and there may be hundreds of daemons. A holder
// renews the lease also after it lapsed, as while the process was not scheduled.
func (m *Manager) keepLease(ctx context.Context, acquired chan<- struct{}, released chan<- struct{}) {
	defer close(released)
	pause.For(ctx, m.FirstLeaseCheckDelay)
	lastCheck := m.Clock.Now()
	for ctx.Err() == nil {
		now := m.Clock.Now()
		held := m.Lease.Term(now) != 0
		if m.Lease.Acquired() || m.shouldCheckLease(lastCheck, now) {
			lastCheck = now
			m.Lease.Step(ctx)
			if !held && m.Lease.Term(m.Clock.Now()) != 0 {
				acquired <- struct{}{}
			}
		}
		pause.For(ctx, renewInterval)
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	m.Lease.Release(release)
}

// shouldCheckLease reports whether a daemon that has not acquired the lease checks it now.
func (m *Manager) shouldCheckLease(lastCheck, now time.Time) bool {
	if now.Sub(lastCheck) > m.leaseCheckInterval() {
		return true
	}
	return !m.usesRelay() && (!m.Lease.OtherHolderSeen() || m.neglected.Load())
}

// Intervals at which a daemon checks a lease that it does not hold.
const (
	// checkInterval applies while a holder is known and no work is neglected.
	// relayCheckInterval is that of the relays: a holder that is cut off is noticed only once
	// groups fail, and each second counts then.
	checkInterval      = 20 * time.Second
	relayCheckInterval = time.Second
	// relayedCheckInterval is that of a daemon that follows through a relay, which checks the
	// lease in its place: hundreds of daemons would make many calls otherwise.
	relayedCheckInterval = 2 * time.Minute
	// neglectAfter is how long work may be pending before the lease is checked. Most of a
	// planner's steps take less. Daemons that follow through a relay leave this to it: work may
	// be pending for seconds, as while instances carry out orders late, and each of hundreds of
	// daemons would check the lease throughout.
	neglectAfter = 800 * time.Millisecond
	// neglectCheckInterval is how often the view is checked for pending work.
	neglectCheckInterval = 400 * time.Millisecond
)

func (m *Manager) leaseCheckInterval() time.Duration {
	switch {
	case m.IsRelay != nil && m.IsRelay():
		return relayCheckInterval
	case m.usesRelay():
		return relayedCheckInterval
	}
	return checkInterval
}

func (m *Manager) usesRelay() bool { return m.UsesRelay != nil && m.UsesRelay() }

// pendingInput is all that hasPendingWork depends on besides the time.
type pendingInput struct {
	view  *fleet.View
	table *routes.Table
}

// checkNeglected sets neglected if the holder of the lease has left work pending for too long. A
// daemon that follows through a relay leaves the check to it, as each one costs a whole plan.
func (m *Manager) checkNeglected(view *fleet.View, table *routes.Table, now time.Time) {
	if m.usesRelay() {
		m.pendingSince = time.Time{}
		m.neglected.Store(false)
		return
	}
	if in := (pendingInput{view, table}); in != m.checked {
		m.checked, m.workPending = in, m.hasPendingWork(view, table, now)
	}
	if !m.workPending {
		m.pendingSince = time.Time{}
	} else if m.pendingSince.IsZero() {
		m.pendingSince = now
	}
	m.neglected.Store(!m.pendingSince.IsZero() && now.Sub(m.pendingSince) > neglectAfter)
}

// hasPendingWork reports whether a planner without any history would now give an order other
// than to load a model.
func (m *Manager) hasPendingWork(view *fleet.View, table *routes.Table, now time.Time) (pending bool) {
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		m.contain(s.Name, func() { pending = hasWork(s, view, m.evacuated(), now) })
		if pending {
			return true
		}
	}
	return false
}

// hasWork is like Manager.hasPendingWork for one service.
func hasWork(s *routes.Service, view *fleet.View, evacuated map[string]bool, now time.Time) bool {
	p := NewPlanner(s.Name, 0, nil, now)
	p.Evacuated = evacuated
	for o := range p.orders(view, s.Engine, now) {
		if o.Op != OpStage {
			return true
		}
	}
	return false
}

// evacuated returns the zones in which no group is to be formed.
func (m *Manager) evacuated() map[string]bool {
	if m.Evacuated == nil {
		return nil
	}
	return m.Evacuated()
}

// maxViewAge is how long ago a view that is used for planning may have been confirmed. It covers
// two consecutive calls that wait for changes of the entries and some time for slow answers.
const maxViewAge = 8 * time.Second

// viewCurrent reports whether the view was confirmed within maxViewAge and after the term
// began, so that it shows all that the previous holder did.
func (m *Manager) viewCurrent(now time.Time) bool {
	confirmedAt := m.ViewConfirmedAt()
	return confirmedAt.After(m.termStart) && now.Sub(confirmedAt) < maxViewAge
}

// viewEra is since when views are of the store's present era.
type viewEra struct {
	era   uint64
	since time.Time // zero: there was no view yet
}

// observe records a view.
func (e *viewEra) observe(v *fleet.View, now time.Time) {
	if era := objectapi.Era(v.Revision); e.since.IsZero() || era > e.era {
		e.era, e.since = era, now
	}
}

// settled reports whether views show what the instances themselves have written, and not the copy from which
// the store came back: by that copy, members of groups that formed since are free. When the store came back
// before this daemon's first view is not known.
func (e *viewEra) settled(now time.Time) bool {
	return e.era == 0 || now.Sub(e.since) >= fleet.CopyLapse
}

// plan runs the planners of all model services and sends their orders, if this daemon holds the
// lease. Otherwise it checks for neglected work.
func (m *Manager) plan(ctx context.Context, now time.Time) {
	term := m.Lease.Term(now)
	view, table := m.View(), m.RoutingTable()
	if view == nil || table == nil {
		return
	}
	m.era.observe(view, now)
	if term == 0 {
		// The planners are kept: a lease that is confirmed late has the same term, and
		// their epochs must not be used twice.
		m.counts.reset(m.logged)
		m.logged = nil
		if now.Sub(m.lastNeglectCheck) > neglectCheckInterval {
			m.lastNeglectCheck = now
			m.checkNeglected(view, table, now)
		}
		return
	}
	if term != m.term {
		m.term, m.epochTerm, m.planners, m.panicked, m.termStart = term, 0, map[string]*Planner{}, map[string]time.Time{}, now
		m.RefreshView()
	}
	if !m.viewCurrent(now) || !m.era.settled(now) {
		return
	}
	if m.epochTerm == 0 {
		m.epochTerm = epochTermFor(term, m.Lease.InheritedEpochTerm(), view, func(service string) bool {
			s := table.Service(service)
			return s != nil && s.Engine != nil
		})
	}
	if m.epochTerm > objectapi.WithinEra(term) && !m.Lease.RecordEpochTerm(m.epochTerm) {
		return // a later holder must know of it before it is used
	}
	m.counts.observeView(view, now)
	defer m.observePlan(now)
	m.detector.startProbes(ctx, view, m.Suspects(now), now)
	view = m.detector.excludeDead(view, table.ModelSize)
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		m.planService(ctx, s, view, now)
	}
}

// planService runs the planner of a model service and sends its orders.
func (m *Manager) planService(ctx context.Context, s *routes.Service, view *fleet.View, now time.Time) {
	if at, panicked := m.panicked[s.Name]; panicked {
		if now.Sub(at) >= panicTermEnd {
			m.Lease.Abandon()
		}
		return
	}
	p := m.planners[s.Name]
	if p == nil {
		p = NewPlanner(s.Name, m.epochTerm, m.Lease.InheritedResends(), now)
		m.planners[s.Name] = p
	}
	p.MayResend, p.LoadWindow = m.Lease.ResendRecorded, m.LoadWindow()
	m.setPlacementInputs(p, now)
	p.noteFirstRequest(m.BeforeFirstRequest(), now)
	var orders []Order
	if !m.contain(s.Name, func() { orders = p.Plan(view, s.Engine, now) }) {
		m.panicked[s.Name] = now
		return
	}
	for _, o := range orders {
		go m.sendOrder(ctx, s.Name, m.term, o, view.Revision)
	}
	if p.Exhausted() {
		m.Lease.Abandon()
	}
	observed := p.summarize(view, s.Engine)
	m.counts.observePlanner(p, observed)
	m.logSummary(observed, view.Revision)
	m.reportPlacement(p, view.Revision)
}

// panicTermEnd is how long after the panic of a planner its term ends. A planner that panicked is not used again, as
// its record of orders may be incomplete; the next term has a new one. Until then the planners of other services go
// on, and the lease is not handed from daemon to daemon at each plan.
const panicTermEnd = 10 * time.Second

// contain calls a decision about a service and reports whether it returned. A panic in it is logged and counted, and
// does not end the process: it would end at each start while the view stays, and serve no other requests either.
func (m *Manager) contain(service string, decide func()) (returned bool) {
	defer func() {
		if returned {
			return
		}
		cause := recover()
		m.Log.Error("panic in a plan", zap.String("decision", "service_not_planned"), zap.String("service", service),
			zap.Any("panic", cause), zap.ByteString("stack", debug.Stack()))
		m.counts.observePanic(service)
	}()
	decide()
	return true
}

// recordResults records an order's result and all others that are waiting. mayOrder reports
// whether they may lead to new orders.
func (m *Manager) recordResults(r orderResult, now time.Time) (mayOrder bool) {
	for {
		m.recordResult(r, now)
		mayOrder = mayOrder || r.order.Op == OpLeave && r.outcome != Unanswered
		select {
		case r = <-m.results:
		default:
			return mayOrder
		}
	}
}

// recordResult passes an order's result to the lease and to the planner that gave the order.
func (m *Manager) recordResult(r orderResult, now time.Time) {
	if r.order.Op == OpJoin && r.outcome == Unanswered {
		m.Lease.NoteResend(r.order.Instance, now)
	}
	if p := m.planners[r.service]; p != nil && r.term == m.term {
		p.RecordOutcome(r.order, r.outcome)
	}
}

// sendOrder sends one order if the lease is still held, logs the outcome and queues it for
// recordResults.
func (m *Manager) sendOrder(ctx context.Context, service string, term uint64, o Order, revision uint64) {
	fields := []zap.Field{zap.String("op", string(o.Op)), zap.String("instance", o.Instance), zap.String("group", o.Group.Name),
		zap.Uint64("epoch", o.Group.Epoch), zap.Strings("members", o.Members), zap.String("reason", o.Reason),
		zap.Uint64("term", m.Lease.Term(m.Clock.Now())), zap.Uint64("view_revision", revision)}
	if m.Lease.Term(m.Clock.Now()) == 0 {
		m.Log.Info("order not sent: lease not held", fields...)
		// The planner counts it as sent. The term may go on, and a join is sent again only if its
		// first copy got no answer.
		m.queueResult(ctx, orderResult{service, term, o, Unanswered})
		return
	}
	timed, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := m.Orders.Send(timed, o)
	m.counts.observeOrder(o.Op, outcome)
	m.Log.Info("order", append(fields, zap.Stringer("outcome", outcome), zap.Error(err))...)
	m.queueResult(ctx, orderResult{service, term, o, outcome})
}

// queueResult queues an order's result for recordResults.
func (m *Manager) queueResult(ctx context.Context, r orderResult) {
	select {
	case m.results <- r:
	case <-ctx.Done():
	}
}
