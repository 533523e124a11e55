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

// contact is how long a daemon must have had its way to a store that answers until it must
// know what was acknowledged longer ago than the bound on a change.
const contact = 3 * time.Second

// change is one acknowledged version of the configuration.
type change struct {
	version uint64
	at      time.Time
}

// judge watches a zone for daemons that hold an old configuration too long.
type judge struct {
	zone    *simZone
	changes []change
	reached map[string]time.Time // since when a daemon's way to the store has stood; zero: it does not
	faults  []string
}

// settle is how long the daemons of a zone are given to start.
const settle = 6 * time.Second

func newJudge(z *simZone) *judge {
	j := &judge{zone: z, reached: map[string]time.Time{}}
	for _, d := range z.daemons {
		j.reached[d.Settings().Node] = time.Now()
	}
	return j
}

// configure acknowledges another version.
func (j *judge) configure() {
	j.changes = append(j.changes, change{j.zone.store.configure(), time.Now()})
}

// down stops or returns the store for all daemons, cut for one.
func (j *judge) down(down bool) {
	j.zone.store.setDown(down)
	for name := range j.reached {
		j.note(name, !down)
	}
}

func (j *judge) cut(daemon string, cut bool) {
	j.zone.store.setCut(daemon, cut)
	j.note(daemon, !cut)
}

func (j *judge) note(daemon string, reaches bool) {
	j.reached[daemon] = time.Time{}
	if reaches {
		j.reached[daemon] = time.Now()
	}
}

// run lets time pass and looks at every daemon all the while.
func (j *judge) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
		j.look()
	}
}

func (j *judge) look() {
	now := time.Now()
	for _, d := range j.zone.daemons {
		name := d.Settings().Node
		since := j.reached[name]
		if since.IsZero() || now.Sub(since) < contact {
			continue
		}
		held := d.config.Current().Version()
		for _, c := range j.changes {
			if c.version > held && now.Sub(c.at) > simBounds.Config {
				j.faults = append(j.faults, fmt.Sprintf("%.2f s: %s holds version %d, %d was acknowledged %.2f s ago, the store back %.2f s ago",
					now.Sub(j.zone.begun).Seconds(), name, held, c.version, now.Sub(c.at).Seconds(), now.Sub(since).Seconds()))
				break
			}
		}
	}
}

// inZone plays a zone of so many daemons in virtual time.
func inZone(t *testing.T, daemons int, seed uint64, play func(j *judge)) {
	t.Helper()
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			z := newSimZone(ctx, t, daemons, seed)
			defer z.end(cancel)
			j := newJudge(z)
			j.run(settle)
			play(j)
			if len(j.faults) > 0 {
				t.Errorf("%d looks found an old configuration; first: %s\n%s", len(j.faults), j.faults[0], z.told())
			}
		})
	})
}

// The store was away for six seconds and came back; two daemons of a zone went on by the
// configuration from before for 3.3 seconds more and sent requests by it, though a newer one
// had been acknowledged 2.35 seconds earlier. A daemon believed that the store was away for as
// long as none of its own calls was answered, and made one call in three seconds, as its relay
// would tell it of the return. The relay had been answered, but waited for a change of an entry
// until it told so; and the one call was a watch, which is answered when something changes. What
// settled it, of one of the two, and of one in this test ("follow": the watch):
//
//	10.4   its last call to the store, without an answer
//	11.0   the store is back; 11.932 its relay reads version 20
//	12.470 "instances not followed": "store does not answer; not asked again yet"
//	14.029 request, "config_version" 6, "proof_age_ms" 10116
//	14.313 "instance entry removed", 14.328 "store reached again"
//
//	16.995 "store answers again" call "follow", asked_ms_ago 3004, absent_ms 10624, held_back 8
func TestReturnOfTheStoreReachesEveryDaemonInTime(t *testing.T) {
	for seed := range uint64(20) {
		inZone(t, 3, seed, func(j *judge) {
			j.down(true)
			j.run(5500*time.Millisecond + time.Duration(seed)*50*time.Millisecond)
			j.down(false)
			j.configure()
			j.run(6 * time.Second)
		})
	}
}

// toldWithin is how long after the store's return a zone with a relay holds what was
// acknowledged then: the relay's next read, its proof, and its peers' next question.
const toldWithin = 1500 * time.Millisecond

// The zone's daemons ask the store each two seconds while their relay is out of touch, as its
// word comes sooner: they must hear it.
func TestRelayTellsItsZoneThatTheStoreIsBack(t *testing.T) {
	for seed := range uint64(20) {
		inZone(t, 4, seed, func(j *judge) {
			j.down(true)
			j.run(4*time.Second + time.Duration(seed)*130*time.Millisecond)
			j.down(false)
			j.configure()
			j.run(toldWithin)
			for _, d := range j.zone.daemons {
				must.Eq(j.zone.t, j.changes[0].version, d.config.Current().Version(), must.Sprint(d.Settings().Node, "\n", j.zone.told()))
			}
		})
	}
}

// Daemons cut off from the store, the store away, relays that can't be reached, changes in a
// row: in any order, more than one at once.
func TestEveryDaemonKnowsAChangeInTimeWhateverFails(t *testing.T) {
	for seed := range uint64(60) {
		chance := rand.New(rand.NewPCG(seed, 2))
		between := func(least, most time.Duration) time.Duration {
			return least + time.Duration(chance.Int64N(int64(most-least)))
		}
		inZone(t, 1+chance.IntN(5), seed, func(j *judge) {
			for range 4 {
				j.trouble(chance.IntN(4), between)
				j.run(between(3*time.Second, 8*time.Second))
			}
		})
	}
}

// trouble is one of the kinds of trouble; changes come after it in a row.
func (j *judge) trouble(kind int, between func(least, most time.Duration) time.Duration) {
	relay := j.zone.daemons[0]
	for _, d := range j.zone.daemons {
		if d.relay.Holding() {
			relay = d
		}
	}
	some := j.zone.daemons[int(between(0, time.Duration(len(j.zone.daemons))))].Settings().Node
	switch kind {
	case 0: // the store is away, and a relay was lost before
		j.zone.net.part(relay.Settings().Peers, true)
		j.run(between(0, 2*time.Second))
		j.zone.net.part(relay.Settings().Peers, false)
		j.run(between(0, 2*time.Second))
		j.down(true)
		j.run(between(time.Second, 8*time.Second))
		j.down(false)
	case 1: // one daemon alone is cut off
		j.cut(some, true)
		j.configure()
		j.run(between(time.Second, 8*time.Second))
		j.cut(some, false)
	case 2: // its relay is cut off, and the store is away at the end
		j.cut(relay.Settings().Node, true)
		j.run(between(time.Second, 4*time.Second))
		j.down(true)
		j.run(between(500*time.Millisecond, 4*time.Second))
		j.down(false)
		j.zone.store.setCut(relay.Settings().Node, false)
	case 3: // nobody reaches the relay as the store is back
		j.down(true)
		j.run(between(time.Second, 8*time.Second))
		j.zone.net.part(relay.Settings().Peers, true)
		j.down(false)
		j.run(between(0, time.Second))
		defer j.zone.net.part(relay.Settings().Peers, false)
	}
	for range 1 + int(between(0, 4)) {
		j.configure()
		j.run(between(20*time.Millisecond, time.Second))
	}
	if kind == 1 {
		j.zone.store.entry(some)
	}
}
