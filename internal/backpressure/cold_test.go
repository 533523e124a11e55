package backpressure

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

var coldRule = ColdRule{Duration: 3 * time.Second, PerSecond: 26}

// coldRuleOf returns coldRule for each service.
func coldRuleOf(string) ColdRule { return coldRule }

// coldEntry returns an entry of instance i at a version.
func coldEntry(version uint64, startedAt time.Time) ColdEntry {
	return ColdEntry{Incarnation: Incarnation{"i", startedAt.UnixMilli()}, Service: "s", Zone: "z", Version: version}
}

// Guards against treating an instance as warm that started a short while ago or says to be cold, and
// against treating it as cold for longer than needed.
func TestInstanceIsColdAfterItsStart(t *testing.T) {
	now := simStart
	for _, c := range []struct {
		name  string
		entry func(e *ColdEntry)
		want  time.Duration // for how long it is cold; 0: not at all
	}{
		{"appears", func(*ColdEntry) {}, 3 * time.Second},
		{"appears with an old start time, as clocks step back", func(e *ColdEntry) { e.StartedAt -= 60_000 }, 3 * time.Second},
		{"says to be cold for longer", func(e *ColdEntry) { e.Left = 5 * time.Second }, 5 * time.Second},
		{"found at the daemon's start, running for long", func(e *ColdEntry) { e.First, e.StartedAt = true, e.StartedAt-60_000 }, 0},
		{"found at the daemon's start, may have just started", func(e *ColdEntry) { e.First, e.StartedAt = true, e.StartedAt-12_000 }, 3 * time.Second},
		{"found at the daemon's start, says to be cold", func(e *ColdEntry) { e.First, e.StartedAt, e.Left = true, e.StartedAt-60_000, time.Second }, time.Second},
		{"started before the deployment's first request", func(e *ColdEntry) { e.BeforeTraffic = true }, 0},
		{"started before the first request, says to be cold", func(e *ColdEntry) { e.BeforeTraffic, e.Left = true, time.Second }, time.Second},
		{"says to be warm", func(e *ColdEntry) { e.Reported = true }, 0},
		{"found at the daemon's start, says to be warm", func(e *ColdEntry) { e.First, e.StartedAt, e.Reported = true, 0, true }, 0},
		{"found at the daemon's start, says to be cold, no start time", func(e *ColdEntry) { e.First, e.StartedAt, e.Reported, e.Left = true, 0, true, time.Second }, time.Second},
		{"found at the daemon's start without a start time", func(e *ColdEntry) { e.First, e.StartedAt = true, 0 }, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			cold, e := &Cold{}, coldEntry(1, now)
			c.entry(&e)
			cold.Entry(e, now)
			must.Eq(t, c.want > 0, cold.IsCold("i", coldRule, now))
			must.Eq(t, c.want > 0, c.want > 0 && cold.IsCold("i", coldRule, now.Add(c.want-1)))
			must.False(t, cold.IsCold("i", coldRule, now.Add(c.want)))
			must.False(t, cold.IsCold("i", ColdRule{}, now), must.Sprint("a service without a rule"))
		})
	}
}

// Guards against entries of a known incarnation that make it cold again, and against a new incarnation
// that counts as the known one.
func TestOnlyANewStartMakesAnInstanceCold(t *testing.T) {
	cold, now := &Cold{}, simStart
	e := coldEntry(1, now)
	e.Left = 4 * time.Second
	cold.Entry(e, now)
	now = now.Add(5 * time.Second)
	cold.Entry(e, now)
	must.False(t, cold.IsCold("i", coldRule, now), must.Sprint("listed again"))
	e.Version, e.Left = 2, 0
	cold.Removed("i", now)
	cold.Entry(e, now)
	must.False(t, cold.IsCold("i", coldRule, now), must.Sprint("lapsed and returned"))
	e.Version, e.StartedAt = 3, e.StartedAt+1
	cold.Entry(e, now)
	must.True(t, cold.IsCold("i", coldRule, now), must.Sprint("the next incarnation"))

	now = now.Add(5 * time.Second)
	e.Version, e.StartedAt = 4, 0
	cold.Entry(e, now)
	now = now.Add(5 * time.Second)
	e.Version = 5
	cold.Entry(e, now)
	must.False(t, cold.IsCold("i", coldRule, now), must.Sprint("a heartbeat without a start time"))
	cold.Removed("i", now)
	e.Version = 6
	cold.Entry(e, now)
	must.True(t, cold.IsCold("i", coldRule, now), must.Sprint("appears without a start time"))
}

