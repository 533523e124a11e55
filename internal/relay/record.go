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

// record names the daemon that relays, in the store.
type record struct {
	Holder  string `json:"holder"`  // unique for each life of a process
	Address string `json:"address"` // where it answers peers, IP:port
	// Distribute: daemons that start take snapshots, as all of them together would read too much
	// from the store.
	Distribute bool    `json:"distribute,omitempty"`
	LinkMbps   float64 `json:"link_mbps,omitempty"` // of its machine
}

// Addresses returns the relays that a listing of the records names.
func Addresses(l objectapi.Listing) []string {
	var out []string
	for _, o := range l.Objects {
		if address := addressOf(o); address != "" {
			out = append(out, address)
		}
	}
	return out
}

// addressOf returns the relay that an object names; empty: none. One that isn't understood
// is replaced by its zone.
func addressOf(o objectapi.Object) string { return readRecord(o).Address }

// readRecord reads a record; one that isn't understood names nobody.
func readRecord(o objectapi.Object) record {
	var r record
	if json.Unmarshal(o.Value, &r) != nil {
		return record{}
	}
	return r
}

// addresses are the relays as listed last. Safe for concurrent use.
type addresses struct {
	mu  sync.Mutex
	all []string
	own string // of this daemon's zone
	// zones are those that have a relay's record, in order.
	zones []string
}

// setOwn notes the relay of this daemon's zone.
func (a *addresses) setOwn(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own = address
}

// listed takes in a listing of the records.
func (n *Node) listed(l objectapi.Listing) {
	if n.o.Listed != nil {
		n.o.Listed(l)
	}
	n.distributed.Store(slices.ContainsFunc(l.Objects, func(o objectapi.Object) bool { return readRecord(o).Distribute }))
	var own record
	if i := slices.IndexFunc(l.Objects, func(o objectapi.Object) bool { return o.Key == n.o.Key }); i >= 0 {
		own = readRecord(l.Objects[i])
	}
	if n.holding.Load() && (own.Holder != n.o.Holder || !own.Distribute && n.shouldDistribute()) {
		n.recheck.Store(true)
	}
	n.known.mu.Lock()
	defer n.known.mu.Unlock()
	n.known.all, n.known.own, n.known.zones = Addresses(l), own.Address, zonesOf(l)
}

// relays returns the other zones' relays, and the own zone's if it is another daemon.
func (n *Node) relays() []string {
	n.known.mu.Lock()
	defer n.known.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.known.all), func(a string) bool { return a == n.o.Address })
}

// ownRelay returns the relay of this daemon's zone as listed last.
func (n *Node) ownRelay() string {
	n.known.mu.Lock()
	defer n.known.mu.Unlock()
	return n.known.own
}

// lost gives a relay up for a while.
func (n *Node) lost(err error) {
	n.o.Log.Info("relay lost", zap.String("decision", "follow_the_store"), zap.String("relay", n.peer), zap.Error(err))
	n.suspect, n.peer, n.proved, n.failedAt = n.peer, "", time.Time{}, n.now()
	n.toldOutOfTouch = false
	n.aloneAt = time.Time{}
	n.share.lost()
	n.lookAt = n.now().Add(n.settle())
}

// locate finds the zone's relay, or becomes it, when it is time to.
func (n *Node) locate(ctx context.Context, after uint64) {
	if n.peer != "" || n.now().Before(n.lookAt) && !n.recheck.Load() || n.closed.Load() {
		return
	}
	if n.suspect != "" {
		_, err := n.ask(ctx, n.suspect, after, 0)
		switch {
		case err == nil || errors.Is(err, objectapi.ErrCompacted):
			n.use(n.suspect)
			return
		case errors.Is(err, errOutOfTouch) && n.waitsFor():
			n.tellOutOfTouch()
			n.lookAt = n.now().Add(n.o.Uniform(againLeast, againMost))
			return
		}
	}
	n.look(ctx)
}

// tellOutOfTouch logs once for each loss of a relay that it answers without the store.
func (n *Node) tellOutOfTouch() {
	if n.toldOutOfTouch {
		return
	}
	n.toldOutOfTouch = true
	n.o.Log.Info("relay out of touch", zap.String("decision", "ask_it_again"), zap.String("relay", n.suspect))
}

