package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// readingEngine runs a full batch at 12.3 ms a step and reads up to 2,048 prompt tokens per step in
// another 44.5 ms: a pass of five steps takes 284 ms at pace 1.
func readingEngine() *routes.Engine {
	return &routes.Engine{Slots: 26, StepTime: 6070 * time.Microsecond, StepTimePerRequest: 241 * time.Microsecond,
		PrefillTokensPerSecond: 46000, PrefillChunkTokens: 2048, StepsPerPass: 5}
}

// Long prompts keep arriving at a replica with a full batch, so that its streams pause for whole
// passes of reading. It is not stalled and stays a target.
func TestReplicaReadingLongPromptsIsNotStalled(t *testing.T) {
	engine, start := readingEngine(), time.Unix(1000, 0)
	p := NewPicker("a", func(int) int { return 0 })
	busy := Target{Instance: "busy", Zone: "a", StallTimeout: StallTimeoutFor(engine, routes.Model{TimeFactor: 1})}
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(284 * time.Millisecond) {
		p.Pick([]Target{busy}, nil, now)
		p.NoteSent(&busy, busy.StallTimeout, now)
		p.NoteFirstEvent(&busy, ModelKey{"s", "large"}, now, now)
		p.NoteProgress(&busy, now)
		must.Eq(t, Progressing, p.Health(&Target{Instance: "busy"}, now.Add(283*time.Millisecond)))
	}
}

// A member of a replica dies while streams run. The stall is detected shortly after the longest
// pass.
func TestDeadReplicaIsStalledAfterLongestPass(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPicker("a", func(int) int { return 0 })
	dead := Target{Instance: "dead", Zone: "a", StallTimeout: StallTimeoutFor(readingEngine(), routes.Model{TimeFactor: 1})}
	p.Pick([]Target{dead}, nil, now)
	p.NoteSent(&dead, dead.StallTimeout, now)
	p.NoteFirstEvent(&dead, ModelKey{"s", "large"}, now, now)
	p.NoteProgress(&dead, now)
	must.Eq(t, Unhealthy, p.Health(&Target{Instance: "dead"}, now.Add(400*time.Millisecond)))
}

// Without published costs, or with short passes, the minimum stall timeout applies.
func TestStallTimeoutHasMinimum(t *testing.T) {
	must.Eq(t, minStallTimeout, StallTimeoutFor(&routes.Engine{}, routes.Model{TimeFactor: 1}))
	must.Eq(t, minStallTimeout, StallTimeoutFor(readingEngine(), routes.Model{TimeFactor: 0.4}))
}
