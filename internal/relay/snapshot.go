package relay

import (
	"context"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// A daemon that starts needs every entry once. Where many daemons would read many entries, the
// store's link is the bottleneck when they start together. They take a snapshot from their
// zone's relay then, or from a daemon that the relay names because it got one a moment ago, so
// that no link carries more copies than it can within copyWindow. A snapshot is what an old
// listing of the store is: it proves nothing until the changes after it are known.

const methodSnapshot = "relay.snapshot"

const (
	// distributeBytes is how much all daemons may read from the store if they start together;
	// beyond it they take snapshots. It is a fifth of a second of a link of 1,000 Mbit/s.
	distributeBytes = 25_000_000
	// snapshotHold is how long a call for a snapshot waits at a daemon that has none yet.
	snapshotHold = 200 * time.Millisecond
	// snapshotTimeout bounds such a call with the transfer of the snapshot.
	snapshotTimeout = time.Second
	// snapshotReuse is how long a packed snapshot is handed out again.
	snapshotReuse = time.Second
	// copyShare of a link carries, within copyWindow, the copies that its daemon hands out.
	copyWindow = 200 * time.Millisecond
	copyShare  = 0.5
	// sourceFor is how long a daemon that was sent a snapshot is named as a source.
	sourceFor = time.Second
	// snapshotRetry is the pause between two calls for a snapshot.
	snapshotRetry = 50 * time.Millisecond
	// snapshotLeast and snapshotMost bound how long a daemon tries to get a snapshot before it
	// lists from the store.
	snapshotLeast = 1500 * time.Millisecond
	snapshotMost  = 3 * time.Second
)

// errNoSnapshot: this daemon must list from the store.
const errNoSnapshot = errors.ConstError("relay: no snapshot to be had")

// SnapshotRequest asks for all entries.
type SnapshotRequest struct {
	Address  string  `json:"address"` // where the asker answers peers
	LinkMbps float64 `json:"link_mbps"`
	// Direct: the daemon that was named before did not answer.
	Direct bool `json:"direct,omitempty"`
}

// SnapshotReply holds all entries, or names the daemon to ask for them.
type SnapshotReply struct {
	Entries  []byte `json:"entries,omitempty"` // packed
	Revision uint64 `json:"revision,omitempty"`
	Ask      string `json:"ask,omitempty"` // address
}

// Snapshot implements Transport.
func (p *Peers) Snapshot(ctx context.Context, address string, r SnapshotRequest) (SnapshotReply, error) {
	var out SnapshotReply
	err := p.rpc.Call(ctx, address, methodSnapshot, r, &out)
	return out, err
}

// answerSnapshot answers a daemon that starts. Unless this daemon relays, it sends the entries
// itself: a relay named it.
func (n *Node) answerSnapshot(ctx context.Context, r SnapshotRequest) (SnapshotReply, error) {
	snapshot, err := n.awaitSnapshot(ctx)
	if err != nil {
		return SnapshotReply{}, err
	}
	if n.Holding() && !r.Direct {
		if source := n.copies.assign(r, n.o.LinkMbps, len(snapshot.Entries), n.now()); source != "" {
			return SnapshotReply{Ask: source}, nil
		}
	}
	return snapshot, nil
}

// awaitSnapshot returns all entries, as soon as this daemon knows them.
func (n *Node) awaitSnapshot(ctx context.Context) (SnapshotReply, error) {
	timer := time.NewTimer(snapshotHold)
	defer timer.Stop()
	for {
		_, _, changed := n.history.state()
		if n.closed.Load() {
			return SnapshotReply{}, jrpc2.Errorf(codeStopping, "stopping")
		}
		snapshot, known, err := n.copies.current(n.history, n.now())
		if known || err != nil {
			return snapshot, errors.Trace(err)
		}
		select {
		case <-changed:
		case <-timer.C:
			return SnapshotReply{}, jrpc2.Errorf(codeNotRelaying, "entries not known")
		case <-ctx.Done():
			return SnapshotReply{}, ctx.Err()
		}
	}
}

// copies hands out snapshots. Safe for concurrent use; time is passed in.
type copies struct {
	mu       sync.Mutex
	snapshot SnapshotReply
	packed   time.Time // when snapshot was packed; zero: never
	sources  []source  // in the order in which they were sent a snapshot
	window   time.Time // when the current copyWindow began
	sent     int       // copies by this daemon itself since
}

// source is a daemon that was sent a snapshot, or is about to be.
type source struct {
	address string
	left    int // copies that it may be asked for
	since   time.Time
}

// current returns the entries of a history, packed; false: they are not known.
func (c *copies) current(h *history, now time.Time) (SnapshotReply, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.packed.IsZero() && now.Sub(c.packed) < snapshotReuse && h.hasAllAfter(c.snapshot.Revision) {
		return c.snapshot, true, nil
	}
	events, revision, known := h.snapshot()
	if !known {
		return SnapshotReply{}, false, nil
	}
	entries, err := pack(events)
	if err != nil {
		return SnapshotReply{}, false, err
	}
	c.snapshot, c.packed = SnapshotReply{Entries: entries, Revision: revision}, now
	return c.snapshot, true, nil
}

// keep takes a packed snapshot of another daemon, to be handed on as it is.
func (c *copies) keep(s SnapshotReply, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot, c.packed = s, now
}

// assign chooses who sends the next copy of a size: this daemon (empty) while its own link
// carries it within the window, otherwise the first source that has copies left. With none left
// this daemon sends it too.
func (c *copies) assign(r SnapshotRequest, linkMbps float64, size int, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.window) >= copyWindow {
		c.window, c.sent = now, 0
	}
	for len(c.sources) > 0 && (c.sources[0].left <= 0 || now.Sub(c.sources[0].since) > sourceFor) {
		c.sources = c.sources[1:]
	}
	from := ""
	if c.sent >= copiesPerWindow(linkMbps, size) {
		for i := range c.sources {
			if s := &c.sources[i]; s.left > 0 && s.address != r.Address {
				s.left--
				from = s.address
				break
			}
		}
	}
	if from == "" {
		c.sent++
	}
	c.sources = append(c.sources, source{r.Address, copiesPerWindow(r.LinkMbps, size), now})
	return from
}

