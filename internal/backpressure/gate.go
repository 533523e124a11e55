package backpressure

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Times of a gate.
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
	// maxLives bounds what is kept; the life heard of longest ago goes first.
	maxLives = 8192
)

// Gate decides whether a request may be sent to an instance now. Make one with NewGate; safe
// for concurrent use.
type Gate struct {
	log *zap.Logger
	// daemons returns how many daemons are known to send, this one included.
	daemons func() int
	// uniform returns a duration in [least, most) by chance.
	uniform func(least, most time.Duration) time.Duration

	mu     sync.Mutex
	limits map[Life]*limit
	// rests is until when instances want no request from this daemon.
	rests map[Life]time.Time
	// leaving is the lives that said they leave, by instance.
	leaving map[string]departure
	// grantedAt is when a question for permits was answered last, with or without any.
	grantedAt time.Time
	told      int // words of old that were told
	changed   chan struct{}
}

// limit is what is known of one life's limit.
type limit struct {
	limit   float64   // 0: it ended
	at      time.Time // see Word.AgeUS
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

// NewGate returns a gate that knows of no limit.
func NewGate(daemons func() int, uniform func(least, most time.Duration) time.Duration, log *zap.Logger) *Gate {
	return &Gate{log: log, daemons: daemons, uniform: uniform, limits: map[Life]*limit{}, rests: map[Life]time.Time{}, leaving: map[string]departure{}, changed: make(chan struct{}, 1)}
}

// Idle tells whether nothing is known of any instance.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.limits) == 0 && len(g.rests) == 0 && len(g.leaving) == 0
}

// Quiet tells whether no limit is known, nor the end of one.
func (g *Gate) Quiet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.limits) == 0
}

// Changed is signalled when a limit is named, changed or ended.
func (g *Gate) Changed() <-chan struct{} { return g.changed }

// Hear takes in what the answer to a request says that was sent at a time and answered now.
func (g *Gate) Hear(life Life, s Signals, sent, now time.Time) {
	if s.Leaving {
		g.leaves(life, now)
	}
	if s.Rest > 0 {
		g.rest(life, min(s.Rest, MostRest), now)
	}
	switch {
	case s.Limit > 0:
		g.named(life, clampLimit(s.Limit), now, 0, now, "answer")
	case s.Conclusive:
		g.ended(life, sent, false, now, "answer")
	}
}

// departure is the life of an instance that leaves.
type departure struct {
	born int64
	at   time.Time // when it said so first
}

// leaves takes in that a life leaves, which holds until it ends.
func (g *Gate) leaves(life Life, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isLeaving(life) {
		return
	}
	if _, known := g.leaving[life.Instance]; !known && len(g.leaving) >= maxLives {
		delete(g.leaving, oldest(g.leaving, func(d departure) time.Time { return d.at }))
	}
	g.leaving[life.Instance] = departure{life.Born, now}
	g.log.Info("instance says that it leaves", zap.String("instance", life.Instance), zap.Int64("born", life.Born))
}

// isLeaving tells whether a life said that it leaves; one whose start is not told may be any life
// of its instance. g.mu is held.
func (g *Gate) isLeaving(life Life) bool {
	d, known := g.leaving[life.Instance]
	return known && (d.born == life.Born || d.born == 0 || life.Born == 0)
}

// oldest returns the key whose value has the earliest time.
func oldest[K comparable, V any](m map[K]V, at func(V) time.Time) (key K) {
	var first time.Time
	for k, v := range m {
		if t := at(v); first.IsZero() || t.Before(first) {
			key, first = k, t
		}
	}
	return key
}

// rest takes in that a life asks for rest from now on. Of two rests the later end holds.
func (g *Gate) rest(life Life, lasts time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.rests) >= maxLives {
		g.endRests(now)
	}
	until, known := g.rests[life]
	if !known && len(g.rests) >= maxLives {
		return
	}
	if !now.Before(until) {
		g.log.Info("instance asks for rest", zap.String("instance", life.Instance), zap.Int64("rest_ms", lasts.Milliseconds()))
	}
	if end := now.Add(lasts); end.After(until) {
		g.rests[life] = end
	}
}

