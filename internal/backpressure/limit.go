package backpressure

import (
	"time"

	"go.uber.org/zap"
)

// How permits are used.
const (
	// permitFor is how long a permit may be used: longer ones that come into use together
	// would add up to more than the limit allows.
	permitFor = time.Second
	// aloneAfter is how long after the last answer to a question for permits a daemon sends
	// by its own pace.
	aloneAfter = 2 * time.Second
	// aloneShare is how many times its even part of the limit a daemon alone leaves unused:
	// how many daemons send is not known exactly, nor whether others have permits.
	aloneShare = 2
	// aloneDaemons stands in for the number of daemons where fewer are known.
	aloneDaemons = 16
)

// limit is what is known of one life's limit.
type limit struct {
	limit   float64   // 0: it ended
	at      time.Time // see Update.AgeUS
	changed time.Time // when this daemon came to know of the limit, its change or end
	permits []permits
	// aloneAt is when this daemon may send without a permit while nobody answers for them;
	// zero: not drawn yet.
	aloneAt time.Time
}

// permits are sends that may be made until a time.
type permits struct {
	count int
	until time.Time
}

// named takes in that a life named a limit at a time, if that is newer by some time than what
// is known.
func (g *Gate) named(life Life, to float64, at time.Time, newer time.Duration, now time.Time, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limits[life]
	if l != nil && (at.Before(l.at) || l.limit == to && at.Sub(l.at) < newer) {
		return
	}
	if l == nil {
		g.makeRoom()
		l = &limit{}
		g.limits[life] = l
		g.version.Add(1)
	}
	l.at = at
	if l.limit != to {
		l.limit, l.permits, l.aloneAt, l.changed = to, nil, time.Time{}, now
		g.tell("instance limits requests", life, zap.Float64("per_second", to), zap.String("source", source))
	}
}

// ended takes in that a life named no limit to a request sent at a time. An end of which
// another daemon told is kept even where no limit is known, to be told on.
func (g *Gate) ended(life Life, sent time.Time, toldOn bool, now time.Time, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limits[life]
	if l == nil && !toldOn || l != nil && (l.limit == 0 || !sent.After(l.at)) {
		return
	}
	if l == nil {
		g.makeRoom()
		l = &limit{}
		g.limits[life] = l
		g.version.Add(1)
	}
	if l.limit > 0 {
		g.tell("instance limits requests no more", life, zap.String("source", source))
	}
	*l = limit{at: sent, changed: now}
}

// tell logs a change and signals it; g.mu is held.
func (g *Gate) tell(what string, life Life, fields ...zap.Field) {
	g.log.Info(what, append([]zap.Field{zap.String("instance", life.Instance)}, fields...)...)
	select {
	case g.changed <- struct{}{}:
	default: // signalled already
	}
}

// makeRoom forgets the life heard of longest ago if too many are kept; g.mu is held.
func (g *Gate) makeRoom() {
	if len(g.limits) >= maxLives {
		delete(g.limits, oldest(g.limits, func(l *limit) time.Time { return l.at }))
	}
}

// Limited returns the lives that name a limit, and it.
func (g *Gate) Limited() map[Life]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[Life]float64{}
	for life, l := range g.limits {
		if l.limit > 0 {
			out[life] = l.limit
		}
	}
	return out
}

// Granted takes in the answer to a question for permits that was sent at a time.
func (g *Gate) Granted(granted []Permits, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantedAt = asked
	for _, p := range granted {
		l := g.limits[Life{p.Instance, p.Born}]
		if l != nil && l.limit > 0 && p.Count > 0 {
			l.permits = append(l.permits, permits{p.Count, asked.Add(permitFor)})
		}
	}
}

// remaining drops permits that are used up or over and returns how many are left.
func (l *limit) remaining(now time.Time) (n int) {
	for len(l.permits) > 0 && (l.permits[0].count <= 0 || !now.Before(l.permits[0].until)) {
		l.permits = l.permits[1:]
	}
	for _, p := range l.permits {
		n += p.count
	}
	return n
}

// mayUnleased tells whether a daemon that nobody grants permits may send to a limited life; g.mu
// is held. The moment is drawn when this is asked first, so that daemons which lose their
// grantors together don't send together.
func (g *Gate) mayUnleased(l *limit, now time.Time) bool {
	if now.Sub(g.grantedAt) < aloneAfter {
		l.aloneAt = time.Time{}
		return false
	}
	if l.aloneAt.IsZero() {
		apart := time.Duration(aloneShare * float64(max(g.daemons(), aloneDaemons)) / l.limit * float64(time.Second))
		l.aloneAt = now.Add(g.uniform(apart, 2*apart))
	}
	return !now.Before(l.aloneAt)
}
