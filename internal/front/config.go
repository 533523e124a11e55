package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/gateway"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/relay"
	"pearlanding/internal/routes"
	"pearlanding/internal/steady"
)

// Times of following the configuration. Every call is charged, and there may be hundreds
// of daemons; but a watch may receive nothing, so only reads prove a configuration.
const (
	// configReadShare of the bound on a change, and revokeReadShare of the bound on removed
	// keys, may pass between two reads; the rest is for slow answers and, for keys, for a
	// lost read.
	configReadShare = 0.7
	revokeReadShare = 0.5
	// relayReadShare of the time between two reads of another daemon passes between the reads of a
	// relay: its peers date their proofs by its reads, and must receive the next one before they
	// read themselves.
	relayReadShare = 0.5
	// defaultReadInterval applies where the deployment sets neither bound.
	defaultReadInterval = 2 * time.Second
	// minReadPause is the minimum pause between any two reads.
	minReadPause = 100 * time.Millisecond
	// firstConfigPause is the pause after a read that found no configuration, and
	// firstConfigRelayedPause that of a daemon whose relay announces the first one. The planner
	// reads again after minReadPause, so that groups form as soon as there is a configuration.
	firstConfigPause        = 500 * time.Millisecond
	firstConfigRelayedPause = 2 * time.Second
	// bootstrapWait is how long a daemon waits for a relay's confirmation before its first read
	// where all start together for the first time, before any caller: with it a stale read, at a
	// tenth of the price, is enough. A daemon that starts later reads at once, as callers wait.
	bootstrapWait = 2 * time.Second
)

// readInterval returns how often the whole configuration is read: a read either brings a
// change or proves that there is none.
func readInterval(b Bounds) time.Duration {
	interval := defaultReadInterval
	if b.Config > 0 {
		interval = min(interval, time.Duration(configReadShare*float64(b.Config)))
	}
	if b.Revoke > 0 {
		interval = min(interval, time.Duration(revokeReadShare*float64(b.Revoke)))
	}
	return interval
}

// configFollower keeps the configuration in force. It never goes back to an older version,
// whatever the order in which answers arrive. Run owns its state.
//
// Its reads also probe whether the store answers: a read is answered at once, whether anything
// changed or not. The next read does not wait for an unanswered one, which may be lost.
type configFollower struct {
	clock       *steady.Clock // nil: this machine's
	feed        objectapi.Feed
	key         string
	decode      func(value []byte) (*routes.Config, error)
	log         *zap.Logger
	version     uint64 // of the store's object that is in force
	unreachable bool
	bounds      func() Bounds
	changed     func() // called after another configuration came into force
	// onRead, if set, is called after every read that proves a configuration, with the object's version
	// and the time as of which that version is proved current. serving, if set, reports whether peers
	// rely on these reads.
	onRead  func(version uint64, provedAt time.Time)
	serving func() bool
	// planning, if set, reports whether this daemon forms the groups.
	planning func() bool
	// hasRelay, if set, reports whether confirmations arrive through a relay; startWait is how
	// long Run waits for the first one, 0: not at all.
	hasRelay  func() bool
	startWait time.Duration
	// maxProbeInterval, if set, returns the maximum time between two unanswered reads.
	maxProbeInterval func() time.Duration
	confirmations    chan confirmation
	recovered        chan struct{} // another daemon reported that the store answers again
	current          atomic.Pointer[gateway.Config]
	// inForce identifies the configuration in force, peerStamps those that peers apply; see
	// restored_config.go.
	inForce       atomic.Pointer[relay.ConfigStamp]
	peerStamps    peerStamps
	stampsChanged chan struct{} // signalled when peers know more; nil: they tell nothing
	schedule      readSchedule  // owned by Run
}

// confirmation is another daemon's report that the configuration's object had a version at a
// time.
type confirmation struct {
	version  uint64
	provedAt time.Time
}

