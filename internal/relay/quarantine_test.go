package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/quarantine"
)

// country is several zones' daemons that tell one another of requests that end instances.
type country struct {
	Transport
	now   time.Time
	nodes map[string]*Node // by address
	watch map[string]*quarantine.Watch
	dead  map[string]bool
	calls int
}

// newCountry returns zones a and b, each with a relay and two daemons that follow it.
func newCountry() *country {
	c := &country{now: start, nodes: map[string]*Node{}, watch: map[string]*quarantine.Watch{}, dead: map[string]bool{}}
	for _, zone := range []string{"a", "b"} {
		for _, name := range []string{zone, zone + "1", zone + "2"} {
			n := c.add(zone, name)
			if name == zone {
				n.holding.Store(true)
			} else {
				n.share.found(zone)
			}
		}
	}
	return c
}

// add starts a daemon.
func (c *country) add(zone, name string) *Node {
	w := quarantine.NewWatch(quarantine.NewEvidence(), nil, func() time.Time { return c.now }, zap.NewNop())
	c.watch[name] = w
	c.nodes[name] = NewNode(Options{Key: "relays/" + zone, Address: name, Holder: fmt.Sprint(name, c.now), Peers: c, Quarantine: w,
		Now: func() time.Time { return c.now }, Log: zap.NewNop(), Direct: func() bool { return false }})
	c.nodes[name].listed(c.listing())
	return c.nodes[name]
}

func (c *country) listing() (l objectapi.Listing) {
	for _, zone := range []string{"a", "b"} {
		l.Objects = append(l.Objects, objectapi.Object{Key: "relays/" + zone, Value: fmt.Appendf(nil, `{"holder":%q,"address":%q}`, zone, zone)})
	}
	return l
}

// Words implements Transport.
func (c *country) Words(ctx context.Context, address string, r WordsRequest) (WordsReply, error) {
	c.calls++
	if c.dead[address] {
		return WordsReply{}, errors.New("refused")
	}
	return c.nodes[address].answerWords(ctx, r)
}

// round lets every daemon spread once, and hear its relay's number.
func (c *country) round() {
	c.now = c.now.Add(10 * time.Millisecond)
	for _, name := range []string{"a1", "a2", "b1", "b2", "a", "b"} {
		n := c.nodes[name]
		if c.dead[name] {
			continue
		}
		if relay, _ := n.share.last(); relay != "" && !c.dead[relay] {
			n.hear(relay, c.nodes[relay].hot())
		}
		s := &Spread{Node: n, List: func(context.Context) (objectapi.Listing, error) { return c.listing(), nil }}
		s.once(context.Background())
	}
}

// end lets an instance end under a request, as one daemon sees it.
func (c *country) end(daemon string, instance int) {
	c.now = c.now.Add(time.Second)
	c.watch[daemon].Evidence.Ended(quarantine.Life{Instance: fmt.Sprint("i-", instance)}, c.now,
		[]quarantine.Suspect{{Digest: content, Workspace: "w", Sent: c.now.Add(-time.Millisecond)}})
}

var content = quarantine.Content{Target: "/poison"}.Digest()

// refusing lists the daemons that refuse the content.
func (c *country) refusing() (names []string) {
	for _, name := range []string{"a", "a1", "a2", "b", "b1", "b2"} {
		if c.watch[name].Evidence.Refuses(content) {
			names = append(names, name)
		}
	}
	return names
}

func TestMarksOfAllZonesAddUp(t *testing.T) {
	c := newCountry()
	c.round()
	c.calls = 0
	c.round()
	must.Zero(t, c.calls, must.Sprint("without news no call is made"))
	c.end("a1", 1)
	c.round()
	c.end("b2", 2)
	c.round()
	c.end("a2", 3)
	c.round()
	c.round()
	must.Eq(t, []string{"a", "a1", "a2", "b", "b1", "b2"}, c.refusing())
	c.round()
	c.calls = 0
	c.round()
	must.Zero(t, c.calls)
}

// What happened: a zone's relay stood still for two seconds, and each daemon of it counted its
// own ends: seven engines ended where three should. Their marks meet at another zone's relay,
// and whoever has some that must last saves them itself.
func TestMarksMeetThoughTheRelayDoesNotAnswer(t *testing.T) {
	c := newCountry()
	c.round()
	c.dead["a"] = true
	must.False(t, c.nodes["a1"].Unheard())
	c.end("a1", 1)
	c.round()
	c.end("a2", 2)
	c.round()
	c.end("a1", 3)
	c.round()
	must.True(t, c.nodes["a1"].Unheard())
	must.Eq(t, []string{"a1", "b", "b1", "b2"}, c.refusing())
	c.end("a2", 4) // it has another mark to tell, and hears
	c.round()
	must.Eq(t, []string{"a1", "a2", "b", "b1", "b2"}, c.refusing())
	c.dead["a"] = false
	c.round()
	c.round()
	must.SliceContains(t, c.refusing(), "a")
	must.False(t, c.nodes["a1"].Unheard())
}

// A relay's process that starts anew knows nothing of what the one before was told.
func TestNextRelayIsToldAll(t *testing.T) {
	c := newCountry()
	c.round()
	for i, name := range []string{"a1", "a2", "a1"} {
		c.end(name, i)
		c.round()
	}
	c.add("b", "b").holding.Store(true)
	must.SliceNotContains(t, c.refusing(), "b")
	for range 4 {
		c.round()
	}
	must.SliceContains(t, c.refusing(), "b")
}

// Guards against a daemon that sends a request on which all others refuse: its relay had just
// said that it does not relay, and told it nothing until it was asked for news again, up to 1.5 s.
func TestDaemonThatLostItsRelayHearsOfRefusals(t *testing.T) {
	c := newCountry()
	for range 4 { // it knew its relay before
		c.round()
	}
	lost := c.nodes["a2"]
	lost.share.lost()
	for i := range 3 {
		c.end("a1", i)
		c.others("a2")
		c.others("a2")
	}
	must.SliceNotContains(t, c.refusing(), "a2")
	s := &Spread{Node: lost, List: func(context.Context) (objectapi.Listing, error) { return c.listing(), nil }}
	must.Eq(t, spreadEvery, s.pace())
	s.once(context.Background())
	must.SliceContains(t, c.refusing(), "a2")
	lost.share.found("a")
	must.Eq(t, spreadIdle, s.pace())
}

// others lets all daemons but one spread once.
func (c *country) others(but string) {
	c.dead[but] = true
	c.round()
	delete(c.dead, but)
}
