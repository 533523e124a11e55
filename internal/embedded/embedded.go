// Package embedded runs stand-ins and daemons in one process on loopback, for
// `pearlanding dev` and for tests.
package embedded

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/control"
	"pearlanding/internal/daemon"
	"pearlanding/internal/findings"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/operator"
	"pearlanding/internal/settings"
	"pearlanding/internal/standin"
	"pearlanding/internal/standin/platformfake"
	"pearlanding/internal/standin/servicefake"
)

// Names in the embedded configuration, and a request body for its model.
const (
	Token    = "harbour-tug-dispatch"
	Service  = "app-portuario"
	Model    = "berthing-plan"
	Pool     = "pearl-despacho@1"
	Place    = "rio-grande"
	Domain   = "rg-a"
	ChatBody = `{"model":"berthing-plan","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Berth the Aurora at pier 4"}]}`
	// tokenDigest is the SHA-256 of Token.
	tokenDigest = "3f7bd4c40261ca99349b91a82fa20efee68b632f7d069df13f85f4d0daf11134"
)

// Options describe the embedded system.
type Options struct {
	Daemons int
	// VMs is the number of engine VMs; 0 means 5: a group of four and one spare.
	VMs       int
	GroupSize int // 0 means 4
	Replicas  int // 0 means 1
	Slots     int // of each engine; 0 means 8
	TokenTime time.Duration
	// Adjust sets INI settings of each daemon; its keys have the form "section.key".
	Adjust map[string]string
	Log    *zap.Logger
}

// RunningDaemon is one daemon of the system.
type RunningDaemon struct {
	*daemon.Daemon
	Settings settings.Settings
	Stop     context.CancelFunc // starts a clean stop
	Done     chan error         // receives the result of Daemon.Run

	listeners   *daemon.Listeners
	endLifetime context.CancelCauseFunc // ends lifetime with the daemon's error as its cause
	lifetime    context.Context
}

// System is a running embedded system.
type System struct {
	Options        Options
	Platform       *platformfake.Store
	PlatformURL    string
	VMs            []*standin.VM
	Service        *servicefake.Service
	ServiceAddress string
	Daemons        []*RunningDaemon
	ctx            context.Context
}

