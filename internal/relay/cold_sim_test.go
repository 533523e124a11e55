package relay

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
)

var coldSeeds = flag.Uint64("cold-seeds", 1, "number of seeds of the simulated fleets that send to a cold instance")

// Parameters of the simulated fleets.
const (
	coldRate = 26.0 // requests a second that the instance takes while it is cold
	// coldExtra is how many more requests it takes in any second.
	coldExtra  = 5.0
	coldTick   = 10 * time.Millisecond
	coldStepAt = 250 * time.Millisecond // between two calls of a daemon's follower
)

// coldFleet simulates zones of daemons, each with its own relay record, that send to one cold instance.
// The gates and the nodes are the real ones.
type coldFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	zones    []*zone
	daemons  []*coldDaemon
	pending  []coldEvent
	rule     backpressure.ColdRule
	started  time.Time // when the instance started
	offered  float64   // requests a second for the instance, of all daemons together
	arrivals []time.Time
	isolated map[*zone]map[string]bool // daemons that reach no other daemon
	lossy    bool                      // a tenth of the calls for permits get no answer
}

type coldEvent struct {
	at time.Time
	do func()
}

// coldDaemon is one daemon of the fleet.
type coldDaemon struct {
	*daemon
	fleet   *coldFleet
	gate    *backpressure.Gate
	knows   bool // has received the instance's entry
	backlog int
}

const coldInstance = "i-cold"

func newColdFleet(t *testing.T, seed uint64, daemons, zones int, offered float64) *coldFleet {
	f := &coldFleet{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: start, offered: offered, isolated: map[*zone]map[string]bool{}}
	for i := range zones {
		z := newZone(daemons/zones + min(1, daemons%zones/(i+1)))
		f.zones = append(f.zones, z)
		f.isolated[z] = map[string]bool{}
		for _, d := range z.daemons {
			c := &coldDaemon{daemon: d, fleet: f}
			c.configure()
			f.daemons = append(f.daemons, c)
		}
	}
	return f
}

// configure connects a new process of the daemon with the fleet.
func (d *coldDaemon) configure() {
	f := d.fleet
	uniform := func(low, high time.Duration) time.Duration { return low + time.Duration(f.rng.Int64N(int64(high-low))) }
	d.gate = backpressure.NewGate(func() int { return len(f.daemons) }, uniform, zap.NewNop())
	d.knows, d.backlog = false, 0
	o := &d.Node.opts
	o.Uniform, o.Peers, o.Gate = uniform, &coldPeers{d.zone, d}, d.gate
	o.Holder = fmt.Sprint(d.name, " ", f.now)
	o.Spawn = func(read func()) { f.after(time.Duration(1+f.rng.IntN(20))*time.Millisecond, read) }
	o.Traffic.RetryPoolRule = func() dispatch.RetryPoolRule { return dispatch.RetryPoolRule{Pools: len(f.zones)} }
}

// setIsolated cuts the daemon off from all other daemons, or ends that.
func (d *coldDaemon) setIsolated(isolated bool) { d.fleet.isolated[d.zone][d.name] = isolated }

// coldPeers is the zone's transport as one daemon reaches it.
type coldPeers struct {
	*zone
	d *coldDaemon
}

func (p *coldPeers) reaches(address string) bool {
	isolated := p.d.fleet.isolated[p.zone]
	return !isolated[p.d.name] && !isolated[address]
}

func (p *coldPeers) Poll(ctx context.Context, address string, r PollRequest) (PollReply, error) {
	if !p.reaches(address) {
		return PollReply{}, errors.New("partitioned")
	}
	return p.zone.Poll(ctx, address, r)
}

func (p *coldPeers) ColdPermit(ctx context.Context, address string, r ColdPermitRequest) (ColdPermitReply, error) {
	if !p.reaches(address) {
		return ColdPermitReply{}, errors.New("partitioned")
	}
	reply, err := p.zone.ColdPermit(ctx, address, r)
	if p.d.fleet.lossy && p.d.fleet.rng.IntN(10) == 0 {
		return ColdPermitReply{}, errors.New("answer lost")
	}
	return reply, err
}

func (f *coldFleet) after(d time.Duration, do func()) {
	f.pending = append(f.pending, coldEvent{f.now.Add(d), do})
}

// stopInstance stops the instance. Daemons send it nothing until they receive its next entry.
func (f *coldFleet) stopInstance() {
	f.started = time.Time{}
	for _, d := range f.daemons {
		d.knows = false
	}
}

// startInstance starts the instance anew. Daemons receive its entry up to delay later.
func (f *coldFleet) startInstance(duration, delay time.Duration) {
	f.rule = backpressure.ColdRule{Duration: duration, PerSecond: coldRate}
	f.started = f.now
	for _, d := range f.daemons {
		f.deliverEntry(d, false, time.Duration(f.rng.Int64N(int64(delay)+1)))
	}
}

