// Package relay lets the daemons of one zone follow the store through one of them. Every call
// to the store has a cost and the store limits their rate; with hundreds of daemons, most calls
// would return the same answer to each daemon.
//
// One daemon of a zone, named in a record of the store, watches the store itself. The others
// poll it for the changes of the instances' entries and for how long ago it saw which version
// of the configuration. A proof is a read of the store with the time at which it was sent: the
// read shows every change made before that time. A relay only saves calls. Correctness rests on
// the age of proofs, which each daemon counts itself, from when it sent its request: a proof
// that came through a relay is never taken for younger than it is, and a daemon that receives no
// new proof in time asks the store itself, as if there were no relays. So a relay that is dead,
// frozen, partitioned or out of touch with the store costs calls, but violates no staleness
// bound. The configuration itself is never relayed: keys stay between the store and each daemon.
//
// Through the same relays a zone shares what hundreds of daemons cannot know, or have too
// little of, by themselves: retry credit (share.go), requests in flight by instance and stalled
// groups (loads.go, exchange.go). All of it is a hint except retry credit, which is accrued once
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
	"pearlanding/internal/evacuation"
	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/pause"
	"pearlanding/internal/steady"
)

// Durations as fractions or multiples of the age at which a proof is stale, which the Options
// set. A relay asks the store, pauses, and asks again: its newest proof is at most two of its
// waits and a pause old, and that of its peer another wait and pause more.
const (
	relayWaitFraction     = 1.0 / 3  // wait of a relay's own watch: each new call is a proof
	relayPauseFraction    = 1.0 / 5  // a relay's pause after changes
	pollWaitFraction      = 1.0 / 4  // how long a relay may hold a peer's call
	peerPauseFraction     = 1.0 / 6  // a peer's pause after changes
	minCallFraction       = 1.0 / 8  // minimum time for a call, however old the last proof is
	minWaitFraction       = 1.0 / 16 // minimum time for which a relay may hold a call, half of minCallFraction, so that calls are not back to back
	answerMarginFraction  = 1.0 / 5  // how much longer than its hold time a call may take
	outageReplaceFraction = 3.0      // how long a relay may be out of touch with the store until it is replaced
	aloneReplaceFraction  = 1.0 / 2  // the same while the store answers the daemons that could replace it
)

// Intervals and limits that do not depend on the staleness bound.
const (
	// recentContact is how long a peer's poll, or an answer of a relay, counts as recent.
	recentContact = 3 * time.Second
	// minSearchDelay and maxSearchDelay bound the random delay before a daemon searches for a
	// relay, so that daemons that lose a relay together don't all write the record.
	minSearchDelay = 300 * time.Millisecond
	maxSearchDelay = 1500 * time.Millisecond
	// fastLinkMbps is the minimum link rate, in Mbit/s, of a machine that is preferred as its
	// zone's relay: it reads the record before the others do, within maxFastSearchDelay of a
	// start, or between minFastSearchDelay and maxFastSearchDelay after a loss.
	fastLinkMbps       = 100.0
	minFastSearchDelay = 50 * time.Millisecond
	maxFastSearchDelay = 200 * time.Millisecond
	// minReaskDelay and maxReaskDelay bound the random delay between calls to a relay that is
	// out of touch with the store: its answer ends an outage for its zone.
	minReaskDelay = 150 * time.Millisecond
	maxReaskDelay = 500 * time.Millisecond
	// minConflictDelay and maxConflictDelay bound the random delay before the record is read
	// again after another daemon won the race to write it: the winner has begun to follow the
	// store by then.
	minConflictDelay = 100 * time.Millisecond
	maxConflictDelay = 300 * time.Millisecond
	// firstCallTimeout bounds a daemon's first call to a relay, as nothing is served before it.
	// After a power loss the record may name a machine that has no power yet, and requests are
	// refused until instances are known.
	firstCallTimeout = 200 * time.Millisecond
	// recheckInterval is how often a relay checks whether the record still names it.
	recheckInterval = 20 * time.Second
)

// errOutOfTouch: the relay answered, but does not reach the store, or peers have only just
// begun to poll it and its proof is still old. It may recover soon.
const errOutOfTouch = errors.ConstError("relay: out of touch with the store")

