package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/ingress"
	"pearlanding/internal/membudget"
	"pearlanding/internal/rpc"
)

// Limits on clients where the configuration sets none.
const (
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute
	// maxHeadBytes bounds what the configuration may set.
	maxHeadBytes = 1 << 20
)

// Connections of clients. The descriptors that they leave are for tunnels, instances, other daemons and the
// store.
const (
	// callerFilesShare of the process's descriptors may be used for connections of callers.
	callerFilesShare = 0.4
	// callerMemoryShare of the process's memory may be used for them, beside the budget for what they send.
	callerMemoryShare = 0.35
	// connectionMemory is what a connection takes: its goroutines and buffers, a head that is too small to be
	// accounted, and what the kernel holds.
	connectionMemory = 32<<10 + ingress.ReceiveWindow
	// defaultMaxFiles is the limit on descriptors where the deployment sets none.
	defaultMaxFiles = 4096
	// sideFilesShare of the descriptors, and at most maxSideConnections, may be used for connections to the
	// address of the readiness check, and as many to that of the metrics.
	sideFilesShare     = 0.03
	maxSideConnections = 64
	// peerFilesShare of the descriptors may be used for calls of other daemons, beside their tunnels.
	peerFilesShare = 0.1
	// callMemoryShare of the process's memory may be held for calls of other daemons while they are
	// received, and defaultCallMemory bytes where the deployment sets no memory.
	callMemoryShare   = 0.05
	defaultCallMemory = 16 << 20
)

// maxFiles returns the limit on the process's descriptors.
func (s *Settings) maxFiles() int {
	if s.MaxFiles <= 0 {
		return defaultMaxFiles
	}
	return s.MaxFiles
}

// maxCallerConnections returns how many connections callers may have.
func (s *Settings) maxCallerConnections() int {
	n := callerFilesShare * float64(s.maxFiles())
	if s.MemoryMB > 0 {
		n = min(n, callerMemoryShare*float64(s.MemoryMB)*(1<<20)/connectionMemory)
	}
	return max(int(n), 1)
}

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
func (d *Daemon) newGuard(name string, maxConns int, limits func() ingress.Limits) *ingress.Guard {
	g := ingress.NewGuard(ingress.Options{
		Name: name, Limits: limits, MaxConns: maxConns, Memory: d.peerMemory, Now: d.runClock.Now,
		SetRetryAfter: func(h http.Header) {
			d.Platform.Codec.SetRetryAfter(h, dispatch.RetryAfter(dispatch.TryAnotherDaemon))
		},
		Metrics: d.Metrics, Log: d.Log,
	})
	d.guards = append(d.guards, g)
	return g
}

// newSideGuard returns the guard of an address that serves no requests of callers.
func (d *Daemon) newSideGuard(name string, s *Settings) *ingress.Guard {
	conns := max(1, min(maxSideConnections, int(sideFilesShare*float64(s.maxFiles()))))
	return d.newGuard(name, conns, func() ingress.Limits {
		return ingress.Limits{HeadBytes: defaultHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
	})
}

// serveClients serves an address until the server is shut down.
func (d *Daemon) serveClients(server *http.Server, g *ingress.Guard, l net.Listener) {
	g.Protect(server)
	go d.serve(server, g.Listener(l))
}

// listenForClients opens an address that clients or other daemons reach.
func listenForClients(address string) (net.Listener, error) {
	return ingress.Listen(context.Background(), address)
}

// peerLimits returns the limits on connections of other daemons.
func (d *Daemon) peerLimits() rpc.Limits {
	s := d.Settings()
	out := rpc.Limits{MaxConns: d.tunnelServer.MaxOpen + max(1, int(peerFilesShare*float64(s.maxFiles()))), Memory: membudget.New(defaultCallMemory), Now: d.runClock.Now}
	if s.MemoryMB > 0 {
		out.Memory = membudget.New(int64(callMemoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	return out
}
