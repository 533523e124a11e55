package formation

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
)

// oneObject is a store with one object.
type oneObject struct {
	objectapi.Feed
	o objectapi.Object
}

func (s *oneObject) Get(context.Context, string) (objectapi.Object, error) {
	if s.o.Version == 0 {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return s.o, nil
}

func (s *oneObject) Create(_ context.Context, key string, value []byte) (uint64, error) {
	return s.Update(context.Background(), key, 0, value)
}

func (s *oneObject) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	if version != s.o.Version {
		return 0, objectapi.ErrConflict
	}
	s.o = objectapi.Object{Key: key, Version: version + 1, Value: value}
	return s.o.Version, nil
}

func newLease(s *oneObject, holder string) *Lease {
	return &Lease{Feed: s, Key: "leases/groups", Holder: holder, Log: zap.NewNop()}
}

// A join may be sent again only once the store's record lists its instance, and
// whoever takes the lease over knows those instances, and no others.
func TestLeaseHandsDoubledInstancesOn(t *testing.T) {
	store := &oneObject{}
	first, second := newLease(store, "first"), newLease(store, "second")
	first.Step(t.Context())
	must.Positive(t, first.Held(time.Now()))
	first.Note("e1", time.Now())
	must.False(t, first.Noted("e1"), must.Sprint("not in the record yet"))
	first.Step(t.Context())
	must.True(t, first.Noted("e1"))
	must.False(t, first.Noted("e2"))
	first.Release(t.Context())
	second.Step(t.Context())
	must.Positive(t, second.Held(time.Now()))
	must.Eq(t, map[string]bool{"e1": true}, second.Inherited())
	second.Step(t.Context()) // its own record goes on listing it
	third := newLease(store, "third")
	second.Release(t.Context())
	third.Step(t.Context())
	must.Eq(t, map[string]bool{"e1": true}, third.Inherited())
}

// A term ends before its epochs do: the next one, also of the same holder, is higher.
func TestTermEndsBeforeItsEpochs(t *testing.T) {
	l := newLease(&oneObject{}, "h")
	l.Step(t.Context())
	term := l.Held(time.Now())
	p := NewPlanner(simService, term, nil, start)
	var last uint64
	for !p.Exhausted() {
		last = p.nextEpoch()
	}
	l.Abandon()
	l.Step(t.Context())
	next := l.Held(time.Now())
	must.Greater(t, term, next)
	must.Greater(t, last, NewPlanner(simService, next, nil, start).nextEpoch())
}

func TestLeaseForgetsDoubledInstances(t *testing.T) {
	l := newLease(&oneObject{}, "h")
	l.Note("old", start)
	l.Note("new", start.Add(time.Second))
	must.Eq(t, []string{"new", "old"}, l.list(start.Add(2*time.Second)))
	must.Eq(t, []string{"new"}, l.list(start.Add(lateOrders)))
	must.SliceEmpty(t, l.list(start.Add(2*lateOrders)))
}

var start = time.Unix(1000, 0)