// Transport calls the relay at an address.
type Transport interface {
	Poll(ctx context.Context, address string, r PollRequest) (PollReply, error)
	// Share sends a daemon's load and hands over spare retry credit.
	Share(ctx context.Context, address string, r ShareRequest) (ShareReply, error)
	// TakeRetry takes one retry from the relay's pool.
	TakeRetry(ctx context.Context, address string, r RetryRequest) (RetryReply, error)
	// Snapshot asks for all entries.
	Snapshot(ctx context.Context, address string, r SnapshotRequest) (SnapshotReply, error)
	// ZoneLoads asks for the requests in flight of the relay's zone.
	ZoneLoads(ctx context.Context, address string) (LoadsReply, error)
	// SyncQuarantine exchanges what two daemons know of requests that crash instances.
	SyncQuarantine(ctx context.Context, address string, r QuarantineRequest) (QuarantineReply, error)
	// SyncLimits exchanges what two daemons know of limits, and asks for permits.
	SyncLimits(ctx context.Context, address string, r LimitsRequest) (LimitsReply, error)
	// ColdPermit asks for a permit for one send to a cold instance.
	ColdPermit(ctx context.Context, address string, r ColdPermitRequest) (ColdPermitReply, error)
}

// Options configure a Node. All are required unless noted.
type Options struct {
	Store   objectapi.Feed
	Kind    string // of the entries that are relayed
	Key     string // of the zone's record
	Holder  string // identifies this daemon, unique for each process
	Address string // where this daemon serves peers, IP:port
	// LinkMbps is the rate of this machine's link in Mbit/s.
	LinkMbps float64
	Peers    Transport
	// StaleAfter returns the age beyond which a proof of the entries is too old to serve requests.
	StaleAfter func() time.Duration
	// MustFollowStore reports whether this daemon must follow the store itself now.
	MustFollowStore func() bool
	// OnConfigProof is called with a version of the configuration's object and a time at which the
	// object had that version.
	OnConfigProof func(version uint64, proved time.Time)
	// ConfigInForce returns the configuration that this daemon applies, and OnConfigStamp is called with
	// those of others; nil: they are not exchanged.
	ConfigInForce func() ConfigStamp
	OnConfigStamp func(s ConfigStamp)
	// OnStoreRestored, if set, is called when a listing shows that the store came back from a copy.
	OnStoreRestored func()
	// OnRelayUsed, if set, is called when this daemon begins to use a relay, be it a lost one that
	// answers again or another one: such a relay should reach the store.
	OnRelayUsed func()
	// Traffic connects this daemon's requests to what the zone shares.
	Traffic Traffic
	// ReachesInstances reports whether this daemon can open tunnels to instances for others; nil: no.
	ReachesInstances func() bool
	// Gate keeps what this daemon knows of instances that limit their request rate.
	Gate *backpressure.Gate
	// Quarantine is what this daemon knows of requests that crash instances; nil: nothing.
	Quarantine Quarantine
	// OnRecordsListed, if set, is called with each listing of the records of all zones.
	OnRecordsListed func(l objectapi.Listing)
	// Bootstrap is set if all daemons start together, so that no zone has a relay yet.
	Bootstrap bool
	// Evacuations is what this daemon knows of the evacuated zones; nil: that is not exchanged.
	Evacuations *evacuation.Known
	// StalledInstances lists the instances whose running streams recently stopped making progress for
	// this daemon.
	StalledInstances func(now time.Time) []string
	// Uniform returns a random duration in [low, high).
	Uniform func(low, high time.Duration) time.Duration
	Now     func() time.Time
	// RunClock counts the time of calls to other daemons: a process that is not scheduled reads no
	// answers, and would take its own delay for a dead relay. Nil: all time counts.
	RunClock *steady.RunClock
	// Spawn runs a function concurrently; nil: in a new goroutine. Tests replace it.
	Spawn func(f func())
	Log   *zap.Logger
}

