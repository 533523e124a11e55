package gateway

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against streams that look complete because a replica has no event to add, although another one had begun the
// next event.
func TestStreamWithABegunEventIsNotComplete(t *testing.T) {
	for name, end := range map[string]func(s *simSend){
		"broken off": (*simSend).reset,
		"silent":     (*simSend).hang,
		"silent, then broken off": func(s *simSend) {
			s.wait(5 * stallTimeout)
			s.reset()
		},
		"silent, then ended": func(s *simSend) {
			s.wait(5 * stallTimeout)
			s.finish()
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
				r.serveFirst = func(s *simSend) {
					next := simEvent(s.requestID, eventsBeforePause+1, s.replica)
					s.chunk(next[:len(next)/2])
					end(s)
				}
				r.serveSuccessor = func(s *simSend, _ int64) {
					s.header()
					s.finish()
				}
				c := r.call("x", streamEvents)
				<-c.done
				r.check(t)
				must.True(t, c.aborted, must.Sprint(r.logOf("x")))
			})
		})
	}
}
