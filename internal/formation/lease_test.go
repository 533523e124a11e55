package formation

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/routes"
)

// singleObjectStore is a store with one object.
type singleObjectStore struct {
	objectapi.Feed
	object objectapi.Object
}

func (s *singleObjectStore) Get(context.Context, string) (objectapi.Object, error) {
	if s.object.Version == 0 {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return s.object, nil
}

func (s *singleObjectStore) Create(_ context.Context, key string, value []byte) (uint64, error) {
	return s.Update(context.Background(), key, 0, value)
}

func (s *singleObjectStore) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	if version != s.object.Version {
		return 0, objectapi.ErrConflict
	}
	s.object = objectapi.Object{Key: key, Version: version + 1, Value: value}
	return s.object.Version, nil
}

func newLease(store *singleObjectStore, holder string) *Lease {
	return &Lease{Feed: store, Key: "leases/groups", Holder: holder, Log: zap.NewNop()}
}

// A join may be sent again only once the stored record lists its instance, and the next holder
// inherits exactly the listed instances.
func TestNextHolderInheritsResentInstances(t *testing.T) {
	store := &singleObjectStore{}
	first, second := newLease(store, "first"), newLease(store, "second")
	first.Step(t.Context())
	must.Positive(t, first.Term(time.Now()))
	first.NoteResend("e1", time.Now())
	must.False(t, first.ResendRecorded("e1"), must.Sprint("not in the record yet"))
	first.Step(t.Context())
	must.True(t, first.ResendRecorded("e1"))
	must.False(t, first.ResendRecorded("e2"))
	first.Release(t.Context())
	second.Step(t.Context())
	must.Positive(t, second.Term(time.Now()))
	must.Eq(t, map[string]bool{"e1": true}, second.InheritedResends())
	second.Step(t.Context()) // its own record still lists the instance
	third := newLease(store, "third")
	second.Release(t.Context())
	third.Step(t.Context())
	must.Eq(t, map[string]bool{"e1": true}, third.InheritedResends())
}

// A term ends before its epochs run out. The next term has a higher number and higher epochs, also
// when the holder stays the same.
func TestTermEndsBeforeItsEpochsRunOut(t *testing.T) {
	l := newLease(&singleObjectStore{}, "h")
	l.Step(t.Context())
	term := l.Term(time.Now())
	p := NewPlanner(simService, term, nil, start)
	var last uint64
	for !p.Exhausted() {
		last = p.nextEpoch()
	}
	l.Abandon()
	l.Step(t.Context())
	next := l.Term(time.Now())
	must.Greater(t, term, next)
	must.Greater(t, last, NewPlanner(simService, next, nil, start).nextEpoch())
}

func TestLeaseForgetsResentInstances(t *testing.T) {
	l := newLease(&singleObjectStore{}, "h")
	l.NoteResend("old", start)
	l.NoteResend("new", start.Add(time.Second))
	must.Eq(t, []string{"new", "old"}, l.recentResends(start.Add(2*time.Second)))
	must.Eq(t, []string{"new"}, l.recentResends(start.Add(maxOrderDelay)))
	must.SliceEmpty(t, l.recentResends(start.Add(2*maxOrderDelay)))
}

var start = time.Unix(1000, 0)

func anyService(string) bool { return true }

// Guards against epochs below those that instances have seen, after the store came back from a copy and its
// revisions fell, and against epochs that two holders give.
func TestEpochsRiseAfterTheStoreWasRestored(t *testing.T) {
	seen := twoGroups()
	for _, in := range seen.Instances {
		in.Group.Epoch = 100*epochsPerTerm + 5
	}
	must.Eq(t, 120, epochTermFor(objectapi.MakeRevision(0, 120), 0, seen, anyService), must.Sprint("revisions rise within an era"))
	must.Eq(t, 101, epochTermFor(objectapi.MakeRevision(1, 60), 0, seen, anyService))
	must.Eq(t, 131, epochTermFor(objectapi.MakeRevision(1, 60), 130, seen, anyService), must.Sprint("an earlier holder used 130"))

	seen.Instances["a2"].Service, seen.Instances["a2"].Group.Epoch = "unnamed", 200*epochsPerTerm
	must.Eq(t, 101, epochTermFor(objectapi.MakeRevision(1, 60), 0, seen, func(service string) bool { return service != "unnamed" }),
		must.Sprint("an entry of another writer"))
	seen.Instances["a2"].Service, seen.Instances["a2"].Group.Epoch = "s", 100*epochsPerTerm+5

	seen.Instances["a1"].Group.Epoch = 1<<64 - 1
	must.Eq(t, 101, epochTermFor(objectapi.MakeRevision(1, 60), 0, seen, anyService), must.Sprint("no instance has seen that"))

	store := &singleObjectStore{}
	first := newLease(store, "first")
	first.Step(t.Context())
	must.False(t, first.RecordEpochTerm(101), must.Sprint("not stored yet"))
	first.Step(t.Context())
	must.True(t, first.RecordEpochTerm(101))
	first.Release(t.Context())
	second := newLease(store, "second")
	second.Step(t.Context())
	must.Eq(t, 101, second.InheritedEpochTerm())

	p := NewPlanner("s", 60, nil, start)
	p.Plan(seen, &routes.Engine{}, start)
	must.True(t, p.Exhausted(), must.Sprint("the term ends if an instance has seen later epochs"))
}
