package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/pause"
)

// incarnationOf returns the incarnation of a target's instance.
func incarnationOf(t *dispatch.Target) backpressure.Incarnation {
	return backpressure.Incarnation{Instance: t.Instance, StartedAt: t.StartedAt}
}

// sendableTargets returns the targets of a list whose instances accept requests now according
// to the signals they announced: limits, backoffs and departures.
func (g *Gateway) sendableTargets(list *targetList) []dispatch.Target {
	now := g.Clock.Now()
	targets, gateVersion := list.validAt(now), g.Gate.Version()
	if list.noSignalsVersion.Load() == gateVersion+1 {
		return targets
	}
	if !g.Gate.KnowsAny(list.incarnations) {
		list.noSignalsVersion.Store(gateVersion + 1)
		return targets
	}
	blocked := func(t dispatch.Target) bool { return !g.Gate.CanSend(incarnationOf(&t), now) }
	if !slices.ContainsFunc(targets, blocked) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), blocked)
}

// withholdFunc returns a function that reports whether the request must not be written to the target
// after all: since the target was chosen, the instance has announced a limit, a backoff or its departure,
// its zone was evacuated, or it is cold and the request's permit has expired and can't be renewed.
func (x *exchange) withholdFunc(t *dispatch.Target) func() bool {
	incarnation, zone, permit, cold, rule, g := incarnationOf(t), t.Zone, x.hasPermit, x.coldPermit, x.coldRule(), x.gateway
	return func() bool {
		if g.withholdFrom(zone) {
			return true
		}
		withhold := g.Gate.Revoked(incarnation, permit, g.Clock.Now()) || !g.renewColdPermit(cold, t.Instance, rule)
		if withhold {
			g.Metrics.set.GetOrCreateCounter("pearlanding_sends_withheld_total").Inc()
		}
		return withhold
	}
}

// observeSignals records the signals about its instance that a response carries.
func (g *Gateway) observeSignals(t *dispatch.Target, resp *http.Response, sentAt time.Time) {
	signals, err := g.Codec.Signals(resp.StatusCode, resp.Header)
	if err != nil {
		g.Metrics.set.GetOrCreateCounter("pearlanding_upstream_signals_invalid_total").Inc()
		if text, first := g.invalidSignals.add(err.Error()); first {
			g.Log.Warn("invalid signal from instance ignored", zap.String("decision", "as_if_not_said"), zap.String("instance", t.Instance), zap.String("error", text))
		}
	}
	g.Gate.Observe(incarnationOf(t), signals, sentAt, g.Clock.Now())
}

// nextSend returns when the first of the untried instances accepts the request, if none does
// now because of the signals they announced. It returns the zero value if one accepts the
// request now, or if the targets are not known.
func (x *exchange) nextSend() backpressure.NextSend {
	list := x.gateway.targetList(x.gateway.View(), x.service, x.req.Model)
	if list == nil {
		return backpressure.NextSend{}
	}
	now := x.gateway.Clock.Now()
	var incarnations []backpressure.Incarnation
	var cold time.Duration // until a permit for a cold instance may be asked for
	for _, t := range list.validAt(now) {
		if x.triedInstances[t.Instance] {
			continue
		}
		if left := x.coldBlockLeft(&t, now); left > 0 {
			cold = earlierSend(cold, left)
			continue
		}
		if x.gateway.Gate.CanSend(incarnationOf(&t), now) {
			return backpressure.NextSend{}
		}
		incarnations = append(incarnations, incarnationOf(&t))
	}
	next := x.gateway.Gate.NextSend(incarnations, now)
	if cold > 0 && (next.After == 0 || cold < next.After) {
		return backpressure.NextSend{After: cold, ThisDaemon: true}
	}
	return next
}

// awaitBackoff waits until the first backoff of an instance ends, if the request can still be
// answered within its objective after that. It returns false if there is no such backoff or
// ctx ended.
func (x *exchange) awaitBackoff(ctx context.Context) bool {
	next := x.nextSend()
	remaining := x.route.LatencyObjective - x.priorWait - x.gateway.Clock.Since(x.arrivedAt)
	if !next.ThisDaemon || !dispatch.ShouldWait(next.After, remaining, x.gateway.Picker.FastestFirstEvent(x.modelKey())) {
		return false
	}
	pause.For(ctx, next.After)
	return ctx.Err() == nil
}
