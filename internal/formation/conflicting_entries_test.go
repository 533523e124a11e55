package formation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// viewWith returns the simulation's view with further entries in it.
func (s *sim) viewWith(entries ...*fleet.Instance) *fleet.View {
	v := s.view()
	all := maps.Clone(v.Instances)
	for _, in := range entries {
		all[in.ID] = in
	}
	return fleet.BuildView(v.Revision, v.ProvedAt, all, v.Removed, s.modelSize)
}

const foreignPrefix = "foreign-"

// foreignCopy returns the entry of another writer that looks like an engine's but for what change changes.
func foreignCopy(in *fleet.Instance, change func(*fleet.Instance)) *fleet.Instance {
	out := *in
	out.ID, out.Version, out.MemberSince = foreignPrefix+in.ID, 1<<40, 1<<40
	change(&out)
	return &out
}

func unnamedService(in *fleet.Instance) { in.Service = "unnamed" }

// headOf returns the head of an open group of a model.
func (s *sim) headOf(model string) *simEngine {
	for _, id := range s.ids {
		if e := s.engines[id]; e.in.Group.State == fleet.Open && e.in.Models[0] == model {
			return e
		}
	}
	return nil
}

// otherMember returns a member of the same group as an engine.
func (s *sim) otherMember(e *simEngine) *simEngine {
	for _, id := range s.ids {
		if other := s.engines[id]; other != e && other.in.Group.Key() == e.in.Group.Key() {
			return other
		}
	}
	return nil
}

// Guards against a panic of every daemon when a group lost its head while another writer's entry claimed the
// place of a member, so that the group counted as complete (review case 6).
func TestLostHeadBesideForeignEntryDissolvesGroup(t *testing.T) {
	s := newSim(t, 1, 6)
	p := NewPlanner(simService, 1, nil, s.now)
	s.run(p, 30*time.Second)
	head := s.headOf("small")
	member := s.otherMember(head)
	foreign := foreignCopy(&member.in, unnamedService)
	foreign.Group.State = fleet.Ready
	head.alive = false

	v := s.viewWith(foreign)
	must.False(t, v.Groups[member.in.Group.Key()].Complete())
	orders := p.Plan(v, s.engine, s.now)
	must.SliceContainsFunc(t, orders, member.in.ID, func(o Order, id string) bool { return o.Op == OpLeave && o.Instance == id })
	table := routes.Compile(&routes.Config{Services: []routes.Service{{Name: simService, Engine: s.engine}}})
	must.True(t, (&Manager{}).hasPendingWork(v, table, s.now))
}

// Guards against orders for sound groups because of one entry that contradicts theirs: a sound group was
// dissolved as it had one member too many.
func TestConflictingEntriesChangeNoOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.IntRange(0, 1<<20).Draw(r, "luck")
		build := func() (*sim, *Planner) {
			s := newSim(r, 1+seed%3, 6)
			p := NewPlanner(simService, 1, nil, s.now)
			s.run(p, time.Duration(seed%40)*time.Second/2)
			return s, p
		}
		s, p := build()
		if rapid.Bool().Draw(r, "loses an instance") {
			s.engines[rapid.SampledFrom(s.ids).Draw(r, "lost")].alive = false
		}
		var foreign []*fleet.Instance
		for i := range rapid.IntRange(1, 3).Draw(r, "entries") {
			of := s.engines[rapid.SampledFrom(s.ids).Draw(r, "of")]
			if in := drawForeign(r, s, &of.in, of.alive); in != nil {
				in.ID = fmt.Sprint(in.ID, "-", i)
				foreign = append(foreign, in)
			}
		}
		withForeign, sound := s.viewWith(foreign...), s.view()
		_, twin := build()
		for range rapid.IntRange(1, 12).Draw(r, "plans") {
			orders := slices.DeleteFunc(p.Plan(withForeign, s.engine, s.now), func(o Order) bool {
				// The instance that a conflicting entry names is not told from a member, and leaves with the group.
				return o.Op == OpLeave && strings.HasPrefix(o.Instance, foreignPrefix)
			})
			must.Eq(r, append([]Order{}, twin.Plan(sound, s.engine, s.now)...), append([]Order{}, orders...))
			must.Eq(r, twin.Exhausted(), p.Exhausted())
			s.now = s.now.Add(planInterval)
		}
		table := routes.Compile(&routes.Config{Services: []routes.Service{{Name: simService, Engine: s.engine}}})
		must.Eq(r, (&Manager{}).hasPendingWork(sound, table, s.now), (&Manager{}).hasPendingWork(withForeign, table, s.now))
	})
}

// drawForeign draws an entry that can't be true beside that of a living engine: of a service without engines, or
// a second member of one rank, or a member of a rank that the group does not have. It returns nil if the engine
// is in no group of a known model.
func drawForeign(r *rapid.T, s *sim, in *fleet.Instance, alive bool) *fleet.Instance {
	if in.Group.Name == "" || len(in.Models) == 0 {
		return nil
	}
	size := s.modelSize(simService, in.Models[0])
	state := func(f *fleet.Instance) {
		f.Group.State = rapid.SampledFrom([]fleet.GroupState{fleet.Joining, fleet.Ready, fleet.Open, fleet.Closing, fleet.Broken}).Draw(r, "state")
		f.Draining = rapid.Bool().Draw(r, "draining")
		f.Domain = rapid.SampledFrom([]string{"d0", "d1", "other", ""}).Draw(r, "domain")
	}
	changes := map[string]func(*fleet.Instance){
		"unnamed service": func(f *fleet.Instance) {
			unnamedService(f)
			f.Group.Rank = rapid.IntRange(0, size+1).Draw(r, "rank")
			f.Group.Epoch = rapid.SampledFrom([]uint64{f.Group.Epoch, 1, 1 << 52}).Draw(r, "epoch")
		},
		"rank beyond the size": func(f *fleet.Instance) {
			f.Group.Rank = rapid.SampledFrom([]int{size, size + 1, 1 << 60}).Draw(r, "rank")
		},
	}
	kinds := []string{"unnamed service", "rank beyond the size"}
	if alive {
		changes["rank of a member"] = func(*fleet.Instance) {}
		kinds = append(kinds, "rank of a member")
	}
	change := changes[rapid.SampledFrom(kinds).Draw(r, "kind")]
	return foreignCopy(in, func(f *fleet.Instance) { change(f); state(f) })
}
