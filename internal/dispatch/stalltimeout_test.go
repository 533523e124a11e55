package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// generations returns the time scales of three generations of engines: one that runs a step in 6 ms,
// one four times slower and one four times quicker, with objectives to match.
func generations() map[string]float64 {
	return map[string]float64{"current": 1, "slower": 4, "quicker": 0.25}
}

func scaled(d time.Duration, scale float64) time.Duration { return time.Duration(float64(d) * scale) }

// limitsOf returns the limits of a stream whose replica's longest pass takes 434 ms, with 300 ms
// for a pause, all scaled.
func limitsOf(scale float64) StreamLimits {
	return StreamLimits{Model: testModel, Objective: scaled(300*time.Millisecond, scale), MaxPause: scaled(300*time.Millisecond, scale), LongestPass: scaled(434*time.Millisecond, scale)}
}

// drawPause draws a pause of a replica that reads a prompt in about each third pass. That takes
// reading on average and four times that at most.
func drawPause(rng *rand.Rand, reading time.Duration) time.Duration {
	pass := 45 * time.Millisecond
	if rng.IntN(3) == 0 {
		pass += time.Duration(min(rng.ExpFloat64(), 4) * float64(reading))
	}
	return pass
}

// observeStreams feeds a picker with streams of a replica whose first events take 70 ms.
func observeStreams(p *Picker, limits StreamLimits, scale float64, streams int, pause func() time.Duration) {
	target, now := Target{Instance: "here"}, time.Unix(1000, 0)
	for range streams {
		p.NoteSent(&target, time.Hour, now)
		p.NoteFirstEvent(&target, limits.Model, now, now.Add(scaled(70*time.Millisecond, scale)))
		for range 25 {
			p.NotePause(&here, limits.Model, scaled(pause(), scale), t0)
		}
	}
}

// A member of a replica dies in mid-stream. Moving its streams after its longest pass, or after the
// objective itself, made each of them late by a pause. A successor needs about the time of a first
// event, so streams are moved that much before the objective.
func TestStreamOfDeadReplicaIsMovedInTime(t *testing.T) {
	for name, scale := range generations() {
		t.Run(name, func(t *testing.T) {
			rng, limits, p := rand.New(rand.NewPCG(1, 2)), limitsOf(scale), testPicker()
			observeStreams(p, limits, scale, 50, func() time.Duration { return drawPause(rng, 14*time.Millisecond) })
			must.LessEq(t, limits.MaxPause, p.StallTimeouts(limits).Pause+scaled(70*time.Millisecond, scale), must.Sprint("stall timeout plus a first event"))
		})
	}
}

// Replicas read long prompts all the time, so that a pause may be twice as long as most. A stream
// moved for such a pause makes another replica read its prompt again, which then pauses longer
// itself.
func TestStreamsAreNotMovedWhileReplicasReadPrompts(t *testing.T) {
	for name, scale := range generations() {
		t.Run(name, func(t *testing.T) {
			rng, limits, p := rand.New(rand.NewPCG(1, 2)), limitsOf(scale), testPicker()
			draw := func() time.Duration { return drawPause(rng, 60*time.Millisecond) }
			observeStreams(p, limits, scale, 20, draw)
			timeout := p.StallTimeouts(limits).Pause
			early := 0
			for range 100_000 {
				if scaled(draw(), scale) > timeout {
					early++
				}
			}
			must.Eq(t, 0, early, must.Sprintf("of 100,000 pauses, with a stall timeout of %s", timeout))
		})
	}
}

// Prompts get longer, until each pass takes as long as the objective for pauses allows. A stream
// moved for such a pause is late all the same, and makes another replica read its prompt again.
func TestStallTimeoutGrowsWithObservedPauses(t *testing.T) {
	for name, scale := range generations() {
		t.Run(name, func(t *testing.T) {
			limits, p := limitsOf(scale), testPicker()
			must.Eq(t, limits.MaxPause, p.StallTimeouts(limits).Pause, must.Sprint("no pauses observed"))
			for range minPauses {
				p.NotePause(&here, limits.Model, scaled(50*time.Millisecond, scale), t0)
			}
			before := p.StallTimeouts(limits).Pause
			for range 100 {
				p.NotePause(&here, limits.Model, scaled(280*time.Millisecond, scale), t0)
			}
			must.Greater(t, before, p.StallTimeouts(limits).Pause)
			must.GreaterEq(t, scaled(280*time.Millisecond, scale), p.StallTimeouts(limits).Pause)
			for range 100 {
				p.NotePause(&here, limits.Model, time.Hour, t0)
			}
			must.Eq(t, limits.LongestPass, p.StallTimeouts(limits).Pause, must.Sprint("the longest pass is the upper bound"))
		})
	}
}

// Without published costs, the objective for pauses applies, or a second.
func TestStallTimeoutsWithoutPublishedCosts(t *testing.T) {
	p, objective := testPicker(), 300*time.Millisecond
	must.Eq(t, StallTimeouts{First: 450 * time.Millisecond, Pause: time.Minute}, p.StallTimeouts(StreamLimits{Objective: objective, MaxPause: time.Minute}))
	must.Eq(t, StallTimeouts{First: defaultFirstEvent, Pause: defaultGap}, p.StallTimeouts(StreamLimits{}))
}
