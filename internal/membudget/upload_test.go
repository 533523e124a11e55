package membudget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against callers that stop short of the end of their requests and keep the budget until their
// deadlines, so that the requests of all others are refused.
func TestStalledUploadsGiveWay(t *testing.T) {
	b, now := New(100), time.Now()
	var ended []string
	upload := func(name string, at time.Time) *Upload {
		return b.NewUpload(at, func() { ended = append(ended, name) })
	}
	moving, stalled, longer, whole := upload("moving", now), upload("stalled", now), upload("longer", now.Add(-time.Second)), upload("whole", now)
	for _, u := range []*Upload{moving, stalled, longer, whole} {
		must.True(t, u.Grow(18, now))
	}
	must.True(t, whole.Received())
	now = now.Add(minStall / 2)
	moving.Progress(now)
	fresh := upload("fresh", now)
	must.True(t, fresh.Grow(20, now))
	must.Eq(t, []string{"longer"}, ended)
	must.False(t, fresh.Grow(20, now), must.Sprint("nothing else has stood still for long"))

	now = now.Add(minStall / 2)
	must.True(t, fresh.Grow(18, now))
	must.Eq(t, []string{"longer", "stalled"}, ended)
	must.False(t, stalled.Grow(1, now))
	must.False(t, stalled.Received())
	must.Eq(t, Usage{Limit: 100, Bodies: 74, Ending: 36, Refused: 1, Stalled: 2}, b.Usage())
	for _, u := range []*Upload{moving, stalled, longer, whole, fresh} {
		u.Release()
	}
	must.Zero(t, b.Usage().Bodies+b.Usage().Ending)
	must.False(t, fresh.Grow(1, now))
}

// A request that is received in several parts can be ended only while one is awaited.
func TestUploadIsEndedOnlyWhileItIsReceived(t *testing.T) {
	b, now := New(100), time.Now()
	first := b.NewUpload(now, func() {})
	must.True(t, first.Grow(70, now))
	must.True(t, first.Received())
	now = now.Add(time.Hour)
	second := b.NewUpload(now, func() {})
	must.False(t, second.Grow(70, now))
	first.Receiving()
	must.True(t, second.Grow(70, now))
	must.True(t, first.Ended())
}

// Guards against grants that together exceed the limit, and bytes that stay accounted, in any order of calls.
func TestUploadsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const limit = 1000
		b, now := New(limit), time.Now()
		var all []*Upload
		held := map[*Upload]int64{}
		pick := func(r *rapid.T) *Upload {
			if len(all) == 0 || rapid.Bool().Draw(r, "new") {
				all = append(all, b.NewUpload(now, func() {}))
			}
			return all[rapid.IntRange(0, len(all)-1).Draw(r, "upload")]
		}
		r.Repeat(map[string]func(*rapid.T){
			"grow": func(r *rapid.T) {
				u, n := pick(r), rapid.IntRange(1, 900).Draw(r, "n")
				if u.Grow(n, now) {
					held[u] += int64(n)
				}
				must.Eq(r, held[u], u.Held())
			},
			"progress":  func(r *rapid.T) { pick(r).Progress(now) },
			"received":  func(r *rapid.T) { pick(r).Received() },
			"receiving": func(r *rapid.T) { pick(r).Receiving() },
			"release": func(r *rapid.T) {
				u := pick(r)
				u.Release()
				held[u] = 0
			},
			"wait": func(*rapid.T) { now = now.Add(400 * time.Millisecond) },
			"": func(r *rapid.T) {
				var live, ending int64
				for u, n := range held {
					if u.Ended() {
						ending += n
					} else {
						live += n
					}
				}
				must.Eq(r, live, b.Usage().Bodies)
				must.Eq(r, ending, b.Usage().Ending)
				must.LessEq(r, int64(maxBodyShare*limit), live)
			},
		})
	})
}
