package relay

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/handler"
	"github.com/juju/errors"

	"pearlanding/internal/rpc"
)

// methodNews asks a relay for what is new. Another form of its answer has another name:
// daemons of two versions serve side by side while they are replaced.
const methodNews = "relay.packed_news"

// codeNotRelaying is the error of a daemon that doesn't follow the store itself, or
// has not heard from it for too long.
const codeNotRelaying = jrpc2.Code(1)

// codeStopping is the error of a daemon that stops and won't be back.
const codeStopping = jrpc2.Code(2)

// NewsRequest asks for the changes after a revision, and for a read of the
// configuration later than the one with the number ConfigSeq.
type NewsRequest struct {
	After     uint64 `json:"after"`
	ConfigSeq uint64 `json:"config_seq"`
	WaitMS    int64  `json:"wait_ms"` // how long to wait for either
	// From is the asker, unique for each life of a process; Standing are the instances
	// whose running streams stopped for it lately.
	From     string   `json:"from"`
	Standing []string `json:"standing,omitempty"`
	// Quarantine is the last number told of requests that end instances; nil: the asker
	// wants none.
	Quarantine *uint64 `json:"quarantine,omitempty"`
}

// NewsReply is what a relay knows. Ages are in milliseconds before the reply was
// made, rounded up. The reply was made no earlier than Held after the asker sent the request,
// and the asker counts the ages back from then.
type NewsReply struct {
	// Held is for how many milliseconds the relay held the request, rounded down.
	Held       int64  `json:"held_ms,omitempty"`
	Gap        bool   `json:"gap,omitempty"`     // the changes are no longer known: list
	Changes    []byte `json:"changes,omitempty"` // the latest of each object, packed
	Revision   uint64 `json:"revision"`
	EntriesAge int64  `json:"entries_age_ms"`
	// ConfigVersion is the version of the configuration's object; 0: not read yet.
	ConfigVersion uint64 `json:"config_version"`
	ConfigSeq     uint64 `json:"config_seq"`
	ConfigAge     int64  `json:"config_age_ms"`
	// Quarantine numbers what all daemons must know of requests that end instances: a daemon
	// that was told another number asks.
	Quarantine uint64 `json:"quarantine,omitempty"`
}

// ageMS is the age of a proof in whole milliseconds, never too young.
func ageMS(now, proved time.Time) int64 {
	return int64(math.Ceil(float64(now.Sub(proved)) / float64(time.Millisecond)))
}

// Methods returns the calls that peers may make.
func (n *Node) Methods() handler.Map {
	return handler.Map{methodNews: handler.New(n.news), methodStanding: handler.New(n.answerStanding),
		methodShare: handler.New(n.answerShareEncoded), methodRepeat: handler.New(n.answerRepeat), methodLoads: handler.New(n.answerLoads), methodWords: handler.New(n.answerWords),
		methodLimits: handler.New(n.answerLimits), methodSnapshot: handler.New(n.answerSnapshot)}
}

// maxWait bounds how long a peer's call is held.
const maxWait = 2 * time.Second