// confirm passes another daemon's confirmation to Run. It never blocks; only the newest is kept.
func (f *configFollower) confirm(version uint64, provedAt time.Time) {
	select {
	case <-f.confirmations:
	default:
	}
	select {
	case f.confirmations <- confirmation{version, provedAt}:
	default:
	}
}

// Current returns the configuration in force; its routing table is nil before the first one.
func (f *configFollower) Current() gateway.Config {
	if c := f.current.Load(); c != nil {
		return *c
	}
	return gateway.Config{}
}

// Table returns the routing table in force, or nil.
func (f *configFollower) Table() *routes.Table { return f.Current().Table }

// storeRecovered tells Run that the store answers again, as another daemon reported. It never
// blocks.
func (f *configFollower) storeRecovered() {
	select {
	case f.recovered <- struct{}{}:
	default:
	}
}

// Run keeps the configuration current until ctx ends.
func (f *configFollower) Run(ctx context.Context) {
	results := make(chan readResult)
	f.schedule.hint = f.awaitFirstHint(ctx)
	f.sendRead(ctx, results)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(f.clock.Until(f.due()))
		select {
		case <-ctx.Done():
		case <-timer.C:
			f.sendRead(ctx, results)
		case <-f.clock.Resumed(): // the timer did not run during the suspension
		case <-f.recovered:
			f.schedule.unanswered = 0
		case <-f.stampsChanged:
			f.checkStamps()
		case c := <-f.confirmations:
			f.applyConfirmation(c)
		case r := <-results:
			f.applyRead(r)
		}
	}
}

// sendRead sends a read if one is due; its answer arrives in results.
func (f *configFollower) sendRead(ctx context.Context, results chan<- readResult) {
	now := f.clock.Now()
	if now.Before(f.due()) {
		return
	}
	f.schedule.recordSent(now)
	hint := f.schedule.hint
	go func() {
		r := f.read(ctx, hint)
		select {
		case results <- r:
		case <-ctx.Done():
		}
	}()
}

// applyConfirmation applies another daemon's confirmation: it is a hint to read if it names a
// newer version, a proof if it names the one in force.
func (f *configFollower) applyConfirmation(c confirmation) {
	if c.version > f.version {
		f.schedule.hint = &c
		return
	}
	f.renewProof(c)
}

// applyRead applies the result of a read.
func (f *configFollower) applyRead(r readResult) {
	f.schedule.recordResult(r)
	f.apply(r.source, r.object, r.err, r.provedAt)
}

// due returns when the next read is to be sent.
func (f *configFollower) due() time.Time {
	maxInterval := maxProbeIntervalDirect
	if f.maxProbeInterval != nil {
		maxInterval = f.maxProbeInterval()
	}
	return f.schedule.due(f.version, f.Current().ProvedAt, readPauses{renewAfter: f.interval(), noConfigPause: f.noConfigPause(), maxProbeInterval: maxInterval})
}

// awaitFirstHint waits up to startWait for another daemon's confirmation, but not while peers
// rely on this daemon's reads.
func (f *configFollower) awaitFirstHint(ctx context.Context) *confirmation {
	for end := f.clock.Now().Add(f.startWait); ctx.Err() == nil && f.clock.Now().Before(end); {
		if f.serving != nil && f.serving() {
			return nil
		}
		select {
		case c := <-f.confirmations:
			return &c
		case <-time.After(minReadPause):
		case <-ctx.Done():
		}
	}
	return nil
}

// read reads the configuration. If another daemon confirmed a newer version, a stale read that
// shows that version or a later one is enough: the version current at the confirmation's time
// is no newer. All daemons read each change, and stale reads are cheaper.
func (f *configFollower) read(ctx context.Context, hint *confirmation) readResult {
	if hint != nil {
		o, err := f.feed.GetStale(ctx, f.key)
		if errors.Is(err, objectapi.ErrUnavailable) {
			return readResult{source: sourceStaleRead, err: err}
		}
		if err == nil && o.Version >= hint.version {
			return readResult{source: sourceStaleRead, object: o, provedAt: hint.provedAt}
		}
	}
	sentAt := f.clock.Now()
	o, err := f.feed.Get(ctx, f.key)
	return readResult{source: sourceRead, object: o, provedAt: sentAt, err: err}
}

