package front

import (
	"context"
	"time"

	"pearlanding/internal/objectapi"
)

// simEvacuated holds the objects of evacuated zones in the simulated store. simStore.mu guards it.
type simEvacuated struct {
	era    uint64 // of the answers about this kind; the other kinds do not change with it
	events []objectapi.Event
	deaf   bool // watches receive nothing
	// unknown: the store does not know the kind, as no object of it has been written in this era.
	unknown bool
	// compactedTo is the revision up to which the history is dropped.
	compactedTo uint64
	reads       int // listings
	waits       int // watches
}

// objects returns the evacuated zones' objects.
func (e *simEvacuated) objects() (out []objectapi.Object) {
	latest := map[string]objectapi.Event{}
	for _, event := range e.events {
		latest[event.Object.Key] = event
	}
	for _, event := range latest {
		if !event.Removed {
			out = append(out, event.Object)
		}
	}
	return out
}

// list returns a listing at a revision of the store.
func (e *simEvacuated) list(revision uint64) (objectapi.Listing, error) {
	e.reads++
	if e.unknown {
		return objectapi.Listing{Revision: objectapi.MakeRevision(e.era, 0)}, objectapi.ErrNotFound
	}
	return objectapi.Listing{Objects: e.objects(), Revision: objectapi.MakeRevision(e.era, revision)}, nil
}

// setEvacuated writes or removes a zone's object, and returns when.
func (s *simStore) setEvacuated(zone string, evacuated bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.evacuations.unknown = false
	key := simEvacuations + "/" + zone
	s.evacuations.events = append(s.evacuations.events, objectapi.Event{Removed: !evacuated,
		Object: objectapi.Object{Key: key, Version: objectapi.MakeRevision(s.evacuations.era, s.revision), Value: []byte("{}")}})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// restoreEvacuations replaces the objects by those of a copy without any. unknown: the restored store does
// not know their kind.
func (s *simStore) restoreEvacuations(unknown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations.era++
	s.evacuations.events, s.evacuations.unknown = nil, unknown
	close(s.changed)
	s.changed = make(chan struct{})
}

// compactEvacuations drops the history of evacuations.
func (s *simStore) compactEvacuations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations.compactedTo = objectapi.MakeRevision(s.evacuations.era, s.revision)
}

// setDeaf makes watches of evacuations receive nothing.
func (s *simStore) setDeaf() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations.deaf = true
}

// evacuationCalls returns the number of listings and watches of evacuations so far.
func (s *simStore) evacuationCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.reads + s.evacuations.waits
}

// evacuationsAfter returns the changes after a revision, and a channel that is closed at the next change.
func (s *simStore) evacuationsAfter(revision uint64) (out objectapi.Changes, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &s.evacuations
	if e.unknown {
		return out, s.changed, objectapi.ErrNotFound
	}
	if objectapi.Era(revision) != e.era || revision < e.compactedTo {
		return out, s.changed, objectapi.ErrCompacted
	}
	out.Revision = objectapi.MakeRevision(e.era, s.revision)
	for _, event := range e.events {
		if event.Object.Version > revision && !e.deaf {
			out.Events = append(out.Events, event)
		}
	}
	return out, s.changed, nil
}

// followEvacuations is Follow for evacuations.
func (l *simLink) followEvacuations(ctx context.Context, after uint64, wait time.Duration) (out objectapi.Changes, err error) {
	l.mu.Lock()
	l.evacuations.waits++
	l.mu.Unlock()
	err = l.call(ctx, wait+simCallTimeout, func(ctx context.Context) error {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			var changed <-chan struct{}
			if out, changed, err = l.evacuationsAfter(after); err != nil || len(out.Events) > 0 {
				return err
			}
			select {
			case <-changed:
			case <-timer.C:
				return nil
			case <-ctx.Done():
				return nil
			}
		}
	})
	return out, err
}
