package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// All daemons lose power, and the callers of two seconds retry together, beside new ones. Callers
// past their objective are served after those that may still be in time; a stream cut off by a dead
// replica is served before both.
func TestLateCallersAreServedLast(t *testing.T) {
	const firstObjective, gap = 200 * time.Millisecond, 250 * time.Millisecond
	var w CallerTimeLimits
	must.Eq(t, 0, w.Elapsed("r", 5*time.Second))
	must.Eq(t, 0, w.Elapsed("r", 4300*time.Millisecond), must.Sprint("time limits differ between callers"))
	must.Eq(t, 500*time.Millisecond, w.Elapsed("r", 3500*time.Millisecond))
	must.Eq(t, 0, w.Elapsed("other", time.Second), must.Sprint("time limits are kept per route"))
	must.Eq(t, 0, w.Elapsed("r", 0), must.Sprint("no time limit sent"))
	for name, c := range map[string]struct {
		progress StreamProgress
		want     Urgency
	}{
		"new":                      {StreamProgress{Objective: firstObjective, MaxPause: gap}, InTime},
		"retried after the outage": {StreamProgress{Waited: 1500 * time.Millisecond, Objective: firstObjective, MaxPause: gap}, Late},
		"moved before its first":   {StreamProgress{Waited: 150 * time.Millisecond, Objective: firstObjective, MaxPause: gap}, InTime},
		"moved in mid-stream":      {StreamProgress{Waited: time.Second, Objective: firstObjective, MaxPause: gap, Begun: true, FirstEvent: 100 * time.Millisecond}, Resumed},
		"moved, first came late":   {StreamProgress{Waited: time.Second, Objective: firstObjective, MaxPause: gap, Begun: true, FirstEvent: 300 * time.Millisecond}, Late},
		"moved, paused too long":   {StreamProgress{Objective: firstObjective, MaxPause: gap, Begun: true, LongestPause: 300 * time.Millisecond}, Late},
		"no objective":             {StreamProgress{Waited: time.Hour}, InTime},
		"no objective, mid-stream": {StreamProgress{Waited: time.Hour, Begun: true, LongestPause: time.Minute}, Resumed},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, c.progress.Urgency()) })
	}
}
