package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
)

// Times of the store as its client sees them.
const (
	answerIn  = 4 * time.Millisecond
	lostAfter = 1500 * time.Millisecond // a call without an answer by then counts as lost
)

// simStore is a store in virtual time, and the ways to it.
type simStore struct {
	mu       sync.Mutex
	revision uint64
	config   objectapi.Object
	records  map[string]objectapi.Object // relays and lease
	events   []objectapi.Event           // of the entries
	changed  chan struct{}
	down     bool
	cut      map[string]bool // daemons that do not reach it
	calls    int
}

func newSimStore() *simStore {
	s := &simStore{records: map[string]objectapi.Object{}, changed: make(chan struct{}), cut: map[string]bool{}}
	s.configure()
	s.entry("i-0")
	return s
}

// configure writes the next version of the configuration.
func (s *simStore) configure() (version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.config = objectapi.Object{Key: simConfig, Version: s.revision, Value: []byte(fmt.Sprint(s.revision))}
	return s.revision
}

// made returns how many calls were made so far.
func (s *simStore) made() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// entry changes an instance's entry.
func (s *simStore) entry(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, objectapi.Event{Object: objectapi.Object{Key: simInstances + "/" + id, Version: s.revision}})
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown stops or returns the store.
func (s *simStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// setCut cuts one daemon off from the store, or heals the cut.
func (s *simStore) setCut(daemon string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[daemon] = cut
}

const (
	simConfig    = "config/main"
	simInstances = "servers"
)

// simLink is one daemon's way to the store. It implements objectapi.Feed.
type simLink struct {
	*simStore
	daemon string
}

// arrives tells whether a message between the daemon and the store gets through now.
func (l *simLink) arrives() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.down && !l.cut[l.daemon]
}

// call makes one call that f answers; one that meets an outage is lost for good.
func (l *simLink) call(ctx context.Context, timeout time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	time.Sleep(answerIn / 2)
	if l.arrives() {
		err := f(ctx)
		time.Sleep(answerIn / 2)
		if l.arrives() && ctx.Err() == nil {
			return err
		}
	}
	<-ctx.Done()
	return errors.WithType(ctx.Err(), objectapi.ErrUnavailable)
}

func (l *simLink) Get(ctx context.Context, key string) (o objectapi.Object, err error) {
	err = l.call(ctx, lostAfter, func(context.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		o = l.records[key]
		if key == simConfig {
			o = l.config
		}
		if o.Version == 0 {
			return objectapi.ErrNotFound
		}
		return nil
	})
	return o, err
}

func (l *simLink) GetStale(ctx context.Context, key string) (objectapi.Object, error) {
	return l.Get(ctx, key)
}

func (l *simLink) ListKind(ctx context.Context, kind string) (out objectapi.Listing, err error) {
	err = l.call(ctx, lostAfter, func(context.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		out.Revision = l.revision
		if kind == simInstances {
			for _, e := range l.events {
				out.Objects = append(out.Objects, e.Object)
			}
			return nil
		}
		for _, o := range l.records {
			out.Objects = append(out.Objects, o)
		}
		return nil
	})
	return out, err
}

func (l *simLink) ListStale(ctx context.Context, kind string) (objectapi.Listing, error) {
	return l.ListKind(ctx, kind)
}

// after returns the changes after a revision, and a channel that is closed at the next.
func (l *simLink) after(revision uint64) (out objectapi.Changes, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out.Revision = l.revision
	for _, e := range l.events {
		if e.Object.Version > revision {
			out.Events = append(out.Events, e)
		}
	}
	return out, l.changed
}

func (l *simLink) Follow(ctx context.Context, _ string, after uint64, wait time.Duration) (out objectapi.Changes, err error) {
	err = l.call(ctx, wait+lostAfter, func(ctx context.Context) error {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			var changed <-chan struct{}
			if out, changed = l.after(after); len(out.Events) > 0 {
				return nil
			}
			select {
			case <-changed:
			case <-timer.C:
				return nil
			case <-ctx.Done():
				return nil
			}
		}
	})
	return out, err
}

func (l *simLink) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return l.Update(ctx, key, 0, value)
}

func (l *simLink) Update(ctx context.Context, key string, version uint64, value []byte) (written uint64, err error) {
	err = l.call(ctx, lostAfter, func(context.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.records[key].Version != version {
			return objectapi.ErrConflict
		}
		l.revision++
		written = l.revision
		l.records[key] = objectapi.Object{Key: key, Version: written, Value: value}
		return nil
	})
	return written, err
}

