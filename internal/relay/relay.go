// Package relay lets the daemons of one zone follow the store through one of them.
// Every call to the store has its price and the store bounds their number; with
// hundreds of daemons most calls would tell each of them the same.
//
// One daemon of a zone, named in a record of the store, follows it itself; the
// others ask that one for the changes of the instances' entries and for how long
// ago it saw which version of the configuration. A relay saves effort only. What
// a daemon may believe rests on ages that it counts itself, from when it asked: a
// proof that came through a relay is never taken for younger than it is, and who
// hears nothing new in time asks the store itself, as if there were no relays. So
// a relay that is dead, frozen, cut off or deaf costs calls, but breaks no bound.
// The configuration itself is never relayed: keys stay between the store and each
// daemon.
//
// Through the same daemons a zone shares what each of hundreds would know or have too
// little of by itself: repeats (share.go), what is in progress where and which groups stand
// still (loads.go, exchange.go). All of it is a hint but the repeats, which are earned once
// and spent once.
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
	"pearlanding/internal/steady"
)

// Parts of the age at which a proof counts as stale (Options.Stale). A relay asks
// the store, rests, and asks again: its newest proof is at most two of its waits and
// a pause old, and its peer's another wait and pause more.
const (
	servingPart   = 1.0 / 3  // wait of a relay's own watch: each new one is a proof
	servingPause  = 1.0 / 5  // a relay's rest after news
	askPart       = 1.0 / 4  // how long a relay may hold a peer's call
	peerPause     = 1.0 / 6  // a peer's rest after news
	leastAskPart  = 1.0 / 8  // a call gets this much time, however old the last proof
	leastWaitPart = 1.0 / 16 // and a relay may hold it for half of that, so that calls don't follow one another at once
	answerMargin  = 1.0 / 5  // how much longer than it may be held a call may take
	stalePatience = 3.0      // how long a relay may be out of touch until it is replaced
	alonePatience = 1.0 / 2  // the same while the store answers whoever would replace it
)

// Other times.
const (
	// servingFor is how long after a peer's call a relay still counts as asked.
	servingFor = 3 * time.Second
	// settle spreads the looks at the record by chance, so that the daemons that
	// lose a relay together don't all write.
	settleLeast = 300 * time.Millisecond
	settleMost  = 1500 * time.Millisecond
	// wideMbps is the link in Mbit/s from which on a machine is preferred as its zone's relay:
	// it looks at the record before the others do, within wideMost of a start or within
	// wideLeast and wideMost of a loss.
	wideMbps  = 100.0
	wideLeast = 50 * time.Millisecond
	wideMost  = 200 * time.Millisecond
	// againLeast and againMost spread the questions to a relay that is out of touch with
	// the store: its word ends an outage for its zone.
	againLeast = 150 * time.Millisecond
	againMost  = 500 * time.Millisecond
	// conflictLeast and conflictMost are the same after a lost race: the winner has
	// begun to follow by then.
	conflictLeast = 100 * time.Millisecond
	conflictMost  = 300 * time.Millisecond
	// firstMargin is how much longer than it may be held a daemon's first call to a relay
	// may take: nothing is served before it. After a loss of power the record names a machine
	// that may have none yet, and requests are refused until instances are known.
	firstMargin = 200 * time.Millisecond
	// recheckEvery is how often a relay looks whether the record still names it.
	recheckEvery = 20 * time.Second
)

// errOutOfTouch: the relay answered, but does not hear from the store, or has just
// begun to be asked. It may be back soon.
const errOutOfTouch = errors.ConstError("relay: out of touch with the store")

// Transport asks a relay at an address.
type Transport interface {
	News(ctx context.Context, address string, r NewsRequest) (NewsReply, error)
	// Share tells a daemon's load and hands repeats over.
	Share(ctx context.Context, address string, r ShareRequest) (ShareReply, error)
	// Repeat asks for a repeat of the relay's pool.
	Repeat(ctx context.Context, address string, r RepeatRequest) (RepeatReply, error)
	// Snapshot asks for all entries.
	Snapshot(ctx context.Context, address string, r SnapshotRequest) (SnapshotReply, error)
	// Loads asks what the daemons of the relay's zone have in progress.
	Loads(ctx context.Context, address string) (LoadsReply, error)
	// Words exchanges what two daemons know of requests that end instances.
	Words(ctx context.Context, address string, r WordsRequest) (WordsReply, error)
	// Limits exchanges what two daemons know of limits, and asks for permits.
	Limits(ctx context.Context, address string, r LimitsRequest) (LimitsReply, error)
}

