package relay

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
)

// Names of the calls by which daemons share what they have.
const (
	// methodShare tells a relay a daemon's load and hands over what it has to spare.
	methodShare = "relay.share"
	// methodRepeat asks a relay for a repeat of its zone's pool.
	methodRepeat = "relay.repeat"
	// methodLoads asks another zone's relay what its daemons have in progress.
	methodLoads = "relay.loads"
)

// Times of what daemons share.
const (
	// repeatTimeout bounds the call for a repeat, for which a request waits: links in a zone
	// take a tenth of a millisecond, a busy relay some ms.
	repeatTimeout = 60 * time.Millisecond
	// shareEvery is how often a daemon tells its load, and a relay asks those of other
	// zones. What is known is then about 0.4 s old; at 0.8 s it spreads streams of a second
	// no better than chance does (simulated load of 295 daemons and 95 replicas, 900 streams
	// a second: 368 of 5,400 met a full replica at 0.4 s, 834 at 0.8 s, 1,276 without).
	shareEvery   = 250 * time.Millisecond
	shareTimeout = 200 * time.Millisecond
	// loadFor is how long a daemon's word of its load counts.
	loadFor = time.Second
	// sumFor is how long a sum of loads is told to peers: 59 of them ask four times a second.
	sumFor = 50 * time.Millisecond
	// relayList is how often a relay looks who the others are, which is a call to the store.
	relayList = 5 * time.Second
	// sharedFor is how long what a relay told of its pool counts.
	sharedFor = 2 * time.Second
)

// ShareRequest tells what a daemon has in progress, by instance, and hands repeats over, by
// service. From is the daemon, unique for each life of a process.
type ShareRequest struct {
	From    string             `json:"from"`
	Loads   map[string]int     `json:"loads,omitempty"`
	Repeats map[string]float64 `json:"repeats,omitempty"`
	// Stopped are the groups whose running streams stopped for the daemon lately, Alive those
	// whose bring it events.
	Stopped []groupRef `json:"stopped,omitempty"`
	Alive   []groupRef `json:"alive,omitempty"`
}

// groupRef names one assembly of a group.
type groupRef struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

func toRefs(keys []fleet.Key) []groupRef {
	out := make([]groupRef, 0, len(keys))
	for _, k := range keys {
		out = append(out, groupRef{k.Name, k.Epoch})
	}
	return out
}

func toSet(refs []groupRef) map[fleet.Key]bool {
	out := make(map[fleet.Key]bool, len(refs))
	for _, r := range refs {
		out[fleet.Key{Name: r.Name, Epoch: r.Epoch}] = true
	}
	return out
}

// ShareReply tells what all daemons have in progress, the asker's word included, and what
// the zone's pool of repeats holds.
type ShareReply struct {
	Loads   map[string]int     `json:"loads,omitempty"`
	Repeats map[string]float64 `json:"repeats,omitempty"`
	// Standing are the groups that stand still.
	Standing []groupRef `json:"standing,omitempty"`
	Daemons  int        `json:"daemons"` // that told their loads
}

// RepeatRequest asks for one repeat of a service.
type RepeatRequest struct {
	Service string `json:"service"`
}

// RepeatReply grants it or not.
type RepeatReply struct {
	Granted bool `json:"granted"`
}

// LoadsReply is what the daemons of a zone have in progress, by instance, and the groups
// that stand still for them.
type LoadsReply struct {
	Loads    map[string]int `json:"loads,omitempty"`
	Standing []groupRef     `json:"standing,omitempty"`
	Daemons  int            `json:"daemons"`
}

// Traffic is what a daemon's own requests give to the others and take from them.
type Traffic struct {
	// Spare takes out the repeats that its requests earned and that it does not need.
	Spare func(now time.Time) map[string]float64
	// InFlight returns its requests in progress, by instance.
	InFlight func() map[string]int
	// Progress returns the groups whose running streams stopped lately, and those whose
	// bring events.
	Progress func(now time.Time) (stopped, alive []fleet.Key)
	// Loaded takes in what all other daemons told.
	Loaded func(others dispatch.Others, now time.Time)
	// Rule is that of the zone's pool of repeats.
	Rule func() dispatch.PoolRule
}

// share is a daemon's part in what its zone shares. Safe for concurrent use.
type share struct {
	pool  dispatch.Pool // used while peers ask this daemon
	loads loads

	mu     sync.Mutex
	levels map[string]float64 // of the relay's pool, as told last
	toldAt time.Time
	relay  string // the address that answered last; empty: none
}

// found notes the relay that answers this daemon.
func (s *share) found(relay string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay = relay
}

// told takes in what a relay's pool holds.
func (s *share) told(levels map[string]float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.levels, s.toldAt = levels, now
}

