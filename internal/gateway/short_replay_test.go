package gateway

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against streams that look complete because a replica repeated events that the caller has, and ended before the
// last of them.
func TestReplayThatEndsTooEarlyCompletesNoStream(t *testing.T) {
	const callerHas = 5
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.simFleet.serve = func(s *simSend) {
			s.header()
			if s.events(1, callerHas-2, eventInterval) {
				s.finish()
			}
		}
		c := r.callAs(&simCaller{id: "x", lastEventID: callerHas})
		<-c.done
		must.True(t, c.aborted || c.status != http.StatusOK, must.Sprint(c.status, c.body.String(), r.logOf("x")))
	})
}
