package formation

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/fleet"
	"pearlanding/internal/steady"
)

// ErrAnotherLife means that a later incarnation of the instance answers under its id.
const ErrAnotherLife = errors.ConstError("formation: another incarnation answers under the instance id")

// Prober checks whether instances are alive.
type Prober interface {
	// Probe returns nil if the instance answered in the incarnation of in. It returns
	// ErrAnotherLife if a later incarnation answered.
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
	// failedProbesForDeath is how many probes in a row must fail, as a single packet may be lost.
	failedProbesForDeath = 2
)

// failureDetector finds the dead member that stalls a group before its entry lapses. It probes
// groups with stalled streams and members whose entries have lapsed.
type failureDetector struct {
	prober     Prober
	clock      *steady.Clock
	run        *steady.RunClock // stands still while this process is not scheduled
	log        *zap.Logger
	mu         sync.Mutex
	lastProbed map[fleet.Key]time.Time
	dead       map[incarnation]time.Time // when an instance was last declared dead
	detected   chan struct{}             // signaled when an instance is first declared dead
}

// incarnation is one run of an instance under its id.
type incarnation struct {
	id        string
	startedAt int64
}

func incarnationOf(in *fleet.Instance) incarnation { return incarnation{in.ID, in.Born} }

func newFailureDetector(prober Prober, log *zap.Logger) *failureDetector {
	return &failureDetector{prober: prober, run: steady.NewRunClock(nil), log: log, lastProbed: map[fleet.Key]time.Time{}, dead: map[incarnation]time.Time{}, detected: make(chan struct{}, 1)}
}

// probeStalled probes the members of the groups with the given heads and all members whose
// entries have lapsed. It forgets deaths older than deadTTL.
func (s *failureDetector) probeStalled(ctx context.Context, v *fleet.View, heads []string, now time.Time) {
	for _, id := range heads {
		in := v.Instances[id]
		if in == nil || in.Group.Name == "" || !s.probeDue(in.Group.Key(), now) {
			continue
		}
		for _, m := range v.Groups[in.Group.Key()].Members {
			go s.probe(ctx, m)
		}
	}
	for key, g := range v.Groups {
		if len(g.Lapsed) == 0 || !s.probeDue(key, now) {
			continue
		}
		for _, m := range g.Lapsed {
			go s.probe(ctx, m)
		}
	}
	s.expire(now)
}

// probeDue reports whether a group is to be probed now, and records that it is.
func (s *failureDetector) probeDue(key fleet.Key, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastProbed[key]) < probeInterval {
		return false
	}
	s.lastProbed[key] = now
	return true
}

// probe probes one member until it answers or is declared dead.
func (s *failureDetector) probe(ctx context.Context, in *fleet.Instance) {
	var err error
	for failed := 0; failed < failedProbesForDeath; {
		began, beganRun := s.clock.Now(), s.run.Now()
		if err = s.probeOnce(ctx, in); err == nil {
			s.markAlive(in)
			return
		}
		// While this process was not scheduled an answer may have come in time but not been read.
		notScheduled := s.clock.Since(began) >= probeTimeout && s.run.Now().Sub(beganRun) < probeTimeout-steady.RunClockStep
		if !notScheduled || ctx.Err() != nil {
			failed++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.dead[incarnationOf(in)]; !known {
		s.log.Info("instance declared dead", zap.String("instance", in.ID), zap.String("group", in.Group.Name),
			zap.Uint64("epoch", in.Group.Epoch), zap.Int("probes", failedProbesForDeath), zap.String("error", err.Error()))
		select {
		case s.detected <- struct{}{}:
		default: // already signaled
		}
	}
	s.dead[incarnationOf(in)] = s.clock.Now()
}

func (s *failureDetector) probeOnce(ctx context.Context, in *fleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.prober.Probe(ctx, in)
}

func (s *failureDetector) markAlive(in *fleet.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.dead[incarnationOf(in)]; known {
		delete(s.dead, incarnationOf(in))
		s.log.Info("instance answers again", zap.String("instance", in.ID))
	}
}

func (s *failureDetector) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one, at := range s.dead {
		if now.Sub(at) > deadTTL {
			delete(s.dead, one)
		}
	}
	for key, at := range s.lastProbed {
		if now.Sub(at) > deadTTL {
			delete(s.lastProbed, key)
		}
	}
}

// excludeDead returns the view without the instances that count as dead.
func (s *failureDetector) excludeDead(v *fleet.View, size fleet.SizeOf) *fleet.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.dead) == 0 {
		return v
	}
	living := make(map[string]*fleet.Instance, len(v.Instances))
	removed := make(map[string]fleet.Gone, len(v.Removed)+len(s.dead))
	for id, gone := range v.Removed {
		if _, ok := s.dead[incarnationOf(gone.Instance)]; ok {
			gone.Lapsed, gone.Leads = false, false
		}
		removed[id] = gone
	}
	for id, in := range v.Instances {
		if at, ok := s.dead[incarnationOf(in)]; ok {
			removed[id] = fleet.Gone{Instance: in, At: at}
		} else {
			living[id] = in
		}
	}
	return fleet.Build(v.Revision, v.Seen, living, removed, size)
}
