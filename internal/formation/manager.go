package formation

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"pearlanding/internal/fleet"
	"pearlanding/internal/pause"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
)

// Orders sends orders to instances.
type Orders interface {
	// Send sends one order. The error explains an outcome other than Taken.
	Send(ctx context.Context, o Order) (Outcome, error)
}

// Manager forms groups while this daemon holds the lease.
type Manager struct {
	Clock    *steady.Clock    // nil: this machine's
	RunClock *steady.RunClock // by which instances do not answer; nil: one over this machine's
	Lease    *Lease
	Orders   Orders
	View     func() *fleet.View
	Changed  <-chan struct{} // signalled after the view changed
	// Proved tells when the call was sent that last brought the view up to date;
	// Refresh asks for a whole listing.
	Proved  func() time.Time
	Refresh func()
	Table   func() *routes.Table
	Prober  Prober
	// Idle tells that this daemon has had no request yet; Window is that of the
	// ceiling on loads.
	Idle   func() bool
	Window func() time.Duration
	// Serving tells that others follow through this daemon: it and its like, one a
	// zone, see to it that the lease is held; nil: they don't.
	Serving func() bool
	// Relayed tells that this daemon follows the instances through another one, which
	// then looks for work that nobody does; nil: it does not.
	Relayed func() bool
	// FirstLook is how long after its start a daemon first looks at the lease: by then it
	// knows whether it follows through another one.
	FirstLook time.Duration
	// Still lists the instances whose streams stand still for this daemon.
	Still func(now time.Time) []string
	// Stopped is signalled when Still has grown; nil: it is looked at with each tick.
	Stopped <-chan struct{}
	Log     *zap.Logger
	// Metrics takes the counters of orders, loads and groups.
	Metrics *metrics.Set

	counts   *planMetrics
	search   *search
	planners map[string]*Planner // by service, of the current term
	told     map[string]summary  // logged last, by service
	ended    chan endedOrder
	term     uint64
	noticed  time.Time  // when work that stands was last looked for
	searched searchedIn // where
	found    bool       // whether there was some
	standing time.Time  // since when there is some; zero: none
	// neglected: work has stood for so long that the lease should be looked at.
	neglected atomic.Bool
	began     time.Time // when this daemon noticed that it holds the lease
}

// endedOrder is what came of an order.
type endedOrder struct {
	service string
	term    uint64
	order   Order
	outcome Outcome
}

// Periods of the manager.
const (
	planTick     = 250 * time.Millisecond
	orderTimeout = time.Second
	// deathsApart is how long others are waited for when a member is found dead: probes of a
	// domain that went dark end within some milliseconds of one another. Without it 36 dead
	// members made 36 plans, each of a view in which the others still lived.
	deathsApart = 25 * time.Millisecond
	// releaseTimeout bounds the last write of a daemon that stops.
	releaseTimeout = 500 * time.Millisecond
)

// Run plans until ctx ends; then the lease is released.
func (m *Manager) Run(ctx context.Context) {
	m.ended, m.search, m.counts = make(chan endedOrder), newSearch(m.Prober, m.Log), newPlanMetrics(m.Metrics)
	m.search.clock = m.Clock
	if m.RunClock != nil {
		m.search.run = m.RunClock
	}
	stopped := make(chan struct{})
	taken := make(chan struct{}, 1)
	go m.keepLease(ctx, taken, stopped)
	tick := time.NewTicker(planTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			<-stopped
			return
		case <-taken:
		case e := <-m.ended:
			if !m.takeAll(e, m.Clock.Now()) {
				continue
			}
		case <-m.Changed:
		case <-m.Stopped:
		case <-m.search.found:
			pause.For(ctx, deathsApart)
		case <-tick.C:
		}
		m.plan(ctx, m.Clock.Now())
	}
}

