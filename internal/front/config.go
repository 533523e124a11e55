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
)

// Periods of following the configuration. Every call has its price, and there may
// be hundreds of daemons; but a watch may hear nothing, so reads alone decide.
const (
	// configPart of the bound on a change, and revokePart of the bound on removed
	// keys, may pass between two reads; the rest is for slow answers and, for keys,
	// for a read that is lost.
	configPart = 0.7
	revokePart = 0.5
	// defaultRead stands in where the deployment sets neither bound.
	defaultRead = 2 * time.Second
	// retryPause follows a read that failed; it doubles with each further one up to
	// retryMost, as hundreds of daemons ask a store that is down.
	retryPause = 300 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// firstPause follows a read that found no configuration: groups should form as
	// soon as there is one.
	firstPause = 100 * time.Millisecond
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
	feed    objectapi.Feed
	key     string
	decode  func(value []byte) (*routes.Config, error)
	log     *zap.Logger
	version uint64 // of the store's object
	lost    bool
	bounds  func() Bounds
	changed func() // called after another configuration came into force
	current atomic.Pointer[gateway.Config]
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
	for ctx.Err() == nil {
		asked := time.Now()
		o, err := f.feed.Get(ctx, f.key)
		f.take(o, err, asked)
		wait := readEvery(f.bounds()) - time.Since(asked)
		switch {
		case err == nil:
			retry = retryPause
		case errors.Is(err, objectapi.ErrNotFound):
			wait = firstPause
		default:
			wait, retry = retry, min(2*retry, retryMost)
		}
		pause.For(ctx, max(wait, firstPause))
	}
}

// take takes one read. asked is when it was sent: it proves what it shows from
// then on.
func (f *configFollower) take(o objectapi.Object, err error, asked time.Time) {
	if err != nil {
		if !f.lost && !errors.Is(err, objectapi.ErrNotFound) {
			f.lost = true
			f.log.Warn("store not reached", zap.String("decision", "keep_configuration"), zap.Uint64("version", f.version), zap.Error(err))
		}
		return
	}
	if f.lost {
		f.lost = false
		f.log.Info("store reached again", zap.Uint64("version", o.Version))
	}
	switch {
	case o.Version < f.version:
		f.log.Warn("older configuration ignored", zap.Uint64("version", o.Version), zap.Uint64("in_force", f.version))
		return
	case o.Version == f.version:
		f.current.Store(&gateway.Config{Table: f.Table(), Proved: asked})
		return
	}
	c, err := f.decode(o.Value)
	if err != nil {
		f.log.Error("configuration not understood; the last one stays, without proof", zap.Uint64("version", o.Version), zap.Error(err))
		return
	}
	f.version = o.Version
	f.current.Store(&gateway.Config{Table: routes.Compile(c), Proved: asked})
	f.log.Info("configuration in force", zap.Uint64("object_version", o.Version), zap.Uint64("config_version", c.Version),
		zap.Int("routes", len(c.Routes)), zap.Int("workspaces", len(c.Workspaces)))
	f.changed()
}
