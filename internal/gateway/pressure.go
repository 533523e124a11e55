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

func lifeOf(t *dispatch.Target) backpressure.Life {
	return backpressure.Life{Instance: t.Instance, Born: t.Born}
}

// open returns the targets of a list that a request may be sent to now, by what their instances
// say of themselves.
func (g *Gateway) open(list *targetList) []dispatch.Target {
	now := g.Clock.Now()
	targets, version := list.at(now), g.Gate.Version()
	if list.unknown.Load() == version+1 {
		return targets
	}
	if !g.Gate.KnowsAny(list.lives) {
		list.unknown.Store(version + 1)
		return targets
	}
	closed := func(t dispatch.Target) bool { return !g.Gate.Open(lifeOf(&t), now) }
	if !slices.ContainsFunc(targets, closed) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), closed)
}

// withheld returns the test whether the request that is about to be written to a target must
// not be.
func (x *exchange) withheld(t *dispatch.Target) func() bool {
	life, permit, g := lifeOf(t), x.permit, x.gateway
	return func() bool {
		closed := g.Gate.Closed(life, permit, g.Clock.Now())
		if closed {
			g.Metrics.set.GetOrCreateCounter("pearlanding_sends_withheld_total").Inc()
		}
		return closed
	}
}

// hear takes in what an answer says of the instance that made it.
func (g *Gateway) hear(t *dispatch.Target, resp *http.Response, sent time.Time) {
	signals, err := g.Codec.Signals(resp.StatusCode, resp.Header)
	if err != nil {
		g.Metrics.set.GetOrCreateCounter("pearlanding_upstream_signals_invalid_total").Inc()
		if text, first := g.invalid.note(err.Error()); first {
			g.Log.Warn("instance's word of itself not understood", zap.String("decision", "as_if_not_said"), zap.String("instance", t.Instance), zap.String("error", text))
		}
	}
	g.Gate.Observe(lifeOf(t), signals, sent, g.Clock.Now())
}

// free returns when a request may be sent again that what all instances that are left say of
// themselves keeps back.
func (x *exchange) free() backpressure.Free {
	list := x.gateway.listed(x.gateway.View(), x.service, x.req.Model)
	if list == nil {
		return backpressure.Free{}
	}
	now := x.gateway.Clock.Now()
	var lives []backpressure.Life
	for _, t := range list.at(now) {
		if x.tried[t.Instance] {
			continue
		}
		if x.gateway.Gate.Open(lifeOf(&t), now) {
			return backpressure.Free{}
		}
		lives = append(lives, lifeOf(&t))
	}
	return x.gateway.Gate.FreeIn(lives, now)
}

// awaitRest waits for the first instance whose rest ends so early that the request can still be
// answered within its objective; false: there is none.
func (x *exchange) awaitRest(ctx context.Context) bool {
	free := x.free()
	left := x.route.Objective - x.waitedBefore - x.gateway.Clock.Since(x.now)
	if !free.Here || !dispatch.WorthWaiting(free.In, left, x.gateway.Picker.Floor(x.req.Model)) {
		return false
	}
	pause.For(ctx, free.In)
	return ctx.Err() == nil
}
