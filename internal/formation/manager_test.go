package formation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/routes"
)

// A holder of the lease must not plan on a view from before its term, which put instances into two
// groups at once under fault injection, nor on one that was confirmed long ago.
func TestPlannerWaitsForViewOfItsTerm(t *testing.T) {
	began := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		confirmedAt, now time.Time
		current          bool
	}{
		"before the term": {began.Add(-time.Millisecond), began.Add(time.Second), false},
		"in the term":     {began.Add(time.Millisecond), began.Add(time.Second), true},
		"long ago":        {began.Add(time.Millisecond), began.Add(maxViewAge + time.Second), false},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Manager{termStart: began, ViewConfirmedAt: func() time.Time { return c.confirmedAt }}
			must.Eq(t, c.current, m.viewCurrent(c.now))
		})
	}
}

// Guards against reads of the lease by daemons whose relay checks it already. While orders were
// carried out late, work was pending for more than five seconds and each of 295 daemons read the
// lease every 0.8 s: 8,740 of 16,111 calls.
func TestRelayedDaemonLeavesLeaseChecksToItsRelay(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		relayed, neglected bool
		since              time.Duration
		checks             bool
	}{
		"direct, no neglected work":    {false, false, time.Second, false},
		"direct, neglected work":       {false, true, time.Second, true},
		"direct, last check long ago":  {false, false, checkInterval + 1, true},
		"relayed, neglected work":      {true, true, 30 * time.Second, false},
		"relayed, last check long ago": {true, false, relayedCheckInterval + 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Manager{Lease: &Lease{}, UsesRelay: func() bool { return c.relayed }}
			m.Lease.state.Store(&leaseState{otherHolderSeen: true})
			m.neglected.Store(c.neglected)
			must.Eq(t, c.checks, m.shouldCheckLease(now.Add(-c.since), now))
		})
	}
}

// Guards against checks for neglected work, each a whole plan, by daemons that follow through a
// relay, and against a second check of the same view.
func TestRelayedDaemonDoesNotCheckForNeglectedWork(t *testing.T) {
	engine, now := simModels(), time.Unix(1000, 0)
	table := routes.Compile(&routes.Config{Services: []routes.Service{{Name: simService, Engine: engine}}})
	view := benchView(300, 300, engine)
	view.Instances["i-00000"].Draining = true // its group must close
	relayed := true
	m := &Manager{UsesRelay: func() bool { return relayed }}
	for range 3 {
		m.checkNeglected(view, table, now)
		now = now.Add(neglectAfter)
	}
	must.False(t, m.neglected.Load())
	must.Eq(t, pendingInput{}, m.checked, must.Sprint("left to the relay"))

	relayed = false
	m.checkNeglected(view, table, now)
	must.False(t, m.neglected.Load(), must.Sprint("the planner has had no time"))
	must.Zero(t, testing.AllocsPerRun(10, func() { m.checkNeglected(view, table, now) }), must.Sprint("the same view again"))
	m.checkNeglected(view, table, now.Add(neglectAfter+1))
	must.True(t, m.neglected.Load())
	m.checkNeglected(benchView(300, 300, engine), table, now.Add(neglectAfter+2))
	must.False(t, m.neglected.Load(), must.Sprint("done"))
}

// Guards against a whole plan for each of a thousand order results that lead to no new orders.
func TestJoinResultsTriggerNoPlan(t *testing.T) {
	m := &Manager{results: make(chan orderResult, 8), Lease: &Lease{}}
	for range 3 {
		m.results <- orderResult{order: Order{Op: OpJoin}}
	}
	must.False(t, m.recordResults(orderResult{order: Order{Op: OpJoin}}, time.Time{}))
	must.Eq(t, 0, len(m.results), must.Sprint("all were recorded together"))
	m.results <- orderResult{order: Order{Op: OpLeave}}
	must.True(t, m.recordResults(orderResult{order: Order{Op: OpOpen}}, time.Time{}))
	must.False(t, m.recordResults(orderResult{order: Order{Op: OpLeave}, outcome: Unanswered}, time.Time{}), must.Sprint("it may not have left"))
}

// Guards against groups formed of members of others, by a view of the copy from which the store came back: in it
// the members of groups that formed since are free.
func TestNoPlansWhileViewsShowTheStoresCopy(t *testing.T) {
	var e viewEra
	view := func(era uint64) *fleet.View { return &fleet.View{Revision: objectapi.MakeRevision(era, 5)} }
	e.observe(view(0), start)
	must.True(t, e.settled(start))
	restored := start.Add(time.Minute)
	e.observe(view(1), restored)
	e.observe(view(1), restored.Add(time.Second))
	must.False(t, e.settled(restored.Add(fleet.CopyLapse-1)))
	must.True(t, e.settled(restored.Add(fleet.CopyLapse)))

	var started viewEra
	started.observe(view(2), start)
	must.False(t, started.settled(start), must.Sprint("the store may have come back just before the start"))
	must.True(t, started.settled(start.Add(fleet.CopyLapse)))
}
