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

// Intervals of saving and loading.
const (
	// checkInterval is the longest time between two checks for something to save. A check
	// without a change of the evidence is needed as this daemon may become the one that saves
	// for its zone at any time.
	checkInterval = 2 * time.Second
	// writeJitter is the longest random delay before a write. While the other daemons that have
	// the same to write wait, they learn that the first one wrote it.
	writeJitter = 300 * time.Millisecond
	// retryDelay is the wait after a failed write.
	retryDelay = time.Second
	// standaloneReadInterval is the time between two reads of the store by a daemon that no
	// other daemon sends updates to.
	standaloneReadInterval = time.Second
)

// Persister saves to the store what must survive a restart of all daemons, and loads what other
// daemons saved. While no instance crashes it makes no call to the store, except for the
// regular reads of a daemon that no other daemon sends updates to.
type Persister struct {
	Feed     objectapi.Feed
	Key      string // of the quarantine record in the store
	Detector *Detector
	// IsWriter reports whether this daemon saves for its zone.
	IsWriter func() bool
	// Standalone is set if no other daemon sends updates to this one. It then polls the store.
	Standalone bool
	// Uniform returns a random duration in [low, high).
	Uniform   func(low, high time.Duration) time.Duration
	WallClock func() time.Time // time of day, noted for operators
	Log       *zap.Logger
	// Wake is signalled when the evidence has changed.
	Wake chan struct{}
}

// Run saves and loads until ctx ends.
func (p *Persister) Run(ctx context.Context) {
	wait := checkInterval
	for ctx.Err() == nil {
		p.waitForChange(ctx, wait)
		wait = checkInterval
		if p.Standalone {
			wait = standaloneReadInterval
			p.read(ctx)
		}
		if !p.IsWriter() || !p.Detector.Evidence.HasUnsaved() {
			continue
		}
		pause.For(ctx, p.Uniform(0, writeJitter))
		if !p.Detector.Evidence.HasUnsaved() {
			continue
		}
		if err := p.save(ctx); err != nil {
			p.Log.Warn("quarantine not saved to the store", zap.String("decision", "try_again"), zap.Error(err))
			wait = retryDelay
		}
	}
}

// waitForChange waits until the evidence changes, at most for d. If d is shorter than
// checkInterval, after a failed write or on a daemon that polls the store, it waits for all of d.
func (p *Persister) waitForChange(ctx context.Context, d time.Duration) {
	if d < checkInterval {
		pause.For(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.Wake:
	case <-ctx.Done():
	}
}

// Load merges a quarantine record that the caller read from the store and enforces the
// quarantines that follow from it. It fails with the errors of ParseSnapshot.
func (p *Persister) Load(value []byte) error {
	s, err := ParseSnapshot(value)
	if err != nil {
		return err
	}
	p.Detector.enforce(p.Detector.Evidence.LoadSnapshot(s, p.Detector.Now()))
	return nil
}

// read reads and merges the store's record and returns its version, 0 if there is none. A record
// that cannot be parsed is logged only: the next write replaces it.
func (p *Persister) read(ctx context.Context) (version uint64, err error) {
	o, err := p.Feed.Get(ctx, p.Key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := p.Load(o.Value); err != nil {
		p.Log.Error("invalid quarantine record in the store; it will be replaced", zap.Error(err))
	}
	return o.Version, nil
}

// save merges the store's record and writes it back with this daemon's changes. A conflict or
// a write whose outcome is unknown is no special case, as the next save reads the record again.
func (p *Persister) save(ctx context.Context) error {
	version, err := p.read(ctx)
	if err != nil || !p.Detector.Evidence.HasUnsaved() {
		return err
	}
	s := p.Detector.Evidence.Snapshot(p.WallClock())
	value, err := json.Marshal(s)
	if err != nil {
		return errors.Trace(err)
	}
	if version == 0 {
		_, err = p.Feed.Create(ctx, p.Key, value)
	} else {
		_, err = p.Feed.Update(ctx, p.Key, version, value)
	}
	if err != nil {
		return err
	}
	p.Detector.Evidence.MarkSaved(s, p.Detector.Now())
	p.Log.Info("quarantine saved to the store", zap.Int("contents", len(s.Contents)), zap.Int("parts", len(s.Parts)))
	return nil
}
