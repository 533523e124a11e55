package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/steady"
)

// newColdExchange returns a request like newLimitedExchange does, for a service with a rule on cold
// instances, of which some are cold. ask answers requests for permits.
func newColdExchange(ask backpressure.AskColdPermit, cold ...string) *exchange {
	x, _ := newLimitedExchange(newGate())
	x.arrivedAt, x.route.LatencyObjective = time.Now(), 400*time.Millisecond
	x.gateway.Clock = steady.NewClock()
	x.service.ColdStart, x.service.ColdPerSecond = 3*time.Second, 26
	x.gateway.ColdPermit = ask
	for _, id := range cold {
		x.gateway.Gate.Cold.Entry(backpressure.ColdEntry{Incarnation: backpressure.Incarnation{Instance: id, StartedAt: 1}, Version: 1}, x.gateway.Clock.Now())
	}
	return x
}

// permits returns a function that answers requests for permits, and counts them by instance.
func permits(answer func(instance string) backpressure.ColdAnswer) (backpressure.AskColdPermit, map[string]int) {
	asked := map[string]int{}
	return func(_ context.Context, instance string, _ float64) (backpressure.ColdAnswer, error) {
		asked[instance]++
		return answer(instance), nil
	}, asked
}

func refuseAll(string) backpressure.ColdAnswer {
	return backpressure.ColdAnswer{Granting: true, Wait: time.Minute}
}

func grantAll(string) backpressure.ColdAnswer {
	return backpressure.ColdAnswer{Granting: true, Granted: true}
}

// Guards against requests that are sent to a cold instance without a permit, wait for one while another
// instance is warm, or ask for one again right after a refusal.
func TestRequestRefusedAColdPermitGoesToAnotherInstance(t *testing.T) {
	ask, asked := permits(refuseAll)
	x := newColdExchange(ask, "a")
	for range 4 {
		must.Eq(t, "b", x.nextTarget(t.Context()).Instance)
		x.triedInstances = nil
	}
	must.Eq(t, 1, asked["a"])
	must.Eq(t, 0, asked["b"])
}

// Guards against calls for permits that a service without the rule, or a warm instance, does not need.
func TestNoColdPermitIsAskedForWithoutNeed(t *testing.T) {
	ask, asked := permits(grantAll)
	x := newColdExchange(ask)
	must.NotNil(t, x.nextTarget(t.Context()))
	x = newColdExchange(ask, "a", "b")
	x.service.ColdPerSecond = 0
	must.NotNil(t, x.nextTarget(t.Context()))
	must.MapEmpty(t, asked)
}

// Guards against a request that is written to a cold instance after its permit expired, because it waited
// for a connection, and against one that was chosen while the instance counted as warm.
func TestRequestWithoutValidColdPermitIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := grantAll
		ask, asked := permits(func(id string) backpressure.ColdAnswer { return answer(id) })
		x := newColdExchange(ask, "a", "b")
		target := x.nextTarget(t.Context())
		withheld := x.withholdFunc(target)
		must.False(t, withheld())
		must.Eq(t, 1, asked[target.Instance], must.Sprint("the permit is still valid"))
		time.Sleep(backpressure.ColdPermitTTL)
		must.False(t, withheld(), must.Sprint("another permit"))
		must.Eq(t, 2, asked[target.Instance])
		answer = refuseAll
		must.True(t, withheld())

		ask, _ = permits(refuseAll)
		x = newColdExchange(ask)
		target = x.nextTarget(t.Context())
		withheld = x.withholdFunc(target)
		must.False(t, withheld())
		x.gateway.Gate.Cold.Entry(backpressure.ColdEntry{Incarnation: backpressure.Incarnation{Instance: target.Instance, StartedAt: 1}, Version: 1}, x.gateway.Clock.Now())
		must.True(t, withheld(), must.Sprint("became cold after the choice"))
	})
}

// Guards against requests that are refused although a permit is there well within their objective, and
// against requests that ask on and on.
func TestRequestWaitsForAColdPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := backpressure.ColdAnswer{Granting: true, Wait: 30 * time.Millisecond}
		calls := 0
		x := newColdExchange(func(context.Context, string, float64) (backpressure.ColdAnswer, error) {
			if calls++; calls > 4 {
				answer = backpressure.ColdAnswer{Granting: true, Granted: true}
			}
			return answer, nil
		}, "a", "b")
		must.NotNil(t, x.nextTarget(t.Context()))
		must.Eq(t, 5, calls)

		ask, asked := permits(refuseAll)
		x = newColdExchange(ask, "a", "b")
		x.quarantineRequest = quarantine.NewRequest(x.content())
		x.servePlain(t.Context())
		must.Eq(t, http.StatusServiceUnavailable, x.status)
		must.Eq(t, "upstream_backpressure", x.reason)
		must.Less(t, 400*time.Millisecond, time.Since(x.arrivedAt))
		must.Less(t, 20, asked["a"]+asked["b"])
	})
}

// Guards against requests that each wait for a relay that does not answer.
func TestColdPermitsAreNotAskedForWithoutAnAnswer(t *testing.T) {
	calls := 0
	x := newColdExchange(func(context.Context, string, float64) (backpressure.ColdAnswer, error) {
		calls++
		return backpressure.ColdAnswer{}, errors.New("no answer")
	}, "a")
	for range 4 {
		must.Eq(t, "b", x.nextTarget(t.Context()).Instance)
		x.triedInstances = nil
	}
	must.Eq(t, 1, calls)
}
