package fleet

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

// A view derived from the view before it equals a view built from scratch, whatever changed.
func TestIncrementalViewEqualsFullBuild(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := NewKnownState(heartbeat, func(_, model string) int { return map[string]int{"large": 3, "small": 2}[model] })
		b.LapsedHeadGrace = time.Second
		now, version := start, uint64(0)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			for range rapid.IntRange(0, 5).Draw(r, "changes") {
				id := fmt.Sprint("i", rapid.IntRange(0, 9).Draw(r, "id"))
				version++
				switch rapid.IntRange(0, 5).Draw(r, "event") {
				case 0:
					b.Remove(id, now, now)
				case 1:
					b.Discard(id, version, now)
				case 2:
					b.StoreFailed(now)
				case 3:
					b.StoreAnswered(now)
				default:
					b.Put(drawInstance(r, id, version))
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(r, "ms")) * time.Millisecond)
			b.Expire(now)
			rebuilt := BuildView(b.revision, now, maps.Clone(b.instances), maps.Clone(b.removed), b.size)
			must.Eq(r, rebuilt, b.View(now))
		}
	})
}

func drawInstance(r *rapid.T, id string, version uint64) *Instance {
	in := &Instance{ID: id, Version: version, Service: rapid.SampledFrom([]string{"engines", "plain"}).Draw(r, "service"),
		Draining: rapid.IntRange(0, 5).Draw(r, "draining") == 0, StartedAt: int64(rapid.IntRange(1, 2).Draw(r, "born"))}
	if in.Service == "engines" && rapid.Bool().Draw(r, "member") {
		in.Models = []string{rapid.SampledFrom([]string{"large", "small"}).Draw(r, "model")}
		in.Group = Membership{Name: rapid.SampledFrom([]string{"g", "h"}).Draw(r, "group"), Epoch: uint64(rapid.IntRange(1, 2).Draw(r, "epoch")),
			Rank: int(id[1]-'0') % 3, State: rapid.SampledFrom([]GroupState{Joining, Ready, Open, Closing, Broken}).Draw(r, "state")}
	}
	return in
}

// Among thousands of instances some change several times a second; unchanged groups are shared
// between views.
func TestUnchangedGroupsAreShared(t *testing.T) {
	v := benchView(40)
	instances := maps.Clone(v.Instances)
	changed := *instances["i-00005"]
	changed.Draining = true
	instances[changed.ID] = &changed
	next := v.next(2, start, instances, nil, benchSizes)
	for key, g := range v.Groups {
		must.Eq(t, key != changed.Group.Key(), next.Groups[key] == g)
	}
	must.False(t, next.Groups[changed.Group.Key()].Serving())
}

// benchReplicaSize is the number of instances in a replica.
const benchReplicaSize = 4

func benchSizes(string, string) int { return benchReplicaSize }

// benchView returns a view of the given number of instances, all in serving groups.
func benchView(instances int) *View {
	all := map[string]*Instance{}
	for i := range instances {
		id, state := fmt.Sprintf("i-%05d", i), Ready
		if i%benchReplicaSize == 0 {
			state = Open
		}
		all[id] = &Instance{ID: id, Service: "engines", Models: []string{"m"},
			Group: Membership{Name: fmt.Sprint("g", i/benchReplicaSize), Epoch: 1, Rank: i % benchReplicaSize, State: state}}
	}
	return BuildView(1, start, all, nil, benchSizes)
}

// BenchmarkNext measures the cost of one view after changes, by the numbers of instances and of
// changed instances.
func BenchmarkNext(b *testing.B) {
	for _, instances := range []int{300, 3000, 8200} {
		for _, changes := range []int{1, 100} {
			v := benchView(instances)
			later := maps.Clone(v.Instances)
			for i := range changes {
				in := *later[fmt.Sprintf("i-%05d", i*instances/changes)]
				later[in.ID] = &in
			}
			b.Run(fmt.Sprintf("%d/%d", instances, changes), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					v.next(2, start, maps.Clone(later), nil, benchSizes)
				}
			})
		}
	}
}

// putPair puts the two members of a group and returns its key.
func putPair(b *KnownState) GroupKey {
	for rank, id := range []string{"head", "member"} {
		b.Put(&Instance{ID: id, Service: "s", Models: []string{"large"}, Version: 1, Group: Membership{Name: "g", Epoch: 1, Rank: rank, State: []GroupState{Open, Ready}[rank]}})
	}
	return GroupKey{"g", 1}
}

// A lapsed member stops counting when lapsedMemberTimeout ends, though no entry changes then.
func TestLapsedMemberExpiresFromView(t *testing.T) {
	b := NewKnownState(heartbeat, sizes)
	key := putPair(b)
	b.Remove("member", start, start)
	must.True(t, b.View(start).Groups[key].Serving())
	later := start.Add(lapsedMemberTimeout + 1)
	must.True(t, b.Expire(later))
	must.False(t, b.View(later).Groups[key].Serving())
}

// A member whose entry was added and removed between two views is known only by its removal.
func TestMemberAddedAndRemovedBetweenViewsCountsAsLapsed(t *testing.T) {
	b := NewKnownState(heartbeat, sizes)
	key := putPair(b)
	member := b.instances["member"]
	b.Discard("member", 1, start)
	delete(b.removed, "member")
	must.False(t, b.View(start).Groups[key].Serving())
	b.Put(member)
	b.Remove("member", start, start)
	must.True(t, b.View(start).Groups[key].Serving())
}
