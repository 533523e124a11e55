package tunnel

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/steady"
	"pearlanding/internal/upstream"
)

// Times of a dial.
const (
	// nextPathDelay is how long a path may take until the next one is tried beside it: several usual
	// connect times within a region.
	nextPathDelay = 20 * time.Millisecond
	// directRetryInterval is how often the direct path to an instance is tried again while a peer's
	// path is used.
	directRetryInterval = 500 * time.Millisecond
	// lostRetryInterval is the same for all instances together while all direct paths are lost.
	lostRetryInterval = 100 * time.Millisecond
	// addressTTL is how long an unused address is remembered.
	addressTTL = 30 * time.Second
)

// crowdedShare of a peer's limit is what its tunnels may use up to which idle ones are kept.
const crowdedShare = 0.25

// maxPeersPerDial bounds the peers that one dial asks.
const maxPeersPerDial = 8

// Paths to an instance, for metrics.
const (
	PathDirect = "direct"
	PathPeer   = "peer"
)

// Dialer connects to instances, directly or through peers. All exported fields must be set before
// use. Safe for concurrent use.
type Dialer struct {
	Direct *Direct
	// DirectTimeout returns for how long the direct path may take at most.
	DirectTimeout func() time.Duration
	// DialPeer connects to another daemon.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// InstanceAt returns the instance at an address in this daemon's view.
	InstanceAt func(address string) (in Instance, known bool)
	// Peers returns the addresses of daemons that may reach instances.
	Peers func() []string
	// Uniform returns a random number in [0, n).
	Uniform  func(n int) int
	RunClock *steady.RunClock
	Log      *zap.Logger
	// OnDial is called with the outcome of each dial by one path.
	OnDial func(path string, err error)

	mu            sync.Mutex
	addresses     map[string]*addressState
	peers         peerStates
	directTriedAt time.Time // when a direct path was last tried while all were lost
	throughPeers  bool      // as last logged
}

// addressState is what dials to one address have shown.
type addressState struct {
	peerFirst bool      // a peer's path was faster than the direct one, which has not worked since
	triedAt   time.Time // when the direct path was last tried
	usedAt    time.Time
}

// attempt is the result of one path.
type attempt struct {
	conn   net.Conn
	err    error
	direct bool
}

// DialContext connects to an instance by the first path that succeeds. If none does, the error is
// ECONNREFUSED only if the instance itself refused the connection, as far as peers could tell, and
// upstream.ErrNoPath if nothing can be said about the instance.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	r := &race{dialer: d, network: network, address: address, results: make(chan attempt, 2+maxPeersPerDial)}
	r.peerCtx, r.cancelPeers = context.WithCancel(ctx)
	r.plan()
	defer r.abandon()
	return r.run(ctx)
}

// race is one dial by several paths. One goroutine owns it.
type race struct {
	dialer           *Dialer
	network, address string
	lost             bool     // all direct paths are
	peerFirst        bool     // a peer is asked before the direct path is tried
	tryDirect        bool     // the direct path was not tried yet and may be
	peers            []string // that were not asked yet; nil: none were drawn

	running     int // paths that are being tried
	background  int // of these, paths that are not waited for
	results     chan attempt
	peerCtx     context.Context
	cancelPeers context.CancelFunc

	directErr error // of the direct path
	lastErr   error
	verdict   error // what a peer that reaches other instances told about this one
}

// plan decides on the order of the paths.
func (r *race) plan() {
	d, now := r.dialer, r.dialer.RunClock.Now()
	lost := d.Direct.Lost()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(r.address, now)
	r.lost, r.peerFirst = lost, s.peerFirst || lost
	r.tryDirect = true
	if r.peerFirst {
		r.tryDirect = now.Sub(s.triedAt) >= directRetryInterval && (!lost || now.Sub(d.directTriedAt) >= lostRetryInterval)
	}
	if r.tryDirect {
		s.triedAt = now
		if lost {
			d.directTriedAt = now
		}
	}
}

// state returns the state of an address; d.mu is held.
func (d *Dialer) state(address string, now time.Time) *addressState {
	if d.addresses == nil {
		d.addresses = map[string]*addressState{}
	}
	s := d.addresses[address]
	if s == nil {
		s = &addressState{}
		d.addresses[address] = s
	}
	s.usedAt = now
	return s
}

