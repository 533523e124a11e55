package gateway

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
	busy := target{instance: "busy", zone: "a", quiet: quietFor(engine, routes.Model{Pace: 1})}
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(284 * time.Millisecond) {
		p.pick([]target{busy}, nil, now)
		p.waits(&busy, now)
		p.runs(&busy, "large", now, now)
		p.progressed(&busy, now)
		must.Eq(t, alive, p.health("busy", now.Add(283*time.Millisecond)))
	}
}

// Load: a member of a replica dies while streams run. Their silence is noticed a
// little after the longest pass.
func TestDeadReplicaStandsStillAfterItsLongestPass(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPicker("a", func(int) int { return 0 })
	dead := target{instance: "dead", zone: "a", quiet: quietFor(readingEngine(), routes.Model{Pace: 1})}
	p.pick([]target{dead}, nil, now)
	p.waits(&dead, now)
	p.runs(&dead, "large", now, now)
	p.progressed(&dead, now)
	must.Eq(t, still, p.health("dead", now.Add(400*time.Millisecond)))
}

// Where costs are not told, or passes are short, the least patience holds.
func TestQuietForAtLeast(t *testing.T) {
	must.Eq(t, quietLeast, quietFor(&routes.Engine{}, routes.Model{Pace: 1}))
	must.Eq(t, quietLeast, quietFor(readingEngine(), routes.Model{Pace: 0.4}))
}
