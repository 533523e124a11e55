package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const heartbeat = time.Second

var start = time.Unix(1000, 0)

func sizes(_, model string) int { return map[string]int{"large": 2}[model] }

func newTestState(ids ...string) *KnownState {
	b := NewKnownState(heartbeat, sizes)
	for i, id := range ids {
		b.Put(&Instance{ID: id, Service: "s", Version: uint64(i + 1)})
	}
	return b
}

func (b *KnownState) ids() []string {
	var out []string
	for _, in := range b.View(start).Services["s"] {
		out = append(out, in.ID)
	}
	return out
}

func TestRemovedEntryIsDroppedAtOnce(t *testing.T) {
	b := newTestState("a", "b")
	b.Remove("a", start, start)
	must.Eq(t, []string{"b"}, b.ids())
	must.MapContainsKey(t, b.View(start).Removed, "a")
}

func TestEntryLapsedInOutageIsKeptUntilGraceEnds(t *testing.T) {
	b := newTestState("a", "b", "leaving")
	b.Put(&Instance{ID: "leaving", Service: "s", Draining: true, Version: 9})
	b.StoreFailed(start)
	recoveredAt := start.Add(5 * heartbeat)
	b.StoreAnswered(recoveredAt)
	b.Replace(nil, 20, start, recoveredAt)
	must.Eq(t, []string{"a", "b"}, b.ids())
	b.Put(&Instance{ID: "a", Service: "s", Version: 21}) // it is alive and wrote its entry again
	must.False(t, b.Expire(recoveredAt.Add(outageGrace-1)))
	must.True(t, b.Expire(recoveredAt.Add(outageGrace)))
	must.Eq(t, []string{"a"}, b.ids())
}

// Remove reports whether the instance is kept, as the log must show it: a removal during the
// grace, which keeps the instance, and one that drops it looked alike there.
func TestRemoveReportsWhetherInstanceIsKept(t *testing.T) {
	b := newTestState("a", "b")
	must.False(t, b.Remove("a", start, start))
	b.StoreFailed(start)
	b.StoreAnswered(start.Add(5 * heartbeat))
	must.True(t, b.Remove("b", start, start.Add(5*heartbeat)))
	must.False(t, b.Remove("nobody", start, start.Add(5*heartbeat)))
}

func TestShortStoreFailureIsNoOutage(t *testing.T) {
	b := newTestState("a")
	b.StoreFailed(start)
	b.StoreAnswered(start.Add(heartbeat / 2))
	b.Remove("a", start, start.Add(heartbeat/2))
	must.SliceEmpty(t, b.ids())
}

func TestNothingExpiresDuringSecondOutage(t *testing.T) {
	b := newTestState("a")
	b.StoreFailed(start)
	recoveredAt := start.Add(5 * heartbeat)
	b.StoreAnswered(recoveredAt)
	b.Remove("a", start, recoveredAt)
	b.StoreFailed(recoveredAt.Add(time.Second))
	must.False(t, b.Expire(recoveredAt.Add(time.Minute)))
	must.Eq(t, []string{"a"}, b.ids())
}

func TestOlderEntryIsIgnored(t *testing.T) {
	b := newTestState()
	b.Put(&Instance{ID: "a", Service: "s", Draining: true, Version: 7})
	b.Put(&Instance{ID: "a", Service: "s", Version: 6})
	must.True(t, b.View(start).Instances["a"].Draining)
}

func member(id string, rank int, state GroupState) *Instance {
	return &Instance{ID: id, Service: "s", Models: []string{"large"}, Group: Membership{Name: "g", Epoch: 3, Rank: rank, State: state}}
}

