package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/upstream"
)

// withCold makes some of the groups cold, with permits as answered by ask.
func (e *fleetExchange) withCold(ask backpressure.AskColdPermit, cold ...string) {
	e.service.ColdStart, e.service.ColdPerSecond = 3*time.Second, 26
	e.gateway.ColdPermit = ask
	for _, id := range cold {
		e.gateway.Gate.Cold.Entry(backpressure.ColdEntry{Incarnation: backpressure.Incarnation{Instance: id, StartedAt: 1}, Version: 1}, e.gateway.Clock.Now())
	}
}

// Guards against an overload in which more is refused than planned: a stream that was admitted with the
// share s and whose permit for a cold instance was refused had to pass the share once more with each
// choice.
func TestRefusedPermitDoesNotDrawAdmissionAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // no time passes, which would make the reports older
		const streams, load = 400, 34
		rng := rand.New(rand.NewPCG(1, 2))
		admitted := func(cold ...string) (part, share float64) {
			for range streams {
				ask, _ := permits(refuseAll)
				x := newFleetExchange(load)
				x.gateway.Picker = dispatch.NewPicker("", rng.IntN)
				x.reportInFlight(load)
				x.withCold(ask, cold...)
				if x.nextTarget(t.Context()) != nil {
					part += 1.0 / streams
				}
				share = x.admission.Share
			}
			return part, share
		}
		planned, share := admitted()
		must.Between(t, 0.2, share, 0.8, must.Sprint("an overload"))
		must.InDelta(t, share, planned, 0.08)
		part, _ := admitted("g0", "g1", "g2")
		must.InDelta(t, planned, part, 0.08)
	})
}

// Guards against a refusal of an admitted stream that was not written, because the permit for its cold
// instance had expired. A stream that was written is judged again.
func TestWithheldStreamIsOnlyPlacedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		ask    func(string) backpressure.ColdAnswer // when the send begins
		placed bool
	}{"withheld": {refuseAll, true}, "written": {grantAll, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := grantAll
				ask, _ := permits(func(id string) backpressure.ColdAnswer { return answer(id) })
				x := newFleetExchange(5)
				x.gateway.Pool = upstream.NewPool(time.Second, time.Minute)
				x.gateway.Pool.Dial = notRunDialer(t)
				x.withCold(ask, "g0", "g1", "g2", "g3")
				x.gateway.BorrowRetry = func(context.Context, string) bool { return true }
				x.req.Method, x.req.RequestTarget = "POST", "/"
				target := x.nextTarget(t.Context())
				must.NotNil(t, target)
				answer = c.ask
				time.Sleep(backpressure.ColdPermitTTL)
				s, answered := x.sendStream(t.Context(), target)
				must.Nil(t, s)
				must.False(t, answered)
				answer = grantAll
				x.reportInFlight(80)
				must.Eq(t, c.placed, x.nextTarget(t.Context()) != nil)
				must.Eq(t, c.placed, x.admission.Reason == "", must.Sprint(x.admission.Reason))
			})
		})
	}
}

// notRunDialer returns a function that connects to a replica that answers with "not run".
func notRunDialer(t *testing.T) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close() })
		go func() {
			defer far.Close()
			if _, err := far.Read(make([]byte, 1<<16)); err == nil {
				_, _ = io.WriteString(far, "HTTP/1.1 503 Service Unavailable\r\nX-Id: \r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			}
		}()
		return near, nil
	}
}
