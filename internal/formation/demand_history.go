package formation

import (
	"slices"
	"time"

	"pearlanding/internal/demand"
	"pearlanding/internal/routes"
)

// Smoothing of the reported demand.
const (
	// sampleInterval is the interval of the reports of demand.
	sampleInterval = 250 * time.Millisecond
	// historySamples is the number of samples whose median counts: 10.5 s. A burst of 4 s is visible
	// for 5 s, as rates are those of the last second, and does not move the median; a change that
	// lasts does after 5.25 s. A moving average would follow a short but high burst.
	historySamples = 42
	// maxSampleGap is the longest time without a sample that the next one stands for.
	maxSampleGap = 2 * time.Second
	// urgentShare is the least part of a model's work that requests of a priority make up for the priority to
	// count for the model.
	urgentShare = 0.1
)

// modelDemand is what callers ask of one model.
type modelDemand struct {
	work    float64 // full replicas
	refused float64 // fraction of the first attempts
	// unreported is the factor by which the groups in use exceed the reported work, 1 if they don't.
	unreported float64
	urgency    int // lowest priority number of its requests; 0 is the most urgent
}

// demandHistory smooths the demand for the models of one service. Before the first report the demand
// counts as zero, so that a burst at the start of the traffic does not count for more than a later one.
type demandHistory struct {
	samples  map[string]*[historySamples]modelDemand // by model
	origin   time.Time                               // from which samples are counted; zero: there is none
	last     int64                                   // number of the last sample; 0: none
	smoothed map[string]modelDemand
}

// observe records the rates of a service at a time, at most once in sampleInterval, and how many groups
// of each model serve.
func (h *demandHistory) observe(rates []demand.Rate, service string, models []routes.Model, serving []int, now time.Time) {
	if h.origin.IsZero() {
		h.origin = now.Add(-historySamples * sampleInterval)
	}
	number := int64(now.Sub(h.origin) / sampleInterval)
	if number <= h.last {
		return
	}
	first := max(h.last+1, number-historySamples+1)
	if h.samples == nil || now.Sub(h.origin.Add(time.Duration(h.last)*sampleInterval)) > maxSampleGap {
		h.samples, first = map[string]*[historySamples]modelDemand{}, number
	}
	h.last, h.smoothed = number, map[string]modelDemand{}
	current := demandByModel(rates, service)
	for i, m := range models {
		sample := current[m.Name]
		sample.unreported = unreportedFactor(sample, serving[i])
		ring := h.samples[m.Name]
		if ring == nil {
			ring = &[historySamples]modelDemand{}
			h.samples[m.Name] = ring
		}
		for n := first; n <= number; n++ {
			ring[n%historySamples] = sample
		}
		if smoothed := smooth(ring, sample); smoothed.work > 0 {
			h.smoothed[m.Name] = smoothed
		}
	}
}

// smooth returns the medians of the samples of a model, with the urgency of the last one.
func smooth(ring *[historySamples]modelDemand, last modelDemand) modelDemand {
	return modelDemand{
		work:       median(ring, func(d modelDemand) float64 { return d.work }),
		refused:    median(ring, func(d modelDemand) float64 { return d.refused }),
		unreported: max(median(ring, func(d modelDemand) float64 { return d.unreported }), 1),
		urgency:    last.urgency,
	}
}

// unreportedFactor returns by what factor the demand of a model is higher than reported. Groups of a model
// that refuses requests are in full use: if the work that they are reported to do is less, reports are
// missing.
func unreportedFactor(d modelDemand, serving int) float64 {
	served := d.work * (1 - d.refused)
	if d.refused < overloadRefusedShare || served <= 0 {
		return 1
	}
	return min(max(float64(serving)/served, 1), maxUnreportedFactor)
}

// median returns the median of one figure of the samples.
func median(ring *[historySamples]modelDemand, figure func(modelDemand) float64) float64 {
	var list [historySamples]float64
	for i, d := range ring {
		list[i] = figure(d)
	}
	slices.Sort(list[:])
	return list[historySamples/2]
}

// demandByModel sums up the valid rates of a service by model.
func demandByModel(rates []demand.Rate, service string) map[string]modelDemand {
	type sums struct{ requests, refused float64 }
	out, counts := map[string]modelDemand{}, map[string]sums{}
	for _, r := range rates {
		if r.Service != service || !r.Valid() {
			continue
		}
		d, c := out[r.Model], counts[r.Model]
		d.work += r.Work
		c.requests += r.Requests
		c.refused += r.Refused
		out[r.Model], counts[r.Model] = d, c
	}
	for model, d := range out {
		if c := counts[model]; c.requests > 0 {
			d.refused = min(c.refused/c.requests, 1)
		}
		d.urgency = leastUrgent
		for _, r := range rates {
			if r.Service == service && r.Model == model && r.Valid() && r.Work >= urgentShare*d.work {
				d.urgency = min(d.urgency, r.Priority)
			}
		}
		out[model] = d
	}
	return out
}

// leastUrgent is the urgency of a model without demand.
const leastUrgent = 1 << 20
