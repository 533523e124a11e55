// Package telemetry holds a daemon's metrics: latency histograms per workspace and class, refusals
// by code, counters of upstream attempts, and gauges that other packages register.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/catalog"
	"pearlanding/internal/problem"
)

// Telemetry is one daemon's set of metrics. It is safe for concurrent use.
type Telemetry struct {
	Set               *metrics.Set
	histograms        sync.Map // *Workspace by histogramsKey
	refusals          sync.Map // *metrics.Counter by refusalKey
	Attempts          *metrics.Counter
	Retries           *metrics.Counter
	Resumes           *metrics.Counter // resumed streams; never incremented so far
	MismatchedAnswers *metrics.Counter // answers from an upstream that belong to another request
	StreamChunks      *metrics.Counter // chunks of streams delivered to callers
}

type histogramsKey struct {
	name  string
	class catalog.Class
}

type refusalKey struct {
	workspace string
	code      problem.Code
}

// WorkspaceHistograms holds the latency histograms of one workspace and class, in seconds. All but
// BetweenTokens count from the arrival of the request.
type WorkspaceHistograms struct {
	Answer        *metrics.Histogram
	FirstToken    *metrics.Histogram
	BetweenTokens *metrics.Histogram
	BeforeSend    *metrics.Histogram // until admission and claim, before an instance is chosen
}

// New returns a Telemetry with its own set of metrics.
func New() *Telemetry {
	set := metrics.NewSet()
	return &Telemetry{
		Set:               set,
		Attempts:          set.NewCounter("pearlanding_upstream_attempts_total"),
		Retries:           set.NewCounter("pearlanding_upstream_retries_total"),
		Resumes:           set.NewCounter("pearlanding_stream_resumes_total"),
		MismatchedAnswers: set.NewCounter("pearlanding_upstream_crossed_answers_total"),
		StreamChunks:      set.NewCounter("pearlanding_stream_chunks_total"),
	}
}

// Workspace returns the histograms of a workspace and class, created on first use.
func (t *Telemetry) Workspace(name string, class catalog.Class) *WorkspaceHistograms {
	key := histogramsKey{name, class}
	if existing, ok := t.histograms.Load(key); ok {
		return existing.(*WorkspaceHistograms)
	}
	histogram := func(metric string) *metrics.Histogram {
		return t.Set.GetOrCreateHistogram(fmt.Sprintf("pearlanding_%s_seconds{workspace=%q,class=%q}", metric, name, class))
	}
	created := &WorkspaceHistograms{Answer: histogram("answer"), FirstToken: histogram("first_token"), BetweenTokens: histogram("between_tokens"), BeforeSend: histogram("before_send")}
	actual, _ := t.histograms.LoadOrStore(key, created)
	return actual.(*WorkspaceHistograms)
}

// CountRefusal counts one request refused with a problem.
func (t *Telemetry) CountRefusal(workspace string, p *problem.Problem) {
	key := refusalKey{workspace, p.Code}
	counter, ok := t.refusals.Load(key)
	if !ok {
		name := fmt.Sprintf("pearlanding_refusals_total{workspace=%q,code=%q,outcome=%q}", workspace, p.Code, p.Outcome)
		counter, _ = t.refusals.LoadOrStore(key, t.Set.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}

// Gauge registers a gauge whose value read returns whenever the metrics are written.
func (t *Telemetry) Gauge(name string, read func() float64) { t.Set.GetOrCreateGauge(name, read) }

// Write writes all metrics in the Prometheus text format, those of the process included.
func (t *Telemetry) Write(w io.Writer) {
	t.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// ObserveSince records the seconds since start in a histogram.
func ObserveSince(histogram *metrics.Histogram, start time.Time) {
	histogram.Update(time.Since(start).Seconds())
}

// Logger returns a logger that writes lines of the given level (debug, info, warn or error) and
// above to out, as JSON. It fails if the level is unknown.
func Logger(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, minLevel)), nil
}
