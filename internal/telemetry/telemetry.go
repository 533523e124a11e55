// Package telemetry holds a daemon's metrics: histograms per workspace and class,
// refusals by code, upstream attempts, and gauges of the control state.
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

// Telemetry is one daemon's set of metrics. Safe for concurrent use.
type Telemetry struct {
	Set        *metrics.Set
	workspaces sync.Map // workspaceKey -> *Workspace
	refusals   sync.Map // refusalKey -> *metrics.Counter
	Attempts   *metrics.Counter
	Retries    *metrics.Counter
	Resumes    *metrics.Counter
	Crossed    *metrics.Counter
	TokensOut  *metrics.Counter
}

type workspaceKey struct {
	name  string
	class catalog.Class
}

type refusalKey struct {
	workspace string
	code      problem.Code
}

// Workspace holds the histograms of one workspace and class, all in seconds.
type Workspace struct {
	Answer        *metrics.Histogram
	FirstToken    *metrics.Histogram
	BetweenTokens *metrics.Histogram
	BeforeSend    *metrics.Histogram // admission, claim and routing
}

// New returns an empty set.
func New() *Telemetry {
	set := metrics.NewSet()
	return &Telemetry{
		Set:       set,
		Attempts:  set.NewCounter("pearlanding_upstream_attempts_total"),
		Retries:   set.NewCounter("pearlanding_upstream_retries_total"),
		Resumes:   set.NewCounter("pearlanding_stream_resumes_total"),
		Crossed:   set.NewCounter("pearlanding_upstream_crossed_answers_total"),
		TokensOut: set.NewCounter("pearlanding_stream_chunks_total"),
	}
}

// Workspace returns the histograms of a workspace.
func (t *Telemetry) Workspace(name string, class catalog.Class) *Workspace {
	key := workspaceKey{name, class}
	if w, ok := t.workspaces.Load(key); ok {
		return w.(*Workspace)
	}
	h := func(metric string) *metrics.Histogram {
		return t.Set.GetOrCreateHistogram(fmt.Sprintf("pearlanding_%s_seconds{workspace=%q,class=%q}", metric, name, class))
	}
	w := &Workspace{Answer: h("answer"), FirstToken: h("first_token"), BetweenTokens: h("between_tokens"), BeforeSend: h("before_send")}
	actual, _ := t.workspaces.LoadOrStore(key, w)
	return actual.(*Workspace)
}

// Refused counts one refusal.
func (t *Telemetry) Refused(workspace string, p *problem.Problem) {
	key := refusalKey{workspace, p.Code}
	c, ok := t.refusals.Load(key)
	if !ok {
		name := fmt.Sprintf("pearlanding_refusals_total{workspace=%q,code=%q,outcome=%q}", workspace, p.Code, p.Outcome)
		c, _ = t.refusals.LoadOrStore(key, t.Set.GetOrCreateCounter(name))
	}
	c.(*metrics.Counter).Inc()
}

// Gauge registers a gauge that is read when the metrics are.
func (t *Telemetry) Gauge(name string, read func() float64) { t.Set.GetOrCreateGauge(name, read) }

// Write renders all metrics, those of the process included.
func (t *Telemetry) Write(w io.Writer) {
	t.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Since notes the seconds from start on a histogram.
func Since(h *metrics.Histogram, start time.Time) { h.Update(time.Since(start).Seconds()) }

// Logger returns a JSON logger at the level (debug, info, warn, error).
func Logger(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, parsed)), nil
}
