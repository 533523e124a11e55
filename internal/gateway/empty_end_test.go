package gateway

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against streams without a single event that look complete after a comment.
func TestCommentIsNoEventOfAWholeStream(t *testing.T) {
	inVirtualTime(t, rigOptions{replicas: 4, attempts: 3, retries: 5}, func(t *testing.T, r *moveRig) {
		r.simFleet.serve = func(s *simSend) { s.endedAnswer(chunked, []string{": ping\n\n"}, marked) }
		call := r.call("x", streamEvents)
		<-call.done
		r.check(t)
		must.True(t, call.aborted, must.Sprint(r.logOf("x")))
	})
}