// Options of a Node; all are needed.
type Options struct {
	Store   objectapi.Feed
	Kind    string // of the entries that are relayed
	Key     string // of the zone's record
	Holder  string // unique for each life of a process
	Address string // where this daemon answers peers, IP:port
	// LinkMbps is the rate of this machine's link in Mbit/s.
	LinkMbps float64
	Peers    Transport
	// Stale returns the age beyond which a proof of the entries is too old to serve on.
	Stale func() time.Duration
	// Direct tells that this daemon must follow the store itself now.
	Direct func() bool
	// Confirm hands on that the configuration's object had a version at a time.
	Confirm func(version uint64, proved time.Time)
	// Returned, if set, is told that a relay answers which did not, or another one: the store
	// answers that one.
	Returned func()
	// Traffic is what this daemon's requests share with others.
	Traffic Traffic
	// Gate keeps what this daemon knows of instances that limit their requests.
	Gate *backpressure.Gate
	// Quarantine is what this daemon knows of requests that end instances; nil: nothing.
	Quarantine Quarantine
	// Listed, if set, is told of each listing of the kind of Key.
	Listed func(l objectapi.Listing)
	// Bootstrap: all daemons start together, and no relay can be known yet.
	Bootstrap bool
	// Standing lists the instances whose running streams stopped for this daemon lately.
	Standing func(now time.Time) []string
	// Uniform returns a duration in [least, most) by chance.
	Uniform func(least, most time.Duration) time.Duration
	Now     func() time.Time
	Log     *zap.Logger
}

// Node is one daemon's part. It is an objectapi.Feed whose Follow goes through the
// zone's relay where it can; everything else goes to the store. Follow and ListKind
// of the relayed kind are called by one goroutine; the rest is safe for concurrent
// use.
type Node struct {
	objectapi.Feed
	o       Options
	history *history
	reports *reports
	share   share
	copies  copies
	grants  backpressure.Grants // used while this daemon holds the zone's record
	holding atomic.Bool         // the record names this daemon, as far as it knows
	reached atomic.Bool         // the last call to the store for entries succeeded
	closed  atomic.Bool         // this daemon stops
	// recheck: the zone's record, as listed last, is not what this daemon, its relay, wants there.
	recheck atomic.Bool
	// distributed: a zone's record tells daemons that start to take snapshots.
	distributed atomic.Bool
	askedAt     steady.Time // when a peer asked last
	// answered is when a relay answered last, whatever it said.
	answered steady.Time
	via      atomic.Bool // the last call of Follow went through a relay

	unheard   atomic.Bool // its relay did not answer about requests that end instances
	positions positions
	known     addresses     // of all zones' relays, as listed last
	kick      chan struct{} // there is something to tell, or to ask for
	arrived   chan struct{} // a peer asks, after none did for a while

	// State of the goroutine that calls Follow.
	peer     string // the relay's address; empty: none that is known to work
	suspect  string // a relay that failed
	failedAt time.Time
	// toldOutOfTouch: it was logged of suspect that it answers without the store.
	toldOutOfTouch bool
	aloneAt        time.Time // since when the store answers this daemon's own calls without fail
	configSeq      uint64    // last heard from peer
	proved         time.Time // by the last answer of a relay
	lookAt         time.Time
	looked         bool      // the zone's record was looked at once
	starting       bool      // the entries are not known yet
	usedAt         time.Time // since when peer is the relay
}

// NewNode returns a node that first looks for its zone's relay. Where all daemons start
// together, they look one after the other, so that most find a relay.
func NewNode(o Options) *Node {
	n := &Node{Feed: o.Store, o: o, history: newHistory(), reports: newReports(), lookAt: o.Now(), kick: make(chan struct{}, 1), arrived: make(chan struct{}, 1)}
	switch {
	case o.Bootstrap && n.wide():
		n.lookAt = n.lookAt.Add(o.Uniform(0, wideMost))
	case o.Bootstrap && o.LinkMbps > 0:
		n.lookAt = n.lookAt.Add(o.Uniform(settleLeast, settleMost))
	case o.Bootstrap: // no link is told for any machine
		n.lookAt = n.lookAt.Add(o.Uniform(0, settleMost))
	}
	return n
}

