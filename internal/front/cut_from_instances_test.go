package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Daemons that lose their links to all instances while callers, the store and the other daemons
// still reach them.
const (
	// cutServedAfter is how long after the cut began callers of cut daemons are to be served like others,
	// and contactBound how long after it they must be.
	cutServedAfter = 500 * time.Millisecond
	contactBound   = 3 * time.Second
	cutFor         = 4 * time.Second
	// cutFailedShare is the share of requests that may fail at cut daemons beyond those at others.
	cutFailedShare = 1.0 / 50
)

// cutCase is a fleet some of whose daemons are cut off from all instances.
type cutCase struct {
	simFleetOptions
	cut  int // number of daemons that are cut off
	how  instanceCut
	seed uint64
}

// largeFleet is a fleet with more goroutines than the race detector supports (8,128).
var largeFleet = simFleetOptions{daemons: 300, zones: 5, instances: 60, callInterval: 700 * time.Millisecond}

func (c cutCase) String() string {
	how := [...]string{"connected", "packets vanish", "connections end", "only new ones refused"}[c.how]
	return fmt.Sprintf("%d of %d, %s, seed %d", c.cut, c.daemons, how, c.seed)
}

// run plays the case and checks that requests sent to cut daemons are served like those sent to others,
// from some time after the cut began to its end.
func (c cutCase) run(t *testing.T, after time.Duration) { c.runWith(t, after, nil) }

// runWith is run with the daemons that are cut off; nil: they are drawn.
func (c cutCase) runWith(t *testing.T, after time.Duration, which []int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newSimFleet(ctx, t, c.simFleetOptions, c.seed)
		defer f.stop(cancel)
		time.Sleep(startupTime)
		isCut := map[string]bool{}
		if which == nil {
			which = f.rng.Perm(c.daemons)[:c.cut]
		}
		for _, i := range which {
			isCut[f.daemons[i].Settings().Node] = true
		}
		begun := time.Now()
		for daemon := range isCut {
			f.instances.setCut(daemon, c.how)
		}
		time.Sleep(cutFor)
		for daemon := range isCut {
			f.instances.setCut(daemon, noCut)
		}
		time.Sleep(simCallerTimeout)
		from, to := begun.Add(after), begun.Add(cutFor)
		sent, served, failed := f.servedBetween(from, to, func(d string) bool { return isCut[d] })
		othersSent, othersServed, _ := f.servedBetween(from, to, func(d string) bool { return !isCut[d] })
		t.Logf("cut daemons: %d of %d served, the others: %d of %d", served, sent, othersServed, othersSent)
		must.Positive(t, sent)
		atOthers := 1.0
		if othersSent > 0 {
			atOthers = float64(othersServed) / float64(othersSent)
		}
		must.StrContains(t, f.logText(), `"peer":"d`, must.Sprint("the log tells the path"))
		must.GreaterEq(t, atOthers-cutFailedShare, float64(served)/float64(sent), must.Sprint(strings.Join(failed, "\n")))
		for id, runs := range f.instances.runs {
			if strings.HasPrefix(id, "once") {
				must.Eq(t, 1, runs, must.Sprint(id, " ran more than once"))
			}
		}
	})
}

// Guards against callers that are refused for as long as their daemon is cut off from all
// instances, while other daemons reach them.
func TestCallersOfDaemonsCutOffFromAllInstancesAreServed(t *testing.T) {
	t.Parallel()
	small := simFleetOptions{daemons: 9, zones: 3, instances: 12, callInterval: 60 * time.Millisecond}
	var cases []cutCase
	for how := packetsVanish; how < instanceCuts; how++ {
		cases = append(cases, cutCase{small, 2, how, 1}, cutCase{small, 6, how, 2}, cutCase{small, 8, how, 3})
	}
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			parallelFleet(t)
			c.run(t, cutServedAfter)
		})
	}
}

// Guards against callers of a daemon that is alone in its zone and knows no other daemon to reach instances
// through but the relay of another zone, which is cut off, too.
func TestCallersOfADaemonAloneInItsZoneAreServed(t *testing.T) {
	t.Parallel()
	for _, relay := range []int{0, 2} { // one of them is the relay of their zone
		c := cutCase{simFleetOptions{daemons: 3, zones: 2, instances: 12, callInterval: 60 * time.Millisecond}, 2, onlyNewRefused, 16}
		t.Run(fmt.Sprint("d1 and d", relay), func(t *testing.T) {
			parallelFleet(t)
			c.runWith(t, cutServedAfter, []int{1, relay})
		})
	}
}