// endRests forgets the rests that are over; g.mu is held.
func (g *Gate) endRests(now time.Time) {
	maps.DeleteFunc(g.rests, func(_ Life, until time.Time) bool { return !now.Before(until) })
}

// Resting returns how many lives want no request from this daemon.
func (g *Gate) Resting(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endRests(now)
	return len(g.rests)
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
	if l == nil && !toldOn || l != nil && !sent.After(l.at) {
		return
	}
	if l == nil {
		g.makeRoom()
		l = &limit{changed: now}
		g.limits[life] = l
	}
	l.at = sent
	if l.limit > 0 {
		l.limit, l.permits, l.aloneAt, l.changed = 0, nil, time.Time{}, now
		g.tell("instance limits requests no more", life, zap.String("source", source))
	}
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

// Sweep forgets rests that are over, and limits that ended and are not told on any more.
func (g *Gate) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endRests(now)
	for life, l := range g.limits {
		if l.limit == 0 && now.Sub(l.at) >= endedFor {
			delete(g.limits, life)
		}
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

// shut tells whether a life wants no request at all now; g.mu is held.
func (g *Gate) shut(life Life, now time.Time) bool {
	return now.Before(g.rests[life]) || g.isLeaving(life)
}

// Open tells whether a request could be sent to a life now.
func (g *Gate) Open(life Life, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut(life, now) {
		return false
	}
	l := g.limits[life]
	return l == nil || l.limit == 0 || l.left(now) > 0 || g.mayAlone(l, now)
}

// Take takes the right to send one request to a life now; false: there is none. permit tells
// that the life limits its requests, and one of its permits was used.
func (g *Gate) Take(life Life, now time.Time) (permit, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut(life, now) {
		return false, false
	}
	l := g.limits[life]
	switch {
	case l == nil || l.limit == 0:
		return false, true
	case l.left(now) > 0:
		l.permits[0].count--
		return true, true
	case g.mayAlone(l, now):
		l.aloneAt = time.Time{}
		return true, true
	}
	return false, false
}

// Closed tells whether a request that took the right to be sent to a life, with a permit or
// without, must not be written now: what the life said came to be known since.
func (g *Gate) Closed(life Life, permit bool, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut(life, now) {
		return true
	}
	l := g.limits[life]
	return !permit && l != nil && l.limit > 0
}

// Free is when requests may be sent again.
type Free struct {
	In time.Duration // 0: nothing keeps them back
	// Here: this daemon may send then; otherwise some daemon may.
	Here bool
}

// FreeIn returns when the first of some lives may be sent requests again.
func (g *Gate) FreeIn(lives []Life, now time.Time) (first Free) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, life := range lives {
		if g.isLeaving(life) {
			continue
		}
		free := Free{max(g.rests[life].Sub(now), 0), true}
		if l := g.limits[life]; l != nil && l.limit > 0 {
			free = Free{max(free.In, time.Duration(float64(time.Second)/l.limit)), false}
		}
		if free.In > 0 && (first.In == 0 || free.In < first.In) {
			first = free
		}
	}
	return first
}

// left drops permits that are used up or over and returns how many are left.
func (l *limit) left(now time.Time) (n int) {
	for len(l.permits) > 0 && (l.permits[0].count <= 0 || !now.Before(l.permits[0].until)) {
		l.permits = l.permits[1:]
	}
	for _, p := range l.permits {
		n += p.count
	}
	return n
}

// mayAlone tells whether a daemon that nobody grants permits may send to a limited life; g.mu
// is held. The moment is drawn when this is asked first, so that daemons which lose their
// grantors together don't send together.
func (g *Gate) mayAlone(l *limit, now time.Time) bool {
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
