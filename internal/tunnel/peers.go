package tunnel

import (
	"time"

	"github.com/juju/errors"
)

// How long a peer that failed is not asked again.
const (
	minPeerBackoff         = 250 * time.Millisecond // doubles with each failure
	maxPeerBackoff         = 2 * time.Second
	busyPeerBackoff        = 100 * time.Millisecond
	unsupportedPeerBackoff = 30 * time.Second
	// peerTTL is how long an unused peer is remembered.
	peerTTL = time.Minute
)

// peerState is what this daemon knows of a peer.
type peerState struct {
	open         int // its tunnels, as it told last
	backoff      time.Duration
	blockedUntil time.Time
	notedAt      time.Time
}

// peerStates holds the known peers by address.
type peerStates map[string]*peerState

// note records the outcome of a request for a tunnel.
func (p *peerStates) note(peer string, open int, err error, now time.Time) {
	if *p == nil {
		*p = peerStates{}
	}
	s := (*p)[peer]
	if s == nil {
		s = &peerState{}
		(*p)[peer] = s
	}
	s.notedAt = now
	switch {
	case err == nil:
		s.open, s.backoff, s.blockedUntil = open, 0, time.Time{}
	case errors.Is(err, errRefused) || errors.Is(err, errNoAnswer) || errors.Is(err, errUnknownInstance):
		s.backoff = 0 // the peer works
	case errors.Is(err, errPeerBusy):
		s.blockedUntil = now.Add(busyPeerBackoff)
	case errors.Is(err, errUnsupported):
		s.blockedUntil = now.Add(unsupportedPeerBackoff)
	default:
		s.backoff = min(max(2*s.backoff, minPeerBackoff), maxPeerBackoff)
		s.blockedUntil = now.Add(s.backoff)
	}
}

// blocked reports whether a peer is not to be asked now.
func (p peerStates) blocked(peer string, now time.Time) bool {
	s := p[peer]
	return s != nil && now.Before(s.blockedUntil)
}

// open returns the number of a peer's tunnels, as far as known.
func (p peerStates) openAt(peer string) int {
	if s := p[peer]; s != nil {
		return s.open
	}
	return 0
}

func (p peerStates) sweep(now time.Time) {
	for peer, s := range p {
		if now.Sub(s.notedAt) > peerTTL {
			delete(p, peer)
		}
	}
}

// peersToAsk returns the peers that a dial asks, in their order: drawn at random, of the first two the
// one with fewer tunnels first.
func (d *Dialer) peersToAsk() []string {
	now := d.RunClock.Now()
	all := d.Peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, 0, len(all))
	for _, peer := range all {
		if !d.peers.blocked(peer, now) {
			out = append(out, peer)
		}
	}
	for i := range min(len(out), maxPeersPerDial) {
		j := i + d.Uniform(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	if len(out) > 1 && d.peers.openAt(out[1]) < d.peers.openAt(out[0]) {
		out[0], out[1] = out[1], out[0]
	}
	return out[:min(len(out), maxPeersPerDial)]
}
