package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
)

// Guards against requests to instances that have left, because the store came back from a copy in which they
// still serve.
func TestInstancesThatLeftDoNotReturnWithTheStoresCopy(t *testing.T) {
	entry := func(id string, version uint64) *Instance {
		return &Instance{ID: id, Service: "s", StartedAt: 7, Version: version}
	}
	for name, apply := range map[string]func(b *KnownState, entries []*Instance, now time.Time){
		"listing": func(b *KnownState, entries []*Instance, now time.Time) {
			b.Replace(entries, objectapi.MakeRevision(1, 40), now, now)
		},
		"changes from a relay": func(b *KnownState, entries []*Instance, now time.Time) {
			for _, in := range entries {
				b.Put(in)
			}
			b.Advance(objectapi.MakeRevision(1, 40))
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewKnownState(heartbeat, sizes)
			b.Replace([]*Instance{entry("stays", 1), entry("leaves", 2), entry("left", 3)}, 90, start, start)
			leaving := entry("leaves", 91)
			leaving.Draining = true
			b.Put(leaving)
			b.Remove("left", start, start)
			restored := start.Add(time.Second)
			b.Expire(restored)
			copies := []*Instance{entry("stays", objectapi.MakeRevision(1, 1)), entry("leaves", objectapi.MakeRevision(1, 2)), entry("left", objectapi.MakeRevision(1, 3))}
			apply(b, copies, restored)
			must.Eq(t, []string{"leaves", "stays"}, b.ids())
			must.True(t, b.View(restored).Instances["leaves"].Draining)
			must.Eq(t, objectapi.MakeRevision(1, 40), b.Revision())
			must.False(t, b.RelistDue(restored.Add(time.Second)))
			later := restored.Add(CopyLapse)
			must.True(t, b.RelistDue(later))
			must.False(t, b.RelistDue(later), must.Sprint("once"))
			b.Replace([]*Instance{entry("stays", objectapi.MakeRevision(1, 1)), entry("left", objectapi.MakeRevision(1, 50))}, objectapi.MakeRevision(1, 60), later, later)
			must.Eq(t, []string{"left", "stays"}, b.ids(), must.Sprint("it lives after all"))
		})
	}
}

// In the first era that a daemon sees there is nothing to ignore.
func TestFirstListingIsTakenWhole(t *testing.T) {
	b := NewKnownState(heartbeat, sizes)
	b.Replace([]*Instance{{ID: "a", Service: "s", Version: objectapi.MakeRevision(3, 5)}}, objectapi.MakeRevision(3, 9), start, start)
	must.Eq(t, []string{"a"}, b.ids())
	b.Remove("a", start, start)
	b.Put(&Instance{ID: "a", Service: "s", Version: objectapi.MakeRevision(3, 10)})
	must.Eq(t, []string{"a"}, b.ids())
}
