package evacuation

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
)

// A daemon that starts asks the store's history whether an evacuation ended a short while before, unless
// a relay has told it that already. The history has no times, so a zone whose evacuation ended in it
// counts as if that had been just before the start.

// maxWritesPerSecond is how many revisions of the store a second has at most: the history that is asked
// for begins that many revisions ago for each second in which an end matters.
const maxWritesPerSecond = 1000

// historyWait is the wait of the call for the history, which is not to wait for changes.
const historyWait = time.Millisecond

// pastEnds is the state of the call for the history. Run owns it except for answered.
type pastEnds struct {
	answered atomic.Bool // the first call has ended, with or without an answer
	done     bool        // no call is needed any more
	inFlight bool
	nextAt   time.Time // no call before
}

// historyResult is the end of the call for the history.
type historyResult struct {
	changes objectapi.Changes
	coldFor time.Duration
	err     error
}

// endsSettled reports whether a start need not wait for the ends of earlier evacuations.
func (f *Follower) endsSettled() bool {
	settled, _ := f.Known.EndsSettled()
	return settled || f.pastEnds.answered.Load()
}

// sendHistory sends the call for the history if it is due, and returns when to check again.
func (f *Follower) sendHistory(ctx context.Context, results chan<- historyResult) time.Duration {
	p, now := &f.pastEnds, f.Clock.Now()
	if p.done || p.inFlight || f.Known.ProvedAt().IsZero() {
		return roleCheckInterval
	}
	settled, known := f.Known.EndsSettled()
	coldFor, _ := f.Known.coldFor()
	switch {
	case settled:
		p.done = true
		return roleCheckInterval
	case !known:
		return startCheckInterval
	case now.Before(p.nextAt):
		return min(p.nextAt.Sub(now), roleCheckInterval)
	}
	revision := f.Known.Snapshot().Revision
	if objectapi.WithinEra(revision) == 0 { // the store does not know the kind
		f.endHistory(historyResult{coldFor: coldFor})
		return roleCheckInterval
	}
	p.inFlight = true
	after := objectapi.MakeRevision(objectapi.Era(revision), historyStart(objectapi.WithinEra(revision), coldFor))
	go func() {
		changes, err := f.Feed.Follow(ctx, f.Kind, after, historyWait)
		select {
		case results <- historyResult{changes, coldFor, err}:
		case <-ctx.Done():
		}
	}()
	return roleCheckInterval
}

// historyStart returns a revision that is at least d older than another one.
func historyStart(revision uint64, d time.Duration) uint64 {
	return revision - min(revision, uint64(d.Seconds()*maxWritesPerSecond))
}

// endHistory applies the end of the call for the history.
func (f *Follower) endHistory(r historyResult) {
	p := &f.pastEnds
	p.inFlight = false
	defer p.answered.Store(true)
	switch {
	case errors.Is(r.err, objectapi.ErrCompacted), errors.Is(r.err, objectapi.ErrNotFound):
		p.done = true
		f.Log.Warn("ends of evacuations before the start not known", zap.String("decision", "instances_are_warm_unless_relays_report_ends"), zap.Error(r.err))
	case r.err != nil:
		p.nextAt = f.Clock.Now().Add(retryPause)
	default:
		p.done = true
		var names []string
		for _, e := range r.changes.Events {
			if e.Removed {
				names = append(names, zoneOf(e.Object.Key))
			}
		}
		ended := newZones(names)
		f.Known.applyHistory(ended, r.coldFor)
		if ended != nil {
			f.Log.Info("evacuations may have ended just before the start", zap.String("decision", "instances_of_these_zones_are_cold"), zap.Strings("zones", ended.Names()))
		}
	}
}
