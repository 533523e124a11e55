package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// A zone whose daemons together read more from the store than its link transmits in time.
const (
	bigZoneDaemons = 40
	// bigEntries is a third of the 3,000 entries, of 370 bytes each, of a large deployment; here
	// each is three times as large.
	bigEntries = 1000
	entryBytes = 1110
	// entryDigits is the number of random hexadecimal digits in an entry, which do not compress.
	entryDigits = 144
	// storeMbps is this zone's share of the store's link, by its number of daemons of the 300.
	storeMbps = 1000.0 * bigZoneDaemons / 300
	// maxStartTime is the time within which a starting daemon must know the instances.
	maxStartTime = 1500 * time.Millisecond
	// maxStartTimeWithoutRelay is the same where the relay must be replaced first. Deployments
	// require service within 15 s.
	maxStartTimeWithoutRelay = 3 * time.Second
)

// massRestart is a zone of many daemons with many entries whose processes are killed together.
type massRestart struct {
	zone       *simZone
	ctx        context.Context
	rng        *rand.Rand
	startedAt  []time.Time // zero: the process was not restarted
	knownAfter []time.Duration
}

// newMassRestart returns a zone that has run for 12 s.
func newMassRestart(ctx context.Context, t *testing.T, seed uint64) *massRestart {
	b := &massRestart{ctx: ctx, rng: rand.New(rand.NewPCG(seed, 7))}
	b.zone = &simZone{t: t, store: newSimStore(), net: newSimNet(), startedAt: time.Now(), cancels: map[*Daemon]context.CancelFunc{},
		started: func(ctx context.Context, d *Daemon) { go d.newExchange().Run(ctx) },
		mbps: func(daemon string) float64 {
			if daemon == "d0" || daemon == "d1" {
				return 200
			}
			return 20
		}}
	b.zone.store.link.bytesPerSecond = storeMbps * 1e6 / 8
	for i := range bigEntries {
		digits := ""
		for len(digits) < entryDigits {
			digits += fmt.Sprintf("%016x", b.rng.Uint64())
		}
		b.zone.store.value = fmt.Appendf(nil, `{"digits":"%s","filler":"%0*d"}`, digits, entryBytes-entryDigits, 0)
		b.zone.store.writeEntry(fmt.Sprint("i-", i))
	}
	for i := range bigZoneDaemons {
		b.zone.daemons = append(b.zone.daemons, b.zone.start(ctx, fmt.Sprint("d", i), seed+uint64(i), true))
	}
	time.Sleep(12 * time.Second)
	return b
}

// killAll ends all processes. Those for which back returns true are restarted, all within 70 ms.
func (b *massRestart) killAll(restarts func(i int) bool) {
	for i := range b.zone.daemons {
		b.zone.kill(i)
		b.zone.net.closeConns(b.zone.daemons[i].Settings().PeerAddress)
	}
	time.Sleep(restartDelay)
	b.startedAt, b.knownAfter = make([]time.Time, bigZoneDaemons), make([]time.Duration, bigZoneDaemons)
	for _, i := range b.rng.Perm(bigZoneDaemons) {
		if restarts(i) {
			b.restart(i)
		}
	}
}

// restart starts the process of a killed daemon again.
func (b *massRestart) restart(i int) {
	b.zone.daemons[i] = b.zone.start(b.ctx, fmt.Sprint("d", i), b.rng.Uint64(), false)
	b.startedAt[i] = time.Now()
	time.Sleep(time.Millisecond)
}

// measure checks for d when each daemon knows the instances. It returns the longest time from a
// restart, and the number of daemons that did not know them by then.
func (b *massRestart) measure(d time.Duration) (worst time.Duration, never int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, d := range b.zone.daemons {
			if !b.startedAt[i].IsZero() && b.knownAfter[i] == 0 && d.instances.View() != nil {
				b.knownAfter[i] = time.Since(b.startedAt[i])
				worst = max(worst, b.knownAfter[i])
			}
		}
	}
	for i := range b.zone.daemons {
		if !b.startedAt[i].IsZero() && b.knownAfter[i] == 0 {
			never++
		}
	}
	return worst, never
}

// Guards against seconds without service after all daemons of a large deployment are killed
// together: each read all entries over the store's one link, which took 3 s with 300 daemons and
// 3,000 instances. CPU time is not simulated.
func TestDaemonsThatStartTogetherKnowInstancesInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			parallelFleet(t)
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newMassRestart(ctx, t, seed)
				defer b.zone.shutdown(cancel)
				b.killAll(func(int) bool { return true })
				worst, never := b.measure(4 * time.Second)
				t.Logf("the instances are known within %v", worst)
				must.Zero(t, never)
				must.LessEq(t, maxStartTime, worst, must.Sprint(b.zone.logText()))
			})
		})
	}
}

// Guards against daemons that all take their snapshots from a former relay that was restarted while
// another daemon is the relay already: they queued on its link of 20 Mbit/s. The former relay
// restarts last, so that all others find its address closed at first.
func TestRestartedRelayIsNotAskedForSnapshots(t *testing.T) {
	parallelFleet(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newMassRestart(ctx, t, 1)
		defer b.zone.shutdown(cancel)
		b.killAll(func(int) bool { return false })
		const former = bigZoneDaemons - 1
		b.zone.store.nameRelay(b.zone.daemons[former].Settings().PeerAddress)
		for i := 2; i < former; i++ {
			b.restart(i)
		}
		b.restart(0)
		time.Sleep(5 * simLatency) // it has become the relay by then
		b.restart(former)
		worst, never := b.measure(4 * time.Second)
		t.Logf("the instances are known within %v", worst)
		must.Zero(t, never)
		must.True(t, b.zone.daemons[0].relay.IsRelay())
		must.LessEq(t, maxStartTime, worst, must.Sprint(b.zone.logText()))
	})
}

// The relay's machine does not return when all other daemons restart: one of them must replace it,
// and none may wait longer than it takes to try for a snapshot and then to list by itself.
func TestMassRestartWithoutRelay(t *testing.T) {
	parallelFleet(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newMassRestart(ctx, t, 5)
		defer b.zone.shutdown(cancel)
		relay := -1
		for i, d := range b.zone.daemons {
			if d.relay.IsRelay() {
				relay = i
			}
		}
		must.NotEq(t, -1, relay)
		b.killAll(func(i int) bool { return i != relay })
		worst, never := b.measure(4 * time.Second)
		t.Logf("the instances are known within %v", worst)
		must.Zero(t, never)
		must.LessEq(t, maxStartTimeWithoutRelay, worst, must.Sprint(b.zone.logText()))
	})
}
