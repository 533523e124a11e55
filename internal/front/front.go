// Package front assembles one daemon that serves opaque requests on a foreign
// platform: it follows the configuration and the instances in an object store,
// serves callers through package gateway, and takes part in forming groups. The
// platform itself is reached through the functions and interfaces of Platform.
package front

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/demand"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/evacuation"
	"pearlanding/internal/fleet"
	"pearlanding/internal/formation"
	"pearlanding/internal/gateway"
	"pearlanding/internal/ingress"
	"pearlanding/internal/membudget"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/relay"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
	"pearlanding/internal/tunnel"
	"pearlanding/internal/upstream"
)

// Platform is everything that the daemon needs from the platform it runs on.
type Platform struct {
	Feed          objectapi.Feed
	ConfigKey     string
	InstancesKind string
	// EvacuationsKind is the kind of the objects that name evacuated zones; empty: there are none.
	EvacuationsKind string
	ReadinessPath   string
	DecodeConfig    func(value []byte) (*routes.Config, error)
	DecodeInstance  fleet.Decode
	Codec           gateway.Codec
	// Orders returns the senders of orders and of probes to instances. They pass the signals in
	// the answers to the function given.
	Orders func(*upstream.Pool, SignalHandler) (formation.OrderSender, formation.Prober)
}

// SignalHandler receives the backpressure signals that an instance sent in an answer to an order or a
// probe.
type SignalHandler func(instance string, s backpressure.Signals)

// Objects in the store that the daemons own.
const (
	// leaseKey holds the lease of the daemon that plans groups.
	leaseKey = "pearlanding-leases/groups"
	// relayKind holds the record of each zone's relay, by the zone's name, and RefusedRequestsKey: a
	// daemon that looks for its relay reads both in one call.
	relayKind = "pearlanding-relays"
	// RefusedRequestsKey holds the requests that are refused because they crashed instances.
	RefusedRequestsKey = relayKind + "/refused-requests"
)

// Limits and intervals of the daemon.
const (
	// connectTimeout bounds the opening of a connection to an instance. Links take a few
	// milliseconds; a lost SYN is retransmitted only after a second.
	connectTimeout = 400 * time.Millisecond
	// idleConnTimeout is how long an idle connection to an instance is kept.
	idleConnTimeout = 4 * time.Second
	// sweepInterval is how often state that is no longer needed is dropped.
	sweepInterval = time.Second
	// memoryLimitShare is the part of the process's memory that is set as the memory limit of the
	// garbage collector.
	memoryLimitShare = 0.6
	// proofMargin is subtracted from the age up to which a configuration's proof counts.
	proofMargin = 100 * time.Millisecond
)

// Times of a planned stop, from the signal on.
const (
	// stopListenDelay is how long new connections are still accepted: they stop arriving only
	// after two readiness checks, a second apart, have failed.
	stopListenDelay = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace requests still in progress are cut off. A
	// process that was not scheduled may use up to minStopMargin to read what arrived meanwhile.
	stopMargin    = 300 * time.Millisecond
	minStopMargin = 100 * time.Millisecond
	// defaultGrace is the time from the stop signal to the kill where the deployment sets none.
	defaultGrace = 8 * time.Second
)

// Daemon is one running process.
type Daemon struct {
	Settings func() Settings
	Platform Platform
	Log      *zap.Logger
	Metrics  *metrics.Set
	// Clock is the daemon's clock; nil: a new clock of this machine.
	Clock    *steady.Clock
	runClock *steady.RunClock
	// MetricsAddress is the address that serves /metrics; empty: not served.
	MetricsAddress string
	// DialInstance connects to an instance; nil: by TCP. Tests replace it.
	DialInstance func(ctx context.Context, network, address string) (net.Conn, error)

	config        *configFollower
	instances     *fleet.Follower
	evacuations   *evacuation.Follower
	guards        []*ingress.Guard // of the addresses that clients reach
	pool          *upstream.Pool
	peerMemory    *membudget.Budget
	direct        *tunnel.Direct
	tunnelDialer  *tunnel.Dialer
	tunnelServer  *tunnel.Server // nil until build
	picker        *dispatch.Picker
	budgets       dispatch.Budgets
	demand        demand.Counter
	fleetDemand   atomic.Pointer[fleetDemand] // as last reported
	largeFleet    atomic.Bool                 // more than dispatch.MaxOwnLoadDaemons daemons have reported at once
	gateway       *gateway.Gateway
	calls         *countedFeed
	relay         *relay.Node // nil: this daemon has no address for peers
	peers         *relay.Peers
	survey        *relay.StallSurvey
	stallFound    chan struct{} // receives a value when the survey found a stalled instance
	lease         *formation.Lease
	detector      *quarantine.Detector
	gate          *backpressure.Gate
	loadReporters atomic.Int64 // number of daemons in the last report of loads
	cold          coldState
	persister     *quarantine.Persister
	stopping      atomic.Bool
	startedAt     time.Time
	// refusedLoaded is true once this process has read the store's record of refused requests or
	// found that there is none.
	refusedLoaded atomic.Bool
	// dial connects to other daemons; nil: by TCP. uniform draws a duration in [low, high); build
	// sets it if it is nil. Tests replace both.
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	uniform func(low, high time.Duration) time.Duration
}

