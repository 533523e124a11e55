package gateway

import (
	"math"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/upstream"
)

// sendLog is the log record of one send.
type sendLog struct {
	target       *dispatch.Target
	startedAfter time.Duration // time from the request's arrival
	took         time.Duration
	outcome      string // how the send ended
	peer         string // daemon through which the response came; empty: none
	// deadline is what the instance was told of how much time is left.
	deadline time.Duration
	status   int // of the response; 0: none, and the next two fields are not set
	framing  upstream.Framing
	ending   upstream.Ending // of the response's body
	stream   bool            // the fields below are set
	// resumedAfter is the event after which the instance was asked to continue; 0 if resumed is not set.
	resumedAfter int64
	resumed      bool
	// unreadChecks is how often the connection was checked for unread bytes while the stream was silent.
	unreadChecks int
	events       int // received
	// silent is the time since the last event of this send or, before the first one, since the send.
	silent time.Duration
	// replicaSilent is the time since the last event of any stream of this daemon at the replica.
	// Like silent it does not count time for which the process was not scheduled.
	replicaSilent time.Duration
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s sendLog) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("instance", s.target.Instance)
	if s.target.Group.Name != "" {
		enc.AddString("group", s.target.Group.Name)
		enc.AddUint64("epoch", s.target.Group.Epoch)
	}
	enc.AddInt64("at_ms", s.startedAfter.Milliseconds())
	enc.AddInt64("took_ms", s.took.Milliseconds())
	enc.AddString("end", s.outcome)
	if s.peer != "" {
		enc.AddString("peer", s.peer)
	}
	if s.status != 0 {
		enc.AddInt("status", s.status)
		enc.AddString("framing", string(s.framing))
		enc.AddString("ended_by", string(s.ending))
		enc.AddInt64("deadline_ms", s.deadline.Milliseconds())
	}
	if s.stream {
		if s.resumed {
			enc.AddInt64("after_event", s.resumedAfter)
		}
		enc.AddInt("events", s.events)
		enc.AddInt64("silent_ms", s.silent.Milliseconds())
		enc.AddInt64("replica_silent_ms", s.replicaSilent.Milliseconds())
		enc.AddInt("unread_checks", s.unreadChecks)
	}
	return nil
}

// sendLogs is the log record of all sends of a request.
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

// servedSampling is the sampling rate of the request log: of the requests served at the first
// try, one in servedSampling is logged. All other requests, and those with a notable end, are logged.
const servedSampling = 16

// maxNotableLines limits the lines of requests that were served at the first try and are logged for how their response
// ended, per reason and logInterval. Further ones are sampled.
const maxNotableLines = 64

// finish logs and counts a request, and closes the caller's connection if the request was
// marked as aborted or its stream is not complete.
func (g *Gateway) finish(x *exchange) {
	took := g.Clock.Since(x.arrivedAt)
	if x.partial {
		markAborted(x)
	}
	g.Metrics.observe(x, took)
	firstTry := x.status/100 == 2 && len(x.sends) == 1
	switch {
	case !firstTry && x.bodyUnread:
		if others, due := g.unreadBodies.add(x.reason, g.Clock.Now()); due {
			g.Log.Info("request", append(x.logFields(took), zap.Int("others", others))...)
		}
	case !firstTry, x.notableEndDue():
		g.Log.Info("request", x.logFields(took)...)
	case g.servedAtFirstTry.Add(1)%servedSampling == 0:
		g.Log.Info("request", append(x.logFields(took), zap.Int("stands_for", servedSampling))...)
	}
	if x.status == statusAborted {
		panic(http.ErrAbortHandler)
	}
}

// notableEnd returns why the response to a request that was served at the first try may be a part of one: it ended
// with its connection only, not before the deadline, at which its instance stops, or without an event of a stream. It
// returns an empty string for any other request.
func (x *exchange) notableEnd() string {
	s := &x.sends[0]
	switch {
	case s.framing == upstream.Unframed && s.ending != upstream.EndedByMark:
		return "unframed"
	case s.stream && s.status != 0 && s.took.Milliseconds() >= s.deadline.Milliseconds(): // sent in whole milliseconds
		return "after_deadline"
	case s.stream && s.events == 0:
		return "no_event"
	}
	return ""
}

// notableEndDue reports whether a request served at the first try is logged because of its end.
func (x *exchange) notableEndDue() bool {
	reason := x.notableEnd()
	if reason == "" {
		return false
	}
	_, due := x.gateway.notableEnds.addUpTo(maxNotableLines, reason, x.gateway.Clock.Now())
	return due
}

// logInterval is the time in which the lines for one reason are limited, where they are.
const logInterval = time.Second

// logLimiter limits the lines for each reason. The reasons must be few. The zero value is ready for use. Safe
// for concurrent use.
type logLimiter struct {
	mu      sync.Mutex
	reasons map[string]*limitedReason
}

