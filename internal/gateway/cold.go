package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/routes"
)

// maxColdAsks bounds the permits for cold instances that one choice of a target asks for: with many
// cold instances, all requests together would load the relay with more calls than it has permits.
const maxColdAsks = 4

// coldRuleOf returns a service's rule on cold instances.
func coldRuleOf(s *routes.Service) backpressure.ColdRule {
	if s == nil {
		return backpressure.ColdRule{}
	}
	return backpressure.ColdRule{Duration: s.ColdStart, PerSecond: s.ColdPerSecond}
}

func (x *exchange) coldRule() backpressure.ColdRule { return coldRuleOf(x.service) }

// withoutColdBlocked returns the targets without cold instances for which this daemon was refused a permit
// a moment ago.
func (g *Gateway) withoutColdBlocked(targets []dispatch.Target, service *routes.Service) []dispatch.Target {
	rule := coldRuleOf(service)
	if !rule.Active() {
		return targets
	}
	now := g.Clock.Now()
	if g.Gate.Cold.None(rule, now) || !g.Gate.Cold.AnyBlocked(now) {
		return targets
	}
	blocked := func(t dispatch.Target) bool { return g.coldBlockLeft(t.Instance, rule, now) > 0 }
	if !slices.ContainsFunc(targets, blocked) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), blocked)
}

// coldBlockLeft returns for how long an instance that is cold gets no request because this daemon was
// refused a permit.
func (g *Gateway) coldBlockLeft(instance string, rule backpressure.ColdRule, now time.Time) time.Duration {
	if left := g.Gate.Cold.BlockLeft(instance, now); left > 0 && g.Gate.Cold.IsCold(instance, rule, now) {
		return left
	}
	return 0
}

// coldBlockLeft is Gateway.coldBlockLeft for a target of the request.
func (x *exchange) coldBlockLeft(t *dispatch.Target, now time.Time) time.Duration {
	rule, cold := x.coldRule(), &x.gateway.Gate.Cold
	if !rule.Active() || !cold.IsCold(t.Instance, rule, now) {
		return 0
	}
	if left := cold.BlockLeft(t.Instance, now); left > 0 || !x.coldAsksSpent {
		return left
	}
	return backpressure.MinColdBlock
}

// earlierSend returns the earlier of two times to wait, of which the first may be 0 for none.
func earlierSend(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// permitCold reports whether the request may be sent to a target as far as the rule on cold instances is
// concerned. If the target is cold, the request then holds a permit. asked counts the permits that were
// asked for.
func (x *exchange) permitCold(ctx context.Context, t *dispatch.Target, asked *int) bool {
	x.coldPermit = backpressure.ColdPermit{}
	rule, g := x.coldRule(), x.gateway
	if !rule.Active() || !g.Gate.Cold.IsCold(t.Instance, rule, g.Clock.Now()) {
		return true
	}
	*asked++
	permit, ok := g.takeColdPermit(ctx, t.Instance, rule)
	x.coldPermit = permit
	return ok
}

// renewColdPermit reports whether a request that holds a permit, or none, may be written to an instance
// now. If the instance is cold and the permit has expired, it takes another one.
func (g *Gateway) renewColdPermit(held backpressure.ColdPermit, instance string, rule backpressure.ColdRule) bool {
	if !rule.Active() {
		return true
	}
	now := g.Clock.Now()
	if !g.Gate.Cold.IsCold(instance, rule, now) || held.Valid(instance, now) {
		return true
	}
	_, ok := g.takeColdPermit(context.Background(), instance, rule)
	return ok
}

// takeColdPermit takes a permit for one send to a cold instance; false: there is none.
func (g *Gateway) takeColdPermit(ctx context.Context, instance string, rule backpressure.ColdRule) (backpressure.ColdPermit, bool) {
	permit, result := g.Gate.TakeColdPermit(ctx, g.ColdPermit, instance, rule, g.Clock.Now)
	if result == "" {
		return permit, false
	}
	g.Metrics.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_cold_permits_total{result=%q}", string(result))).Inc()
	return permit, permit.Valid(instance, g.Clock.Now())
}