// Run serves until ctx ends, then stops in order: it reports not ready at once, accepts no
// new connections after stopListenDelay, and finishes requests in progress within the grace.
// It returns an error if an address cannot be listened on.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.Settings()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitShare * (1 << 20)))
	}
	if d.Clock == nil {
		d.Clock = steady.NewClock()
	}
	holder := s.Node + "/" + uuid.NewString()
	d.startedAt = d.Clock.Now()
	peerListener := d.listenForPeers(&s)
	d.build(s, holder)
	callerListener, err := listenForClients(s.CallerAddress)
	if err != nil {
		return errors.Trace(err)
	}
	readinessListener, err := listenForClients(s.ReadinessAddress)
	if err != nil {
		return errors.Trace(err)
	}
	d.gateway = d.newGateway()
	server := d.callersServer()
	d.serveClients(server, d.newGuard("callers", s.maxCallerConnections(), d.callerLimits), callerListener)
	d.serveClients(d.readinessServer(), d.newSideGuard("readiness", &s), readinessListener)
	d.serveMetrics(&s)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if peerListener != nil {
		go d.answerPeers(work, peerListener)
		defer d.peers.Close()
	}
	wait := d.startLoops(ctx, work)
	d.Log.Info("started", zap.String("node", s.Node), zap.String("zone", s.Zone), zap.String("callers", s.CallerAddress))
	<-ctx.Done()
	d.stop(server)
	cancel()
	wait()
	return nil
}

// build creates the daemon's parts without starting them. holder names this process in the lease
// and in its zone's record of the relay.
func (d *Daemon) build(s Settings, holder string) {
	if d.uniform == nil {
		d.uniform = func(low, high time.Duration) time.Duration { return low + rand.N(high-low) }
	}
	d.runClock = steady.NewRunClock(d.Clock)
	state := fleet.NewKnownState(s.Heartbeat, d.modelSize)
	state.LapsedHeadGrace = d.drainShare(headGraceShare, 0)
	d.calls = newCountedFeed(d.Platform.Feed, d.Platform.ConfigKey, state.Reachability(), d.Metrics, d.Log)
	d.calls.clock = d.Clock
	d.Platform.Feed = d.calls
	d.config = &configFollower{clock: d.Clock, feed: d.Platform.Feed, key: d.Platform.ConfigKey, decode: d.Platform.DecodeConfig, log: d.Log,
		bounds: func() Bounds { return d.Settings().Bounds }, confirmations: make(chan confirmation, 1), recovered: make(chan struct{}, 1), stampsChanged: make(chan struct{}, 1), maxProbeInterval: d.maxProbeInterval}
	d.lease = &formation.Lease{Clock: d.Clock, Feed: d.Platform.Feed, Key: leaseKey, Holder: holder, Log: d.Log}
	d.config.planning = d.planning
	d.picker = dispatch.NewPicker(s.Zone, rand.IntN)
	d.pool = upstream.NewPool(connectTimeout, idleConnTimeout)
	d.pool.Clock, d.pool.RunClock = d.Clock, d.runClock
	d.peerMemory = newPeerMemory(s.MemoryMB, d.Metrics)
	d.pool.Memory = d.peerMemory
	d.buildTunnels(s)
	d.buildQuarantine(s)
	d.gate = backpressure.NewGate(func() int { return int(d.loadReporters.Load()) }, d.uniform, d.Log)
	d.Metrics.GetOrCreateGauge("pearlanding_upstreams_limited", func() float64 { return float64(len(d.gate.Limited())) })
	d.Metrics.GetOrCreateGauge("pearlanding_upstreams_resting", func() float64 { return float64(d.gate.BackoffCount(d.Clock.Now())) })
	d.buildEvacuations(s)
	entries := d.Platform.Feed
	if s.PeerAddress != "" {
		d.relay = d.newRelay(s, holder)
		entries, d.config.onRead, d.config.serving, d.config.hasRelay = d.relay, d.relay.NoteConfig, d.relay.ServesPeers, d.relay.FollowsRelay
		if s.Bootstrap {
			d.config.startWait, d.evacuations.StartWait = bootstrapWait, bootstrapWait
		}
	}
	d.instances = fleet.NewFollower(entries, d.Platform.InstancesKind, d.Platform.DecodeInstance, state, d.Log)
	d.instances.Clock = d.Clock
	d.followCold()
	d.config.changed = d.instances.SizesChanged
	d.Metrics.GetOrCreateGauge("pearlanding_config_proof_age_seconds", func() float64 { return d.Clock.Since(d.config.Current().ProvedAt).Seconds() })
	d.Metrics.GetOrCreateGauge("pearlanding_config_version", func() float64 { return float64(d.config.Current().Version()) })
	d.Metrics.GetOrCreateGauge("pearlanding_store_absent_seconds", d.outageSeconds)
	d.Metrics.GetOrCreateGauge("pearlanding_suspended_seconds", func() float64 { return d.Clock.Suspended().Seconds() })
	d.Metrics.GetOrCreateGauge("pearlanding_late_seconds", func() float64 { return d.runClock.Lateness().Seconds() })
	d.Metrics.GetOrCreateGauge("pearlanding_follows_instances", func() float64 { return float64(d.followMode()) })
	d.Metrics.GetOrCreateGauge("pearlanding_upstream_connections_opened", func() float64 { return float64(d.pool.ConnectionsOpened()) })
}