// copiesPerWindow is how many copies of a size in bytes a daemon hands out within copyWindow, at
// least two, so that their number grows with each step from source to source. JSON carries bytes as base64.
func copiesPerWindow(linkMbps float64, size int) int {
	const bytesPerMbit, base64Growth = 125_000, 4.0 / 3
	return max(2, int(copyShare*linkMbps*bytesPerMbit*copyWindow.Seconds()/(float64(size)*base64Growth)))
}

// distributes tells whether daemons that start together should take snapshots, as reading the
// entries from the store would take its link too long.
func distributes(entriesBytes, daemons int) bool { return entriesBytes*daemons > distributeBytes }

// takeSnapshot gets all entries from the zone's relay, or from whom it names. errNoSnapshot: this
// daemon is the relay, the fleet is small enough to list, or nobody had them in time.
func (n *Node) takeSnapshot(ctx context.Context) (objectapi.Listing, error) {
	began := n.now()
	n.starting = true
	defer func() { n.starting = false }()
	for end := began.Add(n.o.Uniform(snapshotLeast, snapshotMost)); ctx.Err() == nil && n.now().Before(end); {
		if n.peer == "" && !n.now().Before(n.lookAt) {
			n.look(ctx)
		}
		if n.holding.Load() || !n.distributed.Load() {
			break
		}
		relay := n.peer
		if relay == "" {
			relay = n.suspect
		}
		if relay != "" {
			l, err := n.askSnapshot(ctx, relay)
			switch {
			case err == nil:
				if n.peer == "" {
					n.use(relay)
				}
				n.o.Log.Info("entries taken from a snapshot", zap.Int("entries", len(l.Objects)), zap.Int("bytes", l.Transfer.Bytes),
					zap.Uint64("revision", l.Revision), zap.Int64("after_ms", n.now().Sub(began).Milliseconds()))
				return l, nil
			case errors.Is(err, errNoSnapshot):
				return objectapi.Listing{}, err
			case n.peer != "" && !answered(err):
				n.lost(err)
			case n.peer != "" && n.now().Sub(n.usedAt) > settleLeast:
				n.peer, n.lookAt = "", n.now() // another daemon may have taken its place
			}
		}
		pause.For(ctx, snapshotRetry)
	}
	return objectapi.Listing{}, errNoSnapshot
}

