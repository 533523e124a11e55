package backpressure

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// ColdRule is a service's rule on cold instances. The zero value means that there is none.
type ColdRule struct {
	Duration  time.Duration // for how long an instance is cold after its start
	PerSecond float64       // requests a second that a cold instance takes from all daemons together
}

// Active reports whether the rule limits requests.
func (r ColdRule) Active() bool { return r.PerSecond > 0 }

const (
	// startClockMargin is how far the clocks of an instance and of this daemon may differ: a daemon that
	// starts compares the start times of the instances that it finds with its own clock.
	startClockMargin = 10 * time.Second
	// coldRetention is how long a removed instance is remembered. One that returns later counts as
	// started.
	coldRetention = time.Minute
)

// ColdEntry is what an instance's entry shows of its start.
type ColdEntry struct {
	Incarnation
	Service string
	Zone    string
	Version uint64
	Left    time.Duration // how much longer the instance reports itself cold
	// Reported is true if the entry states whether the instance is cold; Left is 0 if it is not.
	Reported bool
	// First is true if the entry was there when this daemon started.
	First bool
	// BeforeTraffic is true if the deployment has had no request yet. Instances that start then are not
	// cold.
	BeforeTraffic bool
}

// Cold tracks which instances are cold: those that started, or whose zone's evacuation ended, a short
// while ago, and those that report it themselves. What is not known for certain counts as cold. The zero
// value is ready to use. Safe for concurrent use; time is passed in.
type Cold struct {
	// startBound is the latest start or end of an evacuation, untilBound the latest time until which an
	// instance reports itself cold, blockBound the latest end of a block. While all of them are past,
	// requests need no lock. Unix nanoseconds of steady.Clock, whose times have no monotonic reading.
	startBound, untilBound, blockBound atomic.Int64

	mu        sync.Mutex
	instances map[string]*coldInstance
	zoneSince map[string]time.Time // latest end of an evacuation
	// unseenEnds is the time up to which evacuations may have ended without the knowledge of this daemon:
	// in unseenZones, nil: in any zone. Zero: none has.
	unseenEnds  time.Time
	unseenZones map[string]bool
	permits     coldPermitState
}

// coldInstance is what is known of the instance with an id. Requests for an earlier incarnation reach
// the latest one, so the state is not kept by incarnation.
type coldInstance struct {
	startedAt int64 // of the latest incarnation, in Unix milliseconds; 0: its entry does not state it
	service   string
	zone      string
	version   uint64
	since     time.Time // when this daemon first saw that incarnation
	// age is how long it had run then. It is taken from the entry's start time if this daemon found the
	// instance at its own start. It is unlimited if the deployment had had no request, or if the entry
	// reports whether the instance is cold. 0: it may just have started.
	age         time.Duration
	entryUntil  time.Time // until when it is cold according to its entry
	signalUntil time.Time // until when it is cold according to its responses
	removedAt   time.Time // zero: it has an entry
	// blockedUntil is until when this daemon asks for no permit for it.
	blockedUntil time.Time
	// unpermittedAt is when this daemon may send without a permit while nobody grants any; zero:
	// not drawn.
	unpermittedAt time.Time
	loggedCold    bool
}

// Entry records an instance's entry that was received now. An entry that was received late shows the
// instance cold for too long, never too short.
func (c *Cold) Entry(e ColdEntry, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.instances[e.Instance]
	returned := in != nil && !in.removedAt.IsZero() && e.StartedAt == 0
	if in == nil || in.startedAt != e.StartedAt || returned {
		if c.instances == nil {
			c.instances = map[string]*coldInstance{}
		}
		started := &coldInstance{startedAt: e.StartedAt, since: now}
		if in != nil {
			started.loggedCold = in.loggedCold
		}
		switch {
		case e.BeforeTraffic, e.Reported:
			started.age = math.MaxInt64
		case e.First && e.StartedAt > 0:
			started.age = now.Sub(time.UnixMilli(e.StartedAt))
		}
		raise(&c.startBound, now)
		in = started
		c.instances[e.Instance] = in
	}
	in.service, in.zone, in.removedAt = e.Service, e.Zone, time.Time{}
	if e.Version > in.version || e.Version == 0 { // listings repeat known entries
		in.version, in.entryUntil = e.Version, now.Add(e.Left)
		raise(&c.untilBound, in.entryUntil)
	}
}

