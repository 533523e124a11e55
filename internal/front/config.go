package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/gateway"
	"pearlanding/internal/objectapi"
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
	// leastPause is kept between any two reads.
	leastPause = 100 * time.Millisecond
	// firstPause follows a read that found no configuration. The daemon that plans
	// asks again after leastPause: groups should form as soon as there is one. One that
	// hears of the first through a relay waits for that.
	firstPause   = 500 * time.Millisecond
	firstRelayed = 2 * time.Second
	// bootstrapPatience is how long a daemon waits for a relay's word before its first read
	// where all start together for the first time, before any caller: with it the read may be
	// an old one, at a tenth of the price. One that starts later reads at once, as callers wait.
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
//
// Its reads are also this daemon's question whether the store answers: each is answered at
// once, whatever there is to tell. One without an answer is not waited for, as it may be lost.
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
	// probeEvery, if set, is the most time between two reads that get no answer.
	probeEvery func() time.Duration
	heard      chan confirmation
	back       chan struct{} // another daemon says that the store is back
	current    atomic.Pointer[gateway.Config]
	reads      readSchedule // owned by Run
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

// returned takes in another daemon's word that the store is back. It never blocks.
func (f *configFollower) returned() {
	select {
	case f.back <- struct{}{}:
	default:
	}
}

// Run follows until ctx ends.
func (f *configFollower) Run(ctx context.Context) {
	results := make(chan readResult)
	f.reads.hint = f.awaitHint(ctx)
	f.ask(ctx, results)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(f.clock.Until(f.due()))
		select {
		case <-ctx.Done():
		case <-timer.C:
			f.ask(ctx, results)
		case <-f.clock.Resumed(): // the timer stood still
		case <-f.back:
			f.reads.unanswered = 0
		case c := <-f.heard:
			f.hear(c)
		case r := <-results:
			f.finish(r)
		}
	}
}

// ask sends a read, without waiting for its answer, if one is due.
func (f *configFollower) ask(ctx context.Context, results chan<- readResult) {
	now := f.clock.Now()
	if now.Before(f.due()) {
		return
	}
	f.reads.sent(now)
	hint := f.reads.hint
	go func() {
		r := f.read(ctx, hint)
		select {
		case results <- r:
		case <-ctx.Done():
		}
	}()
}

// hear takes in another daemon's word.
func (f *configFollower) hear(c confirmation) {
	if c.version > f.version {
		f.reads.hint = &c
		return
	}
	f.confirmed(c)
}

// finish takes in how a read ended.
func (f *configFollower) finish(r readResult) {
	f.reads.ended(r)
	f.takeFrom(r.source, r.object, r.err, r.proved)
}

// due is when the next read is to be sent.
func (f *configFollower) due() time.Time {
	most := probeAlone
	if f.probeEvery != nil {
		most = f.probeEvery()
	}
	return f.reads.due(f.version, f.Current().Proved, readPace{every: f.interval(), untilFirst: f.untilFirst(), most: most})
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

// read reads the configuration. With another daemon's word that there is a newer version an
// old read is enough if it shows that version or one after it: what was current then is not
// newer. Each change is read by all daemons.
func (f *configFollower) read(ctx context.Context, hint *confirmation) readResult {
	if hint != nil {
		o, err := f.feed.GetStale(ctx, f.key)
		if errors.Is(err, objectapi.ErrUnavailable) {
			return readResult{source: sourceOldRead, err: err}
		}
		if err == nil && o.Version >= hint.version {
			return readResult{source: sourceOldRead, object: o, proved: hint.proved}
		}
	}
	asked := f.clock.Now()
	o, err := f.feed.Get(ctx, f.key)
	return readResult{source: sourceRead, object: o, proved: asked, err: err}
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

// take takes one whole read. asked is when it was sent: it proves what it shows from
// then on.
func (f *configFollower) take(o objectapi.Object, err error, asked time.Time) {
	f.takeFrom(sourceRead, o, err, asked)
}

// takeFrom takes one read, which proves what it shows from a time on.
func (f *configFollower) takeFrom(source readSource, o objectapi.Object, err error, asked time.Time) {
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
		zap.String("source", string(source)), zap.Int64("proved_ms_ago", f.clock.Since(asked).Milliseconds()),
		zap.Uint64("before", before.Version()), zap.Int64("before_proved_ms_ago", f.clock.Since(before.Proved).Milliseconds()),
		zap.Int("routes", len(c.Routes)), zap.Int("workspaces", len(c.Workspaces)))
	f.changed()
}
