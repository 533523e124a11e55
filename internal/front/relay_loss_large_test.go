//go:build !race

package front

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// relayedShare of the bound on leaving instances is what the pauses of a relay and of its peer take
// together, as fractions of the stale age.
const relayedShare = (1.0/5 + 1.0/6) * staleShare

// Guards against daemons that lose their relay while instances leave one after the other: they
// paused for 0.4 of the bound after the first departure, as if nothing more had to follow, and
// then still had to find a relay. They must learn of departures as soon as with a relay.
func TestDeparturesInASeriesAreKnownSoonAfterTheRelayEndsInALargeFleet(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newMassRestart(ctx, t, seed)
				defer b.zone.shutdown(cancel)
				j := &departureChecker{zone: b.zone, ctx: ctx, rng: b.rng, excluded: map[int]bool{}}
				for i := range 100 {
					b.zone.store.writeEntry(fmt.Sprint("leaves-", i))
				}
				j.run(2 * time.Second)
				for range 4 {
					relay := j.relay()
					j.excluded[relay] = true
					b.zone.kill(relay)
					for i := range 20 {
						j.depart(i%2 == 0)
						j.run(time.Duration(1+b.rng.IntN(200)) * time.Millisecond)
					}
					j.run(departureWatchedFor)
					b.zone.daemons[relay] = b.zone.start(ctx, fmt.Sprint("d", relay), b.rng.Uint64(), false)
					j.run(2 * inTouchAfter)
					clear(j.excluded)
				}
				t.Logf("known within %v", j.worst)
				must.LessEq(t, time.Duration(relayedShare*float64(simBounds.Drain)), j.worst, must.Sprint(j.worstCase, "\n", b.zone.logText()))
			})
		})
	}
}