// keepLease takes and renews the lease; it alone does so. A daemon that does not
// hold it looks at it only while there is work that nobody does, and now and then:
// every look has its price, and there may be hundreds of daemons.
func (m *Manager) keepLease(ctx context.Context, taken chan<- struct{}, stopped chan<- struct{}) {
	defer close(stopped)
	pause.For(ctx, m.FirstLook)
	looked := m.Clock.Now()
	for ctx.Err() == nil {
		now := m.Clock.Now()
		held := m.Lease.Held(now) != 0
		if held || m.looks(looked, now) {
			looked = now
			m.Lease.Step(ctx)
			if !held && m.Lease.Held(m.Clock.Now()) != 0 {
				taken <- struct{}{}
			}
		}
		pause.For(ctx, renewEvery)
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	m.Lease.Release(release)
}

// looks tells whether a daemon that does not hold the lease looks at it now.
func (m *Manager) looks(looked, now time.Time) bool {
	if now.Sub(looked) > m.lookEvery() {
		return true
	}
	return !m.relayed() && (!m.Lease.Seen() || m.neglected.Load())
}

// Times of looking at a lease that another daemon holds.
const (
	// lookEvery is how often it is looked at when all seems well; lookServing is that of
	// the few that see to it. A planner that is cut off is missed only when groups fall,
	// and each second counts then.
	lookEvery   = 20 * time.Second
	lookServing = time.Second
	// lookRelayed is that of a daemon that follows through another one, which looks for
	// it: hundreds of daemons would make many calls otherwise.
	lookRelayed = 2 * time.Minute
	// neglectAfter is how long work may stand before the lease is looked at. Most
	// of a planner's steps take less. A daemon that follows through another one leaves
	// that to it: work may stand for seconds, as while orders are carried out late, and each
	// of hundreds of daemons would look at the lease all the while.
	neglectAfter = 800 * time.Millisecond
	// noticeEvery is how often work that stands is looked for.
	noticeEvery = 400 * time.Millisecond
)

func (m *Manager) lookEvery() time.Duration {
	switch {
	case m.Serving != nil && m.Serving():
		return lookServing
	case m.relayed():
		return lookRelayed
	}
	return lookEvery
}

func (m *Manager) relayed() bool { return m.Relayed != nil && m.Relayed() }

// searchedIn is all that the search for work that stands depends on.
type searchedIn struct {
	view  *fleet.View
	table *routes.Table
}

// notice looks for work that whoever holds the lease should have done. A daemon that follows
// through another one leaves that to it, as each look costs a whole plan.
func (m *Manager) notice(view *fleet.View, table *routes.Table, now time.Time) {
	if m.relayed() {
		m.standing = time.Time{}
		m.neglected.Store(false)
		return
	}
	if in := (searchedIn{view, table}); in != m.searched {
		m.searched, m.found = in, workStands(view, table, now)
	}
	if !m.found {
		m.standing = time.Time{}
	} else if m.standing.IsZero() {
		m.standing = now
	}
	m.neglected.Store(!m.standing.IsZero() && now.Sub(m.standing) > neglectAfter)
}

// workStands tells whether a planner that knew nothing but the view would give an
// order now, other than to load a model.
func workStands(view *fleet.View, table *routes.Table, now time.Time) bool {
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		for o := range NewPlanner(s.Name, 0, nil, now).orders(view, s.Engine, now) {
			if o.Op != OpStage {
				return true
			}
		}
	}
	return false
}

// viewFor is how old a view's proof may be for planning: two calls that follow
// the entries, and some time for slow answers.
const viewFor = 8 * time.Second

// current tells whether the view can be planned on: it was proved after the lease
// was taken, so that it holds all that the holder before did, and not long ago.
func (m *Manager) current(now time.Time) bool {
	proved := m.Proved()
	return proved.After(m.began) && now.Sub(proved) < viewFor
}

