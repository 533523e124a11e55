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

// relayRestartDelay is the time from the end of a relay's process to the start of the next one: it
// is the relay again before its peers search for another.
const relayRestartDelay = 150 * time.Millisecond

// Guards against requests to instances that left longer ago than the bound, in a fleet whose
// daemons have run since it started, when a relay's process restarts: the relay no longer knew the
// changes after its peers' last calls, and they all listed the entries over the store's link,
// with the view from before until the last of them was served.
func TestDeparturesAreKnownInTimeWhenTheRelayRestartsInALargeFleet(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newMassRestart(ctx, t, seed)
				defer b.zone.shutdown(cancel)
				j := &departureChecker{zone: b.zone, ctx: ctx, rng: b.rng, excluded: map[int]bool{}}
				for i := range 60 {
					b.zone.store.writeEntry(fmt.Sprint("leaves-", i))
				}
				j.run(2 * time.Second)
				for range 4 {
					relay := j.relay()
					j.excluded[relay] = true
					b.zone.kill(relay)
					j.run(relayRestartDelay)
					b.zone.daemons[relay] = b.zone.start(ctx, fmt.Sprint("d", relay), b.rng.Uint64(), false)
					for i := range 10 {
						j.depart(i%2 == 0)
						j.run(time.Duration(1+b.rng.IntN(200)) * time.Millisecond)
					}
					j.run(departureWatchedFor)
					clear(j.excluded) // the relay is in touch again
					j.run(time.Second)
				}
				t.Logf("known within %v", j.worst)
				must.LessEq(t, simBounds.Drain, j.worst, must.Sprint(j.worstCase, "\n", b.zone.logText()))
			})
		})
	}
}
