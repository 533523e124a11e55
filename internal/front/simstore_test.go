package front

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// Times of calls to the store.
const (
	simLatency     = 4 * time.Millisecond
	simCallTimeout = 1500 * time.Millisecond // a call without an answer by then has failed
)

// simStore is a store in virtual time, with its connections to the daemons.
type simStore struct {
	mu       sync.Mutex
	revision uint64
	config   objectapi.Object
	records  map[string]objectapi.Object // records of relays and the lease
	events   []objectapi.Event           // changes of the entries
	changed  chan struct{}
	down     bool
	cut      map[string]bool // daemons cut off from it
	calls    int
	link     simRate // carries the listings of entries
	value    []byte  // of each entry
	stalls   *simStalls
	// busyUntil is when the store's link has transmitted what is queued on it: answers are not
	// received before.
	busyUntil   time.Time
	evacuations simEvacuated
}

func newSimStore() *simStore {
	s := &simStore{records: map[string]objectapi.Object{}, changed: make(chan struct{}), cut: map[string]bool{}, stalls: &simStalls{}}
	s.writeConfig()
	s.writeEntry("i-0")
	return s
}

// writeConfig writes the next version of the configuration and returns it.
func (s *simStore) writeConfig() (version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.config = objectapi.Object{Key: simConfig, Version: s.revision, Value: []byte(fmt.Sprint(s.revision))}
	return s.revision
}

// callCount returns the number of calls so far.
func (s *simStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// writeEntry writes an instance's entry.
func (s *simStore) writeEntry(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, objectapi.Event{Object: objectapi.Object{Key: simInstances + "/" + id, Version: s.revision, Value: s.value}})
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeEntry removes an instance's entry.
func (s *simStore) removeEntry(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, objectapi.Event{Object: objectapi.Object{Key: simInstances + "/" + id, Version: s.revision}, Removed: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

// entries returns the live entries, in the order of their latest changes; s.mu is held.
func (s *simStore) entries() []objectapi.Object {
	latest := map[string]uint64{}
	for _, e := range s.events {
		latest[e.Object.Key] = e.Object.Version
	}
	var out []objectapi.Object
	for _, e := range s.events {
		if !e.Removed && latest[e.Object.Key] == e.Object.Version {
			out = append(out, e.Object)
		}
	}
	return out
}

// nameRelay makes the zone's record name a process of a daemon with a slow link, which has ended.
func (s *simStore) nameRelay(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	key := relayKind + "/zone"
	s.records[key] = objectapi.Object{Key: key, Version: s.revision,
		Value: fmt.Appendf(nil, `{"holder":"ended","address":"%s","distribute":true,"link_mbps":20}`, address)}
}

// setDown stops the store, or starts it again.
func (s *simStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// setCut cuts one daemon off from the store, or connects it again.
func (s *simStore) setCut(daemon string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[daemon] = cut
}

const (
	simConfig    = "config/main"
	simInstances = "servers"
	// simEvacuations is the kind of the objects that name evacuated zones.
	simEvacuations = "evacuations"
)

// simLink is one daemon's connection to the store. It implements objectapi.Feed.
type simLink struct {
	*simStore
	daemon string
}

// connected reports whether messages between the daemon and the store are delivered now.
func (l *simLink) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.down && !l.cut[l.daemon]
}

// setBusy fills the store's link for d.
func (s *simStore) setBusy(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyUntil = time.Now().Add(d)
}

// awaitLink waits until the store's link transmits.
func (s *simStore) awaitLink(ctx context.Context) {
	s.mu.Lock()
	until := s.busyUntil
	s.mu.Unlock()
	pause.For(ctx, time.Until(until))
}

// call makes one call that f answers; a call sent or answered during an outage fails only by its
// timeout. While the daemon is stalled it neither sends a call nor receives an answer.
func (l *simLink) call(ctx context.Context, timeout time.Duration, f func(ctx context.Context) error) error {
	l.stalls.wait(l.daemon)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	time.Sleep(simLatency / 2)
	if l.connected() {
		err := f(ctx)
		time.Sleep(simLatency / 2)
		l.awaitLink(ctx)
		l.stalls.wait(l.daemon)
		if l.connected() && ctx.Err() == nil {
			return err
		}
	}
	<-ctx.Done()
	return errors.WithType(ctx.Err(), objectapi.ErrUnavailable)
}

func (l *simLink) Get(ctx context.Context, key string) (o objectapi.Object, err error) {
	err = l.call(ctx, simCallTimeout, func(context.Context) error {
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
	err = l.call(ctx, simCallTimeout, func(context.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		out.Revision = l.revision
		if kind == simInstances {
			out.Objects = l.entries()
			return nil
		}
		if kind == simEvacuations {
			out, err = l.evacuations.list(l.revision)
			return err
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
		l.link.transmit(size)
	}
	return out, err
}

func (l *simLink) ListStale(ctx context.Context, kind string) (objectapi.Listing, error) {
	return l.ListKind(ctx, kind)
}

// after returns the changes after a revision, and a channel that is closed at the next change.
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

func (l *simLink) Follow(ctx context.Context, kind string, after uint64, wait time.Duration) (out objectapi.Changes, err error) {
	if kind == simEvacuations {
		return l.followEvacuations(ctx, after, wait)
	}
	err = l.call(ctx, wait+simCallTimeout, func(ctx context.Context) error {
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
	err = l.call(ctx, simCallTimeout, func(context.Context) error {
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
