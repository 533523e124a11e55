// Package daemon builds one daemon from its settings and runs it: the listeners for
// callers, operators and peers, the control loop, and its membership of the registry.
package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"pearlanding/internal/admission"
	"pearlanding/internal/api"
	"pearlanding/internal/cluster"
	"pearlanding/internal/connlimit"
	"pearlanding/internal/control"
	"pearlanding/internal/engine"
	"pearlanding/internal/group"
	"pearlanding/internal/ledger"
	"pearlanding/internal/link"
	"pearlanding/internal/membudget"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/operator"
	"pearlanding/internal/revision"
	"pearlanding/internal/router"
	"pearlanding/internal/rpc"
	"pearlanding/internal/settings"
	"pearlanding/internal/telemetry"
	"pearlanding/internal/upstream"
)

// Daemon is one daemon. Create it with New, then call Run once.
type Daemon struct {
	settings    settings.Settings
	log         *zap.Logger
	control     *control.Control
	membership  *membership
	ledger      *ledger.Ledger
	api         *api.API
	operator    *operator.Operator
	callers     *server.Hertz
	operators   *server.Hertz
	peers       *rpc.Peers
	reconcilers *group.ReconcilerSet
	prober      *group.Prober
}

// Limits that have no setting.
const (
	// connectTimeout limits opening a connection to an upstream.
	connectTimeout = time.Second
	// slowStart is how long a replica at a new epoch gets only a growing share of requests.
	slowStart = 5 * time.Second
	// storeTimeout limits one ledger operation, and the release of the slot.
	storeTimeout = 3 * time.Second
	// ledgerCompactAfter is how many batches a shard's log holds before it is compacted.
	ledgerCompactAfter = 64
	// appendsPerSecond limits the batches written to one ledger shard.
	appendsPerSecond = 20
)

// silenceHTTPLog turns the HTTP library's own log off, once for the process: this daemon
// logs failed requests itself, with their ids.
var silenceHTTPLog = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// New returns a daemon over a platform store. It opens no listener.
func New(s settings.Settings, store objectapi.Store, log *zap.Logger) *Daemon {
	silenceHTTPLog()
	tele := telemetry.New()
	counted := objectapi.NewCountedStore(store, tele.Set)
	incarnation := uuid.NewString()
	gate := admission.NewGate()
	log = log.With(zap.String("daemon", s.Daemon.Name))
	cfg := control.Config{Slot: s.Daemon.Name, Incarnation: incarnation, SyncInterval: s.Timing.SyncInterval,
		AdmissionLease: s.Timing.AdmissionLease, EvidenceAge: s.Timing.EvidenceAge}
	d := &Daemon{settings: s, log: log, peers: rpc.NewPeers(s.Timing.SyncInterval * 2)}
	d.control = control.New(cfg, func() cluster.DaemonLoad {
		return cluster.DaemonLoad{InUse: gate.InUse(), Demand: gate.Demand(time.Now())}
	})
	d.membership = &membership{
		cfg: cfg, store: counted, control: d.control, peers: d.peers, log: log, responses: newPeerResponses(log), started: time.Now(),
		member: revision.Member{Incarnation: incarnation, Peer: s.Listen.Peers, Operator: s.Listen.Operators,
			Place: s.Daemon.Place, Domain: s.Daemon.Domain},
		timing: membershipTiming{sync: s.Timing.SyncInterval, lease: s.Timing.AdmissionLease, forgetAfter: s.Timing.ForgetAfter},
	}
	d.ledger = ledger.New(ledger.Config{
		Store: counted, Shards: s.Ledger.Shards, Timeout: storeTimeout, AppendsPerSecond: appendsPerSecond,
		Options: ledger.Options{MaxEntries: s.Ledger.MaxEntries, Retention: s.Ledger.Retention, CompactAfter: ledgerCompactAfter},
		Now:     time.Now, Forwarder: &recordForwarder{control: d.control, peers: d.peers},
	})
	d.api = api.New(api.Deps{
		Settings: s, Control: d.control, Gate: gate, Ledger: d.ledger, Upstream: upstream.New(connectTimeout),
		Router:    &router.Router{Policy: router.Policy(s.Routing.Policy), Subset: s.Routing.Subset, MaxReadinessAge: s.Timing.EvidenceAge, SlowStart: slowStart},
		Telemetry: tele, Claimant: ledger.Claimant{Slot: s.Daemon.Name, Incarnation: incarnation}, Log: log,
	})
	d.operator = operator.New(operator.Deps{Settings: s, Control: d.control, Store: counted, API: d.api,
		Telemetry: tele, Offer: d.membership.offer, Log: log})
	d.newGroupComponents(counted, incarnation)
	d.registerGauges(tele)
	return d
}

