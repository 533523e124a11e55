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

// Control is the door to the control state: events go in, snapshots come out.
// Safe for concurrent use; Run must be running.
type Control struct {
	cfg     Config
	events  chan func(*state, time.Time)
	current atomic.Pointer[Snapshot]
	load    func() cluster.DaemonLoad
	done    chan struct{}
	now     func() time.Time // replaced by tests
}

// eventQueue is how many events may wait; senders wait beyond.
const eventQueue = 1024

// New returns a control that knows nothing and so admits nothing. load reports
// this daemon's own traffic to peers.
func New(cfg Config, load func() cluster.DaemonLoad) *Control {
	c := &Control{cfg: cfg, events: make(chan func(*state, time.Time), eventQueue), load: load, done: make(chan struct{}), now: time.Now}
	c.current.Store(newState(cfg, time.Now()).snapshot(time.Now(), nil))
	return c
}

// Snapshot returns the newest snapshot.
func (c *Control) Snapshot() *Snapshot { return c.current.Load() }

// tick is how often the state is judged anew without any event.
const tick = 50 * time.Millisecond

// publishShare bounds the processor time that building snapshots may take: after
// each, the loop gathers events for that many times as long as it took.
const publishShare = 200

// Run owns the control state until ctx ends.
func (c *Control) Run(ctx context.Context) {
	defer close(c.done)
	s := newState(c.cfg, time.Now())
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	rest := time.NewTimer(0)
	defer rest.Stop()
	changed, rested := true, false
	for {
		select {
		case event := <-c.events:
			event(s, time.Now())
			changed = true
		case <-ticker.C:
			s.prune()
			changed = true
		case <-rest.C:
			rested = true
		case <-ctx.Done():
			return
		}
		if changed && rested {
			c.drain(s)
			rest.Reset(c.restAfter(c.publish(s)))
			changed, rested = false, false
		}
	}
}

// drain applies what else waits, so that a burst makes one snapshot.
func (c *Control) drain(s *state) {
	for range eventQueue {
		select {
		case event := <-c.events:
			event(s, time.Now())
		default:
			return
		}
	}
}

// restAfter returns for how long events are gathered after a snapshot that took so long. The
// admission lease is renewed in snapshots only, so one that took long on a busy machine must not
// hold the next one up for longer than peers' answers are apart.
func (c *Control) restAfter(took time.Duration) time.Duration {
	return min(took*publishShare, c.cfg.SyncInterval)
}

// publish builds and stores a snapshot and returns how long that took.
func (c *Control) publish(s *state) time.Duration {
	start := c.now()
	previous := c.current.Load()
	c.current.Store(s.snapshot(start, previous))
	close(previous.Changed)
	return c.now().Sub(start)
}

// post hands an event to the loop; it is dropped when the loop has ended.
func (c *Control) post(event func(*state, time.Time)) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// call runs an event and waits until it has run; its snapshot may follow a little
// later. False: the loop ended or ctx did.
func (c *Control) call(ctx context.Context, event func(*state, time.Time)) bool {
	ran := make(chan struct{})
	c.post(func(s *state, now time.Time) {
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

// ObserveHead hands in a head as read from the platform by a read sent at asOf.
func (c *Control) ObserveHead(ctx context.Context, head revision.Head, version uint64, asOf time.Time) {
	c.call(ctx, func(s *state, now time.Time) {
		s.observeHead(head, version, now)
		if version >= s.headVersion {
			s.platformRead(asOf)
		}
	})
}

// Offer applies a head that a peer wrote, and answers once traffic sees it.
func (c *Control) Offer(ctx context.Context, h cluster.HeadCopy) (cluster.OfferReply, error) {
	c.call(ctx, func(s *state, now time.Time) { s.observeHead(h.Head, h.Version, now) })
	snap, err := c.Await(ctx, func(s *Snapshot) bool { return s.HeadVersion >= h.Version })
	return cluster.OfferReply{Slot: snap.Slot, Incarnation: snap.Incarnation, Revision: snap.Head.Revision}, err
}

// Acknowledged notes a peer's answer to an offer that was sent at the given time.
func (c *Control) Acknowledged(r cluster.OfferReply) {
	c.post(func(s *state, now time.Time) {
		if s.head.Members[r.Slot].Incarnation == r.Incarnation {
			s.acks.Note(r.Slot, r.Incarnation, r.Revision, now)
		}
	})
}

// Synced hands in a peer's reply to a request sent at the given time.
func (c *Control) Synced(r cluster.SyncReply, sent time.Time) {
	c.post(func(s *state, now time.Time) { s.synced(r, sent, now) })
}

// Refused notes that a slot's address refused a connection.
func (c *Control) Refused(slot string, at time.Time) {
	c.post(func(s *state, _ time.Time) { s.refused(slot, at) })
}

// Stop makes this daemon admit nothing more and give its duties up.
func (c *Control) Stop(ctx context.Context) {
	c.call(ctx, func(s *state, _ time.Time) { s.stopping = true })
	_, _ = c.Await(ctx, func(s *Snapshot) bool { return s.Stopping })
}

// Await waits for a snapshot that satisfies ok and returns the newest.
func (c *Control) Await(ctx context.Context, ok func(*Snapshot) bool) (*Snapshot, error) {
	for {
		s := c.Snapshot()
		if ok(s) {
			return s, nil
		}
		select {
		case <-s.Changed:
		case <-ctx.Done():
			return s, ctx.Err()
		}
	}
}

// Sync answers a peer from the newest snapshot.
func (c *Control) Sync(_ context.Context, req cluster.SyncRequest) (cluster.SyncReply, error) {
	reply := c.Snapshot().reply(req, time.Now(), c.cfg)
	reply.Load = c.load()
	return reply, nil
}

// Request is what this daemon asks a peer.
func (c *Control) Request() cluster.SyncRequest { return c.Snapshot().request() }

// The methods below are group.View.

// Domains implements group.View.
func (c *Control) Domains() map[string]group.Copy { return c.Snapshot().Domains }

// Evidence implements group.View.
func (c *Control) Evidence() map[string]group.Evidence { return c.Snapshot().Evidence }

// Pools implements group.View.
func (c *Control) Pools() []catalog.Pool { return c.Snapshot().Pools }

// Owns implements group.View.
func (c *Control) Owns(duty string, n int) bool { return c.Snapshot().Owns(duty, n) }

// PublishDomain implements group.View.
func (c *Control) PublishDomain(name string, copied group.Copy) {
	c.post(func(s *state, now time.Time) { s.observeDomain(name, copied, now) })
}

// PublishEvidence implements group.View.
func (c *Control) PublishEvidence(list []group.Evidence) {
	c.post(func(s *state, now time.Time) {
		for _, e := range list {
			s.observeEvidence(e, now)
		}
	})
}
