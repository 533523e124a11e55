package front

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/fleet"
	"pearlanding/internal/pause"
	"pearlanding/internal/routes"
)

const (
	simCallerTimeout = 4 * time.Second
	simService       = "service"
)

// simRoutes are the routes of a simulated fleet, one of each kind.
func simRoutes() []routes.Route {
	route := func(name string, kind routes.Kind) routes.Route {
		return routes.Route{Name: name, Host: "host", Prefix: "/" + name + "/", Kind: kind, Resumable: kind == routes.Stream, Public: true, MaxAttempts: 3,
			LatencyObjective: 300 * time.Millisecond, EventGapObjective: 200 * time.Millisecond, Split: []routes.WeightedService{{Service: simService, Weight: 1}}}
	}
	return []routes.Route{route("stream", routes.Stream), route("once", routes.AtMostOnce), route("lookup", routes.Idempotent)}
}

// simCall is one request of a caller, who tries only once.
type simCall struct {
	daemon string
	id     string
	sentAt time.Time
	header http.Header
	mu     sync.Mutex
	status int
	body   bytes.Buffer
	doneAt time.Time // zero: not answered yet
	gap    time.Duration
	first  time.Time // when the first part of the answer came
	last   time.Time
	cut    bool // the answer was cut off
}

func (c *simCall) Header() http.Header { return c.header }

func (c *simCall) WriteHeader(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
}

func (c *simCall) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
	}
	if !c.last.IsZero() {
		c.gap = max(c.gap, now.Sub(c.last))
	}
	c.last = now
	return c.body.Write(p)
}

func (c *simCall) Flush() {}

// firstAt returns when the first part of the answer came.
func (c *simCall) firstAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first
}

// served reports whether the caller received the whole answer.
func (c *simCall) served() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doneAt.IsZero() || c.cut || c.status != http.StatusOK {
		return false
	}
	if !strings.HasPrefix(c.id, "stream") {
		return c.body.String() == "ok"
	}
	want := ""
	for event := 1; event <= simStreamEvents; event++ {
		want += simEventText(c.id, event)
	}
	return c.body.String() == want
}

// simFleet is daemons in several zones, instances and callers.
type simFleet struct {
	*simZone
	instances *instanceNet
	cold      backpressure.ColdRule // of the service
	rng       *rand.Rand
	mu        sync.Mutex
	calls     []*simCall
}

// simFleetOptions describe a fleet.
type simFleetOptions struct {
	daemons, zones, instances int
	// callInterval is the mean time between two requests at one daemon.
	callInterval time.Duration
	// evacuate is the bound on evacuations; 0: zones are not evacuated.
	evacuate time.Duration
	// cold is the service's rule on cold instances; its zero value: there is none.
	cold backpressure.ColdRule
	// retryRatio is the number of retries allowed per request; 0: none.
	retryRatio float64
	answer     func(c *instanceConn, r *http.Request) bool // see instanceNet
}

// newSimFleet starts a fleet with callers that run until ctx ends.
func newSimFleet(ctx context.Context, t *testing.T, o simFleetOptions, seed uint64) *simFleet {
	f := &simFleet{instances: newInstanceNet(), cold: o.cold, rng: rand.New(rand.NewPCG(seed, 55))}
	f.instances.answer = o.answer
	f.simZone = &simZone{t: t, store: newSimStore(), net: newSimNet(), startedAt: time.Now(), cancels: map[*Daemon]context.CancelFunc{}, zones: o.zones, evacuate: o.evacuate, retryRatio: o.retryRatio,
		zoneOf: func(daemon string) string {
			var n int
			_, _ = fmt.Sscanf(daemon, "d%d", &n)
			return fmt.Sprint("zone-", n%o.zones)
		},
		prepare: f.prepare,
		started: func(ctx context.Context, d *Daemon) {
			d.gateway = d.newGateway()
			go d.newExchange().Run(ctx)
			go d.newSpread().Run(ctx)
			go d.sweep(ctx)
			go d.watchDirectPaths(ctx)
		}}
	for i := range o.instances {
		f.store.writeEntry(fmt.Sprint("i-", i))
	}
	for i := range o.daemons {
		d := f.start(ctx, fmt.Sprint("d", i), seed+uint64(i), true)
		f.daemons = append(f.daemons, d)
	}
	for i := range o.daemons {
		go f.callRegularly(ctx, i, o.callInterval, rand.New(rand.NewPCG(f.rng.Uint64(), 3)))
	}
	return f
}

