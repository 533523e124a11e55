package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/quarantine"
)

// methodWords exchanges what two daemons know of requests that end instances.
const methodWords = "relay.quarantine"

// Quarantine is what a daemon knows of requests that end instances. Its methods are safe
// for concurrent use.
type Quarantine interface {
	// Since returns what changed after a sequence number, and the number that it leads to;
	// hot leaves out what only relays need.
	Since(seq uint64, hot bool) (words []quarantine.Word, upTo uint64)
	// Seq returns the number of the last change, and of the last one for all daemons.
	Seq() (all, hot uint64)
	Merge(words []quarantine.Word)
}

// WordsRequest tells a daemon what the asker knows, and asks for what it does.
type WordsRequest struct {
	From  string            `json:"from"` // the asker, unique for each life of a process
	Words []quarantine.Word `json:"words,omitempty"`
	// Seen is up to which of the changes of the process Of the asker knows them.
	Of   string `json:"of"`
	Seen uint64 `json:"seen"`
	Hot  bool   `json:"hot,omitempty"` // the asker adds nothing up
}

// WordsReply is what the daemon knew before the request.
type WordsReply struct {
	From  string            `json:"from"`
	Words []quarantine.Word `json:"words,omitempty"`
	Seq   uint64            `json:"seq"`
}

// answerWords answers another daemon, in touch with the store or not.
func (n *Node) answerWords(_ context.Context, r WordsRequest) (WordsReply, error) {
	q := n.o.Quarantine
	if r.Of != n.o.Holder {
		r.Seen = 0
	}
	words, seq := q.Since(r.Seen, r.Hot)
	q.Merge(r.Words)
	return WordsReply{n.o.Holder, words, seq}, nil
}

// position is how far two daemons have told one another.
type position struct {
	of     string // the other one, unique for each life of a process
	theirs uint64 // up to which of its changes this one knows them
	ours   uint64 // and it knows this one's
}

// positions are those of all daemons that this one talked to, by address. Safe for
// concurrent use.
type positions struct {
	mu sync.Mutex
	m  map[string]position
}

func (p *positions) at(address string) position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.m[address]
}

func (p *positions) set(address string, to position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = map[string]position{}
	}
	p.m[address] = to
}

// roundsMost bounds the messages of one exchange: the rest follows with the next one.
const roundsMost = 8

// converse exchanges with one daemon until neither knows more.
func (n *Node) converse(ctx context.Context, address string, hot bool) error {
	q := n.o.Quarantine
	for range roundsMost {
		at := n.positions.at(address)
		words, ours := q.Since(at.ours, false)
		r, err := n.o.Peers.Words(ctx, address, WordsRequest{From: n.o.Holder, Words: words, Of: at.of, Seen: at.theirs, Hot: hot})
		if err != nil {
			return err
		}
		q.Merge(r.Words)
		next := position{of: r.From, theirs: r.Seq, ours: ours}
		if r.From != at.of && at.of != "" {
			next.ours = 0 // another process, which knows nothing of what the one before was told
		}
		n.positions.set(address, next)
		if all, _ := q.Seq(); len(r.Words) == 0 && next.ours >= all {
			return nil
		}
	}
	return nil
}

// Times of the spreading of what is known of requests that end instances.
const (
	// spreadTimeout bounds one exchange.
	spreadTimeout = 300 * time.Millisecond
	// spreadEvery is how often one that failed is tried again; spreadIdle how often it is
	// looked whether there is one, while nothing is known.
	spreadEvery = 250 * time.Millisecond
	spreadIdle  = 2 * time.Second
	// spreadList is how often a relay that has news looks who the others are now: their
	// records may have changed since its last listing.
	spreadList = time.Second
)

// Spread tells the others what is new of requests that end instances, and hears what is: a
// relay tells the relays of all zones, other daemons their own. Without news it makes no
// call, but for one to each relay that it did not know.
type Spread struct {
	Node *Node
	List func(ctx context.Context) (objectapi.Listing, error) // of all zones' records

	listed time.Time
	told   uint64               // this daemon's last news as it listed the relays
	tried  map[string]time.Time // when a relay that never answered was asked last, by address
}

