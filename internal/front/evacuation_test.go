package front

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// evacuateBound is the bound on an evacuation, and evacuateGoal the time within which daemons in
	// touch with a relay that works apply it.
	evacuateBound = 5 * time.Second
	evacuateGoal  = 500 * time.Millisecond
	// evacuateInTouchAfter is how long a daemon has had a path to the store when it counts as in touch.
	evacuateInTouchAfter = 4 * time.Second
	evacuatedZone        = "zone-1"
)

// evacuationCase is a fleet of which a zone is evacuated.
type evacuationCase struct {
	*simFleet
	ctx      context.Context
	mu       sync.Mutex
	arrivals []evacuationArrival
	// exempt are daemons whose processes have ended, although the simulated callers still call them, and
	// daemons that are not in touch.
	exempt map[string]bool
}

// evacuationArrival is a request that reached an instance.
type evacuationArrival struct {
	daemon, instance string
	at               time.Time
}

var smallEvacuation = simFleetOptions{daemons: 9, zones: 3, instances: 6, callInterval: 150 * time.Millisecond, evacuate: evacuateBound}

// runEvacuation runs f with a fleet that serves.
func runEvacuation(t *testing.T, o simFleetOptions, f func(t *testing.T, c *evacuationCase)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &evacuationCase{ctx: ctx, exempt: map[string]bool{}}
		o.answer = func(conn *instanceConn, _ *http.Request) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.arrivals = append(c.arrivals, evacuationArrival{conn.daemon, conn.instance, time.Now()})
			return false
		}
		c.simFleet = newSimFleet(ctx, t, o, 1)
		defer c.stop(cancel)
		time.Sleep(startupTime)
		f(t, c)
	})
}

// lastArrival returns how long after a time the last request reached an instance of a zone, and from
// which daemon.
func (c *evacuationCase) lastArrival(zone string, since time.Time) (last time.Duration, daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.arrivals {
		if after := a.at.Sub(since); c.instanceZone(a.instance) == zone && !c.exempt[a.daemon] && after > last {
			last, daemon = after, a.daemon
		}
	}
	return last, daemon
}

// arrivalsBetween returns how many requests reached instances of a zone between two times.
func (c *evacuationCase) arrivalsBetween(zone string, from, to time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.arrivals {
		if c.instanceZone(a.instance) == zone && !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// relays returns the numbers of the daemons that are their zones' relays.
func (c *evacuationCase) relays() (out []int) {
	for i, d := range c.daemons {
		if d.relay.IsRelay() {
			out = append(out, i)
		}
	}
	return out
}

// othersThanRelays returns the numbers of the daemons that are not their zones' relays.
func (c *evacuationCase) othersThanRelays() (out []int) {
	for i, d := range c.daemons {
		if !d.relay.IsRelay() {
			out = append(out, i)
		}
	}
	return out
}

// killRelays ends the processes of all relays.
func (c *evacuationCase) killRelays() {
	for _, i := range c.relays() {
		c.exempt[c.daemons[i].Settings().Node] = true
		c.kill(i)
	}
}

// logWithoutRequests returns what the daemons logged except requests.
func (c *evacuationCase) logWithoutRequests() string {
	return strings.Join(slices.DeleteFunc(strings.SplitAfter(c.logText(), "\n"), func(l string) bool { return strings.Contains(l, `"msg":"request"`) }), "")
}

// restart kills a daemon and starts it again.
func (c *evacuationCase) restart(i int) {
	name := c.daemons[i].Settings().Node
	c.kill(i)
	d := c.start(c.ctx, name, uint64(100+i), false)
	c.simFleet.mu.Lock()
	defer c.simFleet.mu.Unlock()
	c.daemons[i] = d
}

// Guards against requests to an evacuated zone later than the bound, whatever is out of order while the
// evacuation begins, and later than the goal while relays and the store work.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		within time.Duration
		before func(c *evacuationCase) // just before the evacuation
		after  func(c *evacuationCase) // just after it
	}{
		{"relays work", evacuateGoal, nil, nil},
		{"relays killed", evacuateBound, func(c *evacuationCase) {
			c.killRelays()
		}, nil},
		{"relays killed just after", evacuateBound, nil, func(c *evacuationCase) {
			c.killRelays()
		}},
		{"relays cut from the store", evacuateBound, func(c *evacuationCase) {
			for _, i := range c.relays() {
				c.exempt[c.daemons[i].Settings().Node] = true
				c.store.setCut(c.daemons[i].Settings().Node, true)
			}
		}, nil},
		{"relays not reached", evacuateBound, func(c *evacuationCase) {
			for _, i := range c.relays() {
				c.net.setBlocked(c.daemons[i].Settings().PeerAddress, true)
			}
		}, nil},
		{"watches hear nothing", 2 * time.Second, func(c *evacuationCase) { c.store.setDeaf() }, nil},
		{"two daemons restarted", evacuateGoal, nil, func(c *evacuationCase) {
			c.restart(3)
			c.restart(7)
		}},
		{"store down for 8 s", 8*time.Second + evacuateInTouchAfter, nil, func(c *evacuationCase) {
			c.store.setDown(true)
			time.AfterFunc(8*time.Second, func() { c.store.setDown(false) })
		}},
	}
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			parallelFleet(t)
			runEvacuation(t, smallEvacuation, func(t *testing.T, c *evacuationCase) {
				must.Eq(t, 3, len(c.relays()))
				must.Positive(t, c.arrivalsBetween(evacuatedZone, time.Now().Add(-time.Second), time.Now()))
				if e.before != nil {
					e.before(c)
				}
				begun := c.store.setEvacuated(evacuatedZone, true)
				if e.after != nil {
					e.after(c)
				}
				time.Sleep(e.within + 2*time.Second)
				last, daemon := c.lastArrival(evacuatedZone, begun)
				t.Logf("last arrival after %v", last)
				must.LessEq(t, e.within, last, must.Sprint(daemon, "\n", c.logWithoutRequests()))
				must.Positive(t, c.arrivalsBetween("zone-0", begun.Add(e.within), time.Now()))
			})
		})
	}
}