// Guards against requests that are quarantined at all daemons, until an operator releases them,
// because the instances that ran them refuse connections from daemons that are cut off.
func TestDaemonsCutOffFromAllInstancesDetectNoCrashes(t *testing.T) {
	t.Parallel()
	small := simFleetOptions{daemons: 9, zones: 3, instances: 12, callInterval: 60 * time.Millisecond}
	for _, c := range []cutCase{{small, 7, connectionsEnd, 11}, {small, 9, connectionsEnd, 12}, {small, 3, connectionsEnd, 13}} {
		t.Run(c.String(), func(t *testing.T) {
			parallelFleet(t)
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newSimFleet(ctx, t, c.simFleetOptions, c.seed)
				defer f.stop(cancel)
				time.Sleep(startupTime)
				for _, how := range []instanceCut{connectionsEnd, noCut, connectionsEnd, noCut, connectionsEnd} {
					for _, i := range f.rng.Perm(c.daemons)[:c.cut] {
						f.instances.setCut(f.daemons[i].Settings().Node, how)
					}
					time.Sleep(time.Second)
				}
				for _, d := range f.daemons {
					suspected, quarantined := d.detector.Evidence.Counts()
					must.Zero(t, d.detector.Crashes(), must.Sprint(d.Settings().Node, "\n", f.logText()))
					must.Zero(t, suspected)
					must.Zero(t, quarantined)
				}
			})
		})
	}
}

// rejectedWithin bounds the time to a rejection where nothing can be served.
const rejectedWithin = 50 * time.Millisecond

// While no daemon reaches any instance, callers are told at once to come back, and nothing waits for its
// deadline. Once the links are back they are served at once.
func TestRequestsThatNoDaemonCanServeAreRejectedAtOnce(t *testing.T) {
	t.Parallel()
	for how := packetsVanish; how <= connectionsEnd; how++ {
		c := cutCase{simFleetOptions{daemons: 9, zones: 3, instances: 12, callInterval: 60 * time.Millisecond}, 9, how, 15}
		t.Run(c.String(), func(t *testing.T) {
			parallelFleet(t)
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newSimFleet(ctx, t, c.simFleetOptions, c.seed)
				defer f.stop(cancel)
				time.Sleep(startupTime)
				for _, d := range f.daemons {
					f.instances.setCut(d.Settings().Node, how)
				}
				time.Sleep(time.Second)
				from := time.Now()
				time.Sleep(2 * time.Second)
				to := time.Now()
				for _, d := range f.daemons {
					f.instances.setCut(d.Settings().Node, noCut)
				}
				time.Sleep(cutServedAfter)
				back := time.Now()
				time.Sleep(2*time.Second + simCallerTimeout)
				sent, served, failed := f.servedBetween(back, back.Add(2*time.Second), func(string) bool { return true })
				must.Positive(t, sent)
				must.Eq(t, sent, served, must.Sprint(strings.Join(failed, "\n")))
				f.mu.Lock()
				defer f.mu.Unlock()
				rejected := 0
				for _, c := range f.calls {
					if c.sentAt.Before(from) || c.sentAt.After(to) {
						continue
					}
					rejected++
					must.Eq(t, http.StatusServiceUnavailable, c.status, must.Sprint(c.id))
					must.NotEq(t, "", c.header.Get("Retry-After"))
					must.LessEq(t, rejectedWithin, c.doneAt.Sub(c.sentAt), must.Sprint(c.id, " ", c.body.String()))
				}
				must.Positive(t, rejected)
			})
		})
	}
}

// awaitYoungRequest sends requests to a daemon until an instance has just begun to run one of them.
// An answer that has brought events for a while makes its request no suspect of a crash.
func (f *simFleet) awaitYoungRequest(ctx context.Context, daemon int, instance string) {
	for n := range 1000 {
		id := fmt.Sprint("once-young-", n)
		f.call(ctx, daemon, id)
		time.Sleep(simCallTime / 2)
		if f.instances.runsAt(id, instance) {
			return
		}
	}
	f.t.Fatalf("no request reached instance %q", instance)
}

// A daemon that reaches the instances detects their crashes also while others are cut off.
func TestCrashesAreDetectedWhileOtherDaemonsAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newSimFleet(ctx, t, simFleetOptions{daemons: 3, zones: 1, instances: 6, callInterval: 60 * time.Millisecond}, 14)
		defer f.stop(cancel)
		time.Sleep(startupTime)
		f.instances.setCut("d1", connectionsEnd)
		time.Sleep(time.Second)
		f.awaitYoungRequest(ctx, 0, "i-0")
		f.instances.crash("i-0")
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, 1, max(f.daemons[0].detector.Crashes(), f.daemons[2].detector.Crashes()))
	})
}