// outageSeconds returns for how long the store has answered no call of this daemon.
func (d *Daemon) outageSeconds() float64 {
	since, unreachable := d.calls.reachability.UnreachableSince()
	if !unreachable {
		return 0
	}
	return d.Clock.Since(since).Seconds()
}

// modelSize returns the number of instances in a replica of a model; 0: unknown.
func (d *Daemon) modelSize(service, model string) int {
	table := d.config.Table()
	if table == nil {
		return 0
	}
	return table.ModelSize(service, model)
}

// startLoops starts all loops. Planning ends with ctx, the others with work, as
// requests in progress still need them. It returns a function that waits for their end.
func (d *Daemon) startLoops(ctx, work context.Context) (wait func()) {
	var group sync.WaitGroup
	run := func(ctx context.Context, f func(context.Context)) {
		group.Go(func() { f(ctx) })
	}
	manager := d.newManager()
	d.instances.UpdatePause = d.updatePause
	run(work, d.runClock.Run)
	run(work, d.logLateness)
	run(work, d.config.Run)
	run(work, d.instances.Run)
	run(work, d.evacuations.Run)
	run(work, d.sweep)
	run(work, d.watchDirectPaths)
	run(work, func(ctx context.Context) { d.calls.logCounts(ctx, d.Log) })
	run(work, d.persister.Run)
	run(work, d.forwardEvidence)
	run(work, d.logSuspensions)
	if d.survey != nil {
		run(work, d.newSpread().Run)
		run(ctx, d.survey.Run)
		run(work, d.newExchange().Run)
	}
	run(ctx, manager.Run)
	return group.Wait
}

// observeSignals passes the signals of an instance that this daemon knows to the gate.
func (d *Daemon) observeSignals(instance string, s backpressure.Signals) {
	view := d.instances.View()
	if view == nil {
		return
	}
	if in := view.Instances[instance]; in != nil {
		now := d.Clock.Now()
		d.gate.Observe(backpressure.Incarnation{Instance: instance, StartedAt: in.StartedAt}, s, now, now)
	}
}

func (d *Daemon) newManager() *formation.Manager {
	orders, prober := d.Platform.Orders(d.pool, d.observeSignals)
	return &formation.Manager{
		Clock: d.Clock, RunClock: d.runClock,
		Lease: d.lease, Orders: orders, Prober: prober, Suspects: d.stalledHeads, ProgressedSince: d.picker.ProgressedSince, SuspectsChanged: d.stallFound,
		View: d.instances.View, ViewChanged: d.instances.Changed(), ViewConfirmedAt: d.instances.ProvedAt, RefreshView: d.instances.Refresh, RoutingTable: d.config.Table,
		BeforeFirstRequest: d.gateway.NoRequestsYet,
		Demand:             d.currentDemand,
		FollowsDemand:      d.followsDemand,
		Evacuated:          d.evacuatedZones,
		UsesRelay:          func() bool { return d.followMode() == followRelayed },
		IsRelay:            func() bool { return d.followMode() == followAsRelay },
		LoadWindow:         func() time.Duration { return d.Settings().Bounds.CeilingWindow },
		FirstLeaseCheckDelay: func() time.Duration {
			if d.relay == nil {
				return 0
			}
			return d.relay.MaxSearchDelay()
		}(),
		Log:     d.Log,
		Metrics: d.Metrics,
	}
}

