package dispatch

import (
	"math"
	"time"
)

// Parameters of the correction for missing reports.
const (
	// maxMissingFactor bounds the correction: with three zones, of which none reaches another, a
	// third of the daemons report.
	maxMissingFactor = 3
	// daemonsRetention is how long a larger number of daemons is remembered, twice that at most. Reports
	// that are missing for longer than an outage are those of daemons that were removed.
	daemonsRetention = 10 * time.Minute
	// missingGain is the part of an observed deviation that a report corrects, as an exponent. A burst lasts
	// some ten reports: with much less it is half over before the correction, with more than 1 it overshoots.
	missingGain = 0.5
)

// missingReports estimates by which factor the reported loads and demand are too low. They are if daemons
// reported before and do not now, but then they may also be lost together with their callers: the
// factor follows what replicas show.
type missingReports struct {
	// The largest numbers of daemons that reported, in the current period of daemonsRetention and in the
	// one before.
	most, mostBefore int
	since            time.Time
	largest          float64 // that the factor can be now
	factor           float64
}

// note records the number of daemons of a report.
func (m *missingReports) note(daemons int, now time.Time) {
	if now.Sub(m.since) > daemonsRetention {
		m.most, m.mostBefore, m.since = 0, m.most, now
	}
	m.most = max(m.most, daemons)
	m.largest = min(float64(max(m.most, m.mostBefore))/float64(max(daemons, 1)), maxMissingFactor)
	m.set(m.factor)
}

// observe records how many requests replicas show to have in progress, and how many they were taken to
// have, with the factor.
func (m *missingReports) observe(shown, taken float64) {
	if taken > 0 {
		m.set(m.factor * math.Pow(shown/taken, missingGain))
	}
}

func (m *missingReports) set(factor float64) { m.factor = max(min(factor, m.largest), 1) }
