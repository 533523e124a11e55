package front

import (
	"context"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/quarantine"
)

// buildQuarantine creates the watch and the keeper that stop requests that crash instances from
// being repeated.
func (d *Daemon) buildQuarantine(s Settings) {
	evidence := quarantine.NewEvidence()
	d.detector = quarantine.NewDetector(evidence, d.pool.Probe, d.Clock.Now, d.Log)
	d.detector.RunClock = d.runClock
	d.detector.ReachesOther = d.reachesOtherInstance
	d.persister = &quarantine.Persister{
		Feed: d.Platform.Feed, Key: RefusedRequestsKey, Detector: d.detector, Standalone: s.PeerAddress == "",
		IsWriter: func() bool { return d.relay == nil || d.relay.IsRelay() || d.relay.RelayUnresponsive() },
		Uniform:  d.uniform, WallClock: d.Clock.Now, Log: d.Log, Wake: make(chan struct{}, 1),
	}
	d.Metrics.GetOrCreateGauge("pearlanding_instances_ended", func() float64 { return float64(d.detector.Crashes()) })
	d.Metrics.GetOrCreateGauge("pearlanding_contents_marked", func() float64 { marked, _ := evidence.Counts(); return float64(marked) })
	d.Metrics.GetOrCreateGauge("pearlanding_prompt_parts_refused", func() float64 { return float64(evidence.QuarantinedParts()) })
	d.Metrics.GetOrCreateGauge("pearlanding_contents_refused", func() float64 { _, refused := evidence.Counts(); return float64(refused) })
}

// reachabilityProbes is how many other instances are probed at the same time to find out whether this
// daemon reaches any: some of them may have crashed together.
const reachabilityProbes = 3

// reachesOtherInstance reports whether an instance at another address accepts connections from this
// daemon, by any path.
func (d *Daemon) reachesOtherInstance(ctx context.Context, address string) bool {
	return d.anyOtherInstance(ctx, address, d.pool.Probe)
}

// anyOtherInstance reports whether a probe of any of reachabilityProbes instances at other addresses
// succeeds.
func (d *Daemon) anyOtherInstance(ctx context.Context, address string, probe func(ctx context.Context, address string) error) bool {
	view := d.instances.View()
	if view == nil {
		return false
	}
	var others []string
	for _, in := range view.Instances {
		if in.Address != address {
			others = append(others, in.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), reachabilityProbes)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(others))
	for _, other := range others {
		go func() { results <- probe(ctx, other) }()
	}
	for range others {
		if <-results == nil {
			return true
		}
	}
	return false
}

// takeRelayListing takes the record of refused requests from a listing of the relays' kind.
func (d *Daemon) takeRelayListing(l objectapi.Listing) {
	d.refusedLoaded.Store(true)
	i := slices.IndexFunc(l.Objects, func(o objectapi.Object) bool { return o.Key == RefusedRequestsKey })
	if i < 0 {
		return
	}
	if err := d.persister.Load(l.Objects[i].Value); err != nil {
		d.Log.Error("cannot decode refused requests in the store", zap.String("decision", "keep_what_is_known"), zap.Error(err))
	}
}

// forwardEvidence makes the relay forward and the keeper save new evidence about requests that
// crash instances at once.
func (d *Daemon) forwardEvidence(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.detector.Evidence.Changed():
			if d.relay != nil {
				d.relay.SyncNow()
			}
			select {
			case d.persister.Wake <- struct{}{}:
			default:
			}
		}
	}
}