// run starts one path after the other until one succeeds or all have failed.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	r.startNext()
	if r.peerFirst && r.tryDirect {
		r.startDirect() // beside the peer: shows whether the direct path works again
		if r.lost {
			r.background = 1
		}
	}
	delay := r.newDelay()
	defer func() { delay.stop() }()
	for r.running > r.background {
		select {
		case a := <-r.results:
			r.running--
			if a.direct {
				r.background = 0
			}
			if a.err == nil {
				if through, ok := a.conn.(*Conn); ok {
					r.dialer.setPeerFirst(r.address, through.peer)
				}
				return a.conn, nil
			}
			r.noteError(a)
			r.startNext()
		case <-delay.expired:
			r.startNext()
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		delay.stop()
		delay = r.newDelay()
	}
	return nil, r.failure()
}

// pathDelay is the time until the next path is tried.
type pathDelay struct {
	expired chan struct{}
	stop    func()
}

func (r *race) newDelay() pathDelay {
	expired := make(chan struct{})
	return pathDelay{expired, r.dialer.RunClock.AfterFunc(nextPathDelay, func() { close(expired) })}
}

// startNext starts the next path, if there is one.
func (r *race) startNext() {
	if !r.peerFirst && r.tryDirect {
		r.startDirect()
		return
	}
	if r.peers == nil {
		r.peers = r.dialer.peersToAsk()
	}
	if len(r.peers) == 0 {
		if r.running == 0 && r.directErr == nil && !r.dialer.Direct.Lost() {
			r.startDirect() // the last resort
		}
		return
	}
	peer := r.peers[0]
	r.peers = r.peers[1:]
	r.running++
	go func() {
		conn, err := r.dialer.open(r.peerCtx, peer, r.address)
		r.dialer.OnDial(PathPeer, err)
		r.results <- attempt{conn: conn, err: err}
	}()
}

// startDirect tries the direct path. It goes on after the race, as its outcome shows whether the path
// works.
func (r *race) startDirect() {
	r.tryDirect = false
	r.running++
	d := r.dialer
	go func() {
		ctx, cancel := d.RunClock.WithTimeout(context.Background(), d.DirectTimeout())
		defer cancel()
		conn, err := d.Direct.DialContext(ctx, r.network, r.address)
		if err != nil && ctx.Err() != nil {
			err = errors.Annotatef(context.Cause(ctx), "dial %s %s", r.network, r.address)
		}
		d.OnDial(PathDirect, err)
		if err == nil {
			d.directWorks(r.address)
		}
		r.results <- attempt{conn, err, true}
	}()
}

// noteError records the failure of one path.
func (r *race) noteError(a attempt) {
	r.lastErr = a.err
	switch {
	case a.direct:
		r.directErr = a.err
	case errors.Is(a.err, errRefused) || errors.Is(a.err, errNoAnswer):
		r.verdict = a.err
		r.peers = []string{} // a peer that reaches other instances has told
	}
}

// failure returns the error of a race in which all paths failed.
func (r *race) failure() error {
	d := r.dialer
	switch {
	case errors.Is(r.verdict, errRefused):
		return &net.OpError{Op: "dial", Net: r.network, Err: syscall.ECONNREFUSED}
	case r.verdict != nil:
		return r.verdict
	case r.directErr != nil && (d.Direct.Usable() || r.onlyInstanceFails()):
		return r.directErr
	}
	return errors.WithType(errors.Errorf("dial %s %s: %v", r.network, r.address, r.lastErr), upstream.ErrNoPath)
}

// onlyInstanceFails reports whether the instance did not answer while other instances were reached recently:
// those of a zone without power, or of a partitioned one, fail together while those of other zones work. A
// refusal does not count, as new connections of a daemon that is cut off may be refused while its open ones
// still work.
func (r *race) onlyInstanceFails() bool {
	direct := r.dialer.Direct
	return !errors.Is(r.directErr, syscall.ECONNREFUSED) && !direct.Lost() && direct.ReachedWithin(reachedRecently)
}

// abandon ends the paths that are not needed.
func (r *race) abandon() {
	r.cancelPeers()
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			if a := <-r.results; a.conn != nil {
				_ = a.conn.Close() // carried nothing
			}
		}
	}()
}

