package fleet

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/objectapi"
)

// Guards against an instance that started and of which nobody is notified, against an entry of an ended
// incarnation that is taken for the latest one, and against one that is taken for new because a listing
// shows it again.
func TestEntriesAreReported(t *testing.T) {
	startedAt := map[string]int64{"a": 1, "b": 1}
	decode := func(id string, version uint64, _ []byte) (*Instance, error) {
		return &Instance{ID: id, Service: "s", Version: version, StartedAt: startedAt[id]}, nil
	}
	f := NewFollower(nil, "entries", decode, NewKnownState(heartbeat, sizes), zap.NewNop())
	type report struct {
		id    string
		start int64
		first bool
	}
	var got []report
	var removed []string
	f.OnEntry = func(in *Instance, first bool) { got = append(got, report{in.ID, in.StartedAt, first}) }
	f.OnRemoved = func(id string) { removed = append(removed, id) }
	now := time.Unix(1000, 0)
	f.applyResult(callResult{listing: &objectapi.Listing{Objects: []objectapi.Object{object("a", 3), object("b", 4)}, Revision: 5}, provedAt: now}, now)
	must.Eq(t, []report{{"a", 1, true}, {"b", 1, true}}, got)

	got, startedAt["a"] = nil, 2
	change := func(o objectapi.Object, gone bool) callResult {
		return callResult{changes: objectapi.Changes{Events: []objectapi.Event{{Object: o, Removed: gone}}, Revision: o.Version}, provedAt: now}
	}
	f.applyResult(change(object("a", 6), false), now)
	must.Eq(t, []report{{"a", 2, false}}, got)
	got, startedAt["a"] = nil, 1
	f.applyResult(change(object("a", 7), false), now)
	must.SliceEmpty(t, got)
	f.applyResult(change(object("b", 8), true), now)
	must.Eq(t, []string{"b"}, removed)

	removed = nil
	f.applyResult(callResult{listing: &objectapi.Listing{Revision: 9}, provedAt: now}, now)
	must.Eq(t, []string{"a"}, removed)
}

// Guards against an instance that is tracked for ever because nobody is notified that its entry is gone: no view
// has contained it, or the entry could not be decoded any more.
func TestRemovalsAreReportedWhateverTheViewContains(t *testing.T) {
	decodable := true
	decode := func(id string, version uint64, _ []byte) (*Instance, error) {
		if !decodable {
			return nil, errors.New("not decodable")
		}
		return &Instance{ID: id, Service: "s", Version: version, StartedAt: 1}, nil
	}
	f := NewFollower(nil, "entries", decode, NewKnownState(heartbeat, sizes), zap.NewNop())
	entries, removed := 0, []string{}
	f.OnEntry = func(*Instance, bool) { entries++ }
	f.OnRemoved = func(id string) { removed = append(removed, id) }
	now := time.Unix(1000, 0)
	event := func(o objectapi.Object) {
		f.applyResult(callResult{changes: objectapi.Changes{Events: []objectapi.Event{{Object: o}}, Revision: o.Version}, provedAt: now}, now)
	}
	f.applyResult(callResult{listing: &objectapi.Listing{Objects: []objectapi.Object{object("a", 3)}, Revision: 3}, stale: true, provedAt: now}, now)
	must.Eq(t, 1, entries)
	must.Nil(t, f.View())
	f.applyResult(callResult{listing: &objectapi.Listing{Revision: 4}, provedAt: now}, now)
	must.Eq(t, []string{"a"}, removed)

	event(object("b", 6))
	decodable, removed = false, nil
	event(object("b", 5))
	must.SliceEmpty(t, removed, must.Sprint("an older version"))
	event(object("b", 7))
	must.Eq(t, []string{"b"}, removed)
}