// wide tells whether this machine's link suits a relay.
func (n *Node) wide() bool { return n.o.LinkMbps >= wideMbps }

// settle returns how long to wait until the zone's record is looked at, after a loss.
func (n *Node) settle() time.Duration {
	if n.wide() {
		return n.o.Uniform(wideLeast, wideMost)
	}
	return n.o.Uniform(settleLeast, settleMost)
}

func (n *Node) now() time.Time { return n.o.Now() }

// Settles returns how long after its start a daemon may be without a relay that is there.
func (n *Node) Settles() time.Duration {
	if n.o.Bootstrap {
		return settleMost
	}
	return settleLeast
}

// part returns a part of the age at which a proof is stale.
func (n *Node) part(of float64) time.Duration { return time.Duration(of * float64(n.o.Stale())) }

// Pace returns how long to rest after news; 0: no relay sets a pace.
func (n *Node) Pace() time.Duration {
	switch {
	case n.Serving():
		return n.part(servingPause)
	case n.Relayed():
		return n.part(peerPause)
	}
	return 0
}

// Serving tells whether peers ask this daemon.
func (n *Node) Serving() bool {
	return n.relaying() && n.now().Sub(n.askedAt.Load()) < servingFor
}

// Holding tells whether this daemon relays for its zone, as far as it knows, in touch
// with the store or not.
func (n *Node) Holding() bool { return n.holding.Load() && !n.closed.Load() }

// Told tells whether a relay answered this daemon lately, if only that it is out of touch
// with the store: it will tell when the store is back.
func (n *Node) Told() bool { return n.now().Sub(n.answered.Load()) < servingFor }

// Relayed tells whether this daemon follows through a relay.
func (n *Node) Relayed() bool { return n.via.Load() }

// Close sends peers elsewhere.
func (n *Node) Close() { n.closed.Store(true) }

func (n *Node) relaying() bool { return n.holding.Load() && n.reached.Load() && !n.closed.Load() }

// NoteConfig takes in this daemon's own read of the configuration's object, for its
// peers.
func (n *Node) NoteConfig(version uint64, asked time.Time) { n.history.noteConfig(version, asked) }

// ListKind implements objectapi.Feed.
func (n *Node) ListKind(ctx context.Context, kind string) (objectapi.Listing, error) {
	asked := n.now()
	l, err := n.Feed.ListKind(ctx, kind)
	if kind == n.o.Kind {
		n.reached.Store(err == nil)
		if err == nil {
			n.history.listed(l, asked)
		}
	}
	return l, err
}

// ListStale implements objectapi.Feed. A daemon that starts may get the entries from another one.
func (n *Node) ListStale(ctx context.Context, kind string) (objectapi.Listing, error) {
	var l objectapi.Listing
	err := error(errNoSnapshot)
	if kind == n.o.Kind && !n.o.Bootstrap {
		n.looked = true
		l, err = n.takeSnapshot(ctx)
	}
	if err != nil {
		l, err = n.Feed.ListStale(ctx, kind)
	}
	if kind == n.o.Kind && err == nil {
		n.history.seeded(l)
	}
	return l, err
}

// Follow implements objectapi.Feed.
func (n *Node) Follow(ctx context.Context, kind string, after uint64, wait time.Duration) (objectapi.Changes, error) {
	if kind != n.o.Kind {
		return n.Feed.Follow(ctx, kind, after, wait)
	}
	if !n.looked {
		n.looked = true
		pause.For(ctx, n.lookAt.Sub(n.now()))
	}
	n.locate(ctx, after)
	if n.peer != "" && !n.o.Direct() {
		changes, err := n.ask(ctx, n.peer, after, min(wait, n.part(askPart)))
		if err == nil {
			// Told on, if this daemon takes its relay's place.
			n.history.followed(after, changes, n.proved)
		}
		if err == nil || errors.Is(err, objectapi.ErrCompacted) || ctx.Err() != nil {
			n.via.Store(true)
			return changes, err
		}
		n.lost(err)
	}
	n.via.Store(false)
	if n.suspect != "" && !n.o.Direct() && !n.closed.Load() {
		wait = min(wait, max(n.lookAt.Sub(n.now()), fleet.ProveWait)) // its relay is looked for again then
	}
	return n.follow(ctx, after, wait)
}