// interval returns the time between two reads while no other daemon confirms the version in
// force.
func (f *configFollower) interval() time.Duration {
	interval := readInterval(f.bounds())
	if f.serving != nil && f.serving() {
		interval = time.Duration(relayReadShare * float64(interval))
	}
	return interval
}

// noConfigPause returns the pause after a read that found no configuration.
func (f *configFollower) noConfigPause() time.Duration {
	switch {
	case f.planning != nil && f.planning():
		return minReadPause
	case f.hasRelay != nil && f.hasRelay():
		return firstConfigRelayedPause
	}
	return firstConfigPause
}

// renewProof makes a confirmation of the version in force its proof. It returns false if the
// confirmation is of another version or not newer than the proof.
func (f *configFollower) renewProof(c confirmation) bool {
	current := f.Current()
	if c.version != f.version || current.Table == nil || !c.provedAt.After(current.ProvedAt) || current.Version() < f.newestBefore(f.version) {
		return false
	}
	f.current.Store(&gateway.Config{Table: current.Table, ProvedAt: c.provedAt})
	return true
}

// applyCurrentRead applies one current read, sent at a time: it proves its content since then.
func (f *configFollower) applyCurrentRead(o objectapi.Object, err error, sentAt time.Time) {
	f.apply(sourceRead, o, err, sentAt)
}

// apply applies one read that proves its content since a time.
func (f *configFollower) apply(source readSource, o objectapi.Object, err error, provedAt time.Time) {
	if err != nil {
		if !f.unreachable && !errors.Is(err, objectapi.ErrNotFound) {
			f.unreachable = true
			f.log.Warn("store not reached", zap.String("decision", "keep_configuration"), zap.Uint64("version", f.version), zap.Error(err))
		}
		return
	}
	if f.unreachable {
		f.unreachable = false
		f.log.Info("store reached again", zap.Uint64("version", o.Version), zap.Int64("asked_ms_ago", f.clock.Since(provedAt).Milliseconds()))
	}
	switch {
	case o.Version < f.version:
		f.log.Warn("older configuration ignored", zap.Uint64("version", o.Version), zap.Uint64("in_force", f.version))
		return
	case o.Version == f.version:
		if f.newestBefore(o.Version) <= f.Current().Version() {
			f.noteProof(o.Version, gateway.Config{Table: f.Current().Table, ProvedAt: provedAt})
			f.renewProof(confirmation{o.Version, provedAt})
		}
		return
	}
	c, err := f.decode(o.Value)
	if err != nil {
		f.log.Error("cannot decode configuration; the last one stays in force, without proof", zap.Uint64("version", o.Version), zap.Error(err))
		return
	}
	before := f.Current()
	if newest := f.newestBefore(o.Version); c.Version < newest {
		f.log.Warn("restored configuration ignored", zap.String("decision", "keep_configuration"), zap.Uint64("object_version", o.Version),
			zap.Uint64("config_version", c.Version), zap.Uint64("newest_known", newest))
		return
	}
	f.version = o.Version
	f.current.Store(&gateway.Config{Table: routes.Compile(c), ProvedAt: provedAt})
	f.noteProof(o.Version, f.Current())
	f.log.Info("configuration in force", zap.Uint64("object_version", o.Version), zap.Uint64("config_version", c.Version),
		zap.String("source", string(source)), zap.Int64("proved_ms_ago", f.clock.Since(provedAt).Milliseconds()),
		zap.Uint64("before", before.Version()), zap.Int64("before_proved_ms_ago", f.clock.Since(before.ProvedAt).Milliseconds()),
		zap.Int("routes", len(c.Routes)), zap.Int("workspaces", len(c.Workspaces)))
	f.changed()
}
