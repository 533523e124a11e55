package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/backpressure"
)

// askCold asks a daemon for permits for a while, each 50 ms, and returns how many were granted. Reads of the
// record by the daemon are made at once.
func (z *zone) askCold(d *daemon, duration time.Duration) (granted int) {
	d.opts.Spawn = func(f func()) { f() }
	for range duration / (50 * time.Millisecond) {
		z.advance(50 * time.Millisecond)
		if a := d.grantCold(ColdPermitRequest{Instance: "i", PerSecond: 10}); a.Granted {
			granted++
		}
	}
	return granted
}

// Guards against a daemon that grants permits although it is not its zone's relay, and against permits
// that a successor grants while its predecessor may still grant some.
func TestRelayGrantsColdPermitsAfterItsPredecessorHasEnded(t *testing.T) {
	z, relay, a, _ := zoneWithRelay(t)
	z.advance(coldTakeoverDelay)
	must.Greater(t, 0, z.askCold(relay, time.Second))
	must.Eq(t, 0, z.askCold(a, time.Second))

	relay.isRelay.Store(false)
	must.Eq(t, 0, z.askCold(relay, time.Second), must.Sprint("it knows that it was replaced"))

	z.record.Value = a.encodeRecord(false)
	a.becomeRelay()
	must.Eq(t, 0, z.askCold(a, coldTakeoverDelay-50*time.Millisecond))
	must.Greater(t, 0, z.askCold(a, time.Second))
}

// Guards against a relay that grants permits for long after it lost the store, as another daemon may have
// taken its place, and against one that stops as soon as the store is unavailable.
func TestRelayWithoutStoreStopsGrantingColdPermits(t *testing.T) {
	z, relay, _, _ := zoneWithRelay(t)
	z.advance(coldTakeoverDelay)
	must.Greater(t, 0, z.askCold(relay, time.Second))
	z.storeDown = true
	must.Greater(t, 0, z.askCold(relay, coldLease-coldConfirmInterval))
	z.askCold(relay, coldConfirmInterval)
	must.Eq(t, 0, z.askCold(relay, time.Second))
	z.storeDown = false
	must.Greater(t, 0, z.askCold(relay, time.Second))
}

// Guards against a relay that was replaced and goes on granting permits because the store answers it.
func TestReplacedRelayGrantsNoColdPermits(t *testing.T) {
	z, relay, a, _ := zoneWithRelay(t)
	z.advance(coldTakeoverDelay)
	must.Greater(t, 0, z.askCold(relay, time.Second))
	z.record.Value = a.encodeRecord(false)
	z.askCold(relay, coldLease)
	must.Eq(t, 0, z.askCold(relay, time.Second))
}

// Guards against reads of the record that are made for each permit or while none are asked for.
func TestColdPermitsCostOneReadASecond(t *testing.T) {
	z, relay, _, _ := zoneWithRelay(t)
	reads := 0
	z.advance(coldTakeoverDelay)
	relay.opts.Spawn = func(f func()) { reads++; f() }
	for range 100 {
		z.advance(50 * time.Millisecond)
		relay.grantCold(ColdPermitRequest{Instance: "i", PerSecond: 10})
	}
	must.Between(t, 4, reads, 6)
}

// Guards against a daemon that waits for a relay which it does not know, and against a permit that is asked
// of another daemon than the relay.
func TestDaemonAsksItsRelayForColdPermits(t *testing.T) {
	z, relay, a, _ := zoneWithRelay(t)
	z.advance(coldTakeoverDelay)
	z.askCold(relay, 500*time.Millisecond)
	z.advance(time.Second)
	answer, err := a.ColdPermit(t.Context(), "i", 10)
	must.NoError(t, err)
	must.Eq(t, backpressure.ColdAnswer{Granted: true, Granting: true}, answer)
	relay.dead = true
	_, err = a.ColdPermit(t.Context(), "i", 10)
	must.Error(t, err)
	_, err = z.addDaemon().ColdPermit(t.Context(), "i", 10)
	must.ErrorIs(t, err, errNoRelay)
}
