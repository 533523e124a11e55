package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/steady"
)

// Load: a host goes dark and answers no connection, while those to others come up in
// milliseconds. A request must learn soon that it was not sent, and slower links must be
// given their time: ones that take 60 ms are no sign of a dark host.
func TestConnectionsToADarkHostAreGivenUpSoon(t *testing.T) {
	const most = 400 * time.Millisecond
	var c connectTimer
	must.Eq(t, most, c.limit(most), must.Sprint("nothing known"))
	for range 50 {
		c.note(3 * time.Millisecond)
	}
	must.Eq(t, connectLeast, c.limit(most))
	for range 50 {
		c.note(60 * time.Millisecond)
	}
	must.Eq(t, 4*60*time.Millisecond, c.limit(most))
	for range 50 {
		c.note(time.Second)
	}
	must.Eq(t, most, c.limit(most))
}

// Guards against streams that were cut though their replicas worked: a daemon on a busy machine
// took the time without a processor for the silence of the replica that a stream was to go on at,
// gave the connection up, and had no repeat left for another one.
func TestConnectionIsNotGivenUpWhileTheProcessIsNotScheduled(t *testing.T) {
	const usual, comesUp = 3 * time.Millisecond, 2 * connectLeast
	for _, scheduled := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := NewPool(time.Second, time.Second)
			for range connectSamples {
				p.timer.note(usual)
			}
			far, near := net.Pipe()
			defer far.Close()
			p.dialer = func(ctx context.Context, _, _ string) (net.Conn, error) {
				select {
				case <-time.After(comesUp):
					return near, nil
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			p.RunClock = steady.NewRunClock(nil)
			looks, stop := context.WithCancel(t.Context())
			go p.RunClock.Run(looks)
			time.Sleep(time.Millisecond)
			if !scheduled {
				stop() // the clock stands, as if the process were not scheduled from now on
			}
			began := time.Now()
			err := p.Probe(t.Context(), "10.0.0.1:80")
			if scheduled {
				must.ErrorIs(t, err, ErrNotSent)
				must.ErrorIs(t, err, errConnectTimeout)
				must.Less(t, comesUp, time.Since(began))
			} else {
				must.NoError(t, err)
				must.Eq(t, comesUp, time.Since(began))
			}
			stop()
			near.Close()
			time.Sleep(time.Second)
		})
	}
}