// stop ends the callers, the daemons and their connections.
func (f *simFleet) stop(cancel context.CancelFunc) {
	cancel()
	time.Sleep(simCallerTimeout)
	f.instances.close()
	f.shutdown(cancel)
}

// prepare gives a daemon the fleet's platform and network.
func (f *simFleet) prepare(d *Daemon) {
	d.Platform.Codec = simCodec{}
	d.Platform.DecodeConfig = func(value []byte) (*routes.Config, error) {
		c := &routes.Config{Routes: simRoutes(), Services: []routes.Service{{Name: simService, ColdStart: f.cold.Duration, ColdPerSecond: f.cold.PerSecond}}}
		_, err := fmt.Sscan(string(value), &c.Version)
		return c, err
	}
	d.Platform.DecodeInstance = func(id string, version uint64, _ []byte) (*fleet.Instance, error) {
		return &fleet.Instance{ID: id, Address: id, Service: simService, Zone: f.instanceZone(id), StartedAt: 1, Version: version}, nil
	}
	d.DialInstance = f.instances.dialer(d.Settings().Node)
}

// instanceZone returns the zone of an instance: they are spread evenly if zones can be evacuated.
func (f *simFleet) instanceZone(id string) string {
	var n int
	if _, err := fmt.Sscanf(id, "i-%d", &n); err != nil || f.evacuate == 0 {
		return ""
	}
	return fmt.Sprint("zone-", n%f.zones)
}

// callRegularly sends requests to one daemon.
func (f *simFleet) callRegularly(ctx context.Context, daemon int, interval time.Duration, rng *rand.Rand) {
	kinds := []string{"stream", "stream", "once", "lookup"}
	for n := 0; ; n++ {
		pause.For(ctx, time.Duration((0.5+rng.Float64())*float64(interval)))
		if ctx.Err() != nil {
			return
		}
		f.call(ctx, daemon, fmt.Sprintf("%s-%d-%d", kinds[rng.IntN(len(kinds))], daemon, n))
	}
}

// call sends one request, whose kind is the beginning of its id.
func (f *simFleet) call(ctx context.Context, daemon int, id string) *simCall {
	f.mu.Lock()
	d := f.daemons[daemon]
	c := &simCall{daemon: d.Settings().Node, id: id, sentAt: time.Now(), header: http.Header{}}
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	kind, _, _ := strings.Cut(id, "-")
	go func() {
		ctx, leave := context.WithTimeout(ctx, simCallerTimeout)
		defer leave()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://host/"+kind+"/"+id, nil)
		r.Header.Set("X-Id", id)
		defer func() {
			aborted := recover() != nil
			c.mu.Lock()
			defer c.mu.Unlock()
			c.cut, c.doneAt = aborted, time.Now()
		}()
		d.gateway.ServeHTTP(c, r)
	}()
	return c
}

// servedBetween returns how many requests were sent in a span of time to daemons with or without
// a property, how many of them were served, and the texts of some that were not.
func (f *simFleet) servedBetween(from, to time.Time, has func(daemon string) bool) (sent, served int, failed []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if c.sentAt.Before(from) || !c.sentAt.Before(to) || !has(c.daemon) {
			continue
		}
		sent++
		switch {
		case c.served():
			served++
		case len(failed) < 8:
			failed = append(failed, fmt.Sprintf("%s at %s, sent %v: status %d, cut %t, %.60q", c.id, c.daemon, c.sentAt.Sub(f.startedAt), c.status, c.cut, c.body.String()))
		}
	}
	return sent, served, failed
}