// Removed records that an instance's entry was removed.
func (c *Cold) Removed(instance string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in := c.instances[instance]; in != nil && in.removedAt.IsZero() {
		in.removedAt = now
	}
}

// EvacuationEnded records that the evacuation of a zone ended: its instances are cold as after a start.
func (c *Cold) EvacuationEnded(zone string, endedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zoneSince == nil {
		c.zoneSince = map[string]time.Time{}
	}
	if endedAt.After(c.zoneSince[zone]) {
		c.zoneSince[zone] = endedAt
	}
	raise(&c.startBound, endedAt)
}

// UnseenEnds records that evacuations may have ended up to a time without the knowledge of this daemon: in
// the given zones, nil: in any. It replaces what was recorded before.
func (c *Cold) UnseenEnds(upTo time.Time, zones map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unseenEnds, c.unseenZones = upTo, zones
	raise(&c.startBound, upTo)
}

// signal records that a response of an instance reported it cold for a while longer.
func (c *Cold) signal(instance string, left time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in := c.instances[instance]; in != nil {
		in.signalUntil = later(in.signalUntil, now.Add(left))
		raise(&c.untilBound, in.signalUntil)
	}
}

// None reports, without a lock, that no instance is cold.
func (c *Cold) None(rule ColdRule, now time.Time) bool {
	return !rule.Active() || now.Add(-rule.Duration).UnixNano() >= c.startBound.Load() && now.UnixNano() >= c.untilBound.Load()
}

// IsCold reports whether an instance is cold now.
func (c *Cold) IsCold(instance string, rule ColdRule, now time.Time) bool {
	if c.None(rule, now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.instances[instance]
	return in != nil && now.Before(c.until(in, rule))
}

// IsColdInstance is IsCold for an instance whose rule is that of its service. The rule's duration is at most
// MaxCold.
func (c *Cold) IsColdInstance(instance string, rule func(service string) ColdRule, now time.Time) bool {
	if c.None(ColdRule{Duration: MaxCold, PerSecond: 1}, now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.instances[instance]
	if in == nil {
		return false
	}
	r := rule(in.service)
	return r.Active() && now.Before(c.until(in, r))
}

// until returns until when an instance is cold; c.mu is held.
func (c *Cold) until(in *coldInstance, rule ColdRule) time.Time {
	end := later(in.entryUntil, in.signalUntil)
	if in.age <= rule.Duration+startClockMargin {
		end = later(end, in.since.Add(rule.Duration))
	}
	if ended, ok := c.zoneSince[in.zone]; ok {
		end = later(end, ended.Add(rule.Duration))
	}
	if !c.unseenEnds.IsZero() && (c.unseenZones == nil || c.unseenZones[in.zone]) {
		end = later(end, c.unseenEnds.Add(rule.Duration))
	}
	return end
}

// Sweep forgets instances that were removed, and evacuations that ended, long ago. It logs which instances
// became cold or warm, and returns the number of cold ones. rule returns the rule of a service.
func (c *Cold) Sweep(rule func(service string) ColdRule, now time.Time, log *zap.Logger) (cold int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.zoneSince, func(_ string, endedAt time.Time) bool { return now.Sub(endedAt) > MaxCold })
	for id, in := range c.instances {
		if !in.removedAt.IsZero() && now.Sub(in.removedAt) > coldRetention {
			delete(c.instances, id)
			continue
		}
		r := rule(in.service)
		isCold := r.Active() && in.removedAt.IsZero() && now.Before(c.until(in, r))
		if isCold {
			cold++
		}
		if isCold == in.loggedCold {
			continue
		}
		in.loggedCold = isCold
		if isCold {
			log.Info("instance is cold", zap.String("instance", id), zap.Int64("born", in.startedAt), zap.Float64("per_second", r.PerSecond),
				zap.Int64("left_ms", c.until(in, r).Sub(now).Milliseconds()))
		} else {
			log.Info("instance is warm", zap.String("instance", id), zap.Int64("born", in.startedAt), zap.Bool("removed", !in.removedAt.IsZero()))
		}
	}
	return cold
}

// ZoneCold is Cold.EvacuationEnded.
func (g *Gate) ZoneCold(zone string, endedAt time.Time) { g.Cold.EvacuationEnded(zone, endedAt) }

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// raise raises a time in Unix nanoseconds to t.
func raise(bound *atomic.Int64, t time.Time) {
	n := t.UnixNano()
	for {
		old := bound.Load()
		if n <= old || bound.CompareAndSwap(old, n) {
			return
		}
	}
}
