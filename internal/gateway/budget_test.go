package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// When an instance crashes, all of its requests are retried at the same moment. Here a second
// request takes the last retry of the budget while the target of the first one is chosen: only
// one of them may continue.
func TestRequestsThatFailTogetherShareTheBudget(t *testing.T) {
	rule := dispatch.BudgetRule{Ratio: 1, Window: 10 * time.Second}
	taken := 0
	var x *exchange
	// The picker calls its random number function while it chooses the target.
	takeAsOtherRequest := func(int) int {
		if x.budget().TakeRetry(rule, time.Now()) {
			taken++
		}
		return 0
	}
	instances := map[string]*fleet.Instance{}
	for _, id := range []string{"a", "b"} {
		instances[id] = &fleet.Instance{ID: id, Service: "s"}
	}
	view := fleet.BuildView(1, time.Now(), instances, nil, nil)
	x = &exchange{
		gateway: &Gateway{Gate: newGate(), Budgets: &dispatch.Budgets{}, Picker: dispatch.NewPicker("", takeAsOtherRequest), View: func() *fleet.View { return view }, Limits: func() Limits { return Limits{RetryBudget: rule} }},
		service: &routes.Service{Name: "s"}, route: &routes.Route{MaxAttempts: 3}, req: &Request{}, deadline: time.Now().Add(time.Minute),
	}
	now := time.Now()
	for range 2 { // each request accrues a credit of 0.9
		x.budget().CountRequest(rule, now)
	}
	x.attempts.CountSend()
	x.attempts.CountReached()
	if x.nextTarget(t.Context()) != nil {
		taken++
	}
	must.Eq(t, 1, taken)
}

// After a restart of all daemons, all streams queue at the replicas and the shared retry budget
// is exhausted. A stream canceled in that state can't continue elsewhere: its caller got 502
// after 300 ms although its replica was still working on it.
func TestStreamIsNotAbortedWithoutARetry(t *testing.T) {
	rule := dispatch.BudgetRule{Ratio: 1, Window: 10 * time.Second}
	instances := map[string]*fleet.Instance{}
	for _, id := range []string{"a", "b"} {
		instances[id] = &fleet.Instance{ID: id, Service: "s"}
	}
	view := fleet.BuildView(1, time.Now(), instances, nil, nil)
	x := &exchange{
		gateway: &Gateway{Gate: newGate(), Budgets: &dispatch.Budgets{}, Picker: dispatch.NewPicker("", func(int) int { return 0 }), View: func() *fleet.View { return view }, Limits: func() Limits { return Limits{RetryBudget: rule} }},
		service: &routes.Service{Name: "s"}, route: &routes.Route{MaxAttempts: 2}, req: &Request{}, deadline: time.Now().Add(time.Minute),
	}
	x.attempts.CountSend()
	x.attempts.CountReached()
	must.False(t, x.reserveRetry(t.Context()), must.Sprint("no accrued credit"))
	now := time.Now()
	for range 2 { // each request accrues a credit of 0.9
		x.budget().CountRequest(rule, now)
	}
	must.True(t, x.reserveRetry(t.Context()))
	must.False(t, x.budget().TakeRetry(rule, now), must.Sprint("the retry is reserved"))
	must.NotNil(t, x.nextTarget(t.Context()), must.Sprint("the reserved retry is used"))
	for range 2 {
		x.budget().CountRequest(rule, now)
	}
	must.True(t, x.reserveRetry(t.Context()))
	x.releaseRetry()
	must.True(t, x.budget().TakeRetry(rule, now), must.Sprint("the retry is returned to the budget"))
}
