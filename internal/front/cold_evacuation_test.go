package front

import (
	"fmt"
	"strings"
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
		d := &Daemon{Clock: steady.NewClock(), Log: zap.NewNop(), config: &configFollower{}}
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

// simColdRule is the rule on cold instances of a simulated fleet. maxColdArrivals is how many requests it
// allows in any second at one instance.
var simColdRule = backpressure.ColdRule{Duration: 3 * time.Second, PerSecond: 4}

const maxColdArrivals = 1.5*4 + 5

// coldSettle is how long after the start of all daemons their relays grant permits.
const coldSettle = 5 * time.Second

// maxArrivals returns the largest number of requests that one instance of a zone got in a second between two
// times.
func (c *evacuationCase) maxArrivals(zone string, from, to time.Time) (most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byInstance := map[string][]time.Time{}
	for _, a := range c.arrivals {
		if c.instanceZone(a.instance) == zone && !a.at.Before(from) && a.at.Before(to) {
			byInstance[a.instance] = append(byInstance[a.instance], a.at)
		}
	}
	for _, times := range byInstance {
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// flood sends 143 lookups a second to some daemons in turn for d.
func (c *evacuationCase) flood(daemons []int, d time.Duration) {
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		i := daemons[n%len(daemons)]
		c.call(c.ctx, i, fmt.Sprintf("lookup-%d-flood-%d", i, n))
		time.Sleep(7 * time.Millisecond)
	}
}

// Guards against a daemon that starts just after the end of an evacuation and sends to the zone's instances
// as if they were warm.
func TestStartingDaemonKnowsRecentEvacuations(t *testing.T) {
	checkStartsAfterEvacuation(t, []startAfterEvacuation{
		{"relays work", func(c *evacuationCase) []int { return c.othersThanRelays()[:2] }},
		{"relays restarted", func(c *evacuationCase) []int { return c.relays() }},
		{"relays not reached", func(c *evacuationCase) []int {
			for _, i := range c.relays() {
				c.net.setBlocked(c.daemons[i].Settings().PeerAddress, true)
			}
			return c.othersThanRelays()[:2]
		}},
		{"all daemons restarted", func(c *evacuationCase) []int { return append(c.relays(), c.othersThanRelays()...) }},
	})
}

// Guards against the same while the store has dropped its history, so that only other daemons can tell.
func TestStartingDaemonKnowsRecentEvacuationsWithoutHistory(t *testing.T) {
	checkStartsAfterEvacuation(t, []startAfterEvacuation{
		{"relays restarted", func(c *evacuationCase) []int {
			c.store.compactEvacuations()
			return c.relays()
		}},
		{"all daemons restarted", func(c *evacuationCase) []int {
			c.store.compactEvacuations()
			return append(c.relays(), c.othersThanRelays()...)
		}},
	})
}

// startAfterEvacuation is what is restarted just after an evacuation ended.
type startAfterEvacuation struct {
	name    string
	restart func(c *evacuationCase) (restarted []int)
}

// checkStartsAfterEvacuation checks that daemons that start shortly after the end of an evacuation keep the
// limit of the zone's cold instances, and that these are warm again in time.
func checkStartsAfterEvacuation(t *testing.T, cases []startAfterEvacuation) {
	t.Parallel()
	const sinceEnd = 700 * time.Millisecond
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			parallelFleet(t)
			o := smallEvacuation
			o.cold = simColdRule
			runEvacuation(t, o, func(t *testing.T, c *evacuationCase) {
				time.Sleep(coldSettle)
				c.store.setEvacuated(evacuatedZone, true)
				time.Sleep(2 * time.Second)
				ended := c.store.setEvacuated(evacuatedZone, false)
				time.Sleep(sinceEnd)
				restarted := e.restart(c)
				for _, i := range restarted {
					c.restart(i)
				}
				c.flood(restarted, simColdRule.Duration-sinceEnd)
				most := c.maxArrivals(evacuatedZone, ended, ended.Add(simColdRule.Duration))
				t.Logf("at most %d requests in a second at an instance", most)
				must.LessEq(t, maxColdArrivals, float64(most), must.Sprint(c.logWithoutRequests()))
				c.flood(restarted, 2*time.Second)
				must.Greater(t, maxColdArrivals, float64(c.maxArrivals(evacuatedZone, ended.Add(simColdRule.Duration+time.Second), time.Now())),
					must.Sprint("instances stay cold"))
			})
		})
	}
}

// Guards against daemons that start while no evacuation has ended and take all instances for cold: without
// relays that grant permits they would refuse nearly everything. When all machines had lost power and the store
// had dropped its history, they did so for three seconds.
func TestStartWithoutRecentEvacuationsFindsInstancesWarm(t *testing.T) {
	t.Parallel()
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprint("history dropped: ", compacted), func(t *testing.T) {
			parallelFleet(t)
			o := smallEvacuation
			o.cold = simColdRule
			runEvacuation(t, o, func(t *testing.T, c *evacuationCase) {
				time.Sleep(coldSettle)
				if compacted {
					c.store.compactEvacuations()
				}
				from := time.Now()
				for i := range c.daemons {
					c.restart(i)
				}
				time.Sleep(2 * time.Second)
				to := time.Now()
				time.Sleep(simCallerTimeout)
				sent, served, failed := c.servedBetween(from, to, func(string) bool { return true })
				must.Positive(t, sent)
				must.Eq(t, sent, served, must.Sprint(strings.Join(failed, "\n")))
				must.StrNotContains(t, c.logText(), "instance is cold")
			})
		})
	}
}

// Guards against a daemon that starts and does not learn from relays which evacuations ended and when: without
// the store's history it would take the instances of all zones for cold.
func TestStartingDaemonLearnsEndsFromRelays(t *testing.T) {
	t.Parallel()
	const tolerance = 50 * time.Millisecond
	cases := []struct {
		name   string
		within time.Duration // from the start to when it knows
		choose func(c *evacuationCase) int
	}{
		{"from its relay", 100 * time.Millisecond, func(c *evacuationCase) int { return c.othersThanRelays()[0] }},
		{"a relay from those of other zones", 600 * time.Millisecond, func(c *evacuationCase) int { return c.relays()[0] }},
	}
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			parallelFleet(t)
			o := smallEvacuation
			o.cold = simColdRule
			runEvacuation(t, o, func(t *testing.T, c *evacuationCase) {
				time.Sleep(coldSettle)
				c.store.setEvacuated(evacuatedZone, true)
				time.Sleep(2 * time.Second)
				ended := c.store.setEvacuated(evacuatedZone, false)
				time.Sleep(700 * time.Millisecond)
				c.store.compactEvacuations()
				i := e.choose(c)
				c.restart(i)
				d := c.daemons[i]
				isCold := func(instance string) bool { return d.gate.Cold.IsCold(instance, simColdRule, d.Clock.Now()) }
				for !d.ready() {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(e.within)
				must.True(t, isCold("i-1"))
				must.False(t, isCold("i-0"), must.Sprint("an instance of another zone\n", c.logWithoutRequests()))
				time.Sleep(time.Until(ended.Add(simColdRule.Duration - tolerance)))
				must.True(t, isCold("i-1"))
				time.Sleep(2 * tolerance)
				must.False(t, isCold("i-1"))
			})
		})
	}
}
