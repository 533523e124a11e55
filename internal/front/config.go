package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/gateway"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
)

// Periods of following the configuration. Every call has its price, and there may
// be hundreds of daemons; but a watch may hear nothing, so reads alone decide.
const (
	// configPart of the bound on a change, and revokePart of the bound on removed
	// keys, may pass between two reads; the rest is for slow answers and, for keys,
	// for a read that is lost.
	configPart = 0.7
	revokePart = 0.5
	// relayPart of that time is what a relay takes: its peers count their proofs from
	// its reads, and must hear of the next one before they ask themselves.
	relayPart = 0.5
	// defaultRead stands in where the deployment sets neither bound.
	defaultRead = 2 * time.Second
	// retryPause follows a read that failed; it doubles with each further one up to
	// retryMost, as hundreds of daemons ask a store that is down.
	retryPause = 300 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// leastPause is kept between any two reads.
	leastPause = 100 * time.Millisecond
	// firstPause follows a read that found no configuration. The daemon that plans
	// asks again after leastPause: groups should form as soon as there is one. One that
	// hears of the first through a relay waits for that.
	firstPause   = 500 * time.Millisecond
	firstRelayed = 2 * time.Second
	// bootstrapPatience is how long a daemon waits for a relay's word before its first read
	// where all start together for the first time, before any caller: with it the read may be
	// an old one, at a tenth of the price. One that starts later reads at once: waiting 0.15 s
	// cost 119 refusals in the second after a loss of power (7 daemons).
	bootstrapPatience = 2 * time.Second
)

// readEvery is how often the whole configuration is read: each read is both the
// news and the proof that there is none.
func readEvery(b Bounds) time.Duration {
	every := defaultRead
	if b.Config > 0 {
		every = min(every, time.Duration(configPart*float64(b.Config)))
	}
	if b.Revoke > 0 {
		every = min(every, time.Duration(revokePart*float64(b.Revoke)))
	}
	return every
}

// configFollower keeps the configuration in force. Within its life it never goes
// back to an older version, whatever order answers arrive in. Run owns its state.
type configFollower struct {
	clock   *steady.Clock // nil: this machine's
	feed    objectapi.Feed
	key     string
	decode  func(value []byte) (*routes.Config, error)
	log     *zap.Logger
	version uint64 // of the store's object
	lost    bool
	bounds  func() Bounds
	changed func() // called after another configuration came into force
	// noted, if set, is told of every read: the object's version and when it was
	// asked for. serving, if set, tells that peers count on these reads.
	noted   func(version uint64, asked time.Time)
	serving func() bool
	// planning, if set, tells that this daemon forms the groups.
	planning func() bool
	// relayed, if set, tells that other daemons' words come through a relay; startPatience
	// is how long the first is waited for, 0: not at all.
	relayed       func() bool
	startPatience time.Duration
	heard         chan confirmation
	current       atomic.Pointer[gateway.Config]
}

// confirmation is another daemon's word that the configuration's object had a
// version at a time.
type confirmation struct {
	version uint64
	proved  time.Time
}

// confirm takes in another daemon's word. It never blocks; only the newest counts.
func (f *configFollower) confirm(version uint64, proved time.Time) {
	select {
	case <-f.heard:
	default:
	}
	select {
	case f.heard <- confirmation{version, proved}:
	default:
	}
}

// Current returns the configuration in force; its table is nil before the first.
func (f *configFollower) Current() gateway.Config {
	if c := f.current.Load(); c != nil {
		return *c
	}
	return gateway.Config{}
}

// Table returns the table in force, or nil.
func (f *configFollower) Table() *routes.Table { return f.Current().Table }

// Run follows until ctx ends.
func (f *configFollower) Run(ctx context.Context) {
	retry := retryPause
	hint := f.awaitHint(ctx)
	for ctx.Err() == nil {
		proved, err := f.read(ctx, hint)
		next := proved.Add(f.interval())
		switch {
		case err == nil:
			retry = retryPause
		case errors.Is(err, objectapi.ErrNotFound):
			next = f.clock.Now().Add(f.untilFirst())
		default:
			next, retry = f.clock.Now().Add(retry), min(2*retry, retryMost)
		}
		pause.For(ctx, leastPause)
		hint = f.rest(ctx, next, err == nil || errors.Is(err, objectapi.ErrNotFound))
	}
}

// awaitHint waits at the start for another daemon's word, as long as none counts on this one.
func (f *configFollower) awaitHint(ctx context.Context) *confirmation {
	for end := f.clock.Now().Add(f.startPatience); ctx.Err() == nil && f.clock.Now().Before(end); {
		if f.serving != nil && f.serving() {
			return nil
		}
		select {
		case c := <-f.heard:
			return &c
		case <-time.After(leastPause):
		case <-ctx.Done():
		}
	}
	return nil
}