// deliverEntry lets a daemon receive the instance's entry after a while.
func (f *coldFleet) deliverEntry(d *coldDaemon, first bool, delay time.Duration) {
	node, started := d.Node, f.started
	f.after(delay, func() {
		if d.Node != node || !f.started.Equal(started) {
			return
		}
		d.knows = true
		d.gate.Cold.Entry(backpressure.ColdEntry{Incarnation: backpressure.Incarnation{Instance: coldInstance, StartedAt: started.UnixMilli()},
			Service: "s", Version: uint64(started.UnixNano()), First: first}, f.now)
	})
}

func (f *coldFleet) restart(d *coldDaemon) {
	d.daemon.restart()
	d.configure()
	f.deliverEntry(d, true, time.Duration(100+f.rng.IntN(400))*time.Millisecond)
}

// run advances the fleet.
func (f *coldFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(coldTick)
		for _, z := range f.zones {
			z.now = f.now
		}
		var due []coldEvent
		f.pending = slices.DeleteFunc(f.pending, func(e coldEvent) bool {
			if !f.now.Before(e.at) {
				due = append(due, e)
			}
			return !f.now.Before(e.at)
		})
		for _, e := range due {
			e.do()
		}
		for range int(f.offered*coldTick.Seconds() + f.rng.Float64()) {
			d := f.daemons[f.rng.IntN(len(f.daemons))]
			d.backlog = min(d.backlog+1, 2)
		}
		tick := int(f.now.Sub(start) / coldTick)
		for i, d := range f.daemons {
			if d.dead {
				continue
			}
			if (tick+i*7)%int(coldStepAt/coldTick) == 0 {
				_ = d.step() // fails while the store does not answer
			}
			if d.backlog > 0 && d.knows {
				f.send(d)
			}
		}
	}
}

// send sends one waiting request of a daemon if it may.
func (f *coldFleet) send(d *coldDaemon) {
	gate, node := d.gate, d.Node
	clock := func() time.Time { return f.now }
	take := func() (backpressure.ColdPermit, bool) {
		if !gate.Cold.IsCold(coldInstance, f.rule, f.now) {
			return backpressure.ColdPermit{}, true
		}
		p, r := gate.TakeColdPermit(context.Background(), node.ColdPermit, coldInstance, f.rule, clock)
		return p, r == backpressure.ColdGranted || r == backpressure.ColdWithoutPermit
	}
	permit, ok := take()
	if !ok {
		return
	}
	d.backlog--
	connect := time.Duration(0)
	if f.rng.IntN(20) == 0 {
		connect = time.Duration(f.rng.IntN(400)) * time.Millisecond
	}
	f.after(connect, func() {
		if d.Node != node || d.dead {
			return
		}
		if gate.Cold.IsCold(coldInstance, f.rule, f.now) && !permit.Valid(coldInstance, f.now) {
			if _, ok := take(); !ok {
				return
			}
		}
		f.after(time.Duration(f.rng.IntN(2))*coldTick, func() {
			if f.now.Before(f.started.Add(f.rule.Duration)) {
				f.arrivals = append(f.arrivals, f.now)
			}
		})
	})
}