// Node is one daemon's part of the relay protocol. It is an objectapi.Feed whose Follow goes
// through the zone's relay where possible; everything else goes to the store. Follow, and
// ListKind of the relayed kind, must be called by one goroutine; the rest is safe for
// concurrent use.
type Node struct {
	objectapi.Feed
	opts         Options
	history      *history
	reports      *reports
	share        zoneShare
	copies       snapshotCopies
	grants       backpressure.Grants // used while this daemon is its zone's relay
	cold         coldLeaseState
	isRelay      atomic.Bool // the record names this daemon, as far as it knows
	storeReached atomic.Bool // the last call to the store for entries succeeded
	stopping     atomic.Bool // this daemon is shutting down
	// recheckRecord is set when a listing shows that the zone's record is not as this daemon, the
	// zone's relay, would write it.
	recheckRecord atomic.Bool
	// distributeSnapshots is set while some zone's record tells daemons that start to take
	// snapshots from peers.
	distributeSnapshots atomic.Bool
	polledAt            steady.Time // when a peer polled last
	// relayAnsweredAt is when a relay answered last, even with an error.
	relayAnsweredAt steady.Time
	viaRelay        atomic.Bool // the last call of Follow went through a relay
	// tunnelPeers are addresses of daemons that reach instances, as last told.
	tunnelPeers atomic.Pointer[[]string]

	relayUnresponsive atomic.Bool // the last quarantine sync with the relay failed or found no relay
	syncStates        syncStates
	knownRelays       knownRelays   // of all zones, as last listed
	syncRequested     chan struct{} // signalled when there are quarantine updates to send or to request
	reportRequested   chan struct{} // signalled when loads are to be exchanged at once
	polled            chan struct{} // signalled when a peer polls after none did for recentContact

	// State of the goroutine that calls Follow.
	relayAddress string    // empty: none that is known to work
	suspect      string    // the relay that failed; empty: none
	failedAt     time.Time // when the suspect failed
	withoutRelay bool      // a relay was lost, and no other one has been found since
	// loggedOutOfTouch is set once it was logged that the suspect answers but does not reach the
	// store.
	loggedOutOfTouch  bool
	storeReachedSince time.Time // since when, counted anew after a relay is lost, the store has answered all own calls; zero: not yet
	configSeq         uint64    // of the last configuration read that the relay sent
	evacuationSeq     uint64    // of the last EvacuationReport that the relay sent; 0: none
	provedAt          time.Time // time of the newest proof from the relay; zero: none yet
	nextSearchAt      time.Time // when findRelay next asks the suspect or reads the record
	startDelayDone    bool      // the random delay of the first search is over, or was not needed
	starting          bool      // fetchSnapshot runs: the entries are not known yet
	relayUsedSince    time.Time // since when relayAddress is the relay
}

// NewNode returns a node that first searches for its zone's relay. Where all daemons start
// together, random delays spread the first reads of the record, so that most daemons find a
// relay.
func NewNode(o Options) *Node {
	n := &Node{Feed: o.Store, opts: o, history: newHistory(), reports: newReports(), nextSearchAt: o.Now(), syncRequested: make(chan struct{}, 1), reportRequested: make(chan struct{}, 1), polled: make(chan struct{}, 1)}
	switch {
	case o.Bootstrap && n.hasFastLink():
		n.nextSearchAt = n.nextSearchAt.Add(o.Uniform(0, maxFastSearchDelay))
	case o.Bootstrap && o.LinkMbps > 0:
		n.nextSearchAt = n.nextSearchAt.Add(o.Uniform(minSearchDelay, maxSearchDelay))
	case o.Bootstrap: // no link rates are known
		n.nextSearchAt = n.nextSearchAt.Add(o.Uniform(0, maxSearchDelay))
	}
	return n
}

// hasFastLink reports whether this machine's link is fast enough for a preferred relay.
func (n *Node) hasFastLink() bool { return n.opts.LinkMbps >= fastLinkMbps }

// searchDelay returns a random delay between the loss of a relay and the next search.
func (n *Node) searchDelay() time.Duration {
	if n.hasFastLink() {
		return n.opts.Uniform(minFastSearchDelay, maxFastSearchDelay)
	}
	return n.opts.Uniform(minSearchDelay, maxSearchDelay)
}

func (n *Node) now() time.Time { return n.opts.Now() }

// MaxSearchDelay returns for how long after its start a daemon may not have found an existing relay.
func (n *Node) MaxSearchDelay() time.Duration {
	if n.opts.Bootstrap {
		return maxSearchDelay
	}
	return minSearchDelay
}

// staleFraction returns a fraction of the age at which a proof is stale.
func (n *Node) staleFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(n.opts.StaleAfter()))
}