// read reads the configuration and returns since when it is proved. With another daemon's
// word that there is a newer version an old read is enough if it shows that version or one
// after it: what was current then is not newer. Each change is read by all daemons.
func (f *configFollower) read(ctx context.Context, hint *confirmation) (proved time.Time, err error) {
	if hint != nil {
		o, err := f.feed.GetStale(ctx, f.key)
		if errors.Is(err, objectapi.ErrUnavailable) {
			f.take(o, err, f.clock.Now())
			return f.clock.Now(), err
		}
		if err == nil && o.Version >= hint.version {
			f.takeFrom(sourceOldRead, o, nil, hint.proved)
			return hint.proved, nil
		}
	}
	asked := f.clock.Now()
	o, err := f.feed.Get(ctx, f.key)
	f.take(o, err, asked)
	return asked, err
}

// interval is the time between two reads, as long as nobody else confirms what is
// in force.
func (f *configFollower) interval() time.Duration {
	every := readEvery(f.bounds())
	if f.serving != nil && f.serving() {
		every = time.Duration(relayPart * float64(every))
	}
	return every
}

// untilFirst is the pause after a read that found no configuration.
func (f *configFollower) untilFirst() time.Duration {
	switch {
	case f.planning != nil && f.planning():
		return leastPause
	case f.relayed != nil && f.relayed():
		return firstRelayed
	}
	return firstPause
}

// rest waits until it is time to read: when the proof gets old, or when another
// daemon has seen a newer version, its hint, and the store answered lately.
func (f *configFollower) rest(ctx context.Context, next time.Time, reached bool) (hint *confirmation) {
	timer := time.NewTimer(f.clock.Until(next))
	defer timer.Stop()
	resumed := f.clock.Resumed()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			return nil
		case <-resumed:
			return nil // the timer stood still
		case c := <-f.heard:
			if c.version > f.version && reached {
				return &c
			}
			if f.confirmed(c) {
				timer.Reset(f.clock.Until(c.proved.Add(f.interval())))
			}
		}
	}
}

// confirmed makes a confirmation of the version in force its proof; false: it is
// no news.
func (f *configFollower) confirmed(c confirmation) bool {
	current := f.Current()
	if c.version != f.version || current.Table == nil || !c.proved.After(current.Proved) {
		return false
	}
	f.current.Store(&gateway.Config{Table: current.Table, Proved: c.proved})
	return true
}

// Where a configuration and its proof come from, as logged.
const (
	sourceRead    = "read"                  // one whole read proves it
	sourceOldRead = "old_read_relays_proof" // a read that may be old, and a relay's word
)

// take takes one whole read. asked is when it was sent: it proves what it shows from
// then on.
func (f *configFollower) take(o objectapi.Object, err error, asked time.Time) {
	f.takeFrom(sourceRead, o, err, asked)
}

func (f *configFollower) takeFrom(source string, o objectapi.Object, err error, asked time.Time) {
	if err != nil {
		if !f.lost && !errors.Is(err, objectapi.ErrNotFound) {
			f.lost = true
			f.log.Warn("store not reached", zap.String("decision", "keep_configuration"), zap.Uint64("version", f.version), zap.Error(err))
		}
		return
	}
	if f.noted != nil {
		f.noted(o.Version, asked)
	}
	if f.lost {
		f.lost = false
		f.log.Info("store reached again", zap.Uint64("version", o.Version), zap.Int64("asked_ms_ago", f.clock.Since(asked).Milliseconds()))
	}
	switch {
	case o.Version < f.version:
		f.log.Warn("older configuration ignored", zap.Uint64("version", o.Version), zap.Uint64("in_force", f.version))
		return
	case o.Version == f.version:
		f.confirmed(confirmation{o.Version, asked})
		return
	}
	c, err := f.decode(o.Value)
	if err != nil {
		f.log.Error("configuration not understood; the last one stays, without proof", zap.Uint64("version", o.Version), zap.Error(err))
		return
	}
	before := f.Current()
	f.version = o.Version
	f.current.Store(&gateway.Config{Table: routes.Compile(c), Proved: asked})
	f.log.Info("configuration in force", zap.Uint64("object_version", o.Version), zap.Uint64("config_version", c.Version),
		zap.String("source", source), zap.Int64("proved_ms_ago", f.clock.Since(asked).Milliseconds()),
		zap.Uint64("before", before.Version()), zap.Int64("before_proved_ms_ago", f.clock.Since(before.Proved).Milliseconds()),
		zap.Int("routes", len(c.Routes)), zap.Int("workspaces", len(c.Workspaces)))
	f.changed()
}