func (d *Daemon) newGroupComponents(store objectapi.Store, incarnation string) {
	t, p := d.settings.Timing, d.settings.Planner
	engines := engine.NewClient(t.OrderTimeout)
	d.reconcilers = group.NewReconcilerSet(group.ReconcilerConfig{
		Self:  group.Holder{Slot: d.settings.Daemon.Name, Incarnation: incarnation},
		Store: store, Engines: engines, View: d.control, Interval: t.ProbeInterval, Lease: t.DutyLease, Log: d.log,
		Policy: group.Policy{
			Rebuild: p.Policy == "rebuild", DowntimeWeight: p.DowntimeWeight, StrandedWeight: p.StrandedWeight,
			Spares: p.SparesPerDomain, EvidenceAge: t.EvidenceAge, OrderTimeout: t.OrderTimeout, ReportLag: t.ReportLag,
		},
	})
	d.prober = &group.Prober{Engines: engines, View: d.control, Interval: t.ProbeInterval, MaxAge: t.EvidenceAge}
}

func (d *Daemon) registerGauges(tele *telemetry.Telemetry) {
	tele.Gauge("pearlanding_requests_in_flight", func() float64 { return float64(d.api.InFlight()) })
	tele.Gauge("pearlanding_config_revision", func() float64 { return float64(d.control.Snapshot().Head.Revision) })
	tele.Gauge("pearlanding_config_accepted", func() float64 { return float64(d.control.Snapshot().AcceptedUpTo) })
	tele.Gauge("pearlanding_peers_alive", func() float64 { return float64(len(d.control.Snapshot().LiveSlots)) })
	tele.Gauge("pearlanding_admitting", func() float64 {
		if d.control.Snapshot().MayAdmit(time.Now()) {
			return 1
		}
		return 0
	})
	tele.Gauge("pearlanding_accelerators_not_serving", func() float64 {
		n := 0
		for _, c := range d.control.Snapshot().Domains {
			n += c.Domain.AcceleratorsNotServing()
		}
		return float64(n)
	})
	tele.Gauge("pearlanding_replicas_missing", func() float64 { return float64(missingReplicas(d.control.Snapshot())) })
}

// missingReplicas returns how many wanted replicas are not serving.
func missingReplicas(snap *control.Snapshot) int {
	missing := 0
	for _, p := range snap.Pools {
		missing += max(0, p.Replicas-len(snap.Targets[p.Name]))
	}
	return missing
}

// Ready waits until the daemon admits requests. It returns an error if ctx ends first.
func (d *Daemon) Ready(ctx context.Context) error {
	_, err := d.control.Await(ctx, func(s *control.Snapshot) bool { return s.MayAdmit(time.Now()) })
	return err
}

// InFlight returns the number of callers' requests in progress.
func (d *Daemon) InFlight() int64 { return d.api.InFlight() }

// Control returns the control state.
func (d *Daemon) Control() *control.Control { return d.control }

// Run serves on the listeners, which it closes, until ctx ends. Then it stops admitting,
// releases its slot, drains the requests in progress up to the drain deadline and returns nil.
// It returns an error earlier if another process takes its slot (ErrSuperseded) or a listener
// fails. With a closed listener it fails at once, before it registers and admits requests.
func (d *Daemon) Run(ctx context.Context, listeners *Listeners) error {
	if err := listeners.checkOpen(); err != nil {
		listeners.Close()
		return err
	}
	d.serveHTTP(listeners)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	failed := make(chan error, 4)
	var wg sync.WaitGroup
	start := func(run func(context.Context)) { wg.Go(func() { run(background) }) }
	start(d.control.Run)
	start(d.ledger.Run)
	start(d.membership.syncLoop)
	start(d.membership.pollLoop)
	start(d.membership.acceptLoop)
	start(d.reconcilers.Run)
	start(d.prober.Run)
	start(func(ctx context.Context) {
		reportError(failed, rpc.ServeWithin(ctx, listeners.Peers, cluster.Methods(&peerHandler{d.control, d.ledger}), d.peerLimits()))
	})
	registering, stopRegistering := context.WithCancel(background)
	wg.Go(func() { reportError(failed, d.membership.registerLoop(registering)) })
	go func() { reportError(failed, d.callers.Run()) }()
	go func() { reportError(failed, d.operators.Run()) }()
	d.log.Info("serving", zap.String("callers", d.settings.Listen.Callers), zap.String("operators", d.settings.Listen.Operators),
		zap.String("peers", d.settings.Listen.Peers))
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stopRegistering()
	d.stop(background)
	cancel()
	listeners.Close()
	d.peers.Close()
	wg.Wait()
	return err
}

// idleTimeout is how long a connection without a request stays open.
const idleTimeout = time.Minute

