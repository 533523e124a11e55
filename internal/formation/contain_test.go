package formation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
)

// panickingView is a view that BuildView never returns: a group of service "faulty" is complete but has no head.
func panickingView() *fleet.View {
	v := twoGroups()
	g := *v.Groups[fleet.GroupKey{Name: "a", Epoch: 1}]
	g.Service, g.Head = "faulty", nil
	v.Groups[g.Key] = &g
	v.Instances["a1"].Service, v.Instances["a2"].Service = "faulty", "faulty"
	v.Services = map[string][]*fleet.Instance{"faulty": g.Members, "s": v.Groups[fleet.GroupKey{Name: "b", Epoch: 1}].Members}
	return v
}

// takenOrders takes all orders.
type takenOrders chan Order

func (c takenOrders) Send(_ context.Context, o Order) (Outcome, error) {
	c <- o
	return Taken, nil
}

// Guards against the end of every daemon, at each start, by a panic in the plan of one service: the planner of that
// service is set aside until the term ends, and the other services are planned.
func TestPanicInOnePlanLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.ErrorLevel)
		store, orders, set := &leaseStore{}, make(takenOrders, 100), metrics.NewSet()
		engine := &routes.Engine{Models: []routes.Model{{Name: "m", ReplicaSize: 2, LoadTime: time.Second, WarmStartTime: time.Second}}}
		table := routes.Compile(&routes.Config{Services: []routes.Service{{Name: "faulty", Engine: engine}, {Name: "s", Engine: engine}}})
		view := panickingView()
		view.Instances["b2"].Draining = true // the group of the other service is to close
		clock := steady.NewClock()
		m := &Manager{Clock: clock, Lease: newLease(&store.singleObjectStore, "h"), Orders: orders, Log: zap.New(core), Metrics: set,
			View: func() *fleet.View { return view }, ViewChanged: make(chan struct{}), ViewConfirmedAt: clock.Now, RefreshView: func() {},
			RoutingTable: func() *routes.Table { return table }, Prober: deadProber{}, BeforeFirstRequest: func() bool { return false },
			LoadWindow: func() time.Duration { return 0 }, Suspects: func(time.Time) []string { return nil }}
		m.Lease.Clock = clock
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { m.Run(ctx); close(ended) }()
		time.Sleep(4 * time.Second)
		must.Positive(t, len(orders), must.Sprint("orders for the other service"))
		must.Eq(t, OpClose, (<-orders).Op)
		must.Eq(t, 1, logs.FilterMessage("panic in a plan").Len())
		term := m.Lease.Term(clock.Now())
		time.Sleep(panicTermEnd + 2*time.Second)
		must.Greater(t, term, m.Lease.Term(clock.Now()), must.Sprint("a new term has a new planner"))
		must.Eq(t, 2, set.GetOrCreateCounter(`pearlanding_plan_panics_total{service="faulty"}`).Get())
		stop()
		<-ended
	})
}

// Guards against the same panic in a daemon that does not plan, as it looks for neglected work.
func TestPanicInTheCheckForNeglectedWorkIsContained(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	engine := &routes.Engine{Models: []routes.Model{{Name: "m", ReplicaSize: 2}}}
	table := routes.Compile(&routes.Config{Services: []routes.Service{{Name: "faulty", Engine: engine}, {Name: "s", Engine: engine}}})
	view := panickingView()
	view.Instances["b2"].Draining = true
	m := &Manager{Log: zap.New(core), counts: newPlanMetrics(metrics.NewSet())}
	must.True(t, m.hasPendingWork(view, table, time.Unix(1000, 0)), must.Sprint("work for the other service"))
	must.Eq(t, 1, logs.FilterMessage("panic in a plan").Len())
}
