package backpressure

import (
	"time"

	"go.uber.org/zap"
)

// Parameters of the use of permits.
const (
	// permitTTL is how long a permit may be used. If it were longer, permits that are used together
	// would exceed the limit.
	permitTTL = time.Second
	// grantTimeout is how long after its last answered request for permits a daemon starts to send
	// without permits, at its own pace.
	grantTimeout = 2 * time.Second
	// unpermittedSpacing is the least interval between sends without permits, in multiples of the
	// interval between the requests of an even share of the limit: the number of sending daemons is
	// not known exactly, nor whether others have permits.
	unpermittedSpacing = 2
	// minKnownDaemons replaces a lower number of known daemons in that calculation.
	minKnownDaemons = 16
)

// limit is the known limit of one incarnation.
type limit struct {
	perSecond float64   // requests a second; 0: it ended
	asOf      time.Time // when it was named, or shown to have ended; see Update.AgeUS
	changedAt time.Time // when this daemon learned of the limit, its change or its end
	batches   []permitBatch
	// unpermittedAt is when this daemon may send without a permit while nobody grants any; zero:
	// not drawn yet.
	unpermittedAt time.Time
}

// permitBatch is a number of sends that may be made until a time.
type permitBatch struct {
	count int
	until time.Time
}

// setLimit records a limit that an incarnation named at a time. It does nothing if a later limit or
// end is known, or if the same limit is known and is less than newerBy older.
func (g *Gate) setLimit(inc Incarnation, perSecond float64, namedAt time.Time, newerBy time.Duration, now time.Time, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limits[inc]
	if l != nil && (namedAt.Before(l.asOf) || l.perSecond == perSecond && namedAt.Sub(l.asOf) < newerBy) {
		return
	}
	if l == nil {
		g.evictOldest()
		l = &limit{}
		g.limits[inc] = l
		g.version.Add(1)
	}
	l.asOf = namedAt
	if l.perSecond != perSecond {
		l.perSecond, l.batches, l.unpermittedAt, l.changedAt = perSecond, nil, time.Time{}, now
		g.notifyChange("instance limits requests", inc, zap.Float64("per_second", perSecond), zap.String("source", source))
	}
}

// endLimit records that an incarnation named no limit in its answer to a request sent at a time. An
// end forwarded by another daemon is kept even without a known limit, to be forwarded in turn.
func (g *Gate) endLimit(inc Incarnation, sent time.Time, forwarded bool, now time.Time, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limits[inc]
	if l == nil && !forwarded || l != nil && (l.perSecond == 0 || !sent.After(l.asOf)) {
		return
	}
	if l == nil {
		g.evictOldest()
		l = &limit{}
		g.limits[inc] = l
		g.version.Add(1)
	}
	if l.perSecond > 0 {
		g.notifyChange("instance request limit ended", inc, zap.String("source", source))
	}
	*l = limit{asOf: sent, changedAt: now}
}

// notifyChange logs and signals a change; g.mu is held.
func (g *Gate) notifyChange(message string, inc Incarnation, fields ...zap.Field) {
	g.log.Info(message, append([]zap.Field{zap.String("instance", inc.Instance)}, fields...)...)
	select {
	case g.changed <- struct{}{}:
	default: // already signalled
	}
}

// evictOldest removes the limit with the oldest report if there are too many; g.mu is held.
func (g *Gate) evictOldest() {
	if len(g.limits) >= maxIncarnations {
		delete(g.limits, oldest(g.limits, func(l *limit) time.Time { return l.asOf }))
	}
}

// Limited returns the limit of each incarnation that has one.
func (g *Gate) Limited() map[Incarnation]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[Incarnation]float64{}
	for inc, l := range g.limits {
		if l.perSecond > 0 {
			out[inc] = l.perSecond
		}
	}
	return out
}

// AddPermits stores the permits of the answer to a request for permits that was sent at a time.
func (g *Gate) AddPermits(permits []Permits, askedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.permitsAskedAt = askedAt
	for _, p := range permits {
		l := g.limits[Incarnation{p.Instance, p.StartedAt}]
		if l != nil && l.perSecond > 0 && p.Count > 0 {
			l.batches = append(l.batches, permitBatch{p.Count, askedAt.Add(permitTTL)})
		}
	}
}

// remaining drops used and expired permits and returns how many are left.
func (l *limit) remaining(now time.Time) (n int) {
	for len(l.batches) > 0 && (l.batches[0].count <= 0 || !now.Before(l.batches[0].until)) {
		l.batches = l.batches[1:]
	}
	for _, p := range l.batches {
		n += p.count
	}
	return n
}

// maySendWithoutPermit reports whether this daemon may send to a limited incarnation because nobody
// grants permits; g.mu is held. The time of the send is drawn at random on the first call, so that
// daemons that lose their granting daemons together don't send together.
func (g *Gate) maySendWithoutPermit(l *limit, now time.Time) bool {
	if now.Sub(g.permitsAskedAt) < grantTimeout {
		l.unpermittedAt = time.Time{}
		return false
	}
	if l.unpermittedAt.IsZero() {
		spacing := time.Duration(unpermittedSpacing * float64(max(g.daemons(), minKnownDaemons)) / l.perSecond * float64(time.Second))
		l.unpermittedAt = now.Add(g.uniform(spacing, 2*spacing))
	}
	return !now.Before(l.unpermittedAt)
}
