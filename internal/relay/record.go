package relay

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
)

// record names a zone's relay in the store.
type record struct {
	Holder  string `json:"holder"`  // unique for each process
	Address string `json:"address"` // where it serves peers, IP:port
	// Distribute: daemons that start take snapshots from peers, as all of them together would
	// read too much from the store.
	Distribute bool    `json:"distribute,omitempty"`
	LinkMbps   float64 `json:"link_mbps,omitempty"` // of its machine
}

// RelayAddresses returns the addresses of the relays that a listing of the records names.
func RelayAddresses(l objectapi.Listing) []string {
	var out []string
	for _, o := range l.Objects {
		if address := addressOf(o); address != "" {
			out = append(out, address)
		}
	}
	return out
}

// addressOf returns the address of the relay that a record names; empty: none. A malformed record
// is replaced by a daemon of its zone.
func addressOf(o objectapi.Object) string { return readRecord(o).Address }

// readRecord decodes a record; a malformed one names no relay.
func readRecord(o objectapi.Object) record {
	var r record
	if json.Unmarshal(o.Value, &r) != nil {
		return record{}
	}
	return r
}

// knownRelays holds the relays as of the last listing. Safe for concurrent use.
type knownRelays struct {
	mu  sync.Mutex
	all []string // addresses of all relays
	own string   // address of the relay of this daemon's zone
	// zones are those whose record names a relay, sorted.
	zones []string
	// replaced is the address of the relay whose place this daemon took. Until replacedUntil that
	// daemon may not have read the record again, and no relay of a listing tells it anything.
	replaced      string
	replacedUntil time.Time
}

// setOwn sets the relay of this daemon's zone.
func (k *knownRelays) setOwn(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own = address
}

// noteRecords applies a listing of the records.
func (n *Node) noteRecords(l objectapi.Listing) {
	if n.opts.OnRecordsListed != nil {
		n.opts.OnRecordsListed(l)
	}
	n.distributeSnapshots.Store(slices.ContainsFunc(l.Objects, func(o objectapi.Object) bool { return readRecord(o).Distribute }))
	var own record
	if i := slices.IndexFunc(l.Objects, func(o objectapi.Object) bool { return o.Key == n.opts.Key }); i >= 0 {
		own = readRecord(l.Objects[i])
	}
	if n.isRelay.Load() && (own.Holder != n.opts.Holder || !own.Distribute && n.shouldDistribute()) {
		n.recheckRecord.Store(true)
	}
	n.knownRelays.mu.Lock()
	defer n.knownRelays.mu.Unlock()
	n.knownRelays.all, n.knownRelays.own, n.knownRelays.zones = RelayAddresses(l), own.Address, zonesWithRelay(l)
}

// otherRelays returns the addresses of all relays except this daemon.
func (n *Node) otherRelays() []string {
	n.knownRelays.mu.Lock()
	defer n.knownRelays.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.knownRelays.all), func(a string) bool { return a == n.opts.Address })
}

// relaysToSync returns the daemons with which a relay exchanges quarantine updates: all other relays
// and the one that it replaced.
func (n *Node) relaysToSync() []string {
	out, now := n.otherRelays(), n.now()
	n.knownRelays.mu.Lock()
	defer n.knownRelays.mu.Unlock()
	if r := n.knownRelays.replaced; r != "" && r != n.opts.Address && now.Before(n.knownRelays.replacedUntil) && !slices.Contains(out, r) {
		out = append(out, r)
	}
	return out
}

// setReplaced records the relay whose place this daemon took.
func (k *knownRelays) setReplaced(address string, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replaced, k.replacedUntil = address, until
}

// zoneRelay returns the address of the relay of this daemon's zone, as last known.
func (n *Node) zoneRelay() string {
	n.knownRelays.mu.Lock()
	defer n.knownRelays.mu.Unlock()
	return n.knownRelays.own
}

// dropRelay stops using the relay after an error, until the relay answers again or is replaced.
func (n *Node) dropRelay(err error) {
	n.opts.Log.Info("relay lost", zap.String("decision", "follow_the_store"), zap.String("relay", n.relayAddress), zap.Error(err))
	n.suspect, n.relayAddress, n.provedAt, n.failedAt = n.relayAddress, "", time.Time{}, n.now()
	n.withoutRelay, n.loggedOutOfTouch = true, false
	n.storeReachedSince = time.Time{}
	n.share.clearRelay()
	n.SyncNow() // it announces no quarantine updates to this daemon from now on
	n.nextSearchAt = n.now().Add(n.searchDelay())
}

// findRelay finds the zone's relay, or becomes the relay, when a search is due.
func (n *Node) findRelay(ctx context.Context, after uint64) {
	if n.relayAddress != "" || n.now().Before(n.nextSearchAt) && !n.recheckRecord.Load() || n.stopping.Load() {
		return
	}
	if n.suspect != "" {
		_, _, err := n.pollRelay(ctx, n.suspect, after, 0)
		switch {
		case err == nil:
			n.useRelay(n.suspect)
			return
		case errors.Is(err, errOutOfTouch) && n.keepsAskingSuspect():
			n.logOutOfTouch()
			n.nextSearchAt = n.now().Add(n.opts.Uniform(minReaskDelay, maxReaskDelay))
			return
		}
	}
	n.readRecords(ctx)
}

// logOutOfTouch logs, once after each loss of a relay, that the relay answers but does not
// reach the store.
func (n *Node) logOutOfTouch() {
	if n.loggedOutOfTouch {
		return
	}
	n.loggedOutOfTouch = true
	n.opts.Log.Info("relay out of touch", zap.String("decision", "ask_it_again"), zap.String("relay", n.suspect))
}

