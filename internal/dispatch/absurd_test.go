package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// Guards against an endless loop, in which the daemon places no request any more: figures of a
// configuration with wrong units, or loads within a rounding error of the level.
func TestPlacementEndsWithAbsurdFigures(t *testing.T) {
	changes := map[string]func(e *routes.Engine, r *StreamRequest){
		"negative prompt":   func(e *routes.Engine, _ *StreamRequest) { e.MeanPromptTokens = -1000 },
		"endless prompt":    func(e *routes.Engine, _ *StreamRequest) { e.MeanPromptTokens = 1 << 62 },
		"no prefill":        func(e *routes.Engine, _ *StreamRequest) { e.PrefillTokensPerSecond = 1e-300 },
		"least prefill":     func(e *routes.Engine, _ *StreamRequest) { e.PrefillTokensPerSecond = 5e-324 },
		"negative step":     func(e *routes.Engine, _ *StreamRequest) { e.StepTimePerRequest = -time.Millisecond },
		"steps cancel out":  func(e *routes.Engine, _ *StreamRequest) { e.StepTimePerRequest = -e.StepTime / time.Duration(e.Slots) },
		"endless slots":     func(e *routes.Engine, _ *StreamRequest) { e.Slots = 1 << 40 },
		"one slot":          func(e *routes.Engine, _ *StreamRequest) { e.Slots = 1 },
		"endless answer":    func(e *routes.Engine, _ *StreamRequest) { e.MeanAnswerTokens = 1 << 62 },
		"endless factor":    func(e *routes.Engine, _ *StreamRequest) { e.Models[0].TimeFactor = 1e300 },
		"least factor":      func(e *routes.Engine, _ *StreamRequest) { e.Models[0].TimeFactor = 5e-324 },
		"low priority":      func(_ *routes.Engine, r *StreamRequest) { r.Priority = 1 << 62 },
		"high priority":     func(_ *routes.Engine, r *StreamRequest) { r.Priority = -1 << 62 },
		"past objective":    func(_ *routes.Engine, r *StreamRequest) { r.Objective = -time.Second },
		"endless objective": func(_ *routes.Engine, r *StreamRequest) { r.Objective = 1 << 62 },
		"past deadline":     func(_ *routes.Engine, r *StreamRequest) { r.Remaining, r.Waited = -time.Second, time.Hour },
		"usual":             func(*routes.Engine, *StreamRequest) {},
	}
	for name, change := range changes {
		for _, load := range []int{0, 5, 33, 80} {
			t.Run(fmt.Sprint(name, " ", load), func(t *testing.T) {
				p, targets := knownFleet(load, 50)
				rng := rand.New(rand.NewPCG(uint64(load), 1))
				p.uniform = rng.IntN
				r, e := urgentRequest(), *ticketEngine
				e.Models = append([]routes.Model{}, ticketEngine.Models...)
				change(&e, r)
				r.Engine = &e
				for i := range 30 {
					target, a := p.Place(targets, nil, r, t0.Add(200*time.Millisecond+time.Duration(i)*time.Millisecond))
					must.True(t, target != nil || a.Reason != "")
				}
			})
		}
	}
}

// The level lies where the requests that are spread next fit below it, whatever the loads are.
func TestLevelIsFoundForAllLoads(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 20000 {
		j := projection{rate: []float64{0, 1e-9, 26, 1e5}[rng.IntN(4)]}
		base := rng.Float64() * 40
		for range 1 + rng.IntN(30) {
			j.loads = append(j.loads, base+[]float64{0, 1e-15, 1e-12, rng.Float64() * 40}[rng.IntN(4)])
		}
		j.fill()
		sum := 0.0
		for _, load := range j.loads {
			sum += max(j.level-load, 0)
		}
		must.InDelta(t, fillTime*j.rate*float64(len(j.loads))+1, sum, 1e-3)
	}
}
