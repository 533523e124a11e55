package control

import (
	"context"
	"sync/atomic"
	"time"

	"pearlanding/internal/catalog"
	"pearlanding/internal/cluster"
	"pearlanding/internal/group"
	"pearlanding/internal/revision"
)

// Control applies events to the control state and publishes snapshots of it. It is
// safe for concurrent use. Events take effect only while Run runs.
type Control struct {
	cfg       Config
	events    chan func(*state, time.Time)
	current   atomic.Pointer[Snapshot]
	localLoad func() cluster.DaemonLoad
	done      chan struct{}
	now       func() time.Time // replaced by tests
}

// eventQueueSize is the number of events that may be queued before senders block.
const eventQueueSize = 1024

// New returns a Control without any known state, which therefore admits no requests.
// load returns this daemon's own load, which is reported to peers.
func New(cfg Config, load func() cluster.DaemonLoad) *Control {
	c := &Control{cfg: cfg, events: make(chan func(*state, time.Time), eventQueueSize), localLoad: load, done: make(chan struct{}), now: time.Now}
	c.current.Store(newState(cfg, time.Now()).snapshot(time.Now(), nil))
	return c
}

// Snapshot returns the newest snapshot.
func (c *Control) Snapshot() *Snapshot { return c.current.Load() }

// refreshInterval is the interval of snapshots when there are no events: leases and the
// states of peers also change with time.
const refreshInterval = 50 * time.Millisecond

// gatherFactor bounds the processor time spent on snapshots: after each one, the loop
// gathers events for this many times as long as it took to build.
const gatherFactor = 200

// Run owns the control state and publishes snapshots until ctx ends.
func (c *Control) Run(ctx context.Context) {
	defer close(c.done)
	s := newState(c.cfg, time.Now())
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	gather := time.NewTimer(0)
	defer gather.Stop()
	changed, gathered := true, false
	for {
		select {
		case event := <-c.events:
			event(s, time.Now())
			changed = true
		case <-ticker.C:
			s.prune()
			changed = true
		case <-gather.C:
			gathered = true
		case <-ctx.Done():
			return
		}
		if changed && gathered {
			c.applyQueued(s)
			gather.Reset(c.gatherTime(c.publish(s)))
			changed, gathered = false, false
		}
	}
}

// applyQueued applies the queued events, so that a burst results in one snapshot.
func (c *Control) applyQueued(s *state) {
	for range eventQueueSize {
		select {
		case event := <-c.events:
			event(s, time.Now())
		default:
			return
		}
	}
}

// gatherTime returns how long events are gathered after a snapshot that took the given
// time to build: at most the sync interval, at which peers' replies arrive. The admission
// lease is renewed only in snapshots; without this limit, a snapshot that was slow on a
// busy machine delayed the next one until the lease had expired.
func (c *Control) gatherTime(took time.Duration) time.Duration {
	return min(took*gatherFactor, c.cfg.SyncInterval)
}

// publish builds and publishes a snapshot and returns how long that took.
func (c *Control) publish(s *state) time.Duration {
	start := c.now()
	previous := c.current.Load()
	c.current.Store(s.snapshot(start, previous))
	close(previous.Changed)
	return c.now().Sub(start)
}

// enqueue passes an event to the loop. The event is dropped if the loop has ended.
func (c *Control) enqueue(event func(*state, time.Time)) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// call passes an event to the loop and waits until it has been applied; the snapshot
// with its effect may be published later. It returns false if the loop or ctx ended.
func (c *Control) call(ctx context.Context, event func(*state, time.Time)) bool {
	ran := make(chan struct{})
	c.enqueue(func(s *state, now time.Time) {
		event(s, now)
		close(ran)
	})
	select {
	case <-ran:
	case <-ctx.Done():
		return false
	case <-c.done:
		return false
	}
	return true
}

