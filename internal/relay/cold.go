package relay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
)

// methodColdPermit asks a relay for a permit for one send to a cold instance.
const methodColdPermit = "relay.cold_permit"

// Times of permits for cold instances.
const (
	// coldPermitTimeout bounds the call for a permit, which delays a request: links in a zone take a
	// tenth of a millisecond, a busy relay a few ms.
	coldPermitTimeout = 40 * time.Millisecond
	// coldLease is how long a relay grants permits after a read of the store was sent that showed its
	// zone's record to name it. A short outage of the store leaves the grants in force.
	coldLease = 3 * time.Second
	// coldTakeoverDelay is how long a daemon grants no permits after it took over another one's record:
	// the other one may have read it just before, and permits that it granted may be used.
	coldTakeoverDelay = coldLease + 2*backpressure.ColdPermitTTL
	// coldConfirmInterval is how often a relay reads the record while permits are asked for, and
	// coldConfirmRetry how soon after a failed read.
	coldConfirmInterval = time.Second
	coldConfirmRetry    = 250 * time.Millisecond
	// coldConfirmTimeout bounds such a read.
	coldConfirmTimeout = time.Second
	// coldConfirmWait is after what time a daemon is to ask again while its relay reads the record.
	coldConfirmWait = 20 * time.Millisecond
)

// ColdPermitRequest asks for a permit for one send to a cold instance.
type ColdPermitRequest struct {
	Instance string `json:"instance"`
	// PerSecond is the number of requests a second that the instance takes from all daemons together.
	PerSecond float64 `json:"per_second"`
}

// ColdPermitReply is a backpressure.ColdAnswer on the wire.
type ColdPermitReply struct {
	Granted  bool  `json:"granted,omitempty"`
	WaitUS   int64 `json:"wait_us,omitempty"`
	Granting bool  `json:"granting,omitempty"`
}

// coldLeaseState is a relay's right to grant permits for cold instances. Two daemons may take
// themselves for the relay of a zone for a while; at most one of them has the right. Safe for
// concurrent use.
type coldLeaseState struct {
	mu          sync.Mutex
	grants      backpressure.ColdGrants
	notBefore   time.Time // grants nothing before
	confirmedAt time.Time // when the last read that showed the record to name this daemon was sent
	readAt      time.Time // when the last read was sent
	reading     bool
}

// takeOver records that the zone's record began to name this daemon. Permits of its own from an earlier
// time as relay are dropped.
func (l *coldLeaseState) takeOver(notBefore time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notBefore, l.confirmedAt = notBefore, time.Time{}
	l.grants.Reset()
}

// wait returns for how long no permits are granted; 0: they are granted now. read reports whether the
// record must be read now, which then counts as begun.
func (l *coldLeaseState) wait(now time.Time) (wait time.Duration, read bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := coldConfirmInterval
	if l.confirmedAt.Before(l.readAt) {
		interval = coldConfirmRetry
	}
	if !l.reading && now.Sub(l.readAt) >= interval {
		l.reading, l.readAt, read = true, now, true
	}
	switch {
	case now.Before(l.notBefore):
		return l.notBefore.Sub(now), read
	case now.Sub(l.confirmedAt) >= coldLease:
		return coldConfirmWait, read
	}
	return 0, read
}

// noteRead records the result of a read of the record.
func (l *coldLeaseState) noteRead(sentAt time.Time, confirmed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	if confirmed && sentAt.After(l.confirmedAt) {
		l.confirmedAt = sentAt
	}
}

// confirmRecord reads the zone's record and records whether it names this daemon.
func (n *Node) confirmRecord() {
	ctx, cancel := context.WithTimeout(context.Background(), coldConfirmTimeout)
	defer cancel()
	sentAt := n.now()
	o, err := n.Feed.Get(ctx, n.opts.Key)
	named := err == nil && readRecord(o).Holder == n.opts.Holder
	if err == nil && !named {
		n.recheckRecord.Store(true)
	}
	n.cold.noteRead(sentAt, named)
}

// grantCold grants or refuses a permit at this daemon.
func (n *Node) grantCold(r ColdPermitRequest) backpressure.ColdAnswer {
	if !n.grantsPermits() {
		return backpressure.ColdAnswer{Wait: coldConfirmWait}
	}
	now := n.now()
	wait, read := n.cold.wait(now)
	if read {
		n.spawn(n.confirmRecord)
	}
	if wait > 0 {
		return backpressure.ColdAnswer{Wait: wait}
	}
	return n.cold.grants.Take(r.Instance, r.PerSecond, n.permitShares(), now)
}

// spawn runs a function concurrently.
func (n *Node) spawn(f func()) {
	if n.opts.Spawn != nil {
		n.opts.Spawn(f)
		return
	}
	go f()
}

// answerColdPermit answers another daemon.
func (n *Node) answerColdPermit(_ context.Context, r ColdPermitRequest) (ColdPermitReply, error) {
	a := n.grantCold(r)
	return ColdPermitReply{a.Granted, a.Wait.Microseconds(), a.Granting}, nil
}

// errNoRelay means that this daemon knows no relay.
const errNoRelay = errors.ConstError("relay: no relay is known")

// ColdPermit asks the zone's relay for a permit for one send to a cold instance. It returns an error if
// there is no answer; the permit may have been granted then.
func (n *Node) ColdPermit(ctx context.Context, instance string, perSecond float64) (backpressure.ColdAnswer, error) {
	request := ColdPermitRequest{instance, perSecond}
	if n.IsRelay() {
		return n.grantCold(request), nil
	}
	relay, _ := n.share.lastUsed()
	if relay == "" {
		return backpressure.ColdAnswer{}, errNoRelay
	}
	ctx, cancel := n.opts.RunClock.WithTimeout(ctx, coldPermitTimeout)
	defer cancel()
	r, err := n.opts.Peers.ColdPermit(ctx, relay, request)
	if err != nil {
		n.opts.Log.Debug("permit for a cold instance not answered", zap.String("relay", relay), zap.Error(err))
		return backpressure.ColdAnswer{}, errors.Trace(err)
	}
	return backpressure.ColdAnswer{Granted: r.Granted, Wait: time.Duration(r.WaitUS) * time.Microsecond, Granting: r.Granting}, nil
}

// ColdPermit implements Transport.
func (p *Peers) ColdPermit(ctx context.Context, address string, r ColdPermitRequest) (ColdPermitReply, error) {
	var out ColdPermitReply
	err := p.rpc.Call(ctx, address, methodColdPermit, r, &out)
	return out, err
}