// PauseAfterChanges returns how long to pause between receiving changes and asking for more. 0: this daemon
// neither serves peers nor follows a relay, and has not lost one. A daemon that lost its relay pauses
// no longer than that relay did: it also has to search for another one before its next call.
// It must be called by the goroutine that calls Follow.
func (n *Node) PauseAfterChanges() time.Duration {
	switch {
	case n.ServesPeers(), n.withoutRelay:
		return n.staleFraction(relayPauseFraction)
	case n.FollowsRelay():
		return n.staleFraction(peerPauseFraction)
	}
	return 0
}

// ServesPeers reports whether peers poll this daemon.
func (n *Node) ServesPeers() bool {
	return n.isActiveRelay() && n.now().Sub(n.polledAt.Load()) < recentContact
}

// IsRelay reports whether this daemon is its zone's relay, as far as it knows, whether or not
// it reaches the store.
func (n *Node) IsRelay() bool { return n.isRelay.Load() && !n.stopping.Load() }

// RelayAnswered reports whether a relay answered this daemon recently, even if only that it is out of
// touch with the store: such a relay will announce that the store is back.
func (n *Node) RelayAnswered() bool { return n.now().Sub(n.relayAnsweredAt.Load()) < recentContact }

// FollowsRelay reports whether the last call of Follow went through a relay.
func (n *Node) FollowsRelay() bool { return n.viaRelay.Load() }

// Close makes this daemon refuse its peers' calls, so that they find another relay.
func (n *Node) Close() { n.stopping.Store(true) }

// isActiveRelay reports whether this daemon is its zone's relay and reaches the store.
func (n *Node) isActiveRelay() bool {
	return n.isRelay.Load() && n.storeReached.Load() && !n.stopping.Load()
}

// NoteConfig records this daemon's own read of the configuration's object, for its peers.
func (n *Node) NoteConfig(version uint64, asked time.Time) { n.history.noteConfig(version, asked) }

// ListKind implements objectapi.Feed.
func (n *Node) ListKind(ctx context.Context, kind string) (objectapi.Listing, error) {
	asked := n.now()
	l, err := n.Feed.ListKind(ctx, kind)
	if kind == n.opts.Kind {
		n.storeReached.Store(err == nil)
		if err == nil {
			if n.history.applyListing(l, asked) {
				n.recheckRecord.Store(true) // what was written to the record may be lost
				if n.opts.OnStoreRestored != nil {
					n.opts.OnStoreRestored()
				}
			}
		}
	}
	return l, err
}

// ListStale implements objectapi.Feed. A daemon that starts may get the entries from another
// daemon's snapshot.
func (n *Node) ListStale(ctx context.Context, kind string) (objectapi.Listing, error) {
	var l objectapi.Listing
	err := error(errNoSnapshot)
	if kind == n.opts.Kind && !n.opts.Bootstrap {
		n.startDelayDone = true
		l, err = n.fetchSnapshot(ctx)
	}
	if err != nil {
		l, err = n.Feed.ListStale(ctx, kind)
	}
	if kind == n.opts.Kind && err == nil {
		n.history.seed(l)
	}
	return l, err
}

// Follow implements objectapi.Feed.
func (n *Node) Follow(ctx context.Context, kind string, after uint64, wait time.Duration) (objectapi.Changes, error) {
	if kind != n.opts.Kind {
		return n.Feed.Follow(ctx, kind, after, wait)
	}
	if !n.startDelayDone {
		n.startDelayDone = true
		pause.For(ctx, n.nextSearchAt.Sub(n.now()))
	}
	n.findRelay(ctx, after)
	if n.relayAddress != "" && !n.opts.MustFollowStore() {
		if changes, answered, err := n.followRelay(ctx, after, wait); answered {
			return changes, err
		}
	}
	n.viaRelay.Store(false)
	if n.suspect == "" || n.opts.MustFollowStore() || n.stopping.Load() {
		return n.followStore(ctx, after, wait)
	}
	storeWait := min(wait, max(n.nextSearchAt.Sub(n.now()), fleet.ProofWait)) // the next search is due then
	changes, relayBack, err := n.followStoreOrSuspect(ctx, after, storeWait)
	if relayBack {
		n.useRelay(n.suspect)
		if changes, answered, err := n.followRelay(ctx, after, wait); answered {
			return changes, err
		}
		n.viaRelay.Store(false)
		return n.followStore(ctx, after, fleet.ProofWait)
	}
	return changes, err
}