// A begun stream finishes at the evacuated zone, and callers lose no request by an evacuation or its end.
func TestEvacuationFailsNoRequest(t *testing.T) {
	runEvacuation(t, smallEvacuation, func(t *testing.T, c *evacuationCase) {
		from := time.Now()
		begun := c.store.setEvacuated(evacuatedZone, true)
		time.Sleep(3 * time.Second)
		ended := c.store.setEvacuated(evacuatedZone, false)
		time.Sleep(2 * time.Second)
		to := time.Now()
		time.Sleep(simCallerTimeout)
		sent, served, failed := c.servedBetween(from, to, func(string) bool { return true })
		must.Positive(t, sent)
		must.Eq(t, sent, served, must.Sprint(strings.Join(failed, "\n")))
		must.Zero(t, c.arrivalsBetween(evacuatedZone, begun.Add(evacuateGoal), ended))
		must.Positive(t, c.arrivalsBetween(evacuatedZone, ended, ended.Add(evacuateGoal)))
		must.StrContains(t, c.logText(), "zone evacuation ended")
		for id, runs := range c.instances.runs {
			must.Eq(t, 1, runs, must.Sprint(id, " ran more than once"))
		}
	})
}

// The state that is known stays in force while the store does not answer.
func TestEvacuationHoldsWhileTheStoreIsDown(t *testing.T) {
	runEvacuation(t, smallEvacuation, func(t *testing.T, c *evacuationCase) {
		begun := c.store.setEvacuated(evacuatedZone, true)
		time.Sleep(time.Second)
		c.store.setDown(true)
		time.Sleep(8 * time.Second)
		c.store.setDown(false)
		time.Sleep(2 * time.Second)
		last, _ := c.lastArrival(evacuatedZone, begun)
		must.LessEq(t, evacuateGoal, last)
	})
}