// Shares of the process's descriptors and memory that connections may use, and limits that have no setting.
const (
	callerFilesShare    = 0.4
	operatorFilesShare  = 0.05
	peerFilesShare      = 0.1
	maxOperatorConns    = 128
	maxPeerConns        = 1024
	callerMemoryShare   = 0.4
	operatorMemoryShare = 0.05
	peerMemoryShare     = 0.05
	// memoryLimitShare is set as the memory limit of the garbage collector.
	memoryLimitShare = 0.6
	// receiveBuffer is the size in bytes of the kernel's buffer for each connection. Smaller reads make the HTTP
	// library copy a long trailer more often.
	receiveBuffer = 128 << 10
)

// Listeners are the open listening sockets of a daemon.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Listen opens all three listeners. It returns an error if one can't be opened, for example
// because its address is in use, and then leaves none open. The kernel holds little of what is received there.
func Listen(addresses settings.Listen) (*Listeners, error) {
	l := &Listeners{}
	config := net.ListenConfig{Control: link.SetReceiveBuffer(receiveBuffer)}
	for _, open := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"callers", addresses.Callers, &l.Callers},
		{"operators", addresses.Operators, &l.Operators},
		{"peers", addresses.Peers, &l.Peers},
	} {
		opened, err := config.Listen(context.Background(), "tcp", open.address)
		if err != nil {
			l.Close()
			return nil, errors.Annotatef(err, "listener for %s", open.name)
		}
		*open.to = opened
	}
	return l, nil
}

// checkOpen returns an error if a listener was closed.
func (l *Listeners) checkOpen() error {
	for _, check := range []struct {
		name     string
		listener net.Listener
	}{
		{"callers", l.Callers},
		{"operators", l.Operators},
		{"peers", l.Peers},
	} {
		timed, ok := check.listener.(interface{ SetDeadline(time.Time) error })
		if !ok {
			continue
		}
		// Removing a deadline has no effect on an open listener.
		if err := timed.SetDeadline(time.Time{}); err != nil {
			return errors.Annotatef(err, "listener for %s", check.name)
		}
	}
	return nil
}

// Close closes the listeners that are open.
func (l *Listeners) Close() {
	for _, open := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if open != nil {
			open.Close()
		}
	}
}

// serveHTTP creates the servers for callers and operators on the open listeners.
func (d *Daemon) serveHTTP(l *Listeners) {
	limits := connlimit.Limits{Idle: idleTimeout, Read: d.settings.Limits.ReadTimeout, Write: d.settings.Limits.WriteTimeout,
		MaxConns: d.maxConns(d.settings.Limits.MaxConnections, callerFilesShare), Memory: d.memoryShare(callerMemoryShare)}
	d.callers = d.api.Server(connlimit.NewListener(l.Callers, limits))
	limits.MaxConns, limits.Memory = d.maxConns(maxOperatorConns, operatorFilesShare), d.memoryShare(operatorMemoryShare)
	d.operators = d.operator.Server(connlimit.NewListener(l.Operators, limits))
}

// peerLimits returns the limits on connections of other daemons.
func (d *Daemon) peerLimits() rpc.Limits {
	return rpc.Limits{MaxConns: d.maxConns(maxPeerConns, peerFilesShare), Memory: d.memoryShare(peerMemoryShare)}
}

// maxConns returns a limit on connections that is within a share of the process's descriptors.
func (d *Daemon) maxConns(limit int, filesShare float64) int {
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil {
		limit = int(min(float64(limit), filesShare*float64(files.Cur)))
	}
	return max(limit, 1)
}

// MemoryLimit returns the memory limit of the garbage collector, in bytes.
func MemoryLimit(s settings.Settings) int64 {
	return int64(memoryLimitShare * float64(s.Limits.MemoryMB) * (1 << 20))
}

// memoryShare returns a budget of a share of the process's memory.
func (d *Daemon) memoryShare(share float64) *membudget.Budget {
	return membudget.New(int64(share * float64(d.settings.Limits.MemoryMB) * (1 << 20)))
}

func reportError(failed chan<- error, err error) {
	if err != nil {
		failed <- err
	}
}

// stop shuts down cleanly: it stops admitting, releases the slot, and waits up to the
// drain deadline for the requests in progress.
func (d *Daemon) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timing.DrainDeadline)
	defer cancel()
	d.control.Stop(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(ctx, storeTimeout)
	d.membership.leave(leaveCtx)
	cancelLeave()
	d.log.Info("stopping", zap.Int64("in_flight", d.api.InFlight()))
	for d.api.InFlight() > 0 && sleep(ctx, drainPollInterval) {
	}
	if remaining := d.api.InFlight(); remaining > 0 {
		d.log.Warn("drain deadline passed; requests in progress are aborted", zap.Int64("in_flight", remaining))
	}
	for _, s := range []*server.Hertz{d.callers, d.operators} {
		_ = s.Close()
	}
}

// drainPollInterval is how often a stopping daemon checks for requests in progress.
const drainPollInterval = 20 * time.Millisecond
