package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/routes"
)

// sendOutcomes are the ways in which one send can end, and whether the instance may have run the request. The answers are
// the same for plain requests and for streams.
var sendOutcomes = map[string]struct {
	mayHaveRun bool
	serve      func(s *simSend)
}{
	"whole":                    {true, func(s *simSend) { s.endedAnswer(withLength, s.simEvents(s.lastEventID+1, streamEvents), marked) }},
	"without a signature":      {true, func(s *simSend) { s.respond(http.StatusOK, "") }},
	"failure":                  {true, func(s *simSend) { s.respond(http.StatusInternalServerError, "Signature: x\r\n") }},
	"failure, no signature":    {true, func(s *simSend) { s.respond(http.StatusBadGateway, "") }},
	"not run":                  {false, (*simSend).refuse},
	"reset":                    {true, (*simSend).reset},
	"cut after the head":       {true, func(s *simSend) { s.endedAnswer(unframed, nil, closed) }},
	"cut in the body":          {true, func(s *simSend) { s.endedAnswer(withLength, s.simEvents(s.lastEventID+1, s.lastEventID+1), closed) }},
	"reset in the body":        {true, func(s *simSend) { s.endedAnswer(unframed, s.simEvents(s.lastEventID+1, s.lastEventID+1), reset) }},
	"invalid status":           {true, func(s *simSend) { s.conn.response.write([]byte("HTTP/1.1 000 Odd\r\n\r\n"), nil) }},
	"no answer":                {true, func(s *simSend) { s.conn.response.write([]byte("odd bytes\r\n\r\n"), nil) }},
	"answer to another":        {true, func(s *simSend) { s.requestID = "another"; s.respond(http.StatusOK, "Signature: x\r\n"); s.reset() }},
	"silent":                   {true, (*simSend).hang},
	"silent after an event":    {true, func(s *simSend) { s.header(); s.event(s.lastEventID + 1); s.hang() }},
	"refuses the connection":   {false, nil},
	"connection without reply": {false, nil},
}

// Guards against requests that run twice although they must not: a success without a signature was sent to a second
// instance whatever the route (review case 1). One rule decides for each route, limit and sequence of outcomes, and what
// the caller is told is true.
func TestOnlyRepeatableRequestsRunTwice(t *testing.T) {
	names := make([]string, 0, len(sendOutcomes))
	for name := range sendOutcomes {
		names = append(names, name)
	}
	kinds := map[string]routes.Route{
		"idempotent": {Kind: routes.Idempotent}, "at most once": {Kind: routes.AtMostOnce},
		"stream": {Kind: routes.Stream}, "resumable stream": {Kind: routes.Stream, Resumable: true},
	}
	for kind, route := range kinds {
		for _, attempts := range []int{1, 2, 4} {
			t.Run(fmt.Sprintf("%s, %d attempts", kind, attempts), func(t *testing.T) {
				t.Parallel()
				for _, first := range names {
					for _, second := range names {
						checkResends(t, route, attempts, []string{first, second, "whole"})
					}
				}
			})
		}
	}
}

// checkResends sends a request of a route whose sends end in some ways, the last of them repeated.
func checkResends(t *testing.T, route routes.Route, attempts int, outcomes []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		fleet := newSimFleet("a", "b", "c", "d")
		defer time.Sleep(2 * time.Minute)
		defer fleet.close()
		defer stop()
		var dials, ran atomic.Int64
		fleet.connect = func(ctx context.Context, _ string) error {
			outcome := outcomes[min(int(dials.Add(1))-1, len(outcomes)-1)]
			switch outcome {
			case "refuses the connection":
				return syscall.ECONNREFUSED
			case "connection without reply":
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		}
		fleet.serve = func(s *simSend) {
			outcome := sendOutcomes[outcomes[min(int(dials.Load())-1, len(outcomes)-1)]]
			if outcome.mayHaveRun {
				ran.Add(1)
			}
			if outcome.serve != nil {
				outcome.serve(s)
			}
		}
		kind := route
		route := streamRoute(attempts)
		route.Kind, route.Resumable, route.Timeout = kind.Kind, kind.Resumable, 5*time.Second
		rule := dispatch.BudgetRule{Ratio: 1, Window: 10 * time.Second}
		p := newSimProcess(ctx, fleet, route, rule, func(int) int { return 0 })
		for range 5 {
			p.gateway.Budgets.For(simService).CountRequest(rule, p.gateway.Clock.Now())
		}
		call := p.call("x", streamEvents)
		<-call.done
		describe := must.Sprintf("%v: status %d, aborted %v", outcomes, call.status, call.aborted)
		must.LessEq(t, int64(attempts), ran.Load(), describe)
		if !route.Retryable() {
			must.LessEq(t, 1, ran.Load(), describe)
		}
		if ran.Load() > 0 && !route.Retryable() {
			for _, promise := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
				must.NotEq(t, promise, call.status, describe)
			}
		}
		if call.status == http.StatusOK {
			must.SliceLen(t, 1, call.header["Signature"], describe)
		}
	})
}