// Of changes in quick succession the latest is in force.
func TestLatestEvacuationIsInForce(t *testing.T) {
	runEvacuation(t, smallEvacuation, func(t *testing.T, c *evacuationCase) {
		var at time.Time
		for _, evacuated := range []bool{true, false, true, false, true} {
			at = c.store.setEvacuated(evacuatedZone, evacuated)
			time.Sleep(7 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		last, daemon := c.lastArrival(evacuatedZone, at)
		must.LessEq(t, evacuateGoal, last, must.Sprint(daemon))
		for _, evacuated := range []bool{false, true, false} {
			at = c.store.setEvacuated(evacuatedZone, evacuated)
			time.Sleep(11 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		must.Positive(t, c.arrivalsBetween(evacuatedZone, at.Add(evacuateGoal), at.Add(2*time.Second)))
	})
}

// A store that came back from a copy counts as new: what it lists is in force although its revisions
// are lower, and nothing from before comes back. Guards also against zones that stay evacuated while the
// restored store does not know the kind, as its copy is from before the first object of it.
func TestEvacuationsOfARestoredStore(t *testing.T) {
	t.Parallel()
	for _, unknown := range []bool{false, true} {
		t.Run(fmt.Sprint("kind unknown: ", unknown), func(t *testing.T) {
			parallelFleet(t)
			runEvacuation(t, smallEvacuation, func(t *testing.T, c *evacuationCase) {
				c.store.setEvacuated(evacuatedZone, true)
				time.Sleep(time.Second)
				c.store.restoreEvacuations(unknown)
				restored := time.Now()
				time.Sleep(3 * time.Second)
				must.Positive(t, c.arrivalsBetween(evacuatedZone, restored.Add(2*time.Second), time.Now()))
				begun := c.store.setEvacuated("zone-2", true)
				time.Sleep(2 * time.Second)
				last, daemon := c.lastArrival("zone-2", begun)
				within := evacuateGoal
				if unknown {
					within = maxKindUnknown
				}
				must.LessEq(t, within, last, must.Sprint(daemon))
				must.Positive(t, c.arrivalsBetween(evacuatedZone, begun.Add(time.Second), time.Now()))
			})
		})
	}
}

// maxKindUnknown is within what time the first evacuation is in force of which the store knows the kind: until
// then a watch is refused, and a relay lists each second.
const maxKindUnknown = 1500 * time.Millisecond

// An object that names no zone has no effect but a warning and a metric.
func TestEvacuationOfUnknownZoneIsIgnored(t *testing.T) {
	runEvacuation(t, smallEvacuation, func(t *testing.T, c *evacuationCase) {
		at := c.store.setEvacuated("zone-x", true)
		time.Sleep(time.Second)
		for _, zone := range []string{"zone-0", "zone-1", "zone-2"} {
			must.Positive(t, c.arrivalsBetween(zone, at.Add(evacuateGoal), time.Now()))
		}
		must.StrContains(t, c.logText(), "evacuation of an unknown zone")
		var text strings.Builder
		c.daemons[5].Metrics.WritePrometheus(&text)
		must.StrContains(t, text.String(), "pearlanding_evacuations_unknown_zones 1")
		must.StrContains(t, text.String(), `pearlanding_zone_evacuated{zone="zone-1"} 0`)
		must.StrNotContains(t, text.String(), "zone-x")
	})
}

// Where all zones are evacuated callers are refused at once with the reason, and served again soon after
// one is not any more.
func TestAllZonesEvacuated(t *testing.T) {
	runEvacuation(t, smallEvacuation, func(t *testing.T, c *evacuationCase) {
		for zone := range 3 {
			c.store.setEvacuated(fmt.Sprint("zone-", zone), true)
		}
		time.Sleep(evacuateGoal)
		from := time.Now()
		time.Sleep(time.Second)
		to := time.Now()
		c.store.setEvacuated(evacuatedZone, false)
		time.Sleep(evacuateGoal)
		back := time.Now()
		time.Sleep(time.Second + simCallerTimeout)
		sent, served, failed := c.servedBetween(back, back.Add(time.Second), func(string) bool { return true })
		must.Positive(t, sent)
		must.Eq(t, sent, served, must.Sprint(strings.Join(failed, "\n")))
		c.simFleet.mu.Lock()
		defer c.simFleet.mu.Unlock()
		refused := 0
		for _, call := range c.calls {
			if call.sentAt.Before(from) || call.sentAt.After(to) {
				continue
			}
			refused++
			must.Eq(t, http.StatusServiceUnavailable, call.status)
			must.Eq(t, "zones_evacuated\n", call.body.String())
			must.NotEq(t, "", call.header.Get("Retry-After"))
			must.Zero(t, call.doneAt.Sub(call.sentAt))
		}
		must.Positive(t, refused)
	})
}

// A daemon that starts knows the evacuated zones before it is ready, and is as soon ready as without the
// list if the store does not answer for it.
func TestStartWaitsForEvacuations(t *testing.T) {
	for _, evacuate := range []time.Duration{0, evacuateBound} {
		o := smallEvacuation
		o.evacuate = evacuate
		runEvacuation(t, o, func(t *testing.T, c *evacuationCase) {
			c.store.setEvacuated(evacuatedZone, true)
			time.Sleep(time.Second)
			began := time.Now()
			c.restart(3)
			for !c.daemons[3].ready() {
				time.Sleep(time.Millisecond)
			}
			t.Logf("ready after %v with a bound of %v", time.Since(began), evacuate)
			must.LessEq(t, 20*time.Millisecond, time.Since(began))
			must.Eq(t, evacuate > 0, c.daemons[3].evacuations.Known.Zones().Has(evacuatedZone))
		})
	}
}

// Guards against calls to the store by each daemon while relays work.
func TestFewDaemonsReadEvacuations(t *testing.T) {
	o := smallEvacuation
	o.daemons, o.callInterval = 30, 5*time.Second
	runEvacuation(t, o, func(t *testing.T, c *evacuationCase) {
		before := c.store.evacuationCalls()
		time.Sleep(10 * time.Second)
		calls := float64(c.store.evacuationCalls()-before) / 10
		t.Logf("%.2f calls a second", calls)
		must.LessEq(t, 4.0, calls) // three relays: a listing each second, a watch each 5 s
	})
}