// closeGap returns what changed after a revision from which on a relay does not know all changes,
// by a snapshot. Otherwise every daemon of the zone would list from the store after the relay was
// replaced by one that knows less. objectapi.ErrCompacted: this daemon must list.
func (n *Node) closeGap(ctx context.Context, relay string, after uint64) (objectapi.Changes, error) {
	if !n.distributed.Load() {
		return objectapi.Changes{}, objectapi.ErrCompacted
	}
	l, err := n.askSnapshot(ctx, relay)
	if err != nil || l.Revision <= after {
		return objectapi.Changes{}, objectapi.ErrCompacted
	}
	missed, known := n.history.difference(l)
	if !known {
		return objectapi.Changes{}, objectapi.ErrCompacted
	}
	out, gap, err := n.askNews(ctx, relay, l.Revision, 0)
	if err != nil || gap {
		return objectapi.Changes{}, objectapi.ErrCompacted
	}
	n.history.skipped(after, l.Revision)
	out.Events = append(missed, out.Events...)
	out.Revision = max(out.Revision, l.Revision)
	return out, nil
}

// answered tells whether an error is another daemon's answer.
func answered(err error) bool { return errors.Is(err, errOutOfTouch) }

// askSnapshot asks the relay at an address for all entries, and whom it names. errOutOfTouch: it
// answers, but does not know them yet.
func (n *Node) askSnapshot(ctx context.Context, relay string) (objectapi.Listing, error) {
	r := SnapshotRequest{Address: n.o.Address, LinkMbps: n.o.LinkMbps}
	reply, err := n.callSnapshot(ctx, relay, r)
	if err == nil && reply.Ask != "" {
		reply, err = n.callSnapshot(ctx, reply.Ask, r)
		if err != nil || reply.Ask != "" {
			r.Direct = true
			reply, err = n.callSnapshot(ctx, relay, r)
		}
	}
	if err != nil {
		return objectapi.Listing{}, err
	}
	n.copies.keep(reply, n.now())
	began := n.now()
	events, err := unpack(reply.Entries, 0)
	if err != nil {
		return objectapi.Listing{}, errors.Trace(err)
	}
	l := objectapi.Listing{Objects: make([]objectapi.Object, 0, len(events)), Revision: reply.Revision}
	for _, e := range events {
		l.Objects = append(l.Objects, e.Object)
	}
	l.Transfer = objectapi.Transfer{Pages: 1, Bytes: len(reply.Entries), Decode: n.now().Sub(began)}
	return l, nil
}

// callSnapshot makes one call for a snapshot.
func (n *Node) callSnapshot(ctx context.Context, address string, r SnapshotRequest) (SnapshotReply, error) {
	timed, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	reply, err := n.o.Peers.Snapshot(timed, address, r)
	switch jrpc2.ErrorCode(err) {
	case codeNotRelaying:
		err = errors.WithType(err, errOutOfTouch)
	case jrpc2.MethodNotFound: // an earlier version, while daemons are replaced
		err = errors.WithType(err, errNoSnapshot)
	}
	return reply, errors.Trace(err)
}
