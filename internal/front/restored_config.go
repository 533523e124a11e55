package front

import (
	"sync"

	"go.uber.org/zap"

	"pearlanding/internal/gateway"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/relay"
)

// A store that came back from a copy may hold an earlier configuration than the newest one until the
// operator has written that again. The operator's own versions tell them apart. Such a copy neither comes into force
// nor proves anything: the configuration in force stays, and its proof ages. A daemon that started since
// the copy came back knows nothing earlier by itself; its peers tell it.

// peerStamps is the highest version that the operator gave a configuration, by the store's era in which a peer
// read it. Safe for concurrent use.
type peerStamps struct {
	mu    sync.Mutex
	byEra map[uint64]uint64
}

// maxPeerStamps bounds the eras that are remembered.
const maxPeerStamps = 16

// note records a peer's stamp and reports whether it is news.
func (p *peerStamps) note(s relay.ConfigStamp) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	era := objectapi.Era(s.Object)
	known, has := p.byEra[era]
	if s.Operator <= known || !has && len(p.byEra) >= maxPeerStamps {
		return false
	}
	if p.byEra == nil {
		p.byEra = map[uint64]uint64{}
	}
	p.byEra[era] = s.Operator
	return true
}

// before returns the highest version that a peer read before an era.
func (p *peerStamps) before(era uint64) (newest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e, version := range p.byEra {
		if e < era {
			newest = max(newest, version)
		}
	}
	return newest
}

// noteStamp passes a peer's stamp to Run.
func (f *configFollower) noteStamp(s relay.ConfigStamp) {
	if !f.peerStamps.note(s) {
		return
	}
	select {
	case f.stampsChanged <- struct{}{}:
	default: // already signalled
	}
}

// stamp returns the versions of the configuration in force. Safe for concurrent use.
func (f *configFollower) stamp() relay.ConfigStamp {
	if s := f.inForce.Load(); s != nil {
		return *s
	}
	return relay.ConfigStamp{}
}

// newestBefore returns the highest version that the operator gave a configuration before the era of an
// object, as far as this daemon and its peers know.
func (f *configFollower) newestBefore(object uint64) uint64 {
	newest := f.peerStamps.before(objectapi.Era(object))
	if objectapi.Era(f.version) < objectapi.Era(object) {
		newest = max(newest, f.Current().Version())
	}
	return newest
}

// checkStamps withdraws the proof of a configuration in force that a peer shows to be a restored copy.
func (f *configFollower) checkStamps() {
	current := f.Current()
	newest := f.newestBefore(f.version)
	if current.Table == nil || current.ProvedAt.IsZero() || current.Version() >= newest {
		return
	}
	f.log.Warn("configuration in force is a restored copy", zap.String("decision", "not_proved_until_a_newer_one_is_read"),
		zap.Uint64("config_version", current.Version()), zap.Uint64("newest_known", newest))
	f.current.Store(&gateway.Config{Table: current.Table})
}

// noteProof passes a proof on to peers.
func (f *configFollower) noteProof(version uint64, c gateway.Config) {
	f.inForce.Store(&relay.ConfigStamp{Object: version, Operator: c.Version()})
	if f.onRead != nil {
		f.onRead(version, c.ProvedAt)
	}
}