// ObserveHead applies a head that was read from the platform; asOf is the time at which
// the read was sent.
func (c *Control) ObserveHead(ctx context.Context, head revision.Head, version uint64, asOf time.Time) {
	c.call(ctx, func(s *state, now time.Time) {
		s.observeHead(head, version, now)
		if version >= s.headVersion {
			s.platformRead(asOf)
		}
	})
}

// Offer applies a head that a peer wrote and returns once a published snapshot has the
// version of this head or a newer one. It returns ctx's error if ctx ends first.
func (c *Control) Offer(ctx context.Context, h cluster.VersionedHead) (cluster.OfferReply, error) {
	c.call(ctx, func(s *state, now time.Time) { s.observeHead(h.Head, h.Version, now) })
	snap, err := c.Await(ctx, func(s *Snapshot) bool { return s.HeadVersion >= h.Version })
	return cluster.OfferReply{Slot: snap.Slot, Incarnation: snap.Incarnation, Revision: snap.Head.Revision}, err
}

// ObserveOfferReply records a peer's reply to an offer.
func (c *Control) ObserveOfferReply(r cluster.OfferReply) {
	c.enqueue(func(s *state, now time.Time) {
		if s.head.Members[r.Slot].Incarnation == r.Incarnation {
			s.acks.Record(r.Slot, r.Incarnation, r.Revision, now)
		}
	})
}

// ObserveSyncReply applies a peer's reply to a sync request that was sent at the given time.
func (c *Control) ObserveSyncReply(r cluster.SyncReply, sent time.Time) {
	c.enqueue(func(s *state, now time.Time) { s.observeSyncReply(r, sent, now) })
}

// ObserveRefusal records that the address of a slot's daemon refused a connection at the
// given time.
func (c *Control) ObserveRefusal(slot string, at time.Time) {
	c.enqueue(func(s *state, _ time.Time) { s.observeRefusal(slot, at) })
}

// Stop makes this daemon admit no more requests and hand over its duties. It returns
// once the published snapshot says so, or when ctx ends.
func (c *Control) Stop(ctx context.Context) {
	c.call(ctx, func(s *state, _ time.Time) { s.stopping = true })
	_, _ = c.Await(ctx, func(s *Snapshot) bool { return s.Stopping })
}

// Await waits until the newest snapshot satisfies condition and returns that snapshot.
// If ctx ends first, it returns the newest snapshot and ctx's error.
func (c *Control) Await(ctx context.Context, condition func(*Snapshot) bool) (*Snapshot, error) {
	for {
		s := c.Snapshot()
		if condition(s) {
			return s, nil
		}
		select {
		case <-s.Changed:
		case <-ctx.Done():
			return s, ctx.Err()
		}
	}
}

// Sync answers a peer's sync request from the newest snapshot; the error is always nil.
func (c *Control) Sync(_ context.Context, req cluster.SyncRequest) (cluster.SyncReply, error) {
	reply := c.Snapshot().reply(req, time.Now(), c.cfg)
	reply.Load = c.localLoad()
	return reply, nil
}

// NewSyncRequest returns the sync request to send to peers.
func (c *Control) NewSyncRequest() cluster.SyncRequest { return c.Snapshot().request() }

// The methods below implement group.View.

// Domains implements group.View.
func (c *Control) Domains() map[string]group.VersionedDomain { return c.Snapshot().Domains }

// Evidence implements group.View.
func (c *Control) Evidence() map[string]group.Evidence { return c.Snapshot().Evidence }

// Pools implements group.View.
func (c *Control) Pools() []catalog.Pool { return c.Snapshot().Pools }

// Owns implements group.View.
func (c *Control) Owns(duty string, n int) bool { return c.Snapshot().Owns(duty, n) }

// PublishDomain implements group.View.
func (c *Control) PublishDomain(name string, versioned group.VersionedDomain) {
	c.enqueue(func(s *state, now time.Time) { s.observeDomain(name, versioned, now) })
}

// PublishEvidence implements group.View.
func (c *Control) PublishEvidence(list []group.Evidence) {
	c.enqueue(func(s *state, now time.Time) {
		for _, e := range list {
			s.observeEvidence(e, now)
		}
	})
}