// open opens a tunnel through a peer.
func (d *Dialer) open(ctx context.Context, peer, address string) (net.Conn, error) {
	began := d.RunClock.Now()
	in, known := d.InstanceAt(address)
	if !known {
		return nil, errUnknownInstance
	}
	conn, open, err := d.handshake(ctx, peer, in)
	now := d.RunClock.Now()
	if err != nil && ctx.Err() != nil && now.Sub(began) < nextPathDelay {
		return nil, errors.Trace(err) // another path was faster, the peer is not late
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.note(peer, open, err, now)
	if err != nil {
		return nil, errors.Annotatef(err, "peer %s", peer)
	}
	return conn, nil
}

// handshake connects to a peer and asks it for a tunnel. It returns the number of the peer's tunnels.
func (d *Dialer) handshake(ctx context.Context, peer string, in Instance) (*Conn, int, error) {
	raw, err := d.DialPeer(ctx, "tcp", peer)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	c := &Conn{Conn: raw, peer: peer, reader: bufio.NewReaderSize(raw, headerBytes+maxFrameBytes)}
	open, err := c.request(in)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = raw.Close() // carried nothing
		return nil, 0, err
	}
	return c, open, nil
}

// request asks the peer for a tunnel and returns the number of the peer's tunnels.
func (c *Conn) request(in Instance) (open int, err error) {
	line, err := encodeLine(openRequest{Version: "2.0", ID: 1, Method: Method, Params: in})
	if err != nil {
		return 0, err
	}
	if _, err := c.Conn.Write(line); err != nil {
		return 0, errors.Trace(err)
	}
	text, err := c.reader.ReadSlice('\n')
	if err != nil {
		return 0, errors.Trace(err)
	}
	var reply openReply
	if err := json.Unmarshal(text, &reply); err != nil {
		return 0, errors.Trace(err)
	}
	if reply.Error != nil {
		return 0, reply.Error.err()
	}
	if reply.Result == nil {
		return 0, errUnsupported
	}
	c.crowded = float64(reply.Result.Open) > crowdedShare*float64(reply.Result.Limit)
	return reply.Result.Open, nil
}

// setPeerFirst records that a peer's path to an address was faster than the direct one.
func (d *Dialer) setPeerFirst(address, peer string) {
	now := d.RunClock.Now()
	d.mu.Lock()
	d.state(address, now).peerFirst = true
	begins := !d.throughPeers
	d.throughPeers = true
	d.mu.Unlock()
	if begins {
		d.Log.Info("instances reached through peers", zap.String("decision", "direct_path_failed_or_late"), zap.String("address", address), zap.String("peer", peer))
	}
}

// directWorks records that the direct path to an address works.
func (d *Dialer) directWorks(address string) {
	now := d.RunClock.Now()
	d.mu.Lock()
	s := d.state(address, now)
	was := s.peerFirst
	s.peerFirst = false
	remaining := 0
	for _, other := range d.addresses {
		if other.peerFirst {
			other.triedAt = time.Time{} // their direct paths probably work, too
			remaining++
		}
	}
	ends := was && remaining == 0 && d.throughPeers
	d.throughPeers = d.throughPeers && !ends
	d.mu.Unlock()
	if ends {
		d.Log.Info("instances reached directly again", zap.String("address", address))
	}
}

// Stale reports whether a kept connection must carry no further request: its path has failed since, or
// it leads through a peer although the direct path works again.
func (d *Dialer) Stale(conn net.Conn, address string) bool {
	inDoubt, lost := d.Direct.InDoubt(), d.Direct.Lost()
	now := d.RunClock.Now()
	d.mu.Lock()
	peerFirst := lost || d.state(address, now).peerFirst
	through, isTunnel := conn.(*Conn)
	blocked := isTunnel && d.peers.blocked(through.peer, now)
	d.mu.Unlock()
	if !isTunnel {
		return peerFirst || inDoubt
	}
	if peerFirst {
		d.retryDirect(address)
	}
	return !peerFirst || blocked || through.retired.Load()
}

// retryDirect tries the direct path to an address in the background if that is due.
func (d *Dialer) retryDirect(address string) {
	r := &race{dialer: d, network: "tcp", address: address, results: make(chan attempt, 1), cancelPeers: func() {}}
	r.plan()
	if r.peerFirst && r.tryDirect { // it may have begun to work meanwhile
		r.startDirect()
		r.abandon()
	}
}

// Sweep forgets addresses and peers that were not used recently.
func (d *Dialer) Sweep() {
	now := d.RunClock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, s := range d.addresses {
		if now.Sub(s.usedAt) > addressTTL {
			delete(d.addresses, address)
		}
	}
	d.peers.sweep(now)
}

// ThroughPeers returns the number of addresses that are reached through peers first.
func (d *Dialer) ThroughPeers() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.addresses {
		if s.peerFirst {
			n++
		}
	}
	return n
}
