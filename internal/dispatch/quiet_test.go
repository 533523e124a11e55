package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// readingEngine writes a whole batch at 12.3 ms a step and reads up to 2,048 prompt
// tokens a step in another 44.5 ms: a pass of five steps takes 284 ms at pace 1.
func readingEngine() *routes.Engine {
	return &routes.Engine{Slots: 26, Step: 6070 * time.Microsecond, PerRequest: 241 * time.Microsecond,
		ReadPerSecond: 46000, Chunk: 2048, Stride: 5}
}

// Load: long prompts keep coming to a replica with a full batch, so that its streams
// pause for whole passes of reading. It does not stand still, and stays a target.
func TestReplicaThatReadsLongPromptsDoesNotStandStill(t *testing.T) {
	engine, start := readingEngine(), time.Unix(1000, 0)
	p := NewPicker("a", func(int) int { return 0 })
	busy := Target{Instance: "busy", Zone: "a", Quiet: QuietFor(engine, routes.Model{Pace: 1})}
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(284 * time.Millisecond) {
		p.Pick([]Target{busy}, nil, now)
		p.Waits(&busy, busy.Quiet, now)
		p.Runs(&busy, "large", now, now)
		p.Progressed(&busy, now)
		must.Eq(t, Alive, p.Health(&Target{Instance: "busy"}, now.Add(283*time.Millisecond)))
	}
}

// Load: a member of a replica dies while streams run. Their silence is noticed a
// little after the longest pass.
func TestDeadReplicaStandsStillAfterItsLongestPass(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPicker("a", func(int) int { return 0 })
	dead := Target{Instance: "dead", Zone: "a", Quiet: QuietFor(readingEngine(), routes.Model{Pace: 1})}
	p.Pick([]Target{dead}, nil, now)
	p.Waits(&dead, dead.Quiet, now)
	p.Runs(&dead, "large", now, now)
	p.Progressed(&dead, now)
	must.Eq(t, Still, p.Health(&Target{Instance: "dead"}, now.Add(400*time.Millisecond)))
}

// Where costs are not told, or passes are short, the least patience holds.
func TestQuietForAtLeast(t *testing.T) {
	must.Eq(t, quietLeast, QuietFor(&routes.Engine{}, routes.Model{Pace: 1}))
	must.Eq(t, quietLeast, QuietFor(readingEngine(), routes.Model{Pace: 0.4}))
}
