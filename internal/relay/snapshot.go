package relay

import (
	"context"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
)

// A daemon that starts needs every entry once. Where many daemons would read many entries, the
// store's link is the bottleneck when they start together. They then take a snapshot from their
// zone's relay, or from a daemon that the relay names because it recently got one, so that no
// link carries more copies than it can within copyWindow. A snapshot is equivalent to a stale
// listing of the store: it proves nothing until the changes after it are known.

const methodSnapshot = "relay.snapshot"

const (
	// maxStoreReadBytes is how much all daemons may read from the store if they start together;
	// beyond it they take snapshots. It is a fifth of a second of a 1,000 Mbit/s link.
	maxStoreReadBytes = 25_000_000
	// snapshotWait is how long a call for a snapshot waits at a daemon that has none yet.
	snapshotWait = 200 * time.Millisecond
	// snapshotTimeout bounds such a call including the transfer of the snapshot.
	snapshotTimeout = time.Second
	// snapshotReuse is how long a packed snapshot is reused.
	snapshotReuse = time.Second
	// copyShare is the fraction of a link's capacity that snapshot copies may use within each
	// copyWindow.
	copyWindow = 200 * time.Millisecond
	copyShare  = 0.5
	// sourceValidFor is how long a daemon that was sent a snapshot is named as a source.
	sourceValidFor = time.Second
	// snapshotRetryInterval is the pause between two calls for a snapshot.
	snapshotRetryInterval = 50 * time.Millisecond
	// minSnapshotTime and maxSnapshotTime bound how long a daemon tries to get a snapshot
	// before it lists from the store.
	minSnapshotTime = 1500 * time.Millisecond
	maxSnapshotTime = 3 * time.Second
)

// errNoSnapshot: this daemon must list from the store.
const errNoSnapshot = errors.ConstError("relay: no snapshot available")

// errReplaced: the daemon that was taken for the relay is not the relay.
const errReplaced = errors.ConstError("relay: replaced by another daemon")

// SnapshotRequest asks for all entries.
type SnapshotRequest struct {
	Address  string  `json:"address"` // where the caller serves peers
	LinkMbps float64 `json:"link_mbps"`
	// Direct is set if the daemon that was named before sent no snapshot: the receiver must then
	// send its own.
	Direct bool `json:"direct,omitempty"`
	// Relay is set if the caller takes the receiver for its zone's relay: a receiver that is not
	// refuses. It is not set in calls to a daemon that the relay named, nor by earlier versions.
	Relay bool `json:"relay,omitempty"`
}

// SnapshotReply holds all entries, or names the daemon to ask for them.
type SnapshotReply struct {
	Entries  []byte `json:"entries,omitempty"` // packed
	Revision uint64 `json:"revision,omitempty"`
	Ask      string `json:"ask,omitempty"` // address of the daemon to ask instead
}

// Snapshot implements Transport.
func (p *Peers) Snapshot(ctx context.Context, address string, r SnapshotRequest) (SnapshotReply, error) {
	var out SnapshotReply
	err := p.rpc.Call(ctx, address, methodSnapshot, r, &out)
	return out, err
}

// answerSnapshot answers a daemon that starts. If this daemon is not the relay, it sends the entries
// only to callers that the relay told to ask it: its link may be too slow for those of a whole zone.
func (n *Node) answerSnapshot(ctx context.Context, r SnapshotRequest) (SnapshotReply, error) {
	snapshot, err := n.awaitSnapshot(ctx)
	if err != nil {
		return SnapshotReply{}, err
	}
	if r.Relay && !n.IsRelay() {
		return SnapshotReply{}, jrpc2.Errorf(codeNotTheRelay, "not the zone's relay")
	}
	if n.IsRelay() && !r.Direct {
		if source := n.copies.assignSource(r, n.opts.LinkMbps, len(snapshot.Entries), n.now()); source != "" {
			return SnapshotReply{Ask: source}, nil
		}
	}
	return snapshot, nil
}

