package gateway

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an instance that is sent one request after the other although its response heads have no
// end: it is suspected, and the stream continues at another one.
func TestInstanceWithALargeHeadIsSuspected(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 2, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		broken := ""
		r.simFleet.serve = func(s *simSend) {
			if broken == "" {
				broken = s.replica
				s.failed.Store(true)
				s.conn.response.write([]byte("HTTP/1.1 200 OK\r\nX-A: "+strings.Repeat("x", 65<<10)), nil)
				waitFor[struct{}](s, nil)
				return
			}
			continueStream(s)
		}
		r.run(t)
		must.Eq(t, []string{broken}, r.gateway.Picker.Unhealthy(r.gateway.runClockNow()))
		must.Eq(t, 1, r.gateway.Metrics.set.GetOrCreateCounter("pearlanding_upstream_heads_too_large_total").Get())
	})
}