// simNet carries the calls between daemons in virtual time.
type simNet struct {
	mu        sync.Mutex
	listeners map[string]*simListener
	parted    map[string]bool // addresses that nobody reaches any more
	conns     map[string][]net.Conn
}

func newSimNet() *simNet {
	return &simNet{listeners: map[string]*simListener{}, parted: map[string]bool{}, conns: map[string][]net.Conn{}}
}

// simListener is one daemon's address.
type simListener struct {
	address simAddress
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type simAddress string

func (a simAddress) Network() string { return "sim" }
func (a simAddress) String() string  { return string(a) }

func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *simListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *simListener) Addr() net.Addr { return l.address }

func (n *simNet) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &simListener{address: simAddress(address), accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// part lets nobody reach an address, or lets them again; open connections end.
func (n *simNet) part(address string, parted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted[address] = parted
	for _, c := range n.conns[address] {
		c.Close()
	}
	n.conns[address] = nil
}

// dial connects to an address. One that is parted says nothing until ctx ends.
func (n *simNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, parted := n.listeners[address], n.parted[address]
	n.mu.Unlock()
	if l == nil || parted {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	n.mu.Lock()
	n.conns[address] = append(n.conns[address], near)
	n.mu.Unlock()
	select {
	case l.accepts <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// simZone is the daemons of one zone before a store, in virtual time: what follows the
// configuration and the entries, and what speaks to one another.
type simZone struct {
	t       *testing.T
	store   *simStore
	net     *simNet
	daemons []*Daemon
	begun   time.Time
	log     []string
	logMu   sync.Mutex
}

// simBounds are those of a deployment.
var simBounds = Bounds{Config: 2 * time.Second, Revoke: 5 * time.Second, StrictRevoke: true, Drain: 2 * time.Second}

// newSimZone starts daemons within ctx, whose choices by chance follow the seed.
func newSimZone(ctx context.Context, t *testing.T, daemons int, seed uint64) *simZone {
	z := &simZone{t: t, store: newSimStore(), net: newSimNet(), begun: time.Now()}
	for i := range daemons {
		z.daemons = append(z.daemons, z.start(ctx, fmt.Sprintf("d%d", i), seed+uint64(i)))
	}
	return z
}

func (z *simZone) start(ctx context.Context, name string, seed uint64) *Daemon {
	chance := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	s := Settings{Node: name, Zone: "zone", Zones: 1, Peers: name, Heartbeat: 1200 * time.Millisecond, Bounds: simBounds, Bootstrap: true}
	d := &Daemon{Settings: func() Settings { return s }, Log: z.logger(name), Metrics: metrics.NewSet(), Clock: simClock(),
		Outside: Outside{Feed: &simLink{z.store, name}, ConfigKey: simConfig, InstancesKind: simInstances,
			DecodeConfig: func(value []byte) (*routes.Config, error) {
				c := &routes.Config{}
				_, err := fmt.Sscan(string(value), &c.Version)
				return c, err
			},
			DecodeInstance: func(id string, version uint64, _ []byte) (*fleet.Instance, error) {
				return &fleet.Instance{ID: id, Version: version}, nil
			}},
		dial: z.net.dial,
		uniform: func(least, most time.Duration) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return least + time.Duration(chance.Int64N(int64(most-least)))
		},
	}
	d.started = d.Clock.Now()
	d.build(s, name)
	go d.config.Run(ctx)
	go d.fleet.Run(ctx)
	go d.answerPeers(ctx, z.net.listen(name))
	d.fleet.Pace = d.pace
	return d
}

// end ends all daemons; what is under way ends too.
func (z *simZone) end(cancel context.CancelFunc) {
	cancel()
	for _, d := range z.daemons {
		d.peers.Close()
	}
	time.Sleep(time.Minute)
}

// simClock is a clock that no suspension moves.
func simClock() *steady.Clock {
	start := time.Now()
	return steady.NewClockOf(func() (time.Time, time.Duration) {
		now := time.Now()
		return now.Round(0), now.Sub(start)
	}, func() time.Duration { return time.Since(start) })
}

// logger keeps what a daemon logs, for a test that fails.
func (z *simZone) logger(name string) *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(writerFunc(func(p []byte) (int, error) {
		z.logMu.Lock()
		defer z.logMu.Unlock()
		z.log = append(z.log, fmt.Sprintf("%8.4f %s %s", time.Since(z.begun).Seconds(), name, p))
		return len(p), nil
	})), zap.InfoLevel))
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// told is what all daemons logged.
func (z *simZone) told() string {
	z.logMu.Lock()
	defer z.logMu.Unlock()
	out := ""
	for _, l := range z.log {
		out += l
	}
	return out
}