// plan runs the planners of all model services and sends their orders.
func (m *Manager) plan(ctx context.Context, now time.Time) {
	term := m.Lease.Held(now)
	view, table := m.View(), m.Table()
	if view == nil || table == nil {
		return
	}
	if term == 0 {
		// The planners stay: if the lease comes back, it does so with the same term, and
		// their epochs must not be given twice.
		m.counts.ended(m.told)
		m.told = nil
		if now.Sub(m.noticed) > noticeEvery {
			m.noticed = now
			m.notice(view, table, now)
		}
		return
	}
	if term != m.term {
		m.term, m.planners, m.began = term, map[string]*Planner{}, now
		m.Refresh()
	}
	if !m.current(now) {
		return
	}
	m.counts.viewed(view, now)
	defer m.tookPlan(now)
	m.search.look(ctx, view, m.Still(now), now)
	view = m.search.without(view, table.ModelSize)
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		p := m.planners[s.Name]
		if p == nil {
			p = NewPlanner(s.Name, term, m.Lease.Inherited(), now)
			m.planners[s.Name] = p
		}
		p.MayResend, p.Idle, p.Window = m.Lease.Noted, m.Idle(), m.Window()
		for _, o := range p.Plan(view, s.Engine, now) {
			go m.order(ctx, s.Name, term, o, view.Revision)
		}
		if p.Exhausted() {
			m.Lease.Abandon()
		}
		seen := p.summarize(view, s.Engine)
		m.counts.planned(p, seen)
		m.tell(seen, view.Revision)
	}
}

// slowPlan is how long a plan may take before it is logged: half of the pause between two.
const slowPlan = planTick / 2

// tookPlan notes how long a plan took that began at a time.
func (m *Manager) tookPlan(began time.Time) {
	took := m.Clock.Since(began)
	m.counts.took(took)
	if took > slowPlan {
		m.Log.Warn("plan took long", zap.Duration("took", took), zap.Uint64("term", m.term))
	}
}

// tell logs what the planner sees when it changed.
func (m *Manager) tell(s summary, revision uint64) {
	if m.told[s.service] == s {
		return
	}
	if m.told == nil {
		m.told = map[string]summary{}
	}
	m.told[s.service] = s
	m.Log.Info("groups", zap.Object("seen", s), zap.Uint64("term", m.term), zap.Uint64("view_revision", revision))
}

// takeAll takes in what came of an order, and of all others that ended meanwhile. It tells
// whether they may lead to new orders.
func (m *Manager) takeAll(e endedOrder, now time.Time) (plan bool) {
	for {
		m.take(e, now)
		plan = plan || e.order.Op == OpLeave && e.outcome != Unanswered
		select {
		case e = <-m.ended:
		default:
			return plan
		}
	}
}

// take takes in what came of an order.
func (m *Manager) take(e endedOrder, now time.Time) {
	if e.order.Op == OpJoin && e.outcome == Unanswered {
		m.Lease.Note(e.order.Instance, now)
	}
	if p := m.planners[e.service]; p != nil && e.term == m.term {
		p.Ended(e.order, e.outcome)
	}
}

// order sends one order if the lease is still held, logs what came of it, and
// tells the planner.
func (m *Manager) order(ctx context.Context, service string, term uint64, o Order, revision uint64) {
	fields := []zap.Field{zap.String("op", string(o.Op)), zap.String("instance", o.Instance), zap.String("group", o.Group.Name),
		zap.Uint64("epoch", o.Group.Epoch), zap.Strings("members", o.Members), zap.String("reason", o.Reason),
		zap.Uint64("term", m.Lease.Held(m.Clock.Now())), zap.Uint64("view_revision", revision)}
	if m.Lease.Held(m.Clock.Now()) == 0 {
		m.Log.Info("order not sent: lease not held", fields...)
		return
	}
	timed, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := m.Orders.Send(timed, o)
	m.counts.order(o.Op, outcome)
	m.Log.Info("order", append(fields, zap.Stringer("outcome", outcome), zap.Error(err))...)
	select {
	case m.ended <- endedOrder{service, term, o, outcome}:
	case <-ctx.Done():
	}
}