// followRelay asks the relay in use. answered is false if the relay was lost and the store must be
// asked instead.
func (n *Node) followRelay(ctx context.Context, after uint64, wait time.Duration) (changes objectapi.Changes, answered bool, err error) {
	changes, err = n.askRelay(ctx, n.relayAddress, after, min(wait, n.staleFraction(pollWaitFraction)))
	if err == nil {
		// Kept so that this daemon can serve peers if it takes its relay's place.
		n.history.applyChanges(after, changes, n.provedAt)
	}
	if err == nil || errors.Is(err, objectapi.ErrCompacted) || ctx.Err() != nil {
		n.viaRelay.Store(true)
		return changes, true, err
	}
	n.dropRelay(err)
	return objectapi.Changes{}, false, nil
}

// followStoreOrSuspect asks the store. If the store has not answered when the next search is due,
// it also asks the lost relay, and gives the call up once that relay answers: a call that was sent
// during an outage may hang until its timeout.
func (n *Node) followStoreOrSuspect(ctx context.Context, after uint64, wait time.Duration) (changes objectapi.Changes, relayBack bool, err error) {
	storeCtx, abandon := context.WithCancel(ctx)
	defer abandon()
	waiting, storeDone := context.WithCancel(context.WithoutCancel(ctx)) // until the call has returned
	asked := n.now()
	go func() {
		defer storeDone()
		changes, err = n.Feed.Follow(storeCtx, n.opts.Kind, after, wait)
	}()
	timer := time.NewTimer(max(n.nextSearchAt.Sub(asked), wait+minReaskDelay))
	defer timer.Stop()
	for {
		select {
		case <-waiting.Done():
			return changes, false, n.noteStoreAnswer(ctx, after, changes, asked, err)
		case <-timer.C:
		}
		if _, askErr := n.askRelay(waiting, n.suspect, after, 0); askErr == nil || errors.Is(askErr, objectapi.ErrCompacted) {
			abandon()
			<-waiting.Done()
			return objectapi.Changes{}, true, nil
		}
		timer.Reset(n.opts.Uniform(minReaskDelay, maxReaskDelay))
	}
}

// relayWait returns how long a relay's call to the store may wait: no longer than its peers'
// proofs allow, and almost not at all if its own proof is old.
func (n *Node) relayWait() time.Duration {
	entries, _, _ := n.history.proofs()
	maxWait := n.staleFraction(relayWaitFraction)
	if n.now().Sub(entries) > maxWait+n.staleFraction(relayPauseFraction) {
		return fleet.ProofWait
	}
	return maxWait
}

// followStore asks the store. A wait that began while no peer polled ends when one does: the
// peer must learn in time that what it knows still holds.
func (n *Node) followStore(ctx context.Context, after uint64, wait time.Duration) (objectapi.Changes, error) {
	select {
	case <-n.polled: // discard a signal from before this call
	default:
	}
	if n.ServesPeers() {
		return n.followStoreOnce(ctx, after, min(wait, n.relayWait()))
	}
	timed, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := make(chan bool, 1)
	go func() {
		select {
		case <-n.polled:
			interrupted <- true
			cancel()
		case <-timed.Done():
			interrupted <- false
		}
	}()
	changes, err := n.followStoreOnce(timed, after, wait)
	cancel()
	if <-interrupted && err != nil && ctx.Err() == nil {
		return n.followStoreOnce(ctx, after, fleet.ProofWait)
	}
	return changes, err
}

// followStoreOnce makes one call to the store.
func (n *Node) followStoreOnce(ctx context.Context, after uint64, wait time.Duration) (objectapi.Changes, error) {
	asked := n.now()
	changes, err := n.Feed.Follow(ctx, n.opts.Kind, after, wait)
	return changes, n.noteStoreAnswer(ctx, after, changes, asked, err)
}

