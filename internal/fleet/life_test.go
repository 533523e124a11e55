package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// entry is one life's entry at a version of the store.
func entry(id string, born int64, version uint64, group Membership) *Instance {
	return &Instance{ID: id, Service: "s", Born: born, Version: version, Models: []string{"large"}, Group: group}
}

// pair returns a belief with an open group of two.
func pair() *Belief {
	b := NewBelief(heartbeat, sizes)
	b.Put(entry("head", 100, 1, Membership{"g", 3, 0, Open}))
	b.Put(entry("member", 100, 2, Membership{"g", 3, 1, Ready}))
	return b
}

func (b *Belief) serving() bool {
	g := b.View(start).Groups[Key{"g", 3}]
	return g != nil && g.Serving()
}

// An engine may start again under its id; it then belongs to no group, and the group it
// was in does not serve, though only the entry says so.
func TestGroupOfAnInstanceThatStartedAgainDoesNotServe(t *testing.T) {
	b := pair()
	must.True(t, b.serving())
	b.Put(entry("member", 200, 5, Membership{}))
	must.False(t, b.serving())
}

// What happened: an entry of an earlier life that came late, after the entry of the next
// one, brought the group of the earlier life back. Why: entries were ordered by the
// store's revision alone. What settled it: the group served again on the late entry.
func TestLateEntryOfAnEarlierLifeLoses(t *testing.T) {
	b := pair()
	b.Put(entry("member", 200, 5, Membership{}))
	b.Put(entry("member", 100, 6, Membership{"g", 3, 1, Ready}))
	must.False(t, b.serving())
	must.Eq(t, int64(200), b.View(start).Instances["member"].Born)
}

// The same after the entry of the later life was removed: its removal does not bring the
// earlier life back.
func TestLateEntryOfAnEarlierLifeLosesAfterARemoval(t *testing.T) {
	b := pair()
	b.Put(entry("member", 200, 5, Membership{}))
	b.Remove("member", start, start)
	b.Put(entry("member", 100, 7, Membership{"g", 3, 1, Ready}))
	must.False(t, b.serving())
	must.MapNotContainsKey(t, b.View(start).Instances, "member")
}

// A member whose entry lapsed may still serve, but not once it has started again: its
// lapse is over, and its next life holds no group.
func TestLapseEndsWithTheNextLife(t *testing.T) {
	b := pair()
	b.Remove("member", start, start)
	must.True(t, b.serving()) // lapsed, ready: counts on
	b.Put(entry("member", 200, 9, Membership{}))
	must.False(t, b.serving())
}

// The engine's clock may step back between two starts: a life with a smaller time of
// birth that was not seen before is the later one.
func TestLifeAfterAClockStepBackIsTheLaterOne(t *testing.T) {
	b := pair()
	b.Put(entry("member", 50, 5, Membership{}))
	must.False(t, b.serving())
	b.Put(entry("member", 100, 6, Membership{"g", 3, 1, Ready})) // late
	must.Eq(t, int64(50), b.View(start).Instances["member"].Born)
}

// Entries without a time of birth are ordered by the store's revision alone.
func TestEntriesWithoutABirthAreOrderedByTheStore(t *testing.T) {
	b := NewBelief(heartbeat, sizes)
	b.Put(entry("a", 0, 1, Membership{}))
	b.Put(entry("a", 0, 3, Membership{"g", 3, 0, Open}))
	b.Put(entry("a", 0, 2, Membership{}))
	must.Eq(t, "g", b.View(start).Instances["a"].Group.Name)
}

// What happened: an entry overwritten by another writer left in force what the engine had
// said before, and requests went on to it. Why: an entry that was not understood was
// ignored. What settled it: the view still held the instance after the change.
func TestOverwrittenEntryNamesNoInstance(t *testing.T) {
	b := pair()
	b.Lost(start)
	b.Reached(start.Add(5 * heartbeat)) // lapsed entries would be believed now
	b.Discard("head", 5, start.Add(5*heartbeat))
	must.MapNotContainsKey(t, b.View(start).Instances, "head")
	must.False(t, b.serving())
	b.Discard("member", 1, start) // of before what is known
	must.MapContainsKey(t, b.View(start).Instances, "member")
	b.Put(entry("head", 100, 6, Membership{"g", 3, 0, Open})) // the engine writes again
	must.True(t, b.serving())
}

// How long ago an earlier life ended is forgotten with the instance.
func TestEarlierLivesAreForgotten(t *testing.T) {
	b := pair()
	b.Put(entry("member", 200, 5, Membership{}))
	b.Remove("member", start, start)
	b.Expire(start.Add(removedMemory + time.Second))
	must.MapEmpty(t, b.earlier)
}