// awaitSnapshot returns all entries as soon as this daemon knows them.
func (n *Node) awaitSnapshot(ctx context.Context) (SnapshotReply, error) {
	timer := time.NewTimer(snapshotWait)
	defer timer.Stop()
	for {
		_, _, changed := n.history.proofs()
		if n.stopping.Load() {
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

// snapshotCopies hands out snapshots. Safe for concurrent use; time is passed in.
type snapshotCopies struct {
	mu          sync.Mutex
	snapshot    SnapshotReply
	packedAt    time.Time // zero: never
	sources     []source  // in the order in which they were sent a snapshot
	windowStart time.Time // start of the current copyWindow
	ownCopies   int       // copies sent by this daemon in the current window
}

// source is a daemon that was sent a snapshot, or is about to be.
type source struct {
	address    string
	copiesLeft int       // copies that it may still be asked to send
	assignedAt time.Time // when its own copy was assigned
}

// current returns the packed entries of a history; false: not every entry is known.
func (c *snapshotCopies) current(h *history, now time.Time) (SnapshotReply, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.packedAt.IsZero() && now.Sub(c.packedAt) < snapshotReuse && h.hasAllAfter(c.snapshot.Revision) {
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
	c.snapshot, c.packedAt = SnapshotReply{Entries: entries, Revision: revision}, now
	return c.snapshot, true, nil
}

// adopt stores a packed snapshot of another daemon, to be handed on unchanged.
func (c *snapshotCopies) adopt(s SnapshotReply, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot, c.packedAt = s, now
}

// assignSource chooses the sender of the next copy of a size: this daemon (empty) while its own
// link can carry the copy within the window, otherwise the first source that has copies left, or
// this daemon if no source has any.
func (c *snapshotCopies) assignSource(r SnapshotRequest, linkMbps float64, size int, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.windowStart) >= copyWindow {
		c.windowStart, c.ownCopies = now, 0
	}
	for len(c.sources) > 0 && (c.sources[0].copiesLeft <= 0 || now.Sub(c.sources[0].assignedAt) > sourceValidFor) {
		c.sources = c.sources[1:]
	}
	from := ""
	if c.ownCopies >= copiesPerWindow(linkMbps, size) {
		for i := range c.sources {
			if s := &c.sources[i]; s.copiesLeft > 0 && s.address != r.Address {
				s.copiesLeft--
				from = s.address
				break
			}
		}
	}
	if from == "" {
		c.ownCopies++
	}
	c.sources = append(c.sources, source{r.Address, copiesPerWindow(r.LinkMbps, size), now})
	return from
}

// copiesPerWindow returns how many copies of a size in bytes a daemon may send within
// copyWindow: at least two, so that their number grows with each hop from source to source.
// JSON carries bytes as base64.
func copiesPerWindow(linkMbps float64, size int) int {
	const bytesPerMbit, base64Growth = 125_000, 4.0 / 3
	return max(2, int(copyShare*linkMbps*bytesPerMbit*copyWindow.Seconds()/(float64(size)*base64Growth)))
}

// exceedsStoreLink reports whether daemons that start together should take snapshots, as
// reading the entries from the store would occupy its link for too long.
func exceedsStoreLink(entriesBytes, daemons int) bool {
	return entriesBytes*daemons > maxStoreReadBytes
}

// fetchSnapshot gets all entries from the zone's relay, or from the daemon that it names.
// errNoSnapshot: this daemon is the relay, the fleet is small enough to list, the relay is of an
// earlier version, or no daemon sent the entries in time.
func (n *Node) fetchSnapshot(ctx context.Context) (objectapi.Listing, error) {
	began := n.now()
	n.starting = true
	defer func() { n.starting = false }()
	for end := began.Add(n.opts.Uniform(minSnapshotTime, maxSnapshotTime)); ctx.Err() == nil && n.now().Before(end); {
		if n.relayAddress == "" && !n.now().Before(n.nextSearchAt) {
			n.readRecords(ctx)
		}
		if n.isRelay.Load() || !n.distributeSnapshots.Load() {
			break
		}
		relay := n.relayAddress
		if relay == "" {
			relay = n.suspect
		}
		if relay != "" {
			l, err := n.askSnapshot(ctx, relay)
			switch {
			case err == nil:
				if n.relayAddress == "" {
					n.useRelay(relay)
				}
				n.opts.Log.Info("entries loaded from a peer's snapshot", zap.Int("entries", len(l.Objects)), zap.Int("bytes", l.Transfer.Bytes),
					zap.Uint64("revision", l.Revision), zap.Int64("after_ms", n.now().Sub(began).Milliseconds()))
				return l, nil
			case errors.Is(err, errNoSnapshot):
				return objectapi.Listing{}, err
			case errors.Is(err, errReplaced):
				n.relayAddress = ""
				n.searchBy(n.now().Add(n.opts.Uniform(minConflictDelay, maxConflictDelay)))
			case n.relayAddress != "" && !isRelayAnswer(err):
				n.dropRelay(err)
			case n.relayAddress != "" && n.now().Sub(n.relayUsedSince) > minSearchDelay:
				n.relayAddress, n.nextSearchAt = "", n.now() // another daemon may have replaced the relay
			}
		}
		pause.For(ctx, snapshotRetryInterval)
	}
	return objectapi.Listing{}, errNoSnapshot
}

// searchBy makes the next search for a relay due by t.
func (n *Node) searchBy(t time.Time) {
	if t.Before(n.nextSearchAt) {
		n.nextSearchAt = t
	}
}

// closeGap returns the changes after a revision that a relay no longer knows completely: by means
// of a snapshot where these are distributed, otherwise, or without a snapshot in time, from the
// store. Listing all entries instead would leave this daemon with its old view while the whole
// zone reads them over the store's link. The relay knows all changes from knownFrom on; 0: none.
// objectapi.ErrCompacted: the store does not know the changes either, and this daemon must list.
func (n *Node) closeGap(ctx context.Context, relay string, after, knownFrom uint64) (objectapi.Changes, error) {
	if n.distributeSnapshots.Load() {
		timed, cancel := context.WithTimeout(ctx, n.limitByProof(maxSnapshotTime, n.now()))
		defer cancel()
		if changes, closed := n.changesBySnapshot(timed, relay, after); closed {
			return changes, nil
		}
	}
	changes, err := n.followStoreOnce(ctx, after, fleet.ProofWait)
	if err == nil && len(changes.Events) == 0 && knownFrom > after {
		// The store was asked after the relay had answered: nothing changed up to knownFrom.
		changes.Revision, changes.ClosesGap = knownFrom, true
	}
	return changes, err
}

// changesBySnapshot returns the changes after a revision as the difference from a snapshot and the
// relay's changes after that. closed is false if they are not known in time.
func (n *Node) changesBySnapshot(ctx context.Context, relay string, after uint64) (changes objectapi.Changes, closed bool) {
	l, err := n.askSnapshot(ctx, relay)
	if err != nil || l.Revision <= after {
		return objectapi.Changes{}, false
	}
	missed, known := n.history.diff(l)
	if !known {
		return objectapi.Changes{}, false
	}
	changes, gap, err := n.pollRelay(ctx, relay, l.Revision, 0)
	if err != nil || gap {
		return objectapi.Changes{}, false
	}
	n.history.noteSkipped(after, l.Revision)
	changes.Events = append(missed, changes.Events...)
	changes.Revision, changes.ClosesGap = max(changes.Revision, l.Revision), true
	return changes, true
}

// isRelayAnswer reports whether an error is the answer of a daemon that does not know the entries
// yet.
func isRelayAnswer(err error) bool { return errors.Is(err, errOutOfTouch) }

// askSnapshot asks a relay for all entries, and then the daemon that the relay names.
// errOutOfTouch: the relay answers, but does not know the entries yet. errReplaced: it is not the relay.
func (n *Node) askSnapshot(ctx context.Context, relay string) (objectapi.Listing, error) {
	r := SnapshotRequest{Address: n.opts.Address, LinkMbps: n.opts.LinkMbps, Relay: true}
	reply, err := n.callSnapshot(ctx, relay, r)
	if err == nil && reply.Ask != "" {
		r.Relay = false
		reply, err = n.callSnapshot(ctx, reply.Ask, r)
		if err != nil || reply.Ask != "" {
			r.Relay, r.Direct = true, true
			reply, err = n.callSnapshot(ctx, relay, r)
		}
	}
	if err != nil {
		return objectapi.Listing{}, err
	}
	n.copies.adopt(reply, n.now())
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
	timed, cancel := n.opts.RunClock.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	reply, err := n.opts.Peers.Snapshot(timed, address, r)
	switch jrpc2.ErrorCode(err) {
	case codeNotRelaying:
		err = errors.WithType(err, errOutOfTouch)
	case codeNotTheRelay:
		err = errors.WithType(err, errReplaced)
	case jrpc2.MethodNotFound: // an earlier version, during an upgrade
		err = errors.WithType(err, errNoSnapshot)
	}
	return reply, errors.Trace(err)
}
