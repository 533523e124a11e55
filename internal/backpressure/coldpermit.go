package backpressure

import (
	"context"
	"math"
	"time"
)

// Parameters of permits for cold instances.
const (
	// ColdPermitTTL is how long a permit may be used, from when it was asked for. Sends within a second
	// may hold the permits of a second and this time.
	ColdPermitTTL = 100 * time.Millisecond
	// MinColdBlock and maxColdBlock bound how long a daemon asks for no permit for an instance after it
	// was refused one, so that hundreds of daemons do not flood the relay.
	MinColdBlock = 20 * time.Millisecond
	maxColdBlock = 100 * time.Millisecond
	// coldUnansweredPause is how long a daemon asks for no permit at all after a call without an answer:
	// each such call delays a request by the call's timeout.
	coldUnansweredPause = 200 * time.Millisecond
	// coldGrantTimeout is how long after the last answer of a granting relay a daemon starts to send
	// without permits.
	coldGrantTimeout = time.Second
	// coldUnpermittedShare is the part of the rule's rate that all daemons together use without
	// permits while nobody grants any. It is small because some of them may only be cut off from relays
	// that do grant.
	coldUnpermittedShare = 0.1
	// unpermittedSendTTL is how long a drawn time of a send without a permit may be used. Without it,
	// times that passed while there was no work would be used together.
	unpermittedSendTTL = 100 * time.Millisecond
	// maxUnpermittedMean bounds the mean time between such sends, in nanoseconds, so that twice the mean is
	// a valid duration for any rate.
	maxUnpermittedMean = math.MaxInt64 / 4
)

// ColdAnswer is a relay's answer to a request for a permit for a cold instance.
type ColdAnswer struct {
	Granted bool
	// Wait is when to ask again after a refusal.
	Wait time.Duration
	// Granting reports whether the relay grants permits at all. It does not until it is certain to be
	// the only relay of its zone.
	Granting bool
}

// coldPermitState is what a daemon knows of the relay that it asks for permits.
type coldPermitState struct {
	grantingAt time.Time // when a granting relay answered last or, before any did, when one was first asked
	askAgainAt time.Time // after a call without an answer
}

// Blocked reports whether no permit for an instance is to be asked for now.
func (c *Cold) Blocked(instance string, now time.Time) bool {
	return c.BlockLeft(instance, now) > 0
}

// BlockLeft returns for how long no permit for an instance is to be asked for.
func (c *Cold) BlockLeft(instance string, now time.Time) time.Duration {
	if now.UnixNano() >= c.blockBound.Load() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if in := c.instances[instance]; in != nil {
		return max(in.blockedUntil.Sub(now), 0)
	}
	return 0
}

// AnyBlocked reports, without a lock, whether any instance may be blocked.
func (c *Cold) AnyBlocked(now time.Time) bool { return now.UnixNano() < c.blockBound.Load() }

// MayAsk reports whether a permit may be asked for: not shortly after a call without an answer.
func (c *Cold) MayAsk(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.permits.grantingAt.IsZero() {
		c.permits.grantingAt = now
	}
	return !now.Before(c.permits.askAgainAt)
}

// NoteAnswer records the answer to a request for a permit. After a refusal the instance is blocked for
// a short while.
func (c *Cold) NoteAnswer(instance string, a ColdAnswer, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Granting {
		c.permits.grantingAt = later(c.permits.grantingAt, now)
	}
	if !a.Granted {
		c.block(instance, min(max(a.Wait, MinColdBlock), maxColdBlock), now)
	}
}

// NoteUnanswered records that a request for a permit got no answer. A permit may have been granted, and
// counts as used.
func (c *Cold) NoteUnanswered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permits.askAgainAt = now.Add(coldUnansweredPause)
}

