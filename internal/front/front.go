// Package front wires one daemon that serves opaque requests on somebody else's
// platform: it follows the configuration and the instances in an object store,
// serves callers through package gateway, and takes part in forming groups. The
// platform itself is met through the functions and interfaces of Outside.
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
	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/formation"
	"pearlanding/internal/gateway"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/relay"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
	"pearlanding/internal/upstream"
)

// Outside is all that the daemon needs of the platform it runs on.
type Outside struct {
	Feed           objectapi.Feed
	ConfigKey      string
	InstancesKind  string
	ReadinessPath  string
	DecodeConfig   func(value []byte) (*routes.Config, error)
	DecodeInstance fleet.Decode
	Codec          gateway.Codec
	Orders         func(*upstream.Pool, Hear) (formation.Orders, formation.Prober)
}

// Hear takes in what an instance says of itself in an answer to an order or a probe.
type Hear func(instance string, s backpressure.Signals)

// Objects of our own in the store.
const (
	// leaseKey holds the lease of the daemon that plans groups.
	leaseKey = "pearlanding-leases/groups"
	// relayKind holds the record of each zone's relay, by the zone's name, and RefusedKey:
	// who looks for its relay reads both in one call.
	relayKind = "pearlanding-relays"
	// RefusedKey holds the requests that are refused as they ended instances.
	RefusedKey = relayKind + "/refused-requests"
)

// Figures of the daemon.
const (
	// connectTimeout bounds a new connection to an instance. Links take a few
	// milliseconds; a dropped opening packet is sent again only after a second.
	connectTimeout = 400 * time.Millisecond
	// idleConnection is how long an idle connection to an instance is kept.
	idleConnection = 4 * time.Second
	// callerIdle bounds an idle caller's connection while no configuration says so.
	callerIdle = 2 * time.Minute
	// headerTimeout bounds the reading of a request's head likewise.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's head, whatever the configuration allows.
	maxHeaderBytes = 64 << 10
	sweepEvery     = time.Second
	// memoryShare is the part of the process's memory at which the collector works
	// harder.
	memoryShare = 0.6
	// proofMargin is taken off the age up to which a configuration's proof counts.
	proofMargin = 100 * time.Millisecond
)

// Times of a planned stop, from the signal on.
const (
	// listenOn is how long new connections are still taken: two questions a second
	// apart must be missed before none come.
	listenOn = 2500 * time.Millisecond
	// stopMargin is left of the grace when requests still in progress are cut.
	stopMargin = 300 * time.Millisecond
	// defaultGrace stands in where the deployment names none.
	defaultGrace = 8 * time.Second
)

// Daemon is one running process.
type Daemon struct {
	Settings func() Settings
	Outside  Outside
	Log      *zap.Logger
	Metrics  *metrics.Set
	// Clock tells the time; nil: a new clock of this machine.
	Clock *steady.Clock
	run   *steady.RunClock
	// MetricsAddress serves the metrics at /metrics; empty: not served.
	MetricsAddress string

	config   *configFollower
	fleet    *fleet.Follower
	pool     *upstream.Pool
	picker   *dispatch.Picker
	budgets  dispatch.Budgets
	gateway  *gateway.Gateway
	calls    *countedFeed
	relay    *relay.Node // nil: this daemon has no address for peers
	peers    *relay.Peers
	survey   *relay.Survey
	surveyed chan struct{} // the survey found an instance that stands still
	lease    *formation.Lease
	watch    *quarantine.Watch
	gate     *backpressure.Gate
	sharing  atomic.Int64 // daemons that told their loads last
	keeper   *quarantine.Keeper
	stopping atomic.Bool
	started  time.Time
	// refusedKnown: the store's record of refused requests was looked for in this life.
	refusedKnown atomic.Bool
	// dial connects to other daemons, uniform draws a duration in [least, most); replaced by
	// tests, nil otherwise.
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	uniform func(least, most time.Duration) time.Duration
}

// Run serves until ctx ends, then stops in order: not ready at once, no new
// connections after a while, requests in progress finished within the grace.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.Settings()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	}
	if d.Clock == nil {
		d.Clock = steady.NewClock()
	}
	holder := s.Node + "/" + uuid.NewString()
	d.started = d.Clock.Now()
	peers := d.listenForPeers(&s)
	d.build(s, holder)
	callers, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return errors.Trace(err)
	}
	ready, err := net.Listen("tcp", s.Readiness)
	if err != nil {
		return errors.Trace(err)
	}
	d.gateway = d.newGateway()
	server := d.callersServer()
	go d.serve(server, callers)
	go d.serve(d.readinessServer(), ready)
	d.serveMetrics()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if peers != nil {
		go d.answerPeers(work, peers)
		defer d.peers.Close()
	}
	wait := d.background(ctx, work)
	d.Log.Info("started", zap.String("node", s.Node), zap.String("zone", s.Zone), zap.String("callers", s.Callers))
	<-ctx.Done()
	d.stop(server)
	cancel()
	wait()
	return nil
}