// Start starts the stand-ins and daemons; all stop when ctx ends.
func Start(ctx context.Context, o Options) (*System, error) {
	o.VMs, o.GroupSize, o.Replicas = orDefault(o.VMs, 5), orDefault(o.GroupSize, 4), orDefault(o.Replicas, 1)
	if o.TokenTime == 0 {
		o.TokenTime = 10 * time.Millisecond
	}
	s := &System{Options: o, Platform: platformfake.New(0, 0), Service: servicefake.New(Service), ctx: ctx}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.PlatformURL = "http://" + listener.Addr().String()
	go func() { _ = standin.Serve(ctx, listener, s.Platform.Handler()) }()
	if err := s.startUpstreams(ctx); err != nil {
		return nil, err
	}
	for range o.Daemons {
		if _, err := s.AddDaemon(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func orDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

func (s *System) startUpstreams(ctx context.Context) error {
	var err error
	s.VMs, err = standin.StartEngines(ctx, standin.EngineSet{Prefix: "rg-vm-", Count: s.Options.VMs, Place: Place, Domain: Domain,
		Slots: s.Options.Slots, TokenTime: s.Options.TokenTime, Weights: s.Platform.Weights})
	if err != nil {
		return err
	}
	var rows []objectapi.VM
	for _, vm := range s.VMs {
		rows = append(rows, vm.Row)
	}
	s.Platform.SetVMs(rows)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	s.ServiceAddress = listener.Addr().String()
	go func() { _ = standin.Serve(ctx, listener, s.Service.Handler()) }()
	return nil
}

// AddDaemon starts one more daemon.
func (s *System) AddDaemon() (*RunningDaemon, error) {
	r, err := s.prepareDaemon()
	if err != nil {
		return nil, err
	}
	r.launch(s.ctx)
	s.Daemons = append(s.Daemons, r)
	return r, nil
}

// prepareDaemon creates one more daemon and opens its listeners.
func (s *System) prepareDaemon() (*RunningDaemon, error) {
	listeners, err := daemon.Listen(settings.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort})
	if err != nil {
		return nil, err
	}
	var list findings.List
	parsed := settings.Parse("embedded.ini", []byte(s.settingsText(len(s.Daemons)+1, listeners)), &list)
	if err := list.Err(); err != nil {
		listeners.Close()
		return nil, err
	}
	log := s.Options.Log
	if log == nil {
		log = zap.NewNop()
	}
	d := daemon.New(parsed, objectapi.NewClient(s.PlatformURL, parsed.Platform.Timeout), log)
	return &RunningDaemon{Daemon: d, Settings: parsed, Done: make(chan error, 1), listeners: listeners}, nil
}

// launch runs the daemon until ctx ends or Stop is called.
func (r *RunningDaemon) launch(ctx context.Context) {
	ctx, r.Stop = context.WithCancel(ctx)
	r.lifetime, r.endLifetime = context.WithCancelCause(context.WithoutCancel(ctx))
	go func() {
		err := r.Run(ctx, r.listeners)
		r.endLifetime(errors.Annotate(err, "daemon ended"))
		r.Done <- err
	}()
}

// Ready waits until the daemon admits requests. If the daemon ends first, the error is the
// one that it ended with.
func (r *RunningDaemon) Ready(ctx context.Context) error {
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(r.lifetime, func() { cancel(context.Cause(r.lifetime)) })()
	if err := r.Daemon.Ready(waiting); err != nil {
		return errors.Annotate(context.Cause(waiting), "daemon not ready")
	}
	return nil
}

// anyPort is a loopback address with a port chosen by the operating system.
const anyPort = "127.0.0.1:0"

func (s *System) settingsText(n int, l *daemon.Listeners) string {
	values := map[string]map[string]string{
		"daemon": {"name": fmt.Sprintf("entry-%d", n), "place": Place, "domain": Domain},
		"listen": {
			"callers":   l.Callers.Addr().String(),
			"operators": l.Operators.Addr().String(),
			"peers":     l.Peers.Addr().String(),
		},
		"platform": {"url": s.PlatformURL},
	}
	for at, value := range s.Options.Adjust {
		section, key := splitKey(at)
		if values[section] == nil {
			values[section] = map[string]string{}
		}
		values[section][key] = value
	}
	text := ""
	for section, keys := range values {
		text += "[" + section + "]\n"
		for key, value := range keys {
			text += key + " = " + value + "\n"
		}
	}
	return text
}

func splitKey(at string) (section, key string) {
	for i := range at {
		if at[i] == '.' {
			return at[:i], at[i+1:]
		}
	}
	return at, ""
}

// Configuration returns the embedded configuration as an INI text.
func (s *System) Configuration() string {
	return fmt.Sprintf(`[template pearl-despacho]
model = despacho-70b
version = 1
vms = %d
replicas = %d
places = %s
weight_gb = 0.1

[service %s]
instances = %s@%s
at_most_once = POST

[workspace despacho]
token_sha256 = %s
places = %s
class = urgent
max_concurrent = 10000
services = %s

[workspace despacho model %s]
template = pearl-despacho
`, s.Options.GroupSize, s.Options.Replicas, Place, Service, Place, s.ServiceAddress, tokenDigest, Place, Service, Model)
}

// Operator returns a client of the daemon's operators' interface.
func (r *RunningDaemon) Operator() *operator.Client {
	return operator.NewClient(r.Settings.Listen.Operators, "", "embedded")
}

// WaitServing applies the configuration and waits until every daemon admits requests and
// knows all replicas as serving.
func (s *System) WaitServing(ctx context.Context) error {
	for _, d := range s.Daemons {
		if err := d.Ready(ctx); err != nil {
			return err
		}
	}
	if _, err := s.Daemons[0].Operator().Apply(ctx, "embedded.ini", []byte(s.Configuration())); err != nil {
		return errors.Annotate(err, "configuration")
	}
	for _, d := range s.Daemons {
		_, err := d.Control().Await(ctx, func(snap *control.Snapshot) bool {
			return len(snap.Targets[Pool]) >= s.Options.Replicas && snap.MayAdmit(time.Now())
		})
		if err != nil {
			return errors.Annotate(err, "replicas not serving")
		}
	}
	return nil
}
