package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// Times of the keeper.
const (
	// keepEvery is how often a daemon looks at least whether something must be saved: that it
	// is for this one to save may begin without a change of what is known.
	keepEvery = 2 * time.Second
	// keepSpread is within what time the daemons that could save the same do so, by chance:
	// the others hear from the first one in between.
	keepSpread = 300 * time.Millisecond
	// keepAgain follows a write that failed.
	keepAgain = time.Second
	// aloneEvery is how often a daemon that no other tells reads the record.
	aloneEvery = time.Second
)

// Keeper keeps in the store what must outlast all daemons, and reads what others kept. A
// day without an end makes no call.
type Keeper struct {
	Feed  objectapi.Feed
	Key   string // of the record
	Watch *Watch
	// Writes tells whether this daemon saves for its zone.
	Writes func() bool
	// Alone: no other daemon can tell this one, which then reads the record itself.
	Alone   bool
	Uniform func(least, most time.Duration) time.Duration
	Wall    func() time.Time // time of day, for operators
	Log     *zap.Logger
	// Kick is signalled when something changed.
	Kick chan struct{}
}

// Run keeps until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	pauseFor := keepEvery
	for ctx.Err() == nil {
		k.rest(ctx, pauseFor)
		pauseFor = keepEvery
		if k.Alone {
			pauseFor = aloneEvery
			k.read(ctx)
		}
		if !k.Writes() || !k.Watch.Evidence.Unsaved() {
			continue
		}
		pause.For(ctx, k.Uniform(0, keepSpread))
		if !k.Watch.Evidence.Unsaved() {
			continue
		}
		if err := k.save(ctx); err != nil {
			k.Log.Warn("refused requests not saved", zap.String("decision", "try_again"), zap.Error(err))
			pauseFor = keepAgain
		}
	}
}

// rest waits until something changed, at most for d. After a save that failed or for a daemon
// that reads by itself, d is short.
func (k *Keeper) rest(ctx context.Context, d time.Duration) {
	if d < keepEvery {
		pause.For(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.Kick:
	case <-ctx.Done():
	}
}

// Take takes in the record as somebody read it.
func (k *Keeper) Take(value []byte) error {
	s, err := ReadStored(value)
	if err != nil {
		return err
	}
	k.Watch.enforce(k.Watch.Evidence.Load(s, k.Watch.Now()))
	return nil
}

// read reads the record; no version: there is none.
func (k *Keeper) read(ctx context.Context) (version uint64, err error) {
	o, err := k.Feed.Get(ctx, k.Key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := k.Take(o.Value); err != nil {
		k.Log.Error("refused requests in the store not understood; replaced", zap.Error(err))
	}
	return o.Version, nil
}

// save reads the record and writes it with what this daemon knows beside it. A conflict, or
// a write whose outcome is unknown, is an error like any: the next save reads anew.
func (k *Keeper) save(ctx context.Context) error {
	version, err := k.read(ctx)
	if err != nil || !k.Watch.Evidence.Unsaved() {
		return err
	}
	s := k.Watch.Evidence.Store(k.Wall())
	value, err := json.Marshal(s)
	if err != nil {
		return errors.Trace(err)
	}
	if version == 0 {
		_, err = k.Feed.Create(ctx, k.Key, value)
	} else {
		_, err = k.Feed.Update(ctx, k.Key, version, value)
	}
	if err != nil {
		return err
	}
	k.Watch.Evidence.Saved(s, k.Watch.Now())
	k.Log.Info("refused requests saved", zap.Int("contents", len(s.Contents)))
	return nil
}