func (d *Daemon) build(s Settings, holder string) {
	if d.uniform == nil {
		d.uniform = func(least, most time.Duration) time.Duration { return least + rand.N(most-least) }
	}
	d.run = steady.NewRunClock(d.Clock)
	belief := fleet.NewBelief(s.Heartbeat, d.modelSize)
	belief.LeadsFor = d.drainPart(leadsPart, 0)
	d.calls = newCountedFeed(d.Outside.Feed, d.Outside.ConfigKey, belief.Reachability(), d.Metrics, d.Log)
	d.calls.clock = d.Clock
	d.Outside.Feed = d.calls
	d.config = &configFollower{clock: d.Clock, feed: d.Outside.Feed, key: d.Outside.ConfigKey, decode: d.Outside.DecodeConfig, log: d.Log,
		bounds: func() Bounds { return d.Settings().Bounds }, heard: make(chan confirmation, 1), back: make(chan struct{}, 1), probeEvery: d.probeEvery}
	d.lease = &formation.Lease{Clock: d.Clock, Feed: d.Outside.Feed, Key: leaseKey, Holder: holder, Log: d.Log}
	d.config.planning = d.planning
	d.picker = dispatch.NewPicker(s.Zone, rand.IntN)
	d.pool = upstream.NewPool(connectTimeout, idleConnection)
	d.pool.Clock, d.pool.RunClock = d.Clock, d.run
	d.buildQuarantine(s)
	d.gate = backpressure.NewGate(func() int { return int(d.sharing.Load()) }, d.uniform, d.Log)
	d.Metrics.GetOrCreateGauge("pearlanding_upstreams_limited", func() float64 { return float64(len(d.gate.Limited())) })
	d.Metrics.GetOrCreateGauge("pearlanding_upstreams_resting", func() float64 { return float64(d.gate.Resting(d.Clock.Now())) })
	entries := d.Outside.Feed
	if s.Peers != "" {
		d.relay = d.newRelay(s, holder)
		entries, d.config.noted, d.config.serving, d.config.relayed = d.relay, d.relay.NoteConfig, d.relay.Serving, d.relay.Relayed
		if s.Bootstrap {
			d.config.startPatience = bootstrapPatience
		}
	}
	d.fleet = fleet.NewFollower(entries, d.Outside.InstancesKind, d.Outside.DecodeInstance, belief, d.Log)
	d.fleet.Clock = d.Clock
	d.config.changed = d.fleet.SizesChanged
	d.Metrics.GetOrCreateGauge("pearlanding_config_proof_age_seconds", func() float64 { return d.Clock.Since(d.config.Current().Proved).Seconds() })
	d.Metrics.GetOrCreateGauge("pearlanding_config_version", func() float64 { return float64(d.config.Current().Version()) })
	d.Metrics.GetOrCreateGauge("pearlanding_store_absent_seconds", d.absentSeconds)
	d.Metrics.GetOrCreateGauge("pearlanding_suspended_seconds", func() float64 { return d.Clock.Suspended().Seconds() })
	d.Metrics.GetOrCreateGauge("pearlanding_late_seconds", func() float64 { return d.run.Late().Seconds() })
	d.Metrics.GetOrCreateGauge("pearlanding_follows_instances", func() float64 { return float64(d.following()) })
	d.Metrics.GetOrCreateGauge("pearlanding_upstream_connections_opened", func() float64 { return float64(d.pool.Opened()) })
}

// absentSeconds is for how long the store has answered no call of this daemon.
func (d *Daemon) absentSeconds() float64 {
	since, lost := d.calls.reach.UnreachableSince()
	if !lost {
		return 0
	}
	return d.Clock.Since(since).Seconds()
}

// modelSize tells how many instances a replica of a model takes.
func (d *Daemon) modelSize(service, model string) int {
	table := d.config.Table()
	if table == nil {
		return 0
	}
	return table.ModelSize(service, model)
}

// background starts all loops. Planning ends with ctx, the rest with work, as
// requests in progress still need it. It returns a wait for their end.
func (d *Daemon) background(ctx, work context.Context) (wait func()) {
	var group sync.WaitGroup
	run := func(ctx context.Context, f func(context.Context)) {
		group.Go(func() { f(ctx) })
	}
	manager := d.manager()
	d.fleet.UpdatePause = d.pace
	run(work, d.run.Run)
	run(work, d.tellLateness)
	run(work, d.config.Run)
	run(work, d.fleet.Run)
	run(work, d.sweep)
	run(work, func(ctx context.Context) { d.calls.tell(ctx, d.Log) })
	run(work, d.keeper.Run)
	run(work, d.passOn)
	run(work, d.tellSuspensions)
	if d.survey != nil {
		run(work, d.spread().Run)
		run(ctx, d.survey.Run)
		run(work, d.exchange().Run)
	}
	run(ctx, manager.Run)
	return group.Wait
}

