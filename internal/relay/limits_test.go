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

var limited = backpressure.Life{Instance: "i-1", Born: 7}

// limits lets a daemon hear an answer that names a limit.
func (d *daemon) limits(perSecond float64) {
	d.o.Gate.Observe(limited, backpressure.Signals{Limit: perSecond}, d.now(), d.now())
}

// sends plays a zone for a while and returns how many requests its daemons may send.
func (z *zone) sends(lasts time.Duration) (n int) {
	for range lasts / shareEvery {
		z.pass(shareEvery)
		z.exchange()
		for _, d := range z.daemons {
			if _, ok := d.o.Gate.Take(limited, z.now); !d.dead && ok {
				n++
			}
		}
	}
	return n
}

// Guards against a limit that only the daemon knows of that was told.
func TestLimitIsToldToAllOfAZone(t *testing.T) {
	z, relay, a, b := settled(t)
	a.limits(2)
	z.exchange()
	z.exchange()
	for _, d := range []*daemon{relay, a, b} {
		must.Eq(t, map[backpressure.Life]float64{limited: 2}, d.o.Gate.Limited(), must.Sprint(d.name))
	}
	must.Between(t, 12, z.sends(10*time.Second), 20)
	b.o.Gate.Observe(limited, backpressure.Signals{Conclusive: true}, z.now, z.now)
	z.exchange()
	z.exchange()
	for _, d := range []*daemon{relay, a, b} {
		must.MapEmpty(t, d.o.Gate.Limited(), must.Sprint(d.name))
	}
}

// Guards against a limit that the daemons of each zone take for theirs alone.
func TestLimitIsToldToOtherZones(t *testing.T) {
	_, relay, _, _ := settled(t)
	other, far, c, _ := settled(t)
	relay.limits(2)
	relay.o.Peers, relay.o.Address = other, "here" // both name their daemons alike
	x := &Exchange{Node: relay.Node, List: recordsOf("here", far.name, "nobody")}
	x.once(t.Context())
	must.Eq(t, map[backpressure.Life]float64{limited: 2}, far.o.Gate.Limited())
	other.exchange()
	must.Eq(t, map[backpressure.Life]float64{limited: 2}, c.o.Gate.Limited())
}

// Guards against a relay that was cut off, has been replaced and goes on granting beside its
// successor until it looks at its record.
func TestReplacedRelayGrantsNoPermits(t *testing.T) {
	_, relay, a, b := settled(t)
	ask := LimitsRequest{From: b.name, Permits: true}
	_, err := relay.answerLimits(t.Context(), ask)
	must.NoError(t, err)
	relay.Node.listed(objectapi.Listing{Objects: []objectapi.Object{{Key: recordKey, Value: fmt.Appendf(nil, `{"holder":"h","address":%q}`, a.name)}}})
	_, err = relay.answerLimits(t.Context(), ask)
	must.Eq(t, codeNotRelaying, jrpc2.ErrorCode(err))
}

// Guards against permits of a daemon that grants none: its zone's relay does too.
func TestDaemonThatDoesNotRelayGrantsNoPermits(t *testing.T) {
	z, relay, a, b := settled(t)
	_, err := a.answerLimits(t.Context(), LimitsRequest{From: b.name, Permits: true})
	must.Eq(t, codeNotRelaying, jrpc2.ErrorCode(err))
	a.limits(2)
	z.exchange()
	relay.dead = true
	must.LessEq(t, 1, z.sends(3*time.Second), must.Sprint("sends without a relay"))
}
