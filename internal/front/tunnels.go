package front

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/link"
	"pearlanding/internal/pause"
	"pearlanding/internal/rpc"
	"pearlanding/internal/tunnel"
)

const (
	// maxTunnels bounds the tunnels of other daemons. Each takes two descriptors, two goroutines and some
	// 20 KB.
	maxTunnels = 512
	// tunnelFilesShare of the process's descriptors may be used for them.
	tunnelFilesShare = 0.25
	// pathCheckInterval is how often the direct paths are checked for silence.
	pathCheckInterval = 100 * time.Millisecond
)

// buildTunnels makes the pool reach instances through other daemons where the direct path fails, and
// lets other daemons use this one for that.
func (d *Daemon) buildTunnels(s Settings) {
	dialInstance, dialPeer := link.Dialer(0).DialContext, link.Dialer(0).DialContext
	if d.DialInstance != nil {
		dialInstance = d.DialInstance
	}
	if d.dial != nil {
		dialPeer = d.dial
	}
	d.direct = tunnel.NewDirect(dialInstance, d.runClock, d.Log)
	d.direct.OnLost = d.directPathsLost
	d.direct.TryOthers = func(address string) bool {
		ctx, cancel := d.runClock.WithTimeout(context.Background(), d.pool.ConnectTimeout())
		defer cancel()
		return d.reachesOtherDirectly(ctx, address)
	}
	d.tunnelDialer = &tunnel.Dialer{
		Direct: d.direct, DirectTimeout: d.pool.ConnectTimeout, DialPeer: dialPeer, InstanceAt: d.instanceAt, Peers: d.tunnelPeers,
		Uniform: rand.IntN, RunClock: d.runClock, Log: d.Log, OnDial: d.countDial,
	}
	d.tunnelServer = &tunnel.Server{AddressOf: d.addressOf, Direct: d.direct, ReachesOther: d.reachesOtherDirectly, MaxOpen: maxTunnels, RunClock: d.runClock}
	if s.MaxFiles > 0 {
		d.tunnelServer.MaxOpen = min(maxTunnels, int(tunnelFilesShare*float64(s.MaxFiles)/2))
	}
	d.pool.Dial, d.pool.Stale = d.tunnelDialer.DialContext, d.tunnelDialer.Stale
	d.Metrics.GetOrCreateGauge("pearlanding_tunnels_served", func() float64 { return float64(d.tunnelServer.Open()) })
	d.Metrics.GetOrCreateGauge("pearlanding_instances_through_peers", func() float64 { return float64(d.tunnelDialer.ThroughPeers()) })
	d.Metrics.GetOrCreateGauge("pearlanding_direct_paths_lost", func() float64 {
		if d.direct.Lost() {
			return 1
		}
		return 0
	})
}

// directPathsLost forgets what streams showed of instances over paths that are lost, and makes other
// daemons use this one no more.
func (d *Daemon) directPathsLost() {
	d.picker.ForgetFailures(d.runClock.Now())
	d.tunnelServer.Retire()
	if d.relay != nil {
		d.relay.ReportNow()
	}
}

// countDial counts a dial by one path.
func (d *Daemon) countDial(path string, err error) {
	outcome := "connected"
	switch {
	case errors.Is(err, context.Canceled):
		outcome = "not_needed"
	case err != nil:
		outcome = "failed"
	}
	d.Metrics.GetOrCreateCounter(fmt.Sprintf("pearlanding_instance_dials_total{path=%q,outcome=%q}", path, outcome)).Inc()
}

// instanceAt returns the instance at an address in this daemon's view.
func (d *Daemon) instanceAt(address string) (in tunnel.Instance, known bool) {
	view := d.instances.View()
	if view == nil {
		return in, false
	}
	if i := view.InstanceAt(address); i != nil {
		return tunnel.Instance{ID: i.ID, StartedAt: i.StartedAt}, true
	}
	return in, false
}

// addressOf returns the address of an incarnation in this daemon's view.
func (d *Daemon) addressOf(in tunnel.Instance) (address string, known bool) {
	view := d.instances.View()
	if view == nil {
		return "", false
	}
	i := view.Reachable(in.ID)
	if i == nil || i.StartedAt != in.StartedAt {
		return "", false
	}
	return i.Address, true
}

// tunnelPeers returns the addresses of daemons that may reach instances.
func (d *Daemon) tunnelPeers() []string {
	if d.relay == nil {
		return nil
	}
	return d.relay.TunnelPeers()
}

// reachesOtherDirectly reports whether an instance at another address accepts a connection from this
// daemon itself.
func (d *Daemon) reachesOtherDirectly(ctx context.Context, address string) bool {
	return d.anyOtherInstance(ctx, address, func(ctx context.Context, other string) error {
		conn, err := d.direct.DialContext(ctx, "tcp", other)
		if err == nil {
			_ = conn.Close() // carried nothing
		}
		return err
	})
}

// watchDirectPaths checks regularly whether the direct paths are lost, until ctx ends.
func (d *Daemon) watchDirectPaths(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, pathCheckInterval)
		d.direct.InDoubt()
	}
}

// upgrades returns the protocols other than calls that peers may use.
func (d *Daemon) upgrades() []rpc.Upgrade {
	return []rpc.Upgrade{{Method: tunnel.Method, Handle: func(ctx context.Context, conn net.Conn, r io.Reader, params json.RawMessage) {
		d.tunnelServer.Serve(ctx, conn, r, params)
	}}}
}
