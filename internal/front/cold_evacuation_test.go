package front

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/evacuation"
	"pearlanding/internal/steady"
)

// Guards against a daemon that sends to the instances of a zone without permits right after its evacuation
// has ended.
func TestEndOfAnEvacuationMakesInstancesCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rule := backpressure.ColdRule{Duration: 3 * time.Second, PerSecond: 26}
		d := &Daemon{Clock: steady.NewClock(), Log: zap.NewNop()}
		d.gate = backpressure.NewGate(func() int { return 1 }, func(low, _ time.Duration) time.Duration { return low }, d.Log)
		d.buildEvacuations(Settings{})
		for zone, id := range map[string]string{"a": "i", "b": "j"} {
			d.gate.Cold.Entry(backpressure.ColdEntry{Incarnation: backpressure.Incarnation{Instance: id, StartedAt: 1}, Zone: zone, Version: 1, BeforeTraffic: true}, d.Clock.Now())
		}
		known := d.evacuations.Known
		known.OnChange = nil // it registers metrics, which this daemon has none of
		known.Apply(evacuation.NewState([]string{"a"}, 1, time.Now()), evacuation.FromListing)
		time.Sleep(time.Minute)
		must.False(t, d.gate.Cold.IsCold("i", rule, d.Clock.Now()))
		known.Apply(evacuation.NewState(nil, 2, time.Now()), evacuation.FromListing)
		must.True(t, d.gate.Cold.IsCold("i", rule, d.Clock.Now().Add(rule.Duration-1)))
		must.False(t, d.gate.Cold.IsCold("i", rule, d.Clock.Now().Add(rule.Duration)))
		must.False(t, d.gate.Cold.IsCold("j", rule, d.Clock.Now()), must.Sprint("another zone"))
	})
}