// keepsAskingSuspect reports whether to keep asking a relay that does not reach the store.
// While the store does not answer this daemon either, this daemon could not take over.
func (n *Node) keepsAskingSuspect() bool {
	if !n.storeReached.Load() {
		return true
	}
	return n.now().Sub(n.failedAt) < n.staleFraction(outageReplaceFraction) && !n.onlySuspectCutOff()
}

// onlySuspectCutOff reports whether the store has answered this daemon for so long that a relay
// still out of touch must be cut off alone. The zone then needs another relay: one that was cut
// off for 9 s with a third of all daemons left the other two thirds of its zone to the store.
func (n *Node) onlySuspectCutOff() bool {
	return !n.storeReachedSince.IsZero() && n.now().Sub(n.storeReachedSince) >= n.staleFraction(aloneReplaceFraction)
}

// readRecords lists the records of all zones, which costs one call, just as reading the own record
// does: they hold what a daemon must know before it sends anything. This daemon takes over its
// zone's record if that names nobody, this daemon's own address or a relay that failed twice, or,
// while this daemon starts, a relay whose link is too slow for snapshots.
func (n *Node) readRecords(ctx context.Context) {
	n.nextSearchAt = n.now().Add(n.opts.Uniform(minSearchDelay, maxSearchDelay))
	kind, _, _ := strings.Cut(n.opts.Key, "/")
	l, err := n.Feed.ListKind(ctx, kind)
	if err != nil {
		return
	}
	n.noteRecords(l)
	n.recheckRecord.Store(false)
	i := slices.IndexFunc(l.Objects, func(o objectapi.Object) bool { return o.Key == n.opts.Key })
	if i < 0 {
		_, err = n.Feed.Create(ctx, n.opts.Key, n.encodeRecord(n.distributeSnapshots.Load()))
		n.noteRecordWrite(err)
		return
	}
	o := l.Objects[i]
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		n.opts.Log.Error("relay record malformed; replacing it", zap.Error(err))
	}
	switch {
	case r.Holder == n.opts.Holder:
		n.becomeRelay()
		if !r.Distribute && n.shouldDistribute() {
			_, err = n.Feed.Update(ctx, n.opts.Key, o.Version, n.encodeRecord(true))
			n.noteRecordWrite(err)
		}
	case r.Address == "" || r.Address == n.opts.Address || r.Address == n.suspect || n.starting && n.hasBetterLink(r):
		_, err = n.Feed.Update(ctx, n.opts.Key, o.Version, n.encodeRecord(n.distributeSnapshots.Load()))
		if err == nil {
			n.knownRelays.setReplaced(r.Address, n.now().Add(recheckInterval+maxSearchDelay))
		}
		n.noteRecordWrite(err)
	default:
		n.useRelay(r.Address)
	}
}

// hasBetterLink reports whether this machine's link is fast enough for a relay that hands out
// snapshots while the named relay's is not.
func (n *Node) hasBetterLink(r record) bool {
	return n.distributeSnapshots.Load() && n.hasFastLink() && r.LinkMbps < fastLinkMbps
}

// shouldDistribute reports whether the daemons that reported loads would together read too much
// from the store if they started now.
func (n *Node) shouldDistribute() bool {
	_, daemons := n.share.loads.countDaemons(n.now())
	return exceedsStoreLink(n.history.size(), daemons)
}

// encodeRecord returns a record that names this daemon.
func (n *Node) encodeRecord(distribute bool) []byte {
	value, err := json.Marshal(record{n.opts.Holder, n.opts.Address, distribute, n.opts.LinkMbps})
	if err != nil {
		n.opts.Log.Error("relay record not encoded", zap.Error(err))
	}
	return value
}

// noteRecordWrite handles the result of a write of the record. After a write whose outcome is
// unknown, the next readRecords shows what the record holds.
func (n *Node) noteRecordWrite(err error) {
	switch {
	case err == nil:
		n.becomeRelay()
	case errors.Is(err, objectapi.ErrConflict):
		n.suspect = "" // the daemon that won the race may be the one that failed before
		n.nextSearchAt = n.now().Add(n.opts.Uniform(minConflictDelay, maxConflictDelay))
	}
}

// becomeRelay makes this daemon the zone's relay.
func (n *Node) becomeRelay() {
	if !n.isRelay.Load() {
		n.cold.takeOver(n.now().Add(coldTakeoverDelay)) // before this daemon counts as the relay
	}
	if !n.isRelay.Swap(true) {
		n.opts.Log.Info("became the zone's relay", zap.String("decision", "follow_the_store_for_the_zone"), zap.String("address", n.opts.Address))
	}
	n.suspect, n.withoutRelay = "", false
	n.knownRelays.setOwn(n.opts.Address)
	n.nextSearchAt = n.now().Add(recheckInterval)
	n.SyncNow() // relays of other zones may have updates that this daemon needs
}

// useRelay makes another daemon the relay of this one.
func (n *Node) useRelay(address string) {
	if n.isRelay.Swap(false) {
		n.opts.Log.Info("no longer the zone's relay", zap.String("relay", address))
	}
	n.opts.Log.Info("relay used", zap.String("relay", address))
	if n.opts.OnRelayUsed != nil {
		n.opts.OnRelayUsed()
	}
	n.relayAddress, n.suspect, n.withoutRelay, n.configSeq, n.evacuationSeq, n.provedAt, n.relayUsedSince = address, "", false, 0, 0, time.Time{}, n.now()
	n.share.setRelay(address) // the planner does not poll it, but shares loads with it
}
