package gateway

import (
	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/upstream"
)

// unrelatedToTarget reports whether the error of a send has a cause other than its target: the target must not
// be suspected for it.
func unrelatedToTarget(err error) bool {
	return errors.Is(err, upstream.ErrWithheld) || errors.Is(err, upstream.ErrNoPath) || errors.Is(err, upstream.ErrMemory) || errors.Is(err, errEndAtDeadline)
}

// noteLargeHead counts and logs a response head that was refused for its size.
func (g *Gateway) noteLargeHead(t *dispatch.Target, err error) {
	if !errors.Is(err, upstream.ErrHeadTooLarge) {
		return
	}
	g.Metrics.set.GetOrCreateCounter("pearlanding_upstream_heads_too_large_total").Inc()
	g.Log.Warn("response head too large", zap.String("instance", t.Instance), zap.String("decision", "connection_closed_instance_suspected"))
}
