package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/rpc"
)

// The calls between daemons, over a real connection.
func TestCallsOverAConnection(t *testing.T) {
	z := newZone(2)
	z.change("a", false)
	z.rounds(t, 6)
	relay := z.relays()[0]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error)
	go func() { served <- rpc.Serve(ctx, l, relay.Methods()) }()
	peers := NewPeers()
	r, err := peers.News(ctx, l.Addr().String(), NewsRequest{After: relay.at, From: "x", Standing: []string{"head"}})
	must.NoError(t, err)
	must.Eq(t, z.config[0].version, r.ConfigVersion)
	s, err := peers.Standing(ctx, l.Addr().String())
	must.NoError(t, err)
	must.Eq(t, []string{"head"}, s.Instances)
	relay.Close()
	_, err = peers.News(ctx, l.Addr().String(), NewsRequest{})
	must.ErrorContains(t, err, "stopping")
	peers.Close()
	cancel()
	l.Close()
	select {
	case err := <-served:
		must.NoError(t, err)
	case <-time.After(time.Minute):
		t.Fatal("still serving")
	}
}