// waitsFor tells whether a relay that is out of touch with the store is asked on. Where the
// store does not answer this daemon either, nobody could take its place.
func (n *Node) waitsFor() bool {
	if !n.reached.Load() {
		return true
	}
	return n.now().Sub(n.failedAt) < n.part(stalePatience) && !n.aloneInTouch()
}

// aloneInTouch tells whether the store has answered this daemon for so long that a relay
// which is still out of touch is cut off alone. Its zone then needs another one: cut off
// for 9 s with a third of all daemons, it left the other two thirds of its zone to the store.
func (n *Node) aloneInTouch() bool {
	return !n.aloneAt.IsZero() && n.now().Sub(n.aloneAt) >= n.part(alonePatience)
}

// look reads the records of all zones, which costs one call like its own alone: they hold
// what a daemon must know before it sends anything. A record that names nobody, this daemon's own address or a
// relay that failed twice is taken over.
func (n *Node) look(ctx context.Context) {
	n.lookAt = n.now().Add(n.o.Uniform(settleLeast, settleMost))
	kind, _, _ := strings.Cut(n.o.Key, "/")
	l, err := n.Feed.ListKind(ctx, kind)
	if err != nil {
		return
	}
	n.listed(l)
	n.recheck.Store(false)
	i := slices.IndexFunc(l.Objects, func(o objectapi.Object) bool { return o.Key == n.o.Key })
	if i < 0 {
		_, err = n.Feed.Create(ctx, n.o.Key, n.value(n.distributed.Load()))
		n.wrote(err)
		return
	}
	o := l.Objects[i]
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		n.o.Log.Error("relay's record not understood; replaced", zap.Error(err))
	}
	switch {
	case r.Holder == n.o.Holder:
		n.hold()
		if !r.Distribute && n.shouldDistribute() {
			_, err = n.Feed.Update(ctx, n.o.Key, o.Version, n.value(true))
			n.wrote(err)
		}
	case r.Address == "" || r.Address == n.o.Address || r.Address == n.suspect || n.starting && n.suitsBetter(r):
		_, err = n.Feed.Update(ctx, n.o.Key, o.Version, n.value(n.distributed.Load()))
		n.wrote(err)
	default:
		n.use(r.Address)
	}
}

// suitsBetter tells whether this machine's link suits a relay that hands out snapshots, and that
// of the one named does not.
func (n *Node) suitsBetter(r record) bool {
	return n.distributed.Load() && n.wide() && r.LinkMbps < wideMbps
}

// shouldDistribute tells whether the daemons that told their loads would together read too much
// from the store if they started now.
func (n *Node) shouldDistribute() bool {
	_, daemons := n.share.loads.daemons(n.now())
	return distributes(n.history.size(), daemons)
}

// value is a record that names this daemon.
func (n *Node) value(distribute bool) []byte {
	value, err := json.Marshal(record{n.o.Holder, n.o.Address, distribute, n.o.LinkMbps})
	if err != nil {
		n.o.Log.Error("relay's record not encoded", zap.Error(err))
	}
	return value
}

// wrote takes in what became of a write of the record. One whose outcome is unknown
// is read back by the next look.
func (n *Node) wrote(err error) {
	switch {
	case err == nil:
		n.hold()
	case errors.Is(err, objectapi.ErrConflict):
		n.suspect = "" // whoever won may be the one that failed before
		n.lookAt = n.now().Add(n.o.Uniform(conflictLeast, conflictMost))
	}
}

// hold makes this daemon the relay.
func (n *Node) hold() {
	if !n.holding.Swap(true) {
		n.o.Log.Info("relay taken", zap.String("decision", "follow_the_store_for_the_zone"), zap.String("address", n.o.Address))
	}
	n.suspect = ""
	n.known.setOwn(n.o.Address)
	n.lookAt = n.now().Add(recheckEvery)
	n.Kick() // the relays of other zones may know what this one must
}

// use makes another daemon this one's relay.
func (n *Node) use(address string) {
	if n.holding.Swap(false) {
		n.o.Log.Info("relay given up", zap.String("relay", address))
	}
	n.o.Log.Info("relay used", zap.String("relay", address))
	if n.o.Returned != nil {
		n.o.Returned()
	}
	n.peer, n.suspect, n.configSeq, n.proved, n.usedAt = address, "", 0, time.Time{}, n.now()
	n.share.found(address) // the daemon that plans asks it for no news, but shares with it
}