// maxInSecond returns the largest number of arrivals in any second.
func (f *coldFleet) maxInSecond() (most int) {
	first := 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// relayOf returns a daemon of a zone that takes itself for the relay; nil: there is none.
func (f *coldFleet) relayOf(z *zone) *coldDaemon {
	for _, d := range f.daemons {
		if d.zone == z && !d.dead && d.IsRelay() {
			return d
		}
	}
	return nil
}

// setStoreDown makes the store unavailable to all zones, or ends that.
func (f *coldFleet) setStoreDown(down bool) {
	for _, z := range f.zones {
		z.storeDown = down
	}
}

// injectFault injects one random fault for a while.
func (f *coldFleet) injectFault() string {
	z := f.zones[f.rng.IntN(len(f.zones))]
	d := f.daemons[f.rng.IntN(len(f.daemons))]
	relay := f.relayOf(z)
	during := time.Duration(2+f.rng.IntN(8)) * time.Second
	kind := f.rng.IntN(7)
	if relay == nil && kind < 3 {
		kind = 3
	}
	switch kind {
	case 0:
		relay.dead = true
		f.after(during, func() { f.restart(relay) })
		return "relay killed"
	case 1:
		relay.setIsolated(true)
		f.after(during, func() { relay.setIsolated(false) })
		return "relay cut off from the other daemons"
	case 2:
		relay.cutOff = true
		relay.setIsolated(true)
		f.after(during, func() {
			relay.cutOff = false
			relay.setIsolated(false)
		})
		return "relay cut off from daemons and store"
	case 3:
		f.setStoreDown(true)
		f.after(during, func() { f.setStoreDown(false) })
		return "store unavailable"
	case 4:
		for _, other := range f.daemons {
			if f.rng.IntN(3) == 0 {
				f.restart(other)
			}
		}
		return "a third of the daemons restarted"
	case 5:
		f.lossy = true
		f.after(during, func() { f.lossy = false })
		return "answers lost"
	}
	d.setIsolated(true)
	f.after(during, func() { d.setIsolated(false) })
	return "daemon isolated"
}

// coldFleets are deployments, with the number of faults injected into each. With one seed, as a test of the
// package, the largest takes the time of one fault.
var coldFleets = []struct{ daemons, zones, faults int }{{9, 3, 8}, {79, 3, 4}, {300, 3, 1}}

// coldFaults is the number of faults injected with several seeds.
const coldFaults = 8

// forColdFleets runs a test with each of coldFleets and each seed. faults is the number of faults to inject.
func forColdFleets(t *testing.T, test func(t *testing.T, f *coldFleet, faults int)) {
	for _, size := range coldFleets {
		faults := size.faults
		if *coldSeeds > 1 {
			faults = coldFaults
		}
		for seed := range *coldSeeds {
			t.Run(fmt.Sprint(size.daemons, "-daemons-", seed), func(t *testing.T) {
				t.Parallel()
				test(t, newColdFleet(t, seed, size.daemons, size.zones, 4*coldRate), faults)
			})
		}
	}
}

// Guards against daemons that together send more to a cold instance than it takes, for any number of
// daemons, while relays are killed, replaced or partitioned, the store is unavailable, daemons restart,
// answers are lost and entries arrive 2 s late.
func TestColdInstanceGetsNoMoreThanItsRate(t *testing.T) {
	forColdFleets(t, func(t *testing.T, f *coldFleet, faultCount int) {
		f.run(6 * time.Second)
		var faults []string
		for round := range faultCount {
			duration := 3 * time.Second
			if round%2 == 0 {
				duration = 8 * time.Second
			}
			f.startInstance(duration, 2*time.Second)
			f.run(time.Duration(f.rng.IntN(2500)) * time.Millisecond)
			faults = append(faults, f.injectFault())
			f.run(8 * time.Second)
			f.stopInstance()
			f.run(time.Second) // requests that wait for connections end
		}
		t.Logf("at most %d in a second, %d in all", f.maxInSecond(), len(f.arrivals))
		must.LessEq(t, coldRate+coldExtra, float64(f.maxInSecond()), must.Sprint(faults))
		must.Greater(t, int(coldRate)*faultCount, len(f.arrivals), must.Sprint("arrivals"))
	})
}

// Guards against permits that hardly any daemon can use: while work waits and relays work, a cold
// instance gets 0.8 of what it takes.
func TestColdInstanceIsUsedWhereWorkWaits(t *testing.T) {
	forColdFleets(t, func(t *testing.T, f *coldFleet, _ int) {
		f.run(10 * time.Second)
		f.startInstance(10*time.Second, 0)
		f.run(10 * time.Second)
		used := float64(len(f.arrivals)) / (10 * coldRate)
		t.Logf("%.2f of the rate, at most %d in a second", used, f.maxInSecond())
		must.GreaterEq(t, 0.8, used)
		must.LessEq(t, coldRate+coldExtra, float64(f.maxInSecond()))
	})
}

// Guards against daemons that together send too much to a cold instance while no relay grants permits for
// a long time, and against sending nothing at all then.
func TestColdInstanceWithoutRelays(t *testing.T) {
	fleets := coldFleets
	if *coldSeeds == 1 {
		fleets = coldFleets[:2]
	}
	for _, size := range fleets {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			t.Parallel()
			f := newColdFleet(t, 1, size.daemons, size.zones, 4*coldRate)
			f.run(6 * time.Second)
			f.setStoreDown(true)
			f.startInstance(time.Minute, 0)
			f.run(coldLease + coldGrantTimeoutInSim)
			granted := len(f.arrivals)
			f.run(16 * time.Second)
			t.Logf("at most %d in a second, %d without relays", f.maxInSecond(), len(f.arrivals)-granted)
			must.LessEq(t, coldRate+coldExtra, float64(f.maxInSecond()))
			must.Greater(t, 3, len(f.arrivals)-granted)
			must.Less(t, 0.2*16*coldRate, float64(len(f.arrivals)-granted))
		})
	}
}

// coldGrantTimeoutInSim is more than the time after which daemons send without permits.
const coldGrantTimeoutInSim = 2 * time.Second
