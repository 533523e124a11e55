package front

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Times of the store as its client sees them.
const (
	answerIn  = 4 * time.Millisecond
	lostAfter = 1500 * time.Millisecond // a call without an answer by then counts as lost
)

// simStore is a store in virtual time, and the ways to it.
type simStore struct {
	mu       sync.Mutex
	revision uint64
	config   objectapi.Object
	records  map[string]objectapi.Object // relays and lease
	events   []objectapi.Event           // of the entries
	changed  chan struct{}
	down     bool
	cut      map[string]bool // daemons that do not reach it
	calls    int
	link     simRate // carries the listings of entries
	value    []byte  // of each entry
}

func newSimStore() *simStore {
	s := &simStore{records: map[string]objectapi.Object{}, changed: make(chan struct{}), cut: map[string]bool{}}
	s.configure()
	s.entry("i-0")
	return s
}

// configure writes the next version of the configuration.
func (s *simStore) configure() (version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.config = objectapi.Object{Key: simConfig, Version: s.revision, Value: []byte(fmt.Sprint(s.revision))}
	return s.revision
}

// made returns how many calls were made so far.
func (s *simStore) made() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// entry changes an instance's entry.
func (s *simStore) entry(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, objectapi.Event{Object: objectapi.Object{Key: simInstances + "/" + id, Version: s.revision, Value: s.value}})
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown stops or returns the store.
func (s *simStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// setCut cuts one daemon off from the store, or heals the cut.
func (s *simStore) setCut(daemon string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[daemon] = cut
}

const (
	simConfig    = "config/main"
	simInstances = "servers"
)

// simLink is one daemon's way to the store. It implements objectapi.Feed.
type simLink struct {
	*simStore
	daemon string
}

// arrives tells whether a message between the daemon and the store gets through now.
func (l *simLink) arrives() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.down && !l.cut[l.daemon]
}

// call makes one call that f answers; one that meets an outage is lost for good.
func (l *simLink) call(ctx context.Context, timeout time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	time.Sleep(answerIn / 2)
	if l.arrives() {
		err := f(ctx)
		time.Sleep(answerIn / 2)
		if l.arrives() && ctx.Err() == nil {
			return err
		}
	}
	<-ctx.Done()
	return errors.WithType(ctx.Err(), objectapi.ErrUnavailable)
}

func (l *simLink) Get(ctx context.Context, key string) (o objectapi.Object, err error) {
	err = l.call(ctx, lostAfter, func(context.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		o = l.records[key]
		if key == simConfig {
			o = l.config
		}
		if o.Version == 0 {
			return objectapi.ErrNotFound
		}
		return nil
	})
	return o, err
}

func (l *simLink) GetStale(ctx context.Context, key string) (objectapi.Object, error) {
	return l.Get(ctx, key)
}

func (l *simLink) ListKind(ctx context.Context, kind string) (out objectapi.Listing, err error) {
	err = l.call(ctx, lostAfter, func(context.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		out.Revision = l.revision
		if kind == simInstances {
			for _, e := range l.events {
				out.Objects = append(out.Objects, e.Object)
			}
			return nil
		}
		for _, o := range l.records {
			out.Objects = append(out.Objects, o)
		}
		return nil
	})
	if kind == simInstances {
		size := 0
		for _, o := range out.Objects {
			size += len(o.Value)
		}
		l.link.carry(size)
	}
	return out, err
}

func (l *simLink) ListStale(ctx context.Context, kind string) (objectapi.Listing, error) {
	return l.ListKind(ctx, kind)
}

// after returns the changes after a revision, and a channel that is closed at the next.
func (l *simLink) after(revision uint64) (out objectapi.Changes, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out.Revision = l.revision
	for _, e := range l.events {
		if e.Object.Version > revision {
			out.Events = append(out.Events, e)
		}
	}
	return out, l.changed
}

func (l *simLink) Follow(ctx context.Context, _ string, after uint64, wait time.Duration) (out objectapi.Changes, err error) {
	err = l.call(ctx, wait+lostAfter, func(ctx context.Context) error {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			var changed <-chan struct{}
			if out, changed = l.after(after); len(out.Events) > 0 {
				return nil
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

func (l *simLink) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return l.Update(ctx, key, 0, value)
}

func (l *simLink) Update(ctx context.Context, key string, version uint64, value []byte) (written uint64, err error) {
	err = l.call(ctx, lostAfter, func(context.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.records[key].Version != version {
			return objectapi.ErrConflict
		}
		l.revision++
		written = l.revision
		l.records[key] = objectapi.Object{Key: key, Version: written, Value: value}
		return nil
	})
	return written, err
}