// servingWait is how long a relay's call may wait: no longer than its peers' proofs allow, and
// not at all if its own is old.
func (n *Node) servingWait() time.Duration {
	entries, _, _ := n.history.state()
	most := n.part(servingPart)
	if n.now().Sub(entries) > most+n.part(servingPause) {
		return fleet.ProveWait
	}
	return most
}

// follow asks the store. A wait that began while no peer asked ends when one does: the peer
// must hear in time that what it knows still holds.
func (n *Node) follow(ctx context.Context, after uint64, wait time.Duration) (objectapi.Changes, error) {
	select {
	case <-n.arrived: // of before this call
	default:
	}
	if n.Serving() {
		return n.followFor(ctx, after, min(wait, n.servingWait()))
	}
	timed, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := make(chan bool, 1)
	go func() {
		select {
		case <-n.arrived:
			interrupted <- true
			cancel()
		case <-timed.Done():
			interrupted <- false
		}
	}()
	changes, err := n.followFor(timed, after, wait)
	cancel()
	if <-interrupted && err != nil && ctx.Err() == nil {
		return n.followFor(ctx, after, fleet.ProveWait)
	}
	return changes, err
}

// followFor asks the store once.
func (n *Node) followFor(ctx context.Context, after uint64, wait time.Duration) (objectapi.Changes, error) {
	asked := n.now()
	changes, err := n.Feed.Follow(ctx, n.o.Kind, after, wait)
	answered := err == nil || errors.Is(err, objectapi.ErrCompacted)
	if answered || ctx.Err() == nil { // a call broken off shows nothing
		n.reached.Store(answered)
	}
	switch {
	case !answered:
		n.aloneAt = time.Time{}
	case n.aloneAt.IsZero():
		n.aloneAt = n.now()
	}
	if err == nil {
		n.history.followed(after, changes, asked)
	}
	return changes, err
}

// ask asks a relay, which may hold the call for a while. However it fails, this
// daemon turns to the store before its last proof is stale.
func (n *Node) ask(ctx context.Context, address string, after uint64, wait time.Duration) (objectapi.Changes, error) {
	changes, gap, err := n.askNews(ctx, address, after, wait)
	if err == nil && gap {
		return n.closeGap(ctx, address, after)
	}
	return changes, err
}

// askNews is ask without recovery; gap: the relay does not know all changes after the revision.
func (n *Node) askNews(ctx context.Context, address string, after uint64, wait time.Duration) (changes objectapi.Changes, gap bool, err error) {
	asked := n.now()
	timeout := firstMargin
	if n.distributed.Load() {
		timeout = snapshotTimeout // the answer may wait for copies of the snapshot on the relay's link
	}
	if n.proved.IsZero() {
		wait = 0
	} else {
		left := n.proved.Add(n.o.Stale()).Sub(asked)
		wait = min(wait, max(left-n.part(answerMargin), n.part(leastWaitPart)))
		timeout = max(min(wait+n.part(answerMargin), left), n.part(leastAskPart))
	}
	timed, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	heard := n.share.heard(address)
	r, err := n.o.Peers.News(timed, address, NewsRequest{After: after, ConfigSeq: n.configSeq, WaitMS: wait.Milliseconds(),
		From: n.o.Holder, Standing: n.o.Standing(asked), Quarantine: &heard})
	if jrpc2.ErrorCode(err) == codeNotRelaying {
		n.answered.Store(n.now())
		return objectapi.Changes{}, false, errors.WithType(err, errOutOfTouch)
	}
	if err != nil {
		return objectapi.Changes{}, false, err
	}
	held := min(time.Duration(r.Held)*time.Millisecond, n.now().Sub(asked))
	age := time.Duration(r.EntriesAge)*time.Millisecond - held
	if age == 0 {
		age = time.Nanosecond // zero stands for the store's own answers
	}
	n.configSeq, n.proved = r.ConfigSeq, asked.Add(-age)
	n.answered.Store(n.now())
	n.share.found(address)
	n.hear(address, r.Quarantine)
	if r.ConfigVersion != 0 {
		n.o.Confirm(r.ConfigVersion, asked.Add(held-time.Duration(r.ConfigAge)*time.Millisecond))
	}
	events, err := unpack(r.Changes, after)
	return objectapi.Changes{Events: events, Revision: r.Revision, Age: age}, r.Gap, errors.Trace(err)
}