// block blocks an instance for a while; c.mu is held.
func (c *Cold) block(instance string, duration time.Duration, now time.Time) {
	if in := c.instances[instance]; in != nil {
		in.blockedUntil = later(in.blockedUntil, now.Add(duration))
		raise(&c.blockBound, in.blockedUntil)
	}
}

// TakeWithoutPermit reports whether a request may be sent to a cold instance without a permit, because
// nobody grants any. The times of such sends are drawn at random, so that daemons that lose their
// relays together do not send together. A daemon that does not know how many others there are sends
// none.
func (c *Cold) TakeWithoutPermit(instance string, rule ColdRule, daemons int, uniform func(low, high time.Duration) time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.instances[instance]
	if in == nil || daemons <= 0 || now.Sub(c.permits.grantingAt) < coldGrantTimeout {
		c.block(instance, MinColdBlock, now)
		return false
	}
	if in.unpermittedAt.IsZero() || now.Sub(in.unpermittedAt) > unpermittedSendTTL {
		mean := time.Duration(min(float64(max(daemons, minKnownDaemons))/(coldUnpermittedShare*rule.PerSecond)*float64(time.Second), maxUnpermittedMean))
		in.unpermittedAt = now.Add(uniform(0, 2*mean))
	}
	if now.Before(in.unpermittedAt) {
		c.block(instance, min(max(in.unpermittedAt.Sub(now), MinColdBlock), maxColdBlock), now)
		return false
	}
	in.unpermittedAt = time.Time{}
	return true
}

// ColdPermit is a permit for one send to a cold instance. The zero value is none.
type ColdPermit struct {
	instance string
	until    time.Time
}

// Valid reports whether the permit allows a send to an instance now.
func (p ColdPermit) Valid(instance string, now time.Time) bool {
	return p.instance == instance && now.Before(p.until)
}

// ColdResult is the result of a request for a permit for a cold instance.
type ColdResult string

// Results of requests for permits.
const (
	ColdGranted       ColdResult = "granted"
	ColdRefused       ColdResult = "refused"        // by the relay
	ColdNotGranting   ColdResult = "not_granting"   // the relay is not certain to be the only one of its zone
	ColdUnanswered    ColdResult = "unanswered"     // there is no relay, or no answer in time
	ColdWithoutPermit ColdResult = "without_permit" // sent all the same, as no relay grants permits
)

// AskColdPermit asks for a permit for one send to an instance that takes perSecond requests a second. It
// returns an error if there is no answer; the permit may have been granted then.
type AskColdPermit func(ctx context.Context, instance string, perSecond float64) (ColdAnswer, error)

// TakeColdPermit takes a permit for one send to a cold instance, which counts from when it is asked for.
// ask may be nil. The result is empty if the instance is blocked.
func (g *Gate) TakeColdPermit(ctx context.Context, ask AskColdPermit, instance string, rule ColdRule, clock func() time.Time) (p ColdPermit, r ColdResult) {
	asked := clock()
	if g.Cold.Blocked(instance, asked) {
		return ColdPermit{}, ""
	}
	r = ColdUnanswered
	if g.Cold.MayAsk(asked) && ask != nil {
		answer, err := ask(ctx, instance, rule.PerSecond)
		if err != nil && ctx.Err() != nil {
			return ColdPermit{}, "" // the request ended, which says nothing about the relay
		}
		now := clock()
		if err != nil {
			g.Cold.NoteUnanswered(now)
		} else {
			g.Cold.NoteAnswer(instance, answer, now)
		}
		switch {
		case answer.Granted:
			return ColdPermit{instance, asked.Add(ColdPermitTTL)}, ColdGranted
		case answer.Granting:
			return ColdPermit{}, ColdRefused
		case err == nil:
			r = ColdNotGranting
		}
	}
	now := clock()
	if g.Cold.TakeWithoutPermit(instance, rule, g.daemons(), g.uniform, now) {
		return ColdPermit{instance, now.Add(ColdPermitTTL)}, ColdWithoutPermit
	}
	return ColdPermit{}, r
}
