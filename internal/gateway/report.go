package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/dispatch"
)

// sendLog is what one send came to.
type sendLog struct {
	target *dispatch.Target
	at     time.Duration // after the request's arrival
	took   time.Duration
	end    string
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s sendLog) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("instance", s.target.Instance)
	if s.target.Group.Name != "" {
		enc.AddString("group", s.target.Group.Name)
		enc.AddUint64("epoch", s.target.Group.Epoch)
	}
	enc.AddInt64("at_ms", s.at.Milliseconds())
	enc.AddInt64("took_ms", s.took.Milliseconds())
	enc.AddString("end", s.end)
	return nil
}

// sendLogs is a list of sends for the log.
type sendLogs []sendLog

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l sendLogs) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, s := range l {
		if err := enc.AppendObject(s); err != nil {
			return err
		}
	}
	return nil
}

// sampleServed is of how many requests served at the first try one is logged;
// all others are logged each.
const sampleServed = 16

// finish logs and counts a request, and cuts its connection if need be.
func (g *Gateway) finish(x *exchange) {
	took := g.Clock.Since(x.now)
	g.Metrics.observe(x, took)
	smooth := x.status/100 == 2 && len(x.sends) == 1
	switch {
	case !smooth:
		g.Log.Info("request", x.fields(took)...)
	case g.sampled.Add(1)%sampleServed == 0:
		g.Log.Info("request", append(x.fields(took), zap.Int("stands_for", sampleServed))...)
	}
	if x.status == statusAborted {
		panic(http.ErrAbortHandler)
	}
}

// fields are the decision and its inputs, with their age or version.
func (x *exchange) fields(took time.Duration) []zap.Field {
	out := []zap.Field{zap.String("id", x.req.ID), zap.Int("status", x.status), zap.String("reason", x.reason),
		zap.Int64("took_ms", took.Milliseconds()), zap.String("workspace", x.workspace),
		zap.Int64("proof_age_ms", x.now.Sub(x.config.Proved).Milliseconds())}
	if x.config.Table != nil {
		out = append(out, zap.Uint64("config_version", x.config.Table.Config.Version))
	}
	if x.route != nil {
		out = append(out, zap.String("route", x.route.Name), zap.String("kind", string(x.route.Kind)),
			zap.Int64("time_ms", x.time().Milliseconds()), zap.Int64("before_ms", x.waitedBefore.Milliseconds()),
			zap.Int64("objective_ms", x.route.Objective.Milliseconds()))
	}
	if x.req.Model != "" {
		out = append(out, zap.String("model", x.req.Model), zap.Int("events", x.events), zap.Int64("first_ms", x.firstAt.Milliseconds()),
			zap.Int64("max_gap_ms", x.maxGap.Milliseconds()), zap.Int64("gap_ms", x.pauseObjective().Milliseconds()), zap.Int("replicas", x.admission.Replicas),
			zap.Int64("expected_ms", x.admission.Expected.Milliseconds()), zap.Int64("floor_ms", x.admission.Floor.Milliseconds()), zap.Int64("limit_ms", x.admission.Limit.Milliseconds()))
	}
	if x.digest != nil && (x.broken > 0 || !x.gateway.Watch.Evidence.Empty()) {
		out = append(out, zap.String("content", x.digest().Short()))
	}
	if x.view != nil {
		out = append(out, zap.Uint64("view_revision", x.view.Revision))
	}
	return append(out, zap.Array("sends", sendLogs(x.sends)), zap.Bool("may_have_run", x.mayRun))
}

// time is how much the request had from its arrival on; 0: it was refused before that was known.
func (x *exchange) time() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return x.deadline.Sub(x.now)
}

// pauseObjective is that of the route; 0: none, or no route.
func (x *exchange) pauseObjective() time.Duration {
	if x.route == nil {
		return 0
	}
	return x.route.Gap
}