// lost notes that the relay does not answer.
func (s *share) lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relay, s.levels = "", nil
}

// current returns the relay and what its pool held lately.
func (s *share) current(now time.Time) (relay string, levels map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.toldAt) > sharedFor {
		return s.relay, nil
	}
	return s.relay, s.levels
}

// loads is what daemons have in progress, as they told. Safe for concurrent use.
type loads struct {
	mu    sync.Mutex
	by    map[string]daemonLoad // by daemon of this zone
	far   map[string]int        // of other zones' daemons together
	stand []groupRef            // groups that stand still for other zones
	count int                   // of other zones' daemons
	sum   map[string]int        // of all; never changed once made
	sumAt time.Time
}

// daemonLoad is one daemon's word.
type daemonLoad struct {
	inFlight       map[string]int
	stopped, alive []groupRef
	at             time.Time
}

// note takes in a daemon's word.
func (l *loads) note(r ShareRequest, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.by == nil {
		l.by = map[string]daemonLoad{}
	}
	l.by[r.From] = daemonLoad{r.Loads, r.Stopped, r.Alive, now}
}

// noteFar takes in what other zones' relays told.
func (l *loads) noteFar(far map[string]int, standing []groupRef, daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.far, l.stand, l.count = far, standing, daemons
}

// daemons returns how many daemons of this zone told lately, and of all.
func (l *loads) daemons(now time.Time) (near, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range l.by {
		if now.Sub(one.at) <= loadFor {
			near++
		}
	}
	return near, near + l.count
}

// standingLeast is how many daemons must say that a group's streams stopped, while none
// says that they bring events. A word of one alone was a busy replica more often than a
// dead one: told to all, everybody left replicas that only read a long prompt, and worth per
// request owed fell by 0.024 (one day of 90 daemons).
const standingLeast = 2

// standing returns the groups that stand still, by this zone's daemons. Words are as fresh
// as those of loads.
func (l *loads) standing(now time.Time) []groupRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	stopped, alive := map[groupRef]int{}, map[groupRef]bool{}
	for _, one := range l.by {
		if now.Sub(one.at) > loadFor {
			continue
		}
		for _, g := range one.stopped {
			stopped[g]++
		}
		for _, g := range one.alive {
			alive[g] = true
		}
	}
	var out []groupRef
	for g, n := range stopped {
		if n >= standingLeast && !alive[g] {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b groupRef) int { return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Name, b.Name)) })
	return out
}

// allStanding adds those of other zones.
func (l *loads) allStanding(now time.Time) []groupRef {
	near := l.standing(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(near, l.stand...)
}

// near sums the words of this zone's daemons but one; l.mu is held.
func (l *loads) near(but string, now time.Time) map[string]int {
	maps.DeleteFunc(l.by, func(_ string, one daemonLoad) bool { return now.Sub(one.at) > loadFor })
	sum := map[string]int{}
	for from, one := range l.by {
		if from != but {
			addTo(sum, one.inFlight)
		}
	}
	return sum
}

// zone returns the sum of this zone's daemons.
func (l *loads) zone(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.near("", now)
}

// all returns the sum of all daemons. The map must not be changed.
func (l *loads) all(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sum == nil || now.Sub(l.sumAt) > sumFor {
		l.sum, l.sumAt = l.near("", now), now
		addTo(l.sum, l.far)
	}
	return l.sum
}

// others returns the sum of all daemons but one of this zone.
func (l *loads) others(but string, now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.near(but, now)
	addTo(sum, l.far)
	return sum
}

func addTo(sum, more map[string]int) {
	for instance, n := range more {
		sum[instance] += n
	}
}

// without returns a sum less one daemon's own part.
func without(sum, own map[string]int) map[string]int {
	out := make(map[string]int, len(sum))
	for instance, n := range sum {
		if rest := n - own[instance]; rest > 0 {
			out[instance] = rest
		}
	}
	return out
}

// Repeat asks the zone's pool for a repeat of a service; false: it has none, or there is no
// relay. One that was granted and not used is lost to the pool.
func (n *Node) Repeat(ctx context.Context, service string) bool {
	now := n.now()
	if n.relaying() {
		n.share.pool.Put(n.o.Traffic.Spare(now), n.o.Traffic.Rule(), now)
		return n.share.pool.Take(service, n.o.Traffic.Rule(), now)
	}
	relay, _ := n.share.current(now)
	if relay == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, repeatTimeout)
	defer cancel()
	r, err := n.o.Peers.Repeat(ctx, relay, RepeatRequest{service})
	return err == nil && r.Granted // a pool that can't be reached grants nothing
}

// MayRepeat tells whether the zone's pool probably has a repeat of a service.
func (n *Node) MayRepeat(service string) bool {
	now := n.now()
	if n.relaying() {
		return n.share.pool.Levels(n.o.Traffic.Rule(), now)[service] >= 1
	}
	_, levels := n.share.current(now)
	return levels[service] >= 1
}