func TestGroupServesOnlyWhenOpenCompleteAndNotDraining(t *testing.T) {
	for name, c := range map[string]struct {
		members []*Instance
		serves  bool
	}{
		"whole":          {[]*Instance{member("a", 0, Open), member("b", 1, Ready)}, true},
		"head not open":  {[]*Instance{member("a", 0, Ready), member("b", 1, Ready)}, false},
		"member missing": {[]*Instance{member("a", 0, Open)}, false},
		"head missing":   {[]*Instance{member("b", 1, Ready)}, false},
		"member joining": {[]*Instance{member("a", 0, Open), member("b", 1, Joining)}, false},
		"member broken":  {[]*Instance{member("a", 0, Open), member("b", 1, Broken)}, false},
		"second entry of a rank, at a lack of another": {[]*Instance{member("a", 0, Open), member("c", 0, Open)}, false},
		"rank that the group does not have":            {[]*Instance{member("a", 0, Open), member("c", 2, Ready)}, false},
		"another service's member":                     {[]*Instance{member("a", 0, Open), {ID: "b", Service: "t", Models: []string{"large"}, Group: Membership{Name: "g", Epoch: 3, Rank: 1, State: Ready}}}, false},
		"another's member":                             {[]*Instance{member("a", 0, Open), {ID: "b", Service: "s", Group: Membership{Name: "g", Epoch: 4, Rank: 1, State: Ready}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewKnownState(heartbeat, sizes)
			for _, m := range c.members {
				b.Put(m)
			}
			g := b.View(start).Groups[GroupKey{"g", 3}]
			must.Eq(t, c.serves, g.Serving())
			for _, m := range c.members {
				m.Draining = true
			}
			must.False(t, b.View(start).Groups[GroupKey{"g", 3}].Serving())
		})
	}
}

// An entry that contradicts the entries of a group's members, in whatever state, neither ends the group nor
// counts as a member of it.
func TestConflictingEntryDoesNotEndGroup(t *testing.T) {
	head, second := member("a", 0, Open), member("b", 1, Ready)
	for name, change := range map[string]func(in *Instance){
		"rank of a member":                  func(in *Instance) { in.Group.Rank = 1 },
		"rank of the head":                  func(in *Instance) { in.Group.Rank = 0 },
		"rank that the group does not have": func(in *Instance) { in.Group.Rank = 2 },
		"another service":                   func(in *Instance) { in.Service = "t" },
	} {
		for _, state := range []GroupState{Joining, Ready, Open, Closing, Broken} {
			t.Run(name+", "+string(state), func(t *testing.T) {
				b := NewKnownState(heartbeat, func(service, model string) int {
					if service == "s" {
						return sizes(service, model)
					}
					return 0
				})
				b.Put(head)
				b.Put(second)
				conflicting := member("0", 1, state) // its id sorts before the members' ids
				conflicting.Version = 7
				change(conflicting)
				b.Put(conflicting)
				g := b.View(start).Groups[GroupKey{"g", 3}]
				must.True(t, g.Serving())
				must.True(t, g.Complete())
				must.Eq(t, "a", g.Head.ID)
				must.Len(t, 2, g.Members)
				must.Len(t, 1, g.Conflicting)

				b.Remove("b", start, start)
				b.Expire(start.Add(lapsedMemberTimeout + 1))
				g = b.View(start).Groups[GroupKey{"g", 3}]
				must.Eq(t, name == "rank of a member" && (state == Ready || state == Open || state == Closing), g.Serving(), must.Sprint("after a member was lost"))
			})
		}
	}
}

func TestGroupOfAnUnknownModelDoesNotServe(t *testing.T) {
	b := NewKnownState(heartbeat, func(string, string) int { return 0 })
	b.Put(member("a", 0, Open))
	must.False(t, b.View(start).Groups[GroupKey{"g", 3}].Serving())
}

// When a part of the instances is cut off from the store for some seconds, nearly every group has
// a member among them. The groups keep serving as long as the entries of their heads are seen.
func TestGroupServesOnWhenMemberEntryLapses(t *testing.T) {
	key := GroupKey{"g", 3}
	for name, c := range map[string]struct {
		gone   *Instance
		serves bool
	}{
		"ready":    {member("b", 1, Ready), true},
		"joining":  {member("b", 1, Joining), false},
		"broken":   {member("b", 1, Broken), false},
		"draining": {&Instance{ID: "b", Service: "s", Models: []string{"large"}, Draining: true, Group: Membership{Name: "g", Epoch: 3, Rank: 1, State: Ready}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewKnownState(heartbeat, sizes)
			b.Put(member("a", 0, Open))
			b.Put(c.gone)
			b.Remove("b", start, start)
			must.Eq(t, c.serves, b.View(start).Groups[key].Serving())
			must.False(t, b.View(start).Groups[key].Complete(), must.Sprint("a group with a lapsed member must not be opened again"))
			b.Expire(start.Add(lapsedMemberTimeout + time.Second))
			must.False(t, b.View(start).Groups[key].Serving(), must.Sprint("a lapsed member counts for lapsedMemberTimeout only"))
		})
	}
}

// Requests must not reach an instance whose entry is gone: a group without its head does not
// serve.
func TestGroupStopsServingWhenHeadEntryLapses(t *testing.T) {
	b := NewKnownState(heartbeat, sizes)
	b.Put(member("a", 0, Open))
	b.Put(member("b", 1, Ready))
	b.Remove("a", start, start)
	must.False(t, b.View(start).Groups[GroupKey{"g", 3}].Serving())
}

// An instance whose entry returned is a full member of the group that the entry names.
func TestMemberWithReturnedEntryCompletesGroup(t *testing.T) {
	b := NewKnownState(heartbeat, sizes)
	b.Put(member("a", 0, Open))
	b.Put(member("b", 1, Ready))
	b.Remove("b", start, start)
	b.Put(member("b", 1, Ready))
	must.True(t, b.View(start).Groups[GroupKey{"g", 3}].Complete())
	b.Remove("b", start, start)
	returned := member("b", 1, Ready)
	returned.Group.Epoch = 4
	b.Put(returned)
	must.False(t, b.View(start).Groups[GroupKey{"g", 3}].Serving(), must.Sprint("the member is in another group"))
}
