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

// relayLoss is what happens to a zone's relay while instances leave one after the other.
type relayLoss struct {
	departures   int           // instances that leave after each loss
	restartAfter time.Duration // from the end of the relay's process to the start of the next one; 0: after the departures
}

// worstDelay ends four relays of a large fleet and returns the longest time after which a daemon in
// touch knew of a departure, and a description of that case.
func (l relayLoss) worstDelay(t *testing.T, seed uint64) (worst time.Duration, description string) {
	ctx, cancel := context.WithCancel(t.Context())
	b := newMassRestart(ctx, t, seed)
	defer b.zone.shutdown(cancel)
	j := &departureChecker{zone: b.zone, ctx: ctx, rng: b.rng, excluded: map[int]bool{}}
	const losses = 4
	for i := range losses * l.departures {
		b.zone.store.writeEntry(fmt.Sprint("leaves-", i))
	}
	j.run(2 * time.Second)
	for range losses {
		relay := j.relay()
		j.excluded[relay] = true
		b.zone.kill(relay)
		restart := func() {
			b.zone.daemons[relay] = b.zone.start(ctx, fmt.Sprint("d", relay), b.rng.Uint64(), false)
		}
		if l.restartAfter > 0 {
			j.run(l.restartAfter)
			restart()
		}
		for i := range l.departures {
			j.depart(i%2 == 0)
			j.run(time.Duration(1+b.rng.IntN(200)) * time.Millisecond)
		}
		j.run(departureWatchedFor)
		if l.restartAfter == 0 {
			restart()
		}
		j.run(2 * inTouchAfter)
		clear(j.excluded) // the former relay is in touch again
	}
	t.Logf("known within %v", j.worst)
	return j.worst, fmt.Sprint(j.worstCase, "\n", b.zone.logText())
}

// Guards against requests to instances that left longer ago than the bound, in a fleet whose
// daemons have run since it started, when a relay's process is back before its peers search for
// another: the relay no longer knew the changes after its peers' last calls, and they all listed
// the entries over the store's link, with the view from before until the last of them was served.
func TestDeparturesAreKnownInTimeWhenTheRelayRestartsInALargeFleet(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				worst, description := relayLoss{departures: 10, restartAfter: 150 * time.Millisecond}.worstDelay(t, seed)
				must.LessEq(t, simBounds.Drain, worst, must.Sprint(description))
			})
		})
	}
}

// relayedShare of the bound on leaving instances is what the pauses of a relay and of its peer take
// together: relayPauseFraction and peerPauseFraction, of package relay, of the stale age.
const relayedShare = (1.0/5 + 1.0/6) * staleShare

// Guards against daemons that lose their relay while instances leave one after the other: they
// paused for 0.4 of the bound after the first departure, as if nothing more had to follow, and
// then still had to find a relay. They must learn of departures as soon as with a relay.
func TestDeparturesInASeriesAreKnownSoonAfterTheRelayEndsInALargeFleet(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				worst, description := relayLoss{departures: 20}.worstDelay(t, seed)
				must.LessEq(t, time.Duration(relayedShare*float64(simBounds.Drain)), worst, must.Sprint(description))
			})
		})
	}
}
