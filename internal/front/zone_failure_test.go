package front

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// simLinkEnds are a daemon and an instance.
type simLinkEnds struct{ daemon, instance string }

// silentUntil returns a channel that is closed when packets between a daemon and an instance are
// delivered again, nil if they are now.
func (n *instanceNet) silentUntil(daemon, instance string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if healed := n.healed[daemon]; healed != nil {
		return healed
	}
	return n.silent[simLinkEnds{daemon, instance}]
}

// setSilent makes packets between a daemon and an instance vanish, or delivers them again. restarted: the
// instance has lost its connections meanwhile.
func (n *instanceNet) setSilent(daemon, instance string, silent, restarted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ends := simLinkEnds{daemon, instance}
	if healed := n.silent[ends]; healed != nil {
		close(healed)
		delete(n.silent, ends)
	}
	if silent {
		n.silent[ends] = make(chan struct{})
	}
	for c := range n.conns {
		switch {
		case c.daemon != daemon || c.instance != instance:
		case silent:
			go c.timeOut(n.silent[ends])
		case restarted:
			c.end(syscall.ECONNRESET)
		}
	}
}

// inZone returns whether a daemon is in a zone.
func (f *simFleet) inZone(daemon, zone string) bool { return f.zoneOf(daemon) == zone }

// instanceIDs returns the ids of all instances.
func (f *simFleet) instanceIDs() (out []string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, e := range f.store.entries() {
		out = append(out, e.Key[len(simInstances)+1:])
	}
	slices.Sort(out)
	return out
}

// zoneFailure is how a zone fails while callers reach the daemons of the others.
type zoneFailure struct {
	name string
	// The zone's machines have no power: callers do not reach its daemons either, and its instances start
	// again. Otherwise it is partitioned from the other zones.
	power    bool
	cutStore bool // its daemons do not reach the store
	lasts    time.Duration
}

// apply makes a zone fail or ends the failure.
func (z zoneFailure) apply(f *simFleet, zone string, failed bool) {
	for i, d := range f.daemons {
		daemon := d.Settings().Node
		for _, id := range f.instanceIDs() {
			if f.inZone(daemon, zone) != (f.instanceZone(id) == zone) {
				f.instances.setSilent(daemon, id, failed, z.power)
			}
		}
		if !f.inZone(daemon, zone) {
			continue
		}
		f.net.setBlocked(daemon, failed)
		if z.cutStore {
			f.store.setCut(daemon, failed)
		}
		if z.power && failed {
			f.kill(i)
		}
	}
}

// lateAnswer is the objective of the simulated routes for the first part of an answer.
const lateAnswer = 300 * time.Millisecond

// countLate returns how many answers of requests sent between two times began too late.
func (f *simFleet) countLate(from, to time.Time, has func(daemon string) bool) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if !c.sentAt.Before(from) && c.sentAt.Before(to) && has(c.daemon) && c.firstAt().Sub(c.sentAt) > lateAnswer {
			n++
		}
	}
	return n
}

// Guards against callers that are refused or wait because of a zone without power, or one that is
// partitioned, although their daemon reaches instances of another zone: from half a second after the
// failure on they are to be served like others. What is left is bounded by the retry budget and by the
// one slow send with which each daemon finds each failed instance.
func TestCallersAreServedWhileAZoneFails(t *testing.T) {
	t.Parallel()
	const zone = "zone-1"
	for _, c := range []zoneFailure{
		{"without power", true, true, 1500 * time.Millisecond},
		{"partitioned", false, false, 4 * time.Second},
		{"partitioned and cut from the store", false, true, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			parallelFleet(t)
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newSimFleet(ctx, t, simFleetOptions{daemons: 9, zones: 3, instances: 27, callInterval: 30 * time.Millisecond, evacuate: evacuateBound, retryRatio: 0.2}, 1)
				defer f.stop(cancel)
				time.Sleep(startupTime)
				begun := time.Now()
				c.apply(f, zone, true)
				time.Sleep(c.lasts)
				c.apply(f, zone, false)
				time.Sleep(2*time.Second + simCallerTimeout)
				for _, inZone := range []bool{true, false} {
					if inZone && c.power {
						continue
					}
					has := func(daemon string) bool { return f.inZone(daemon, zone) == inZone }
					from, to := begun.Add(cutServedAfter), begun.Add(c.lasts+2*time.Second)
					sent, served, failed := f.servedBetween(from, to, has)
					t.Logf("daemons in the zone: %t: %d of %d served, %d of them late; in the first half second %d late", inZone, served, sent, f.countLate(from, to, has), f.countLate(begun, from, has))
					must.GreaterEq(t, 1-cutFailedShare, float64(served)/float64(sent), must.Sprint(strings.Join(failed, "\n")))
				}
			})
		})
	}
}