// sweep regularly drops state that is no longer needed, until ctx ends.
func (d *Daemon) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, sweepInterval)
		now := d.Clock.Now()
		d.pool.CloseExpired(now)
		d.tunnelDialer.Sweep()
		d.picker.Sweep(d.runClock.Now())
		d.detector.Prune()
		d.gate.Sweep(now)
		d.sweepCold(now)
		for _, g := range d.guards {
			g.Sweep()
		}
	}
}

func (d *Daemon) newGateway() *gateway.Gateway {
	g := &gateway.Gateway{
		Codec: d.Platform.Codec, Config: d.config.Current, View: d.instances.View, Limits: d.bounds,
		Stopping: d.stopping.Load, Stop: gateway.NewStop(), Starting: d.startingUp,
		Pool: d.pool, Memory: d.peerMemory, PathsLostAt: d.direct.LostAt,
		Picker: d.picker, Demand: &d.demand, Evacuated: d.evacuations.Known.Zones,
		Gate: d.gate, ColdPermit: d.askColdPermit(), Quarantine: d.detector,
		Budgets: &d.budgets, BorrowRetry: d.borrow, CanBorrowRetry: d.mayBorrow,
		Clock: d.Clock, RunClock: d.runClock, Metrics: gateway.NewMetrics(d.Metrics), Log: d.Log,
	}
	d.cold.gateway.Store(g)
	return g
}

func (d *Daemon) callersServer() *http.Server {
	return &http.Server{Handler: d.gateway, WriteTimeout: callerWriteTimeout, ErrorLog: zap.NewStdLog(d.Log)}
}

func (d *Daemon) bounds() gateway.Limits {
	b := d.Settings().Bounds
	out := gateway.Limits{MaxProofAgeForRejection: 2 * b.Config, RetryBudget: dispatch.BudgetRule{Ratio: b.RetryRatio, Window: b.RetryWindow}}
	if b.StrictRevoke && b.Revoke > 0 {
		out.MaxProofAgeForKeys = b.Revoke - proofMargin
	}
	return out
}

// startHoldTimeout is how long after its start a daemon holds requests while it reads what it
// needs: two or three calls of some ms each. While all daemons start, a caller that is refused
// would be refused again by the next daemon that it tries.
const startHoldTimeout = 500 * time.Millisecond

// startingUp reports whether this daemon has just started and is still reading what it needs to
// serve.
func (d *Daemon) startingUp() bool {
	loaded := d.ready() && (d.relay == nil || d.refusedLoaded.Load())
	return !loaded && d.Clock.Since(d.startedAt) < startHoldTimeout
}

// ready reports whether this daemon can serve requests.
func (d *Daemon) ready() bool {
	c := d.config.Current()
	if d.stopping.Load() || c.Table == nil || d.instances.View() == nil || !d.evacuationsSettled() {
		return false
	}
	revoke := d.bounds().MaxProofAgeForKeys
	return revoke == 0 || d.Clock.Since(c.ProvedAt) < revoke
}

func (d *Daemon) readinessServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.Platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, WriteTimeout: callerWriteTimeout, ErrorLog: zap.NewStdLog(d.Log)}
}

func (d *Daemon) serveMetrics(s *Settings) {
	if d.MetricsAddress == "" {
		return
	}
	l, err := listenForClients(d.MetricsAddress)
	if err != nil {
		d.Log.Error("metrics not served", zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.Metrics.WritePrometheus(w)
		d.gateway.WriteLoadMetrics(w)
		metrics.WriteProcessMetrics(w)
	})
	d.serveClients(&http.Server{Handler: mux, WriteTimeout: callerWriteTimeout}, d.newSideGuard("metrics", s), l)
}

func (d *Daemon) serve(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		d.Log.Error("listener ended", zap.Error(err))
	}
}

// stop shuts the daemon down in order: not ready, no new connections, then the end of requests
// in progress.
func (d *Daemon) stop(server *http.Server) {
	begun := d.Clock.Now()
	d.stopping.Store(true)
	if d.relay != nil {
		d.relay.Close()
	}
	if d.tunnelServer != nil {
		d.tunnelServer.Close()
	}
	d.Log.Info("stopping", zap.String("decision", "not_ready"))
	grace := d.Settings().Bounds.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	listenFor := min(stopListenDelay, grace/2)
	time.Sleep(listenFor)
	if d.gateway != nil {
		d.gateway.Stop.EndReceiving(begun.Add(grace - stopMargin))
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.Clock.Until(begun.Add(grace-minStopMargin)))
	defer cancel()
	stopTimer := d.runClock.AfterFunc(d.Clock.Until(begun.Add(grace-stopMargin)), cancel)
	defer stopTimer()
	err := server.Shutdown(ctx)
	if d.tunnelServer != nil {
		d.tunnelServer.Drain(ctx)
	}
	d.Log.Info("stopped", zap.Duration("took", d.Clock.Since(begun)), zap.Error(err))
}
