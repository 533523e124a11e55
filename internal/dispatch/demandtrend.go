package dispatch

import (
	"math"
	"time"
)

// Parameters of the estimate of the current demand.
const (
	// demandWindow is the period over which daemons measure the rates that they report.
	demandWindow = time.Second
	// significantChange is by how many standard deviations of random arrivals a rate must change
	// between two reports before the change is taken for a trend.
	significantChange = 3
	// maxTrendFactor bounds the estimate, because reports of several daemons may arrive together.
	maxTrendFactor = 2.5
)

// ModelKey identifies a model of a service. Services may have models of the same name, whose engines and
// requests differ.
type ModelKey struct{ Service, Model string }

// priorityRate is the demand for a model by requests of one priority, per second.
type priorityRate struct {
	priority       int
	first, returns float64 // first attempts, later ones
}

func (r priorityRate) sum() float64 { return r.first + r.returns }

// ratesByModel returns the valid rates of the reported demand by model, ordered by priority.
func (r *PeerReports) ratesByModel() map[ModelKey][]priorityRate {
	out := map[ModelKey][]priorityRate{}
	for _, d := range r.Demand { // ordered by key
		if !d.Valid() {
			continue
		}
		key := ModelKey{d.Service, d.Model}
		out[key] = append(out[key], priorityRate{priority: d.Priority, first: d.Requests, returns: d.Returns})
	}
	return out
}

// currentRates returns the demand at the other daemons, of which this one knows no requests in flight
// since the last report. Rates are measured over a second, too long to react to a burst of a few
// seconds: a significant change between the reports is extrapolated to what arrived between them.
func currentRates(previous, latest *PeerReports, between time.Duration) map[ModelKey][]priorityRate {
	out, before := latest.ratesByModel(), previous.ratesByModel()
	daemons := float64(max(latest.Daemons, 1))
	for key, rates := range out {
		for i := range rates {
			r := &rates[i]
			for _, b := range before[key] {
				if b.priority == r.priority && previous.Daemons > 0 && between > 0 && between < demandWindow {
					same := daemons / float64(previous.Daemons) // had the same daemons reported
					r.first = currentRate(b.first*same, r.first, between)
					r.returns = currentRate(b.returns*same, r.returns, between)
				}
			}
			r.first *= 1 - 1/daemons
			r.returns *= 1 - 1/daemons
		}
	}
	return out
}

// currentRate returns the rate of arrivals between two measurements of a rate.
func currentRate(before, latest float64, between time.Duration) float64 {
	part := between.Seconds() / demandWindow.Seconds()
	change := latest - before
	if math.Abs(change) <= significantChange*math.Sqrt((before+latest)*part) {
		return latest
	}
	return min(max(before+change/part, latest/maxTrendFactor), latest*maxTrendFactor)
}
