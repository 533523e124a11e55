package embedded

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestAddressesOfADaemonStayItsOwn: nobody else can take a daemon's address
// between the choice of it and the daemon's start.
func TestAddressesOfADaemonStayItsOwn(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := Start(ctx, Options{})
	must.NoError(t, err)
	prepared, err := s.prepareDaemon()
	must.NoError(t, err)
	for _, address := range []string{prepared.Settings.Listen.Callers, prepared.Settings.Listen.Operators, prepared.Settings.Listen.Peers} {
		taken, err := net.Listen("tcp", address)
		must.Error(t, err, must.Sprint("another process could take ", address))
		if taken != nil {
			taken.Close()
		}
	}
	prepared.launch(ctx)
	ready, stop := context.WithTimeout(ctx, patience)
	defer stop()
	must.NoError(t, prepared.Ready(ready))
	cancel()
	must.NoError(t, <-prepared.Done)
}

// TestReadyTellsWhyADaemonEnded: whoever waits for a daemon that ended is told its
// error at once, not that the wait took too long.
func TestReadyTellsWhyADaemonEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := Start(ctx, Options{})
	must.NoError(t, err)
	prepared, err := s.prepareDaemon()
	must.NoError(t, err)
	must.NoError(t, prepared.listeners.Peers.Close())
	prepared.launch(ctx)
	ready, stop := context.WithTimeout(ctx, patience)
	defer stop()
	began := time.Now()
	err = prepared.Ready(ready)
	must.ErrorContains(t, err, "closed")
	must.Less(t, patience, time.Since(began))
}