// noteStoreAnswer records the result of a call to the store that was sent at a time, and returns
// its error.
func (n *Node) noteStoreAnswer(ctx context.Context, after uint64, changes objectapi.Changes, asked time.Time, err error) error {
	answered := err == nil || errors.Is(err, objectapi.ErrCompacted)
	if answered || ctx.Err() == nil { // a cancelled call shows nothing
		n.storeReached.Store(answered)
	}
	switch {
	case !answered:
		n.storeReachedSince = time.Time{}
	case n.storeReachedSince.IsZero():
		n.storeReachedSince = n.now()
	}
	if err == nil {
		n.history.applyChanges(after, changes, asked)
	}
	return err
}

// askRelay asks a relay for changes and closes a gap in them. The relay may hold the call for a
// while, but not so long that this daemon could not ask the store, after a failure, before its
// last proof is stale.
func (n *Node) askRelay(ctx context.Context, address string, after uint64, wait time.Duration) (objectapi.Changes, error) {
	changes, gap, err := n.pollRelay(ctx, address, after, wait)
	if err == nil && gap {
		return n.closeGap(ctx, address, after, changes.Revision)
	}
	return changes, err
}

// limitByProof shortens the timeout of a search for news at relays so that, after a failure, this
// daemon can ask the store before what it knows is stale. A daemon that knows nothing yet serves
// nothing and can wait.
func (n *Node) limitByProof(timeout time.Duration, now time.Time) time.Duration {
	provedAt, _, _ := n.history.proofs()
	if provedAt.IsZero() {
		return timeout
	}
	return min(timeout, max(provedAt.Add(n.opts.StaleAfter()).Sub(now), n.staleFraction(minCallFraction)))
}

// pollRelay makes one call to a relay. gap: the relay does not know all changes after the revision;
// the result's Revision is then one after which it does, or 0.
func (n *Node) pollRelay(ctx context.Context, address string, after uint64, wait time.Duration) (changes objectapi.Changes, gap bool, err error) {
	asked := n.now()
	timeout := firstCallTimeout
	if n.distributeSnapshots.Load() {
		timeout = snapshotTimeout // the answer may queue behind snapshot copies on the relay's link
	}
	if n.provedAt.IsZero() {
		wait, timeout = 0, n.limitByProof(timeout, asked)
	} else {
		remaining := n.provedAt.Add(n.opts.StaleAfter()).Sub(asked)
		wait = min(wait, max(remaining-n.staleFraction(answerMarginFraction), n.staleFraction(minWaitFraction)))
		timeout = max(min(wait+n.staleFraction(answerMarginFraction), remaining), n.staleFraction(minCallFraction))
	}
	timed, cancel := n.opts.RunClock.WithTimeout(ctx, timeout)
	defer cancel()
	lastSeq := n.share.lastSeq(address)
	r, err := n.opts.Peers.Poll(timed, address, PollRequest{After: after, ConfigSeq: n.configSeq, WaitMS: wait.Milliseconds(),
		From: n.opts.Holder, StalledInstances: n.opts.StalledInstances(asked), QuarantineSeq: &lastSeq, ConfigInForce: n.configInForce(), EvacuationSeq: n.lastEvacuationSeq()})
	if jrpc2.ErrorCode(err) == codeNotRelaying {
		n.relayAnsweredAt.Store(n.now())
		return objectapi.Changes{}, false, errors.WithType(err, errOutOfTouch)
	}
	if err != nil {
		return objectapi.Changes{}, false, err
	}
	held := min(time.Duration(r.HeldMS)*time.Millisecond, n.now().Sub(asked))
	age := time.Duration(r.EntriesAgeMS)*time.Millisecond - held
	if age == 0 {
		age = time.Nanosecond // zero stands for the store's own answers
	}
	n.configSeq, n.provedAt = r.ConfigSeq, asked.Add(-age)
	n.relayAnsweredAt.Store(n.now())
	n.share.setRelay(address)
	n.noteClusterWideSeq(address, r.QuarantineSeq)
	n.noteConfigStamp(r.ConfigInForce)
	n.noteEvacuations(r.Evacuations, asked.Add(held))
	if r.ConfigVersion != 0 {
		n.opts.OnConfigProof(r.ConfigVersion, asked.Add(held-time.Duration(r.ConfigAgeMS)*time.Millisecond))
	}
	events, err := unpack(r.Changes, after)
	return objectapi.Changes{Events: events, Revision: r.Revision, Age: age}, r.Gap, errors.Trace(err)
}