// hear takes in what an instance that this daemon knows says of itself.
func (d *Daemon) hear(instance string, s backpressure.Signals) {
	view := d.fleet.View()
	if view == nil {
		return
	}
	if in := view.Instances[instance]; in != nil {
		now := d.Clock.Now()
		d.gate.Observe(backpressure.Life{Instance: instance, Born: in.Born}, s, now, now)
	}
}

func (d *Daemon) manager() *formation.Manager {
	orders, prober := d.Outside.Orders(d.pool, d.hear)
	return &formation.Manager{
		Clock: d.Clock, RunClock: d.run,
		Lease: d.lease, Orders: orders, Prober: prober, Still: d.still, Stopped: d.surveyed,
		View: d.fleet.View, Changed: d.fleet.Changed(), Proved: d.fleet.ProvedAt, Refresh: d.fleet.Refresh, Table: d.config.Table,
		Idle:    d.gateway.Idle,
		Relayed: func() bool { return d.following() == followsRelayed },
		Serving: func() bool { return d.following() == followsForAll },
		Window:  func() time.Duration { return d.Settings().Bounds.CeilingWindow },
		FirstLook: func() time.Duration {
			if d.relay == nil {
				return 0
			}
			return d.relay.Settles()
		}(),
		Log:     d.Log,
		Metrics: d.Metrics,
	}
}

func (d *Daemon) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, sweepEvery)
		now := d.Clock.Now()
		d.pool.Sweep(now)
		d.picker.Sweep(d.run.Now())
		d.watch.Sweep()
		d.gate.Sweep(now)
	}
}

func (d *Daemon) newGateway() *gateway.Gateway {
	return &gateway.Gateway{
		Codec: d.Outside.Codec, Config: d.config.Current, View: d.fleet.View, Bounds: d.bounds,
		Stopping: d.stopping.Load, Pool: d.pool, Picker: d.picker, Budgets: &d.budgets, Watch: d.watch, Gate: d.gate, Clock: d.Clock, RunClock: d.run, Borrow: d.borrow, MayBorrow: d.mayBorrow, Starting: d.starting, Metrics: gateway.NewMetrics(d.Metrics), Log: d.Log,
	}
}

func (d *Daemon) callersServer() *http.Server {
	return &http.Server{Handler: d.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(d.Log)}
}

func (d *Daemon) bounds() gateway.Bounds {
	b := d.Settings().Bounds
	out := gateway.Bounds{Config: 2 * b.Config, Retry: dispatch.BudgetRule{Ratio: b.RetryRatio, Window: b.RetryWindow}}
	if b.StrictRevoke && b.Revoke > 0 {
		out.Revoke = b.Revoke - proofMargin
	}
	return out
}

// startHold is how long after its start a daemon holds what comes while it reads what it
// needs: two or three calls of some ms each. Refused, callers that reach it while all start
// are refused again where they come back to.
const startHold = 500 * time.Millisecond

// starting tells whether this daemon will soon know whether it can serve.
func (d *Daemon) starting() bool {
	known := d.ready() && (d.relay == nil || d.refusedKnown.Load())
	return !known && d.Clock.Since(d.started) < startHold
}

// ready tells whether this daemon can serve what comes.
func (d *Daemon) ready() bool {
	c := d.config.Current()
	if d.stopping.Load() || c.Table == nil || d.fleet.View() == nil {
		return false
	}
	revoke := d.bounds().Revoke
	return revoke == 0 || d.Clock.Since(c.Proved) < revoke
}

func (d *Daemon) readinessServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.Outside.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(d.Log)}
}

func (d *Daemon) serveMetrics() {
	if d.MetricsAddress == "" {
		return
	}
	l, err := net.Listen("tcp", d.MetricsAddress)
	if err != nil {
		d.Log.Error("metrics not served", zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.Metrics.WritePrometheus(w)
		d.gateway.WriteLoad(w)
		metrics.WriteProcessMetrics(w)
	})
	go d.serve(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, l)
}

func (d *Daemon) serve(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		d.Log.Error("listener ended", zap.Error(err))
	}
}

// stop ends the service in order.
func (d *Daemon) stop(server *http.Server) {
	begun := d.Clock.Now()
	d.stopping.Store(true)
	if d.relay != nil {
		d.relay.Close()
	}
	d.Log.Info("stopping", zap.String("decision", "not_ready"))
	grace := d.Settings().Bounds.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	listen := min(listenOn, grace/2)
	time.Sleep(listen)
	ctx, cancel := context.WithTimeout(context.Background(), d.Clock.Until(begun.Add(grace-stopMargin)))
	defer cancel()
	err := server.Shutdown(ctx)
	d.Log.Info("stopped", zap.Duration("took", d.Clock.Since(begun)), zap.Error(err))
}