// Guards against the instances of a zone that count as warm right after the zone's evacuation, and
// against an instance that says in an answer to be cold and counts as warm.
func TestZoneAndSignalsMakeInstancesCold(t *testing.T) {
	g, now := newTestGate(), simStart
	g.Cold.Entry(coldEntry(1, now), now)
	now = now.Add(time.Minute)
	must.False(t, g.Cold.IsCold("i", coldRule, now))
	g.ZoneCold("other", now)
	must.False(t, g.Cold.IsCold("i", coldRule, now))
	g.ZoneCold("z", now)
	must.True(t, g.Cold.IsCold("i", coldRule, now.Add(coldRule.Duration-1)))
	must.False(t, g.Cold.IsCold("i", coldRule, now.Add(coldRule.Duration)))

	now = now.Add(time.Minute)
	g.Observe(Incarnation{"i", 1}, Signals{Cold: 2 * time.Second}, now, now)
	g.Observe(Incarnation{"i", 1}, Signals{Cold: time.Second}, now, now)
	must.True(t, g.Cold.IsCold("i", coldRule, now.Add(2*time.Second-1)))
	must.False(t, g.Cold.IsCold("i", coldRule, now.Add(2*time.Second)))
}

func newTestGate() *Gate {
	return NewGate(func() int { return 20 }, func(_, high time.Duration) time.Duration { return high / 2 }, zap.NewNop())
}

// Guards against a relay that takes over and grants permits that its predecessor granted already, and
// against permits above the rate and burst of one domain.
func TestColdGrantsStartEmptyAndKeepTheRate(t *testing.T) {
	shares := Shares{Domain: "a", Domains: []string{"a", "b", "c"}, Count: 3}
	g, now, granted := &ColdGrants{}, simStart, 0
	must.False(t, g.Take("i", 26, shares, now).Granted)
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		if a := g.Take("i", 26, shares, now); a.Granted {
			granted++
		} else {
			must.Between(t, 0, a.Wait, 130*time.Millisecond)
		}
	}
	must.Between(t, 38, granted, 40) // of 5 x 26 x coldGrantShare / 3
	now = now.Add(5 * time.Second)
	burst := 0
	for g.Take("i", 26, shares, now).Granted {
		burst++
	}
	must.LessEq(t, 5.0/3, float64(burst))
	must.Greater(t, 0, burst)
	g.Reset()
	must.False(t, g.Take("i", 26, shares, now).Granted)
}

// take takes a permit for instance i from a relay that answers so.
func take(g *Gate, now time.Time, a ColdAnswer, err error) (ColdPermit, ColdResult, int) {
	asked := 0
	p, r := g.TakeColdPermit(context.Background(), func(context.Context, string, float64) (ColdAnswer, error) {
		asked++
		return a, err
	}, "i", coldRule, func() time.Time { return now })
	return p, r, asked
}

// Guards against a permit that is used later than its time, or for another instance, and against daemons
// that ask for the same instance again right after a refusal.
func TestColdPermitExpiresAndRefusalBlocks(t *testing.T) {
	g, now := newTestGate(), simStart
	g.Cold.Entry(coldEntry(1, now), now)
	p, r, _ := take(g, now, ColdAnswer{Granted: true, Granting: true}, nil)
	must.Eq(t, ColdGranted, r)
	must.True(t, p.Valid("i", now.Add(ColdPermitTTL-1)))
	must.False(t, p.Valid("i", now.Add(ColdPermitTTL)))
	must.False(t, p.Valid("j", now))

	_, r, _ = take(g, now, ColdAnswer{Granting: true, Wait: 40 * time.Millisecond}, nil)
	must.Eq(t, ColdRefused, r)
	_, r, asked := take(g, now.Add(39*time.Millisecond), ColdAnswer{Granted: true, Granting: true}, nil)
	must.Eq(t, "", r)
	must.Eq(t, 0, asked)
	_, r, _ = take(g, now.Add(40*time.Millisecond), ColdAnswer{Granted: true, Granting: true}, nil)
	must.Eq(t, ColdGranted, r)
}

