package formation

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/fleet"
	"pearlanding/internal/pause"
	"pearlanding/internal/steady"
)

// ErrOtherIncarnation means that a later incarnation of the instance answers under its id.
const ErrOtherIncarnation = errors.ConstError("formation: another incarnation answers under the instance id")

// ErrProbeInconclusive means that something at the instance's address answered a probe without
// telling that it is the instance: it reset the connection, or sent an error of its own. An instance
// with too many connections does that.
const ErrProbeInconclusive = errors.ConstError("formation: the probe shows neither that the instance is alive nor that it is dead")

// Prober checks whether instances are alive.
type Prober interface {
	// Probe returns nil if the instance answered in the incarnation of in. It returns
	// ErrOtherIncarnation if a later incarnation answered, and ErrProbeInconclusive if the instance
	// may be alive although it did not answer.
	Probe(ctx context.Context, in *fleet.Instance) error
}

// Timing of the detection of dead members.
const (
	// probeTimeout is far above the time of an answer (some milliseconds, more on a slow
	// machine) and far below the three heartbeats after which an entry lapses.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the least time between two probes of the same group.
	probeInterval = 600 * time.Millisecond
	// deadTTL is how long an instance that did not answer counts as dead. Within that time
	// its entry lapses, unless the instance is alive after all.
	deadTTL = 6 * time.Second
	// minLeaveTime is how long an instance that leaves without a notice serves at least after its
	// entry was removed. One that crashed has ended before its entry lapses.
	minLeaveTime = 2 * time.Second
	// failedProbesForDeath is how many probes in a row must fail, as a single packet may be lost.
	failedProbesForDeath = 2
	// After inconclusiveProbes inconclusive probes, with pauses between them, nothing is concluded.
	inconclusiveProbes = 4
	inconclusivePause  = 50 * time.Millisecond
)

// failureDetector finds the dead member that stalls a group before its entry lapses. It probes
// groups that are suspected, as by stalled streams, and members whose entries have lapsed.
type failureDetector struct {
	prober     Prober
	clock      *steady.Clock
	run        *steady.RunClock // does not advance while this process is not scheduled
	log        *zap.Logger
	mu         sync.Mutex
	lastProbed map[fleet.GroupKey]time.Time // when probes of a group last started
	dead       map[incarnation]death        // of the instances that count as dead
	detected   chan struct{}                // signaled when an instance is first declared dead
	// progressedSince reports whether a group's streams made progress after a time of run; nil: unknown.
	progressedSince func(group fleet.GroupKey, at time.Time) bool
	// view is the latest view of startProbes.
	view atomic.Pointer[fleet.View]
	// uniform returns a random number in [0, n).
	uniform func(n int) int

	reachMu sync.Mutex
	reach   reachCheck // the last one; guarded by reachMu
}

// reachCheck is the result of probing other instances than one.
type reachCheck struct {
	began     time.Time // by run
	reachable bool
}

// death holds when an instance was first and last declared dead.
type death struct {
	first, last time.Time
}

// incarnation is one run of an instance under its id.
type incarnation struct {
	id        string
	startedAt int64
}

func incarnationOf(in *fleet.Instance) incarnation { return incarnation{in.ID, in.StartedAt} }

func newFailureDetector(prober Prober, log *zap.Logger) *failureDetector {
	return &failureDetector{prober: prober, run: steady.NewRunClock(nil), log: log, lastProbed: map[fleet.GroupKey]time.Time{}, dead: map[incarnation]death{}, detected: make(chan struct{}, 1), uniform: rand.IntN}
}

// startProbes starts probes of all members of the groups with the given heads and of members whose
// entries have lapsed, unless the group was probed less than probeInterval ago. It forgets deaths
// older than deadTTL.
func (d *failureDetector) startProbes(ctx context.Context, v *fleet.View, heads []string, now time.Time) {
	d.view.Store(v)
	for _, id := range heads {
		in := v.Instances[id]
		if in == nil || in.Group.Name == "" || !d.probeDue(in.Group.Key(), now) {
			continue
		}
		for _, m := range v.Groups[in.Group.Key()].Members {
			go d.probe(ctx, m)
		}
	}
	for key, g := range v.Groups {
		if len(g.Lapsed) == 0 || !d.probeDue(key, now) {
			continue
		}
		for _, m := range g.Lapsed {
			go d.probe(ctx, m)
		}
	}
	d.expire(now)
}

// probeDue reports whether a group is to be probed now, and records that it is.
func (d *failureDetector) probeDue(key fleet.GroupKey, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastProbed[key]) < probeInterval {
		return false
	}
	d.lastProbed[key] = now
	return true
}

