package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/shoenig/test/must"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/objectapi"
)

var limitedInstance = backpressure.Incarnation{Instance: "i-1", StartedAt: 7}

// receiveLimit makes a daemon observe a response that names a limit.
func (d *daemon) receiveLimit(perSecond float64) {
	d.opts.Gate.Observe(limitedInstance, backpressure.Signals{Limit: perSecond}, d.now(), d.now())
}

// countSends runs a zone for a while and returns how many requests its daemons may send.
func (z *zone) countSends(duration time.Duration) (n int) {
	for range duration / shareInterval {
		z.advance(shareInterval)
		z.exchangeAll()
		for _, d := range z.daemons {
			if _, ok := d.opts.Gate.Take(limitedInstance, z.now); !d.dead && ok {
				n++
			}
		}
	}
	return n
}

// Guards against a limit that only the daemon that received it knows.
func TestLimitReachesAllDaemonsOfZone(t *testing.T) {
	z, relay, a, b := zoneWithRelay(t)
	a.receiveLimit(2)
	z.exchangeAll()
	z.exchangeAll()
	for _, d := range []*daemon{relay, a, b} {
		must.Eq(t, map[backpressure.Incarnation]float64{limitedInstance: 2}, d.opts.Gate.Limited(), must.Sprint(d.name))
	}
	must.Between(t, 12, z.countSends(10*time.Second), 20)
	b.opts.Gate.Observe(limitedInstance, backpressure.Signals{Conclusive: true}, z.now, z.now)
	z.exchangeAll()
	z.exchangeAll()
	for _, d := range []*daemon{relay, a, b} {
		must.MapEmpty(t, d.opts.Gate.Limited(), must.Sprint(d.name))
	}
}

// Guards against daemons of several zones that each use a whole limit for their own zone.
func TestLimitReachesOtherZones(t *testing.T) {
	_, relay, _, _ := zoneWithRelay(t)
	other, remoteRelay, c, _ := zoneWithRelay(t)
	relay.receiveLimit(2)
	relay.opts.Peers, relay.opts.Address = other, "here" // both zones name their daemons alike
	x := &LoadExchange{Node: relay.Node, ListRecords: recordsOf("here", remoteRelay.name, "nobody")}
	x.runOnce(t.Context())
	must.Eq(t, map[backpressure.Incarnation]float64{limitedInstance: 2}, remoteRelay.opts.Gate.Limited())
	other.exchangeAll()
	must.Eq(t, map[backpressure.Incarnation]float64{limitedInstance: 2}, c.opts.Gate.Limited())
}

// Guards against a relay that was cut off and replaced, and goes on granting permits beside its
// successor until it reads its record.
func TestReplacedRelayGrantsNoPermits(t *testing.T) {
	_, relay, a, b := zoneWithRelay(t)
	ask := LimitsRequest{From: b.name, WantPermits: true}
	_, err := relay.answerLimits(t.Context(), ask)
	must.NoError(t, err)
	relay.Node.noteRecords(objectapi.Listing{Objects: []objectapi.Object{{Key: recordKey, Value: fmt.Appendf(nil, `{"holder":"h","address":%q}`, a.name)}}})
	_, err = relay.answerLimits(t.Context(), ask)
	must.Eq(t, codeNotRelaying, jrpc2.ErrorCode(err))
}

// Guards against permits from a daemon that is not a relay: its zone's relay grants the same
// ones.
func TestDaemonThatDoesNotRelayGrantsNoPermits(t *testing.T) {
	z, relay, a, b := zoneWithRelay(t)
	_, err := a.answerLimits(t.Context(), LimitsRequest{From: b.name, WantPermits: true})
	must.Eq(t, codeNotRelaying, jrpc2.ErrorCode(err))
	a.receiveLimit(2)
	z.exchangeAll()
	relay.dead = true
	must.LessEq(t, 1, z.countSends(3*time.Second), must.Sprint("sends without a relay"))
}
