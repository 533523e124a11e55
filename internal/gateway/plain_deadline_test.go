package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// Guards against a part of an answer without a length or chunks that looks whole because its replica stopped at the
// deadline that it was handed, and this process read the end before its own timer expired.
func TestUnframedAnswerThatEndsAtTheDeadlineIsNotWhole(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		route := streamRoute(r.attempts)
		route.Kind, route.Timeout = routes.Idempotent, routeTimeout
		r.config.Store(&Config{Table: routes.Compile(&routes.Config{Version: 1, Routes: []routes.Route{route}, Services: []routes.Service{{Name: simService}}}),
			ProvedAt: r.gateway.Clock.Now()})
		r.simFleet.serve = func(s *simSend) {
			s.conn.response.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nSignature: %s\r\n\r\npart", s.requestID, s.replica), nil)
			s.wait(eventInterval)
			r.suspend(routeTimeout)
			s.conn.response.fail(io.EOF)
		}
		c := r.call("x", 0)
		<-c.done
		must.True(t, c.aborted || c.status == http.StatusGatewayTimeout, must.Sprint(c.status, c.body.String(), r.logOf("x")))
	})
}