// probe probes one member until it answers or is declared dead, or until its probes are inconclusive.
// Silence shows no death if the group made progress meanwhile, which it can't without all its members.
// Neither silence nor a refused connection shows one while no other instance answers: this daemon may
// be partitioned from all of them.
func (d *failureDetector) probe(ctx context.Context, in *fleet.Instance) {
	var err error
	start := d.run.Now()
	for failed, inconclusive := 0, 0; failed < failedProbesForDeath; {
		began, beganRun := d.clock.Now(), d.run.Now()
		if err = d.probeOnce(ctx, in); err == nil {
			d.markAlive(in)
			return
		}
		if errors.Is(err, ErrProbeInconclusive) {
			if inconclusive++; inconclusive == inconclusiveProbes {
				return
			}
			pause.For(ctx, inconclusivePause)
			continue
		}
		// While this process was not scheduled an answer may have come in time but not been read.
		notScheduled := d.clock.Since(began) >= probeTimeout && d.run.Now().Sub(beganRun) < probeTimeout-steady.RunClockMaxLag
		if !notScheduled || ctx.Err() != nil {
			failed++
		}
	}
	silent := !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, ErrOtherIncarnation)
	if silent && d.progressedSince != nil && d.progressedSince(in.Group.Key(), start) {
		d.log.Info("silent instance not declared dead", zap.String("decision", "its_group_makes_progress"), zap.String("instance", in.ID),
			zap.String("group", in.Group.Name), zap.Uint64("epoch", in.Group.Epoch), zap.String("error", err.Error()))
		return
	}
	if !errors.Is(err, ErrOtherIncarnation) && !d.reachesOther(ctx, in, start) {
		d.log.Info("instance not declared dead", zap.String("decision", "no_other_instance_answers"), zap.String("instance", in.ID),
			zap.String("group", in.Group.Name), zap.Uint64("epoch", in.Group.Epoch), zap.String("error", err.Error()))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	since, known := d.dead[incarnationOf(in)]
	if !known {
		since.first = now
		d.log.Info("instance declared dead", zap.String("instance", in.ID), zap.String("group", in.Group.Name),
			zap.Uint64("epoch", in.Group.Epoch), zap.Int("probes", failedProbesForDeath), zap.String("error", err.Error()))
		select {
		case d.detected <- struct{}{}:
		default: // already signaled
		}
	}
	since.last = now
	d.dead[incarnationOf(in)] = since
}

// reachabilityProbes is how many other instances are probed at the same time to find out whether this
// daemon reaches any.
const reachabilityProbes = 5

// reachesOther reports whether another instance answers a probe, in whatever incarnation. Instances of
// other groups are preferred, as those of one group may fail together. It returns true if there is no
// other instance. A check that began after since is shared by all members that fail together.
func (d *failureDetector) reachesOther(ctx context.Context, in *fleet.Instance, since time.Time) bool {
	d.reachMu.Lock()
	defer d.reachMu.Unlock()
	if d.reach.began.After(since) {
		return d.reach.reachable
	}
	d.reach.began = d.run.Now()
	d.reach.reachable = d.anyAnswers(ctx, d.othersToProbe(in))
	return d.reach.reachable
}

// anyAnswers reports whether any of some instances answers a probe; true if there are none.
func (d *failureDetector) anyAnswers(ctx context.Context, others []*fleet.Instance) bool {
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(others))
	for _, other := range others {
		go func() { results <- d.probeOnce(ctx, other) }()
	}
	for range others {
		if err := <-results; err == nil || errors.Is(err, ErrOtherIncarnation) {
			return true
		}
	}
	return false
}

// othersToProbe returns instances to probe in comparison with an instance, drawn at random.
func (d *failureDetector) othersToProbe(in *fleet.Instance) []*fleet.Instance {
	v := d.view.Load()
	if v == nil {
		return nil
	}
	var sameGroup, others []*fleet.Instance
	for _, other := range v.Instances {
		switch {
		case other.ID == in.ID:
		case in.Group.Name != "" && other.Group.Key() == in.Group.Key():
			sameGroup = append(sameGroup, other)
		default:
			others = append(others, other)
		}
	}
	for i := range min(len(others), reachabilityProbes) {
		j := i + d.uniform(len(others)-i)
		others[i], others[j] = others[j], others[i]
	}
	others = append(others[:min(len(others), reachabilityProbes)], sameGroup...)
	return others[:min(len(others), reachabilityProbes)]
}

func (d *failureDetector) probeOnce(ctx context.Context, in *fleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return d.prober.Probe(ctx, in)
}

func (d *failureDetector) markAlive(in *fleet.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.dead[incarnationOf(in)]; known {
		delete(d.dead, incarnationOf(in))
		d.log.Info("instance answers again", zap.String("instance", in.ID))
	}
}

func (d *failureDetector) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for dead, at := range d.dead {
		if now.Sub(at.last) > deadTTL {
			delete(d.dead, dead)
		}
	}
	for key, at := range d.lastProbed {
		if now.Sub(at) > deadTTL {
			delete(d.lastProbed, key)
		}
	}
}

// excludeDead returns the view without the instances that count as dead, also as lapsed members of
// their groups.
func (d *failureDetector) excludeDead(v *fleet.View, size fleet.SizeOf) *fleet.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.dead) == 0 {
		return v
	}
	living := make(map[string]*fleet.Instance, len(v.Instances))
	removed := make(map[string]fleet.RemovedInstance, len(v.Removed)+len(d.dead))
	for id, gone := range v.Removed {
		if at, ok := d.dead[incarnationOf(gone.Instance)]; ok {
			gone.Left = gone.Lapsed && at.first.Sub(gone.At) >= minLeaveTime
			gone.Lapsed, gone.InHeadGrace = false, false
		}
		removed[id] = gone
	}
	for id, in := range v.Instances {
		if at, ok := d.dead[incarnationOf(in)]; ok {
			removed[id] = fleet.RemovedInstance{Instance: in, At: at.last}
		} else {
			living[id] = in
		}
	}
	return fleet.BuildView(v.Revision, v.ProvedAt, living, removed, size)
}
