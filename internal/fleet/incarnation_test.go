package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// entry returns the entry of one incarnation at a version of the store.
func entry(id string, startedAt int64, version uint64, group Membership) *Instance {
	return &Instance{ID: id, Service: "s", StartedAt: startedAt, Version: version, Models: []string{"large"}, Group: group}
}

// openPair returns a known state with an open group of two.
func openPair() *KnownState {
	b := NewKnownState(heartbeat, sizes)
	b.Put(entry("head", 100, 1, Membership{"g", 3, 0, Open}))
	b.Put(entry("member", 100, 2, Membership{"g", 3, 1, Ready}))
	return b
}

func (b *KnownState) serving() bool {
	g := b.View(start).Groups[GroupKey{"g", 3}]
	return g != nil && g.Serving()
}

// An engine may restart under its id; it then belongs to no group, and its former group does
// not serve, though only the entry shows it.
func TestGroupOfRestartedInstanceDoesNotServe(t *testing.T) {
	b := openPair()
	must.True(t, b.serving())
	b.Put(entry("member", 200, 5, Membership{}))
	must.False(t, b.serving())
}

// Guards against a group that serves again on a late entry of one of its ended incarnations:
// entries were ordered by the store's revision alone.
func TestLateEntryOfEarlierIncarnationIsIgnored(t *testing.T) {
	b := openPair()
	b.Put(entry("member", 200, 5, Membership{}))
	b.Put(entry("member", 100, 6, Membership{"g", 3, 1, Ready}))
	must.False(t, b.serving())
	must.Eq(t, int64(200), b.View(start).Instances["member"].StartedAt)
}

// The removal of the later incarnation's entry does not bring the earlier incarnation back.
func TestLateEntryOfEarlierIncarnationIsIgnoredAfterRemoval(t *testing.T) {
	b := openPair()
	b.Put(entry("member", 200, 5, Membership{}))
	b.Remove("member", start, start)
	b.Put(entry("member", 100, 7, Membership{"g", 3, 1, Ready}))
	must.False(t, b.serving())
	must.MapNotContainsKey(t, b.View(start).Instances, "member")
}

// A member whose entry lapsed may still serve, but not once it has restarted: the lapse is over,
// and the next incarnation belongs to no group.
func TestLapseEndsWithNextIncarnation(t *testing.T) {
	b := openPair()
	b.Remove("member", start, start)
	must.True(t, b.serving()) // lapsed but ready: still counts
	b.Put(entry("member", 200, 9, Membership{}))
	must.False(t, b.serving())
}

// The engine's clock may step back between two starts: an incarnation with an earlier start time
// that was not seen before is the later one.
func TestIncarnationAfterClockStepBackIsLater(t *testing.T) {
	b := openPair()
	b.Put(entry("member", 50, 5, Membership{}))
	must.False(t, b.serving())
	b.Put(entry("member", 100, 6, Membership{"g", 3, 1, Ready})) // late
	must.Eq(t, int64(50), b.View(start).Instances["member"].StartedAt)
}

// Entries without a start time are ordered by the store's revision alone.
func TestEntriesWithoutStartTimeAreOrderedByRevision(t *testing.T) {
	b := NewKnownState(heartbeat, sizes)
	b.Put(entry("a", 0, 1, Membership{}))
	b.Put(entry("a", 0, 3, Membership{"g", 3, 0, Open}))
	b.Put(entry("a", 0, 2, Membership{}))
	must.Eq(t, "g", b.View(start).Instances["a"].Group.Name)
}

// Guards against requests sent to an instance whose entry was overwritten by another writer: an
// entry that could not be decoded was ignored, and the view kept the instance.
func TestDiscardedEntryRemovesInstance(t *testing.T) {
	b := openPair()
	b.StoreFailed(start)
	b.StoreAnswered(start.Add(5 * heartbeat)) // instances with lapsed entries would be kept now
	b.Discard("head", 5, start.Add(5*heartbeat))
	must.MapNotContainsKey(t, b.View(start).Instances, "head")
	must.False(t, b.serving())
	b.Discard("member", 1, start) // older than the known version
	must.MapContainsKey(t, b.View(start).Instances, "member")
	b.Put(entry("head", 100, 6, Membership{"g", 3, 0, Open})) // the engine writes again
	must.True(t, b.serving())
}

// The ended incarnations of an instance are forgotten with it.
func TestEndedIncarnationsAreForgotten(t *testing.T) {
	b := openPair()
	b.Put(entry("member", 200, 5, Membership{}))
	b.Remove("member", start, start)
	b.Expire(start.Add(removedRetention + time.Second))
	must.MapEmpty(t, b.endedIncarnations)
}
