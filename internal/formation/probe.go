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

// ErrAnotherLife: the instance that answers has the id, but started after the one asked
// for had ended.
const ErrAnotherLife = errors.ConstError("formation: another life answers under the id")

// Prober asks instances whether they live.
type Prober interface {
	// Probe returns nil if the instance answered as itself, in the life that is meant.
	Probe(ctx context.Context, in *fleet.Instance) error
}

// Times of the search for dead members.
const (
	// probeTimeout is far above an answer's time (some milliseconds, more on a
	// slowed machine) and far below the three heartbeats an entry takes to lapse.
	probeTimeout = 250 * time.Millisecond
	// probeEvery bounds how often the members of a group that stands still are asked.
	probeEvery = 600 * time.Millisecond
	// deadFor is how long an instance that did not answer counts as dead. By then
	// its entry lapses, or it lives after all.
	deadFor = 6 * time.Second
	// probesToDie is how many probes in a row must fail: a single packet may be lost.
	probesToDie = 2
)

// search finds the member that makes a group stand still, before its entry
// lapses. Only groups whose running streams stand still are looked at.
type search struct {
	prober Prober
	clock  *steady.Clock
	run    *steady.RunClock // by which an instance is silent
	log    *zap.Logger
	mu     sync.Mutex
	asked  map[fleet.Key]time.Time
	dead   map[life]time.Time // since when an instance counts as dead
	found  chan struct{}      // signalled when an instance is first taken for dead
}

// life is one life of an instance's id.
type life struct {
	id   string
	born int64
}

func lifeOf(in *fleet.Instance) life { return life{in.ID, in.Born} }

func newSearch(prober Prober, log *zap.Logger) *search {
	return &search{prober: prober, run: steady.NewRunClock(nil), log: log, asked: map[fleet.Key]time.Time{}, dead: map[life]time.Time{}, found: make(chan struct{}, 1)}
}

// look probes the members of the groups led by the given heads, and the members whose
// entries lapsed.
func (s *search) look(ctx context.Context, v *fleet.View, heads []string, now time.Time) {
	for _, id := range heads {
		in := v.Instances[id]
		if in == nil || in.Group.Name == "" || !s.due(in.Group.Key(), now) {
			continue
		}
		for _, m := range v.Groups[in.Group.Key()].Members {
			go s.probe(ctx, m)
		}
	}
	for key, g := range v.Groups {
		if len(g.Lapsed) == 0 || !s.due(key, now) {
			continue
		}
		for _, m := range g.Lapsed {
			go s.probe(ctx, m)
		}
	}
	s.expire(now)
}

func (s *search) due(key fleet.Key, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.asked[key]) < probeEvery {
		return false
	}
	s.asked[key] = now
	return true
}

// probe asks one member, again if there was no answer.
func (s *search) probe(ctx context.Context, in *fleet.Instance) {
	var err error
	for failed := 0; failed < probesToDie; {
		began, ran := s.clock.Now(), s.run.Now()
		if err = s.try(ctx, in); err == nil {
			s.lives(in)
			return
		}
		// An answer may have come in time that this process did not read, as it was not scheduled.
		unheard := s.clock.Since(began) >= probeTimeout && s.run.Now().Sub(ran) < probeTimeout-steady.RunClockStep
		if !unheard || ctx.Err() != nil {
			failed++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.dead[lifeOf(in)]; !known {
		s.log.Info("instance taken for dead", zap.String("instance", in.ID), zap.String("group", in.Group.Name),
			zap.Uint64("epoch", in.Group.Epoch), zap.Int("probes", probesToDie), zap.String("error", err.Error()))
		select {
		case s.found <- struct{}{}:
		default: // signalled already
		}
	}
	s.dead[lifeOf(in)] = s.clock.Now()
}

func (s *search) try(ctx context.Context, in *fleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.prober.Probe(ctx, in)
}

func (s *search) lives(in *fleet.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.dead[lifeOf(in)]; known {
		delete(s.dead, lifeOf(in))
		s.log.Info("instance answers again", zap.String("instance", in.ID))
	}
}

func (s *search) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one, at := range s.dead {
		if now.Sub(at) > deadFor {
			delete(s.dead, one)
		}
	}
	for key, at := range s.asked {
		if now.Sub(at) > deadFor {
			delete(s.asked, key)
		}
	}
}

// without returns the view without the instances that count as dead.
func (s *search) without(v *fleet.View, size fleet.SizeOf) *fleet.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.dead) == 0 {
		return v
	}
	living := make(map[string]*fleet.Instance, len(v.Instances))
	removed := make(map[string]fleet.Gone, len(v.Removed)+len(s.dead))
	for id, gone := range v.Removed {
		if _, ok := s.dead[lifeOf(gone.Instance)]; ok {
			gone.Lapsed, gone.Leads = false, false
		}
		removed[id] = gone
	}
	for id, in := range v.Instances {
		if at, ok := s.dead[lifeOf(in)]; ok {
			removed[id] = fleet.Gone{Instance: in, At: at}
		} else {
			living[id] = in
		}
	}
	return fleet.Build(v.Revision, v.Seen, living, removed, size)
}
