package front

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// silenceRelays makes every relay unreachable for its peers as soon as it is one, up to a number.
func (j *departureChecker) silenceRelays(count int) {
	for i, d := range j.zone.daemons {
		if len(j.excluded) < count && !j.excluded[i] && d.relay.IsRelay() {
			j.excluded[i] = true
			j.zone.net.setBlocked(d.Settings().PeerAddress, true)
		}
	}
}

// Guards against requests to instances that left longer ago than the bound, in a fleet large
// enough for snapshots, while the relay and its successors are silent: calls to relays had a longer
// timeout there, and a daemon that looked for a relay called two of them before it asked the store.
func TestDepartureIsKnownInTimeWhileRelaysAreSilent(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			parallelFleet(t)
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newMassRestart(ctx, t, seed)
				defer b.zone.shutdown(cancel)
				j := &departureChecker{zone: b.zone, ctx: ctx, rng: b.rng, excluded: map[int]bool{}}
				for i := range 200 {
					b.zone.store.writeEntry(fmt.Sprint("leaves-", i))
				}
				j.run(2 * time.Second)
				for i := range 60 {
					j.depart(i%2 == 0)
					for range 1 + b.rng.IntN(4) {
						j.silenceRelays(4)
						j.run(50 * time.Millisecond)
					}
				}
				j.run(4 * time.Second)
				t.Logf("known within %v, %d relays silenced", j.worst, len(j.excluded))
				must.LessEq(t, simBounds.Drain, j.worst, must.Sprint(j.worstCase, "\n", b.zone.logText()))
			})
		})
	}
}