// Guards against requests that each wait for a relay that does not answer, against sends without permits
// right after a relay's answer, and against such sends that are used together later.
func TestSendsWithoutColdPermit(t *testing.T) {
	g, now := newTestGate(), simStart
	g.Cold.Entry(coldEntry(1, now), now)
	lost := errors.New("no answer")
	take(g, now, ColdAnswer{Granting: true}, nil)
	now = now.Add(MinColdBlock)
	_, r, asked := take(g, now, ColdAnswer{}, lost)
	must.Eq(t, ColdUnanswered, r)
	must.Eq(t, 1, asked)
	now = now.Add(MinColdBlock)
	_, _, asked = take(g, now, ColdAnswer{}, lost)
	must.Eq(t, 0, asked)
	must.True(t, g.Cold.instances["i"].unpermittedAt.IsZero(), must.Sprint("too early for sends without permits"))

	now = simStart.Add(coldGrantTimeout)
	_, r, _ = take(g, now, ColdAnswer{}, lost)
	must.Eq(t, ColdUnanswered, r)
	perSecond := 26 * coldUnpermittedShare
	mean := time.Duration(20 / perSecond * float64(time.Second))
	_, r, _ = take(g, now.Add(mean), ColdAnswer{}, lost)
	must.Eq(t, ColdWithoutPermit, r)
	now = now.Add(mean + MinColdBlock)
	take(g, now, ColdAnswer{}, lost)
	_, r, _ = take(g, now.Add(mean+unpermittedSendTTL+1), ColdAnswer{}, lost)
	must.Eq(t, ColdUnanswered, r, must.Sprint("the drawn time has passed"))

	unknown := NewGate(func() int { return 0 }, func(low, _ time.Duration) time.Duration { return low }, zap.NewNop())
	unknown.Cold.Entry(coldEntry(1, simStart), simStart)
	take(unknown, simStart, ColdAnswer{}, lost)
	_, r, _ = take(unknown, simStart.Add(time.Minute), ColdAnswer{}, lost)
	must.Eq(t, ColdUnanswered, r, must.Sprint("the number of daemons is not known"))
}

// Guards against requests of services without the rule that take a lock, and against a memory that grows
// with each instance that ever was.
func TestColdSweepForgetsAndCounts(t *testing.T) {
	cold, now := &Cold{}, simStart
	must.True(t, cold.None(coldRule, now))
	cold.Entry(coldEntry(1, now), now)
	must.True(t, cold.None(ColdRule{}, now))
	must.False(t, cold.None(coldRule, now))
	must.Eq(t, 1, cold.Sweep(coldRuleOf, now, zap.NewNop()))
	must.True(t, cold.None(coldRule, now.Add(coldRule.Duration)))
	cold.Removed("i", now)
	must.Eq(t, 0, cold.Sweep(coldRuleOf, now.Add(coldRetention+1), zap.NewNop()))
	must.MapEmpty(t, cold.instances)
}

// Guards against a daemon that ends by a panic because the configuration has a very small rate: the mean
// time between sends exceeds what a duration holds.
func TestTinyColdRateIsTaken(t *testing.T) {
	uniform := func(low, high time.Duration) time.Duration {
		must.Less(t, high, low, must.Sprint("empty interval"))
		return high - 1
	}
	for _, perSecond := range []float64{1e-6, 1e-8, 1e-9, 1e-300, 5e-324} {
		cold, rule := &Cold{}, ColdRule{Duration: time.Minute, PerSecond: perSecond}
		cold.Entry(coldEntry(1, simStart), simStart)
		must.False(t, cold.TakeWithoutPermit("i", rule, 300, uniform, simStart.Add(time.Second)), must.Sprint(perSecond))
		must.False(t, cold.TakeWithoutPermit("i", rule, 300, uniform, simStart.Add(time.Minute)), must.Sprint(perSecond))
	}
}

// Guards against a refusal that tells daemons to ask again at once because the configuration has a very small
// rate: the time until the next permit exceeds what a duration holds.
func TestTinyColdRateIsWaitedFor(t *testing.T) {
	shares := Shares{Domain: "a", Domains: []string{"a"}, Count: 1}
	for _, perSecond := range []float64{1e-6, 1e-9, 1e-12, 1e-300, 5e-324} {
		a := (&ColdGrants{}).Take("i", perSecond, shares, simStart)
		must.False(t, a.Granted)
		must.GreaterEq(t, maxColdBlock, a.Wait, must.Sprint(perSecond))
	}
}

// Guards against a memory that grows with each zone name that an evacuation ever had.
func TestColdSweepForgetsZones(t *testing.T) {
	cold, now := &Cold{}, simStart
	cold.EvacuationEnded("z", now)
	cold.Sweep(coldRuleOf, now.Add(MaxCold), zap.NewNop())
	must.MapContainsKey(t, cold.zoneSince, "z")
	cold.Sweep(coldRuleOf, now.Add(MaxCold+1), zap.NewNop())
	must.MapEmpty(t, cold.zoneSince)
}

// Guards against a lock and a search for each target of each request long after the last instance was cold.
func TestWarmInstancesAreToldWithoutALock(t *testing.T) {
	cold, now := &Cold{}, simStart
	cold.Entry(coldEntry(1, now), now)
	must.True(t, cold.IsColdInstance("i", coldRuleOf, now))
	must.False(t, cold.IsColdInstance("i", coldRuleOf, now.Add(coldRule.Duration)))
	cold.mu.Lock()
	defer cold.mu.Unlock()
	warm := make(chan bool, 1)
	go func() { warm <- !cold.IsColdInstance("i", coldRuleOf, now.Add(MaxCold)) }()
	select {
	case w := <-warm:
		must.True(t, w)
	case <-time.After(10 * time.Second):
		t.Fatal("waits for a lock")
	}
}