// answerRepeat answers a peer that needs a repeat.
func (n *Node) answerRepeat(_ context.Context, r RepeatRequest) (RepeatReply, error) {
	if !n.relaying() {
		return RepeatReply{}, nil
	}
	return RepeatReply{n.share.pool.Take(r.Service, n.o.Traffic.Rule(), n.now())}, nil
}

// answerLoads answers another zone's relay.
func (n *Node) answerLoads(context.Context) (LoadsReply, error) {
	now := n.now()
	n.share.loads.note(n.word(now), now)
	near, _ := n.share.loads.daemons(now)
	return LoadsReply{n.share.loads.zone(now), n.share.loads.standing(now), near}, nil
}

// word is what this daemon tells of its own requests.
func (n *Node) word(now time.Time) ShareRequest {
	stopped, alive := n.o.Traffic.Progress(now)
	if len(stopped) > reportMost {
		stopped = nil // it is probably cut off itself
	}
	return ShareRequest{From: n.o.Holder, Loads: n.o.Traffic.InFlight(), Stopped: toRefs(stopped), Alive: toRefs(alive)}
}

// answerShare answers a peer.
func (n *Node) answerShare(_ context.Context, r ShareRequest) (ShareReply, error) {
	if !n.relaying() {
		return ShareReply{}, jrpc2.Errorf(codeNotRelaying, "not relaying")
	}
	now, rule := n.now(), n.o.Traffic.Rule()
	n.share.loads.note(r, now)
	n.share.pool.Put(r.Repeats, rule, now)
	_, daemons := n.share.loads.daemons(now)
	return ShareReply{n.share.loads.all(now), n.share.pool.Levels(rule, now), n.share.loads.allStanding(now), daemons}, nil
}

// Exchange tells this daemon's load to the others and learns theirs: through its relay, or
// as a relay from those of the other zones.
type Exchange struct {
	Node   *Node
	Relays func(ctx context.Context) ([]string, error) // all zones' addresses

	relays []string
	listed time.Time
}

// Run exchanges loads until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	tick := time.NewTicker(shareEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			x.once(ctx)
		}
	}
}

// once makes one exchange.
func (x *Exchange) once(ctx context.Context) {
	n := x.Node
	now := n.now()
	timed, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	if n.Serving() {
		n.share.pool.Put(n.o.Traffic.Spare(now), n.o.Traffic.Rule(), now)
		x.list(ctx, now)
		x.ask(timed)
		return
	}
	if relay, _ := n.share.current(now); relay != "" {
		x.tell(timed, relay, now)
	}
}

// tell tells the relay this daemon's load, and takes in that of the others.
func (x *Exchange) tell(ctx context.Context, relay string, now time.Time) {
	n := x.Node
	word := n.word(now)
	word.Repeats = n.o.Traffic.Spare(now)
	r, err := n.o.Peers.Share(ctx, relay, word)
	if err != nil {
		return // the last word counts until it is old; who follows through this relay finds that it is gone
	}
	n.share.told(r.Repeats, n.now())
	n.o.Traffic.Loaded(dispatch.Others{Daemons: r.Daemons, InFlight: without(r.Loads, word.Loads), Standing: toSet(r.Standing)}, n.now())
}

// list looks now and then who the relays are.
func (x *Exchange) list(ctx context.Context, now time.Time) {
	if now.Sub(x.listed) <= relayList {
		return
	}
	if found, err := x.Relays(ctx); err == nil {
		x.relays = found
	}
	x.listed = now // an error is counted with the store's calls; the old list stays
}

// ask asks all other relays at a time.
func (x *Exchange) ask(ctx context.Context) {
	n := x.Node
	replies := make([]LoadsReply, len(x.relays))
	var wait sync.WaitGroup
	for i, address := range x.relays {
		if address == n.o.Address {
			continue
		}
		wait.Go(func() {
			if r, err := n.o.Peers.Loads(ctx, address); err == nil {
				replies[i] = r // a zone without a word counts as idle until its next one
			}
		})
	}
	wait.Wait()
	far := map[string]int{}
	var standing []groupRef
	daemons := 0
	for _, r := range replies {
		daemons += r.Daemons
		addTo(far, r.Loads)
		standing = append(standing, r.Standing...)
	}
	now := n.now()
	n.share.loads.noteFar(far, standing, daemons)
	n.share.loads.note(n.word(now), now)
	_, all := n.share.loads.daemons(now)
	n.o.Traffic.Loaded(dispatch.Others{Daemons: all, InFlight: n.share.loads.others(n.o.Holder, now), Standing: toSet(n.share.loads.allStanding(now))}, now)
}
