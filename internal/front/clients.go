package front

import (
	"math"
	"net"
	"net/http"
	"time"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/ingress"
)

// Limits on clients where the configuration sets none.
const (
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute
	// maxHeadBytes bounds what the configuration may set.
	maxHeadBytes = 1 << 20
)

// callerLimits returns the limits on callers of the configuration in force.
func (d *Daemon) callerLimits() ingress.Limits {
	out := ingress.Limits{HeadBytes: defaultHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
	table := d.config.Table()
	if table == nil {
		return out
	}
	configured := table.Config.Limits
	if configured.MaxHeaderBytes > 0 {
		out.HeadBytes = min(configured.MaxHeaderBytes, maxHeadBytes)
	}
	if configured.HeaderTimeout > 0 {
		out.HeadTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		out.IdleTimeout = configured.IdleTimeout
	}
	return out
}

// newGuard returns the guard of an address that clients reach. Sweep runs it.
func (d *Daemon) newGuard(name string, limits func() ingress.Limits) *ingress.Guard {
	g := ingress.NewGuard(ingress.Options{
		Name: name, Limits: limits, MaxConns: math.MaxInt, Memory: d.peerMemory, Now: d.runClock.Now,
		SetRetryAfter: func(h http.Header) {
			d.Platform.Codec.SetRetryAfter(h, dispatch.RetryAfter(dispatch.TryAnotherDaemon))
		},
		Metrics: d.Metrics, Log: d.Log,
	})
	d.guards = append(d.guards, g)
	return g
}

// newSideGuard returns the guard of an address that serves no requests of callers.
func (d *Daemon) newSideGuard(name string) *ingress.Guard {
	return d.newGuard(name, func() ingress.Limits {
		return ingress.Limits{HeadBytes: defaultHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
	})
}

// serveClients serves an address until the server is shut down.
func (d *Daemon) serveClients(server *http.Server, g *ingress.Guard, l net.Listener) {
	g.Protect(server)
	go d.serve(server, g.Listener(l))
}