type limitedReason struct {
	since   time.Time // beginning of the current interval
	logged  int       // since then
	skipped int       // likewise
}

// add reports whether a line is due for a reason, one per logInterval, and how many were not due since the last one.
func (l *logLimiter) add(reason string, now time.Time) (skipped int, due bool) {
	return l.addUpTo(1, reason, now)
}

// addUpTo is add with a number of lines per logInterval.
func (l *logLimiter) addUpTo(lines int, reason string, now time.Time) (skipped int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reasons == nil {
		l.reasons = map[string]*limitedReason{}
	}
	r := l.reasons[reason]
	switch {
	case r == nil:
		l.reasons[reason] = &limitedReason{since: now, logged: 1}
		return 0, true
	case now.Sub(r.since) >= logInterval:
		skipped = r.skipped
		*r = limitedReason{since: now, logged: 1}
		return skipped, true
	case r.logged < lines:
		r.logged++
		return 0, true
	}
	r.skipped++
	return 0, false
}

// logFields returns the outcome of the request and the inputs of its decisions, with their age
// or version.
func (x *exchange) logFields(took time.Duration) []zap.Field {
	fields := []zap.Field{zap.String("id", x.req.ID), zap.Int("status", x.status), zap.String("reason", x.reason),
		zap.Int64("took_ms", took.Milliseconds()), zap.String("workspace", x.workspace),
		zap.Int64("proof_age_ms", x.arrivedAt.Sub(x.config.ProvedAt).Milliseconds())}
	if x.config.Table != nil {
		fields = append(fields, zap.Uint64("config_version", x.config.Table.Config.Version))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("kind", string(x.route.Kind)),
			zap.Int64("time_ms", x.timeLimit().Milliseconds()), zap.Int64("before_ms", x.priorWait.Milliseconds()),
			zap.Int64("objective_ms", x.route.LatencyObjective.Milliseconds()))
	}
	if x.req.Model != "" {
		fields = append(fields, zap.String("model", x.req.Model), zap.Int("events", x.progress.eventCount), zap.Int64("first_ms", x.firstByteAfter.Milliseconds()),
			zap.Int64("max_gap_ms", x.progress.maxGap.Milliseconds()), zap.Int64("gap_ms", x.gapObjective().Milliseconds()), zap.Int("replicas", x.admission.Replicas))
		fields = append(fields, x.admissionFields()...)
	}
	if x.quarantineRequest != nil && (x.brokenSends > 0 || !x.gateway.Quarantine.Evidence.Empty()) {
		traits := x.quarantineRequest.Traits()
		fields = append(fields, zap.String("content", traits.Content.Short()), zap.Strings("parts", traits.ShortParts()))
	}
	if x.quarantinedTrait != "" {
		fields = append(fields, zap.String("quarantined", x.quarantinedTrait))
	}
	if x.view != nil {
		fields = append(fields, zap.Uint64("view_revision", x.view.Revision))
	}
	if late := x.gateway.RunClock.Lateness() - x.latenessOnArrival; late >= time.Millisecond {
		fields = append(fields, zap.Int64("not_scheduled_ms", late.Milliseconds()))
	}
	return append(fields, zap.Array("sends", sendLogs(x.sends)), zap.Bool("may_have_run", x.mayHaveRun))
}

// admissionFields returns the verdict on a stream and its inputs.
func (x *exchange) admissionFields() []zap.Field {
	a := x.admission
	fields := []zap.Field{zap.Int64("expected_ms", a.Expected.Milliseconds()), zap.Int64("floor_ms", a.Floor.Milliseconds()), zap.Int64("limit_ms", a.Limit.Milliseconds()),
		zap.Int("priority", x.priority), zap.Bool("returned", x.priorWait > 0)}
	if a.ByFleet {
		fields = append(fields, zap.Float64("load", roundTo(a.Load, 10)), zap.Float64("level", roundTo(a.Level, 10)), zap.Float64("admitted_share", roundTo(a.Share, 100)),
			zap.Int64("loads_age_ms", a.Age.Milliseconds()), zap.Float64("loads_factor", roundTo(a.Factor, 100)), zap.Bool("late_already", a.Late), zap.Bool("reserved", a.Reserved))
	}
	if a.RetryAfter > 0 {
		fields = append(fields, zap.Int64("retry_after_ms", a.RetryAfter.Milliseconds()))
	}
	return fields
}

// roundTo rounds a figure of the log to a multiple of 1/parts.
func roundTo(x, parts float64) float64 { return math.Floor(parts*x+0.5) / parts }

// timeLimit returns the time from arrival to the deadline, or 0 if the request was refused
// before its deadline was set.
func (x *exchange) timeLimit() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return x.deadline.Sub(x.arrivedAt)
}

// gapObjective returns the route's objective for the gap between events, or 0 if there is none.
func (x *exchange) gapObjective() time.Duration {
	if x.route == nil {
		return 0
	}
	return x.route.EventGapObjective
}
