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

// A fleet whose daemons together read more from the store than its link carries in time.
const (
	bigZone = 40
	// bigEntries are a third of 3,000 of 370 bytes each, thrice as large.
	bigEntries = 1000
	entryBytes = 1110
	// entryDigits is what of an entry can't be packed, in hexadecimal digits.
	entryDigits = 144
	// storeMbps is this zone's part of the store's link, by its daemons of 300.
	storeMbps = 1000.0 * bigZone / 300
	// startTarget is the time within which a daemon that starts should know the instances.
	startTarget = 1500 * time.Millisecond
	// startWithoutRelay is the same where the relay must be replaced first. The deployments ask
	// for service within 15 s.
	startWithoutRelay = 3 * time.Second
)

// bigStart is a zone of many daemons before many entries whose processes are killed together.
type bigStart struct {
	zone    *simZone
	ctx     context.Context
	chance  *rand.Rand
	started []time.Time // zero: the process was not started again
	knew    []time.Duration
}

// newBigStart returns a zone that has run for a while.
func newBigStart(ctx context.Context, t *testing.T, seed uint64) *bigStart {
	b := &bigStart{ctx: ctx, chance: rand.New(rand.NewPCG(seed, 7))}
	b.zone = &simZone{t: t, store: newSimStore(), net: newSimNet(), begun: time.Now(), ends: map[*Daemon]context.CancelFunc{},
		started: func(ctx context.Context, d *Daemon) { go d.exchange().Run(ctx) },
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
			digits += fmt.Sprintf("%016x", b.chance.Uint64())
		}
		b.zone.store.value = fmt.Appendf(nil, `{"digits":"%s","filler":"%0*d"}`, digits, entryBytes-entryDigits, 0)
		b.zone.store.entry(fmt.Sprint("i-", i))
	}
	for i := range bigZone {
		b.zone.daemons = append(b.zone.daemons, b.zone.start(ctx, fmt.Sprint("d", i), seed+uint64(i), true))
	}
	time.Sleep(12 * time.Second)
	return b
}

// killAll ends all processes. Those of which back says so begin anew within 70 ms.
func (b *bigStart) killAll(back func(i int) bool) {
	for i := range b.zone.daemons {
		b.zone.kill(i)
		b.zone.net.reset(b.zone.daemons[i].Settings().Peers)
	}
	time.Sleep(restartIn)
	b.started, b.knew = make([]time.Time, bigZone), make([]time.Duration, bigZone)
	for _, i := range b.chance.Perm(bigZone) {
		if back(i) {
			b.zone.daemons[i] = b.zone.start(b.ctx, fmt.Sprint("d", i), b.chance.Uint64(), false)
			b.started[i] = time.Now()
			time.Sleep(time.Millisecond)
		}
	}
}

// watch looks for a while when each daemon knows the instances. It returns the longest time since
// a start, and how many never knew.
func (b *bigStart) watch(d time.Duration) (worst time.Duration, never int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, d := range b.zone.daemons {
			if !b.started[i].IsZero() && b.knew[i] == 0 && d.fleet.View() != nil {
				b.knew[i] = time.Since(b.started[i])
				worst = max(worst, b.knew[i])
			}
		}
	}
	for i := range b.zone.daemons {
		if !b.started[i].IsZero() && b.knew[i] == 0 {
			never++
		}
	}
	return worst, never
}

// Guards against seconds without service after all daemons of a large fleet are killed together:
// each read all entries over the store's one link, which took 3 s at 300 daemons and 3,000
// instances. Processor time is not played.
func TestAllDaemonsThatStartTogetherKnowTheInstancesInTime(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newBigStart(ctx, t, seed)
				defer b.zone.end(cancel)
				b.killAll(func(int) bool { return true })
				worst, never := b.watch(4 * time.Second)
				t.Logf("the instances are known within %v", worst)
				must.Zero(t, never)
				must.LessEq(t, startTarget, worst, must.Sprint(b.zone.told()))
			})
		})
	}
}

// The relay's machine is gone for good when all others start again: one of them must take its
// place, and none may wait longer than it tries to get a snapshot and then lists by itself.
func TestStartOfAllWithoutTheirRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newBigStart(ctx, t, 5)
		defer b.zone.end(cancel)
		gone := -1
		for i, d := range b.zone.daemons {
			if d.relay.Holding() {
				gone = i
			}
		}
		must.NotEq(t, -1, gone)
		b.killAll(func(i int) bool { return i != gone })
		worst, never := b.watch(4 * time.Second)
		t.Logf("the instances are known within %v", worst)
		must.Zero(t, never)
		must.LessEq(t, startWithoutRelay, worst, must.Sprint(b.zone.told()))
	})
}
