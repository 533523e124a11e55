package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/routes"
)

// newGate returns a gate that knows of no limit.
func newGate() *backpressure.Gate {
	least := func(least, _ time.Duration) time.Duration { return least }
	return backpressure.NewGate(func() int { return 1 }, least, zap.NewNop())
}

// pressed returns a request for a plain service of instances a and b.
func pressed(gate *backpressure.Gate) (*exchange, *httptest.ResponseRecorder) {
	instances := map[string]*fleet.Instance{}
	for _, id := range []string{"a", "b"} {
		instances[id] = &fleet.Instance{ID: id, Service: "s"}
	}
	view := fleet.Build(1, time.Now(), instances, nil, nil)
	w := httptest.NewRecorder()
	return &exchange{w: w,
		gateway: &Gateway{Codec: codec{}, Gate: gate, Budgets: &dispatch.Budgets{}, Picker: dispatch.NewPicker("", func(int) int { return 0 }),
			Watch:   quarantine.NewWatch(quarantine.NewEvidence(), nil, time.Now, zap.NewNop()),
			Metrics: NewMetrics(metrics.NewSet()), Log: zap.NewNop(), View: func() *fleet.View { return view }, Bounds: func() Bounds { return Bounds{} }},
		service: &routes.Service{Name: "s"}, route: &routes.Route{Attempts: 3}, req: &Request{}, deadline: time.Now().Add(time.Minute),
	}, w
}

func limit(gate *backpressure.Gate, instance string, perSecond float64) {
	now := time.Now()
	gate.Observe(backpressure.Life{Instance: instance}, backpressure.Signals{Limit: perSecond}, now, now)
}

// Guards against requests that fail, or wait, for an instance that limits its requests while
// another one serves.
func TestRequestsGoWhereNoLimitIsNamed(t *testing.T) {
	gate := newGate()
	limit(gate, "a", 2)
	for range 4 {
		x, _ := pressed(gate)
		must.Eq(t, "b", x.next(t.Context()).Instance)
	}
}

// Guards against callers that wait until their deadline, or are told to come back at once,
// where the limits of all instances are used up.
func TestRequestThatNoLimitLeavesRoomForIsRefusedAtOnce(t *testing.T) {
	gate := newGate()
	limit(gate, "a", 0.5)
	limit(gate, "b", 0.25)
	x, w := pressed(gate)
	x.digest = x.content().Digest
	x.plain(t.Context())
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, "upstream_backpressure", x.reason)
	must.Eq(t, 2*time.Second, x.free().In)
	must.SliceEmpty(t, x.sends)
}

// Guards against a request that has chosen its target, waits for a connection and is written
// after a limit became known.
func TestRequestThatChoseBeforeTheLimitIsWithheld(t *testing.T) {
	gate := newGate()
	x, _ := pressed(gate)
	chosen := x.next(t.Context())
	withheld := x.withheld(chosen)
	must.False(t, withheld())
	limit(gate, "a", 2)
	limit(gate, "b", 2)
	must.True(t, withheld())
	gate.Granted([]backpressure.Permits{{Instance: chosen.Instance, Count: 1}}, time.Now())
	x, _ = pressed(gate)
	must.False(t, x.withheld(x.next(t.Context()))(), must.Sprint("it took a permit"))
}

// rest lets instances ask for rest.
func rest(gate *backpressure.Gate, lasts time.Duration, instances ...string) {
	now := time.Now()
	for _, id := range instances {
		gate.Observe(backpressure.Life{Instance: id}, backpressure.Signals{Rest: lasts}, now, now)
	}
}

// Guards against requests that are refused though an instance is free again well within their
// objective, and against ones that wait for longer.
func TestRequestWaitsForARestThatEndsInTime(t *testing.T) {
	gate := newGate()
	rest(gate, 20*time.Millisecond, "a")
	rest(gate, time.Minute, "b")
	x, _ := pressed(gate)
	x.now, x.route.Objective = time.Now(), 400*time.Millisecond
	must.Eq(t, "a", x.next(t.Context()).Instance)

	rest(gate, 300*time.Millisecond, "a")
	x, w := pressed(gate)
	x.now, x.route.Objective = time.Now(), 400*time.Millisecond
	x.digest = x.content().Digest
	x.plain(t.Context())
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Less(t, 250*time.Millisecond, time.Since(x.now), must.Sprint("it waited"))
}

// Guards against a list of targets that was looked through once and is not again when one of its
// instances speaks up.
func TestTargetsNoticeWhatAnInstanceSaysLater(t *testing.T) {
	says := map[string]backpressure.Signals{"limit": {Limit: 2}, "rest": {Rest: time.Minute}, "leaving": {Leaving: true}}
	for name, s := range says {
		t.Run(name, func(t *testing.T) {
			x, _ := pressed(newGate())
			must.Len(t, 2, x.targets())
			now := time.Now()
			x.gateway.Gate.Observe(backpressure.Life{Instance: "elsewhere"}, s, now, now)
			must.Len(t, 2, x.targets())
			x.gateway.Gate.Observe(backpressure.Life{Instance: "a"}, s, now, now)
			must.Len(t, 1, x.targets())
		})
	}
}
