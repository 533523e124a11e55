package formation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// A holder of the lease must not plan on a view from before its term (seen as TWO
// on a hunted day), nor on one that was proved long ago.
func TestPlannerWaitsForAViewOfItsTerm(t *testing.T) {
	began := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		proved, now time.Time
		current     bool
	}{
		"before the term": {began.Add(-time.Millisecond), began.Add(time.Second), false},
		"in the term":     {began.Add(time.Millisecond), began.Add(time.Second), true},
		"long ago":        {began.Add(time.Millisecond), began.Add(viewFor + time.Second), false},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Manager{began: began, Proved: func() time.Time { return c.proved }}
			must.Eq(t, c.current, m.current(c.now))
		})
	}
}

// What happened: on a day with orders that are carried out late, daemons read the lease
// 8,740 times, of 16,111 calls in all. Why: work stood undone for more than five seconds, and
// each of 295 daemons looked each 0.8 s who neglects it, though their relays did so already.
// What settled it: "get pearlanding-leases" in the lines that count calls.
func TestDaemonsThatFollowThroughAnotherLeaveTheLeaseToIt(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		relayed, neglected bool
		since              time.Duration
		looks              bool
	}{
		"alone, all well":            {false, false, time.Second, false},
		"alone, neglected":           {false, true, time.Second, true},
		"alone, long ago":            {false, false, lookEvery + 1, true},
		"through another, neglected": {true, true, 30 * time.Second, false},
		"through another, long ago":  {true, false, lookRelayed + 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Manager{Lease: &Lease{}, Relayed: func() bool { return c.relayed }}
			m.Lease.held.Store(&holding{seen: true})
			m.neglected.Store(c.neglected)
			must.Eq(t, c.looks, m.looks(now.Add(-c.since), now))
		})
	}
}

// Guards against whole plans made by daemons that may not take the lease, or twice for one view.
func TestOnlyWhoMayTakeTheLeaseLooksForNeglectedWork(t *testing.T) {
	engine, now := simModels(), time.Unix(1000, 0)
	table := routes.Compile(&routes.Config{Services: []routes.Service{{Name: simService, Engine: engine}}})
	view := benchView(300, 300, engine)
	view.Instances["i-00000"].Draining = true // its group should close
	relayed := true
	m := &Manager{Relayed: func() bool { return relayed }}
	for range 3 {
		m.notice(view, table, now)
		now = now.Add(neglectAfter)
	}
	must.False(t, m.neglected.Load())
	must.Eq(t, searchedIn{}, m.searched, must.Sprint("the relay looks"))

	relayed = false
	m.notice(view, table, now)
	must.False(t, m.neglected.Load(), must.Sprint("the planner has had no time"))
	must.Zero(t, testing.AllocsPerRun(10, func() { m.notice(view, table, now) }), must.Sprint("the same view again"))
	m.notice(view, table, now.Add(neglectAfter+1))
	must.True(t, m.neglected.Load())
	m.notice(benchView(300, 300, engine), table, now.Add(neglectAfter+2))
	must.False(t, m.neglected.Load(), must.Sprint("done"))
}

// Guards against a whole plan for each of a thousand answers that change nothing.
func TestAnswersToJoinsNeedNoPlan(t *testing.T) {
	m := &Manager{ended: make(chan endedOrder, 8), Lease: &Lease{}}
	for range 3 {
		m.ended <- endedOrder{order: Order{Op: OpJoin}}
	}
	must.False(t, m.takeAll(endedOrder{order: Order{Op: OpJoin}}, time.Time{}))
	must.Eq(t, 0, len(m.ended), must.Sprint("all were taken together"))
	m.ended <- endedOrder{order: Order{Op: OpLeave}}
	must.True(t, m.takeAll(endedOrder{order: Order{Op: OpOpen}}, time.Time{}))
	must.False(t, m.takeAll(endedOrder{order: Order{Op: OpLeave}, outcome: Unanswered}, time.Time{}), must.Sprint("it may not have left"))
}