// news answers a peer: at once if something is new, otherwise when something is or
// the wait is over. As soon as the newest proof is stale it says so, and the peer
// turns to the store.
func (n *Node) news(ctx context.Context, r NewsRequest) (NewsReply, error) {
	began := n.now()
	if began.Sub(n.askedAt.Load()) >= servingFor {
		n.arrive()
	}
	n.askedAt.Store(began)
	n.reports.note(r.From, r.Standing, began)
	timer := time.NewTimer(min(time.Duration(r.WaitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	for expired := false; ; {
		entries, config, changed := n.history.state()
		left := entries.Add(n.o.Stale()).Sub(n.now())
		if n.closed.Load() {
			return NewsReply{}, jrpc2.Errorf(codeStopping, "stopping")
		}
		if !n.relaying() || left <= 0 {
			return NewsReply{}, jrpc2.Errorf(codeNotRelaying, "not relaying")
		}
		news, err := n.history.tell(r.After)
		if err != nil {
			return NewsReply{}, errors.Trace(err)
		}
		quarantined := r.Quarantine != nil && *r.Quarantine != n.hot()
		if expired || news.gap || len(news.changes) > 0 || config.seq != r.ConfigSeq || quarantined {
			return n.reply(began, entries, config, news), nil
		}
		stale := time.NewTimer(left)
		select {
		case <-changed:
		case <-stale.C:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			stale.Stop()
			return NewsReply{}, ctx.Err()
		}
		stale.Stop()
	}
}

// arrive notes that a peer asks after none did for a while.
func (n *Node) arrive() {
	select {
	case n.arrived <- struct{}{}:
	default:
	}
}

func (n *Node) reply(began, entries time.Time, config configProof, news told) NewsReply {
	now := n.now()
	out := NewsReply{Held: now.Sub(began).Milliseconds(), Gap: news.gap, Changes: news.changes, Revision: news.end, EntriesAge: ageMS(now, entries),
		ConfigSeq: config.seq, ConfigVersion: config.version, Quarantine: n.hot()}
	if config.version != 0 {
		out.ConfigAge = ageMS(now, config.proved)
	}
	return out
}

// hot numbers what all daemons must know of requests that end instances.
func (n *Node) hot() uint64 {
	if n.o.Quarantine == nil {
		return 0
	}
	_, hot := n.o.Quarantine.Seq()
	return hot
}

// hear takes in the number that a relay told; a new one is asked about at once.
func (n *Node) hear(address string, hot uint64) {
	if n.share.hear(address, hot) {
		n.Kick()
	}
}

// Kick lets this daemon tell and ask at once what is new of requests that end instances.
func (n *Node) Kick() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// Peers asks other daemons over JSON-RPC.
type Peers struct{ rpc *rpc.Peers }

// NewPeers returns a transport without connections.
func NewPeers() *Peers { return &Peers{rpc: rpc.NewPeers(maxWait)} }

// NewPeersOver returns a transport whose connections are made by dial.
func NewPeersOver(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Peers {
	p := NewPeers()
	p.rpc.Dial = dial
	return p
}

// News implements Transport.
func (p *Peers) News(ctx context.Context, address string, r NewsRequest) (NewsReply, error) {
	var out NewsReply
	err := p.rpc.Call(ctx, address, methodNews, r, &out)
	return out, err
}

// Standing asks a relay which instances stand still in its zone.
func (p *Peers) Standing(ctx context.Context, address string) (StandingReply, error) {
	var out StandingReply
	err := p.rpc.Call(ctx, address, methodStanding, nil, &out)
	return out, err
}

// Share implements Transport.
func (p *Peers) Share(ctx context.Context, address string, r ShareRequest) (ShareReply, error) {
	var out ShareReply
	err := p.rpc.Call(ctx, address, methodShare, r, &out)
	return out, err
}

// Repeat implements Transport.
func (p *Peers) Repeat(ctx context.Context, address string, r RepeatRequest) (RepeatReply, error) {
	var out RepeatReply
	err := p.rpc.Call(ctx, address, methodRepeat, r, &out)
	return out, err
}

// Loads implements Transport.
func (p *Peers) Loads(ctx context.Context, address string) (LoadsReply, error) {
	var out LoadsReply
	err := p.rpc.Call(ctx, address, methodLoads, nil, &out)
	return out, err
}

// Words implements Transport.
func (p *Peers) Words(ctx context.Context, address string, r WordsRequest) (WordsReply, error) {
	var out WordsReply
	err := p.rpc.Call(ctx, address, methodWords, r, &out)
	return out, err
}

// Limits implements Transport.
func (p *Peers) Limits(ctx context.Context, address string, r LimitsRequest) (LimitsReply, error) {
	var out LimitsReply
	err := p.rpc.Call(ctx, address, methodLimits, r, &out)
	return out, err
}

// Close ends all connections.
func (p *Peers) Close() { p.rpc.Close() }