// Run spreads until ctx ends.
func (s *Spread) Run(ctx context.Context) {
	timer := time.NewTimer(spreadEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.Node.kick:
			s.Node.history.nudge()
		}
		s.once(ctx)
		timer.Reset(s.pace())
	}
}

// pace is how long to wait without news.
func (s *Spread) pace() time.Duration {
	if s.behind() || s.Node.untold() {
		return spreadEvery
	}
	return spreadIdle
}

// behind tells whether somebody lacks this daemon's news, or it somebody's.
func (s *Spread) behind() bool {
	n := s.Node
	all, _ := n.o.Quarantine.Seq()
	if !n.Holding() {
		relay, due := n.share.last()
		return due || n.positions.at(relay).ours < all
	}
	return slices.ContainsFunc(n.relays(), func(address string) bool { return s.due(address, all) })
}

// due tells whether a relay is to be asked: it lacks news, or was never asked. One that does
// not answer is then asked again with the next news, or after a while.
func (s *Spread) due(address string, all uint64) bool {
	at := s.Node.positions.at(address)
	return at.ours < all || at.of == "" && s.Node.now().Sub(s.tried[address]) > relayList
}

func (s *Spread) once(ctx context.Context) {
	if s.Node.Holding() {
		s.far(ctx)
	} else {
		s.near(ctx)
	}
}

// near exchanges with the zone's relay.
func (s *Spread) near(ctx context.Context) {
	n := s.Node
	relay, _ := n.share.last()
	if !s.behind() {
		if n.untold() {
			s.converse(ctx, relay, true) // one that does not answer is looked for by Follow
		}
		return
	}
	all, _ := n.o.Quarantine.Seq()
	if relay != "" {
		n.share.asked(relay, false)
		if s.converse(ctx, relay, true) {
			n.unheard.Store(false)
			return
		}
		n.share.asked(relay, true)
	}
	n.unheard.Store(true)
	s.list(ctx, all)
	if own := n.ownRelay(); own != "" && own != n.o.Address {
		n.share.found(own)
	}
	s.abroad(ctx, relay, all)
}

// abroad tells another zone's relay what the own one does not hear. The others of this zone do
// the same, so that their marks add up there.
func (s *Spread) abroad(ctx context.Context, own string, all uint64) {
	n := s.Node
	for _, address := range n.relays() {
		if address != own && n.positions.at(address).ours < all && s.converse(ctx, address, true) {
			return
		}
	}
}

// untold tells whether this daemon lost its relay, which may hear of requests that end instances
// and tells this daemon nothing until it is used again.
func (n *Node) untold() bool { return !n.Holding() && n.share.untold() }

// Unheard tells whether this daemon's relay does not answer: what must last is then for
// this daemon to save.
func (n *Node) Unheard() bool { return n.unheard.Load() }

// far exchanges with the relays of all zones.
func (s *Spread) far(ctx context.Context) {
	n := s.Node
	all, hot := n.o.Quarantine.Seq()
	// One that peers ask lists the records regularly anyway, and hears of releases by that.
	alone := hot > 0 && !n.Serving() && n.now().Sub(s.listed) > relayList
	if all > s.told || alone {
		s.list(ctx, all)
	}
	var wait sync.WaitGroup
	if s.tried == nil {
		s.tried = map[string]time.Time{}
	}
	for _, address := range n.relays() {
		if s.due(address, all) {
			s.tried[address] = n.now()
			wait.Go(func() { s.converse(ctx, address, false) })
		}
	}
	wait.Wait()
}

// converse exchanges with one daemon; false: it does not answer, and is asked again.
func (s *Spread) converse(ctx context.Context, address string, hot bool) bool {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	return s.Node.converse(ctx, address, hot) == nil
}

// list looks who the relays are, with news up to a number at hand.
func (s *Spread) list(ctx context.Context, news uint64) {
	now := s.Node.now()
	if now.Sub(s.listed) < spreadList {
		return
	}
	s.listed = now
	l, err := s.List(ctx)
	if err != nil {
		return // counted with the store's calls; the last listing stays
	}
	s.told = news
	s.Node.listed(l)
}
