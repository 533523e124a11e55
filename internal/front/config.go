package front

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/gateway"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/routes"
)

// Periods of following the configuration. Every call has its price, and there may
// be hundreds of daemons.
const (
	// proveEvery is how often the whole configuration is read as proof that it is
	// current. With a lost read and its timeout it stays within the shortest bound
	// on removed keys seen so far (5 s).
	proveEvery = 2800 * time.Millisecond
	// newsWait is how long a watch for changes waits; it brings a change at once.
	newsWait = 15 * time.Second
	// retryPause follows a call that failed.
	retryPause = 300 * time.Millisecond
	// firstPause follows a read that found no configuration: groups should form as
	// soon as there is one.
	firstPause = 100 * time.Millisecond
)

// configFollower keeps the configuration in force. Within its life it never goes
// back to an older version, whatever order answers arrive in. Run owns its state.
type configFollower struct {
	feed    objectapi.Feed
	key     string
	decode  func(value []byte) (*routes.Config, error)
	log     *zap.Logger
	version uint64        // of the store's object
	seen    atomic.Uint64 // the same, for the watch
	lost    bool
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

// Run follows until ctx ends. Reads are made by this goroutine alone: after each
// change that a watch tells of, and regularly as proof. A watch proves nothing: it
// may hear nothing.
func (f *configFollower) Run(ctx context.Context) {
	news := make(chan struct{}, 1)
	go f.watch(ctx, news)
	for ctx.Err() == nil {
		asked := time.Now()
		o, err := f.feed.Get(ctx, f.key)
		f.take(o, err, asked)
		wait := proveEvery
		switch {
		case f.version == 0:
			wait = firstPause
		case err != nil:
			wait = retryPause
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-news:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// watch signals news when the configuration seems to have changed.
func (f *configFollower) watch(ctx context.Context, news chan<- struct{}) {
	kind, _, _ := strings.Cut(f.key, "/")
	for ctx.Err() == nil {
		after := f.seen.Load()
		if after == 0 {
			pause(ctx, firstPause)
			continue
		}
		events, _, err := f.feed.Follow(ctx, kind, after, newsWait)
		if err == nil && len(events) == 0 {
			continue
		}
		select {
		case news <- struct{}{}:
		default:
		}
		f.settle(ctx, after)
	}
}

// settle waits until the change that a watch told of was read, or a while if the
// watch failed or history is gone.
func (f *configFollower) settle(ctx context.Context, after uint64) {
	for range int(time.Second / firstPause) {
		pause(ctx, firstPause)
		if f.seen.Load() != after || ctx.Err() != nil {
			return
		}
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
	f.seen.Store(o.Version)
	f.current.Store(&gateway.Config{Table: routes.Compile(c), Proved: asked})
	f.log.Info("configuration in force", zap.Uint64("object_version", o.Version), zap.Uint64("config_version", c.Version),
		zap.Int("routes", len(c.Routes)), zap.Int("workspaces", len(c.Workspaces)))
	f.changed()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
