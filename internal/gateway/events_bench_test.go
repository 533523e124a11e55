package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
	"pearlanding/internal/upstream"
)

// eventSource returns one event per read.
type eventSource struct {
	remaining int
	event     []byte
}

func (s *eventSource) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	s.remaining--
	return copy(p, s.event), nil
}

func (s *eventSource) Close() error { return nil }

// countingCaller counts the writes and flushes of an answer. Each flush is a system call of a server.
type countingCaller struct {
	header          http.Header
	writes, flushes int
}

func (c *countingCaller) Header() http.Header { return c.header }
func (c *countingCaller) WriteHeader(int)     {}
func (c *countingCaller) Flush()              { c.flushes++ }
func (c *countingCaller) Write(p []byte) (int, error) {
	c.writes++
	return len(p), nil
}

// benchExchange returns the exchange of a stream whose caller reads in time.
func benchExchange(w http.ResponseWriter) *exchange {
	clock := steady.NewClock()
	view := fleet.BuildView(1, clock.Now(), map[string]*fleet.Instance{"a": {ID: "a", Service: "s"}, "b": {ID: "b", Service: "s"}}, nil, nil)
	return &exchange{
		w: w,
		gateway: &Gateway{Codec: simCodec{}, Pool: upstream.NewPool(time.Second, time.Second), Gate: newGate(), Clock: clock, RunClock: steady.NewRunClock(clock), Budgets: &dispatch.Budgets{},
			Quarantine: quarantine.NewDetector(quarantine.NewEvidence(), nil, clock.Now, zap.NewNop()), Picker: dispatch.NewPicker("", func(int) int { return 0 }),
			View: func() *fleet.View { return view }, Limits: func() Limits { return Limits{} }, Stopping: func() bool { return false }},
		service: &routes.Service{Name: "s"}, route: &routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 3}, req: &Request{},
		deadline: clock.Now().Add(time.Minute), quarantineRequest: quarantine.NewRequest(quarantine.Content{}),
	}
}

// passBenchStream passes a stream of n events on.
func passBenchStream(x *exchange, n int) error {
	source := &eventSource{remaining: n, event: fmt.Appendf(nil, "data: %0150d\n\n", 0)}
	s := &streamSend{send: x.startSend(&x.targets()[0], func() {}), sentAt: x.gateway.runClockNow(), timeouts: dispatch.StallTimeouts{First: time.Second, Pause: time.Second},
		resp: &http.Response{StatusCode: http.StatusOK, Body: source, Header: http.Header{}}}
	s.events = x.newStreamReader(s)
	s.ctx, s.cancelSend = context.WithCancelCause(context.Background())
	s.first, s.firstErr = x.nextEvent(s, &x.progress)
	_, err := x.passStream(s.ctx, s)
	return err
}

// The cost of an event to a caller that reads in time, with one flush, that is one system call, for each.
func BenchmarkEventPath(b *testing.B) {
	w := &countingCaller{header: http.Header{}}
	x := benchExchange(w)
	b.ReportAllocs()
	b.ResetTimer()
	if err := passBenchStream(x, b.N); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(w.writes)/float64(b.N), "writes/op")
	b.ReportMetric(float64(w.flushes)/float64(b.N), "flushes/op")
}

// The cost of a whole stream of 23 events, as answers of 115 tokens have.
func BenchmarkShortStream(b *testing.B) {
	w := &countingCaller{header: http.Header{}}
	x := benchExchange(w)
	b.ReportAllocs()
	for b.Loop() {
		x.headerSent, x.sends, x.triedInstances, x.progress, x.held = false, nil, nil, streamProgress{}, heldEvents{}
		if err := passBenchStream(x, 23); err != nil {
			b.Fatal(err)
		}
	}
}
