package front

import (
	"context"
	"go.uber.org/zap"
	"slices"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/quarantine"
)

// buildQuarantine makes what keeps requests that end instances from being sent on.
func (d *Daemon) buildQuarantine(s Settings) {
	evidence := quarantine.NewEvidence()
	d.watch = quarantine.NewWatch(evidence, d.pool.Probe, d.Clock.Now, d.Log)
	d.keeper = &quarantine.Keeper{
		Feed: d.Outside.Feed, Key: RefusedKey, Watch: d.watch, Alone: s.Peers == "",
		Writes:  func() bool { return d.relay == nil || d.relay.Holding() || d.relay.Unheard() },
		Uniform: d.uniform, Wall: d.Clock.Now, Log: d.Log, Kick: make(chan struct{}, 1),
	}
	d.Metrics.GetOrCreateGauge("pearlanding_instances_ended", func() float64 { return float64(d.watch.Ends()) })
	d.Metrics.GetOrCreateGauge("pearlanding_contents_marked", func() float64 { marked, _ := evidence.Counts(); return float64(marked) })
	d.Metrics.GetOrCreateGauge("pearlanding_contents_refused", func() float64 { _, refused := evidence.Counts(); return float64(refused) })
}

// listed takes in what the relays' kind holds beside them.
func (d *Daemon) listed(l objectapi.Listing) {
	d.refusedKnown.Store(true)
	i := slices.IndexFunc(l.Objects, func(o objectapi.Object) bool { return o.Key == RefusedKey })
	if i < 0 {
		return
	}
	if err := d.keeper.Take(l.Objects[i].Value); err != nil {
		d.Log.Error("refused requests in the store not understood", zap.String("decision", "keep_what_is_known"), zap.Error(err))
	}
}

// passOn lets the relay pass on at once what is new of requests that end instances, and the
// keeper save it.
func (d *Daemon) passOn(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.watch.Evidence.Changed():
			if d.relay != nil {
				d.relay.Kick()
			}
			select {
			case d.keeper.Kick <- struct{}{}:
			default:
			}
		}
	}
}
