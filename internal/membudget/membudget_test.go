package membudget

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

// Guards against streams that are ended although they hold little, while the ones that exhaust the
// budget go on.
func TestStreamsThatHoldMostAreEnded(t *testing.T) {
	b := New(100)
	var ended []string
	holder := func(name string) *Holder { return b.NewHolder(func() { ended = append(ended, name) }) }
	small, large, middle := holder("small"), holder("large"), holder("middle")
	must.True(t, small.Grow(10))
	must.True(t, large.Grow(50))
	must.True(t, middle.Grow(40))
	must.True(t, small.Grow(10))
	must.Eq(t, []string{"large"}, ended)
	must.False(t, large.Grow(1))
	must.Eq(t, Usage{Limit: 100, Streams: 60, Ending: 50, Ended: 1}, b.Usage())
	large.Close()
	must.False(t, middle.Grow(45), must.Sprint("the largest one ends itself"))
	must.Eq(t, []string{"large", "middle"}, ended)
	middle.Close()
	small.Close()
	must.Eq(t, Usage{Limit: 100, Ended: 2}, b.Usage())
}

// Guards against bodies that use the whole budget, so that every stream whose caller reads late would be
// ended.
func TestBodiesLeaveRoomForStreams(t *testing.T) {
	b := New(100)
	must.True(t, b.TakeBody(75))
	must.False(t, b.TakeBody(1))
	h := b.NewHolder(func() {})
	must.True(t, h.Grow(25))
	must.Eq(t, Usage{Limit: 100, Bodies: 75, Streams: 25, Refused: 1}, b.Usage())
	b.ReleaseBody(75)
	must.True(t, b.TakeBody(75))
	must.False(t, b.TakeBody(1))
}

// Guards against a daemon without a budget that ends by a panic or refuses what it holds for its peers.
func TestNoBudgetSetsNoLimit(t *testing.T) {
	var b *Budget
	must.True(t, b.TakeBody(1<<40))
	h := b.NewHolder(nil)
	must.True(t, h.Grow(1<<40))
	h.Shrink(1)
	h.Close()
	must.Eq(t, Usage{}, b.Usage())
}

// Guards against grants that together exceed the limit, and bytes that stay accounted after all holders closed,
// in any order of calls.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const limit = 1000
		b := New(limit)
		type stream struct {
			h     *Holder
			held  int
			ended bool
		}
		var streams []*stream
		var bodies []int
		r.Repeat(map[string]func(*rapid.T){
			"body": func(r *rapid.T) {
				if n := rapid.IntRange(1, 400).Draw(r, "n"); b.TakeBody(n) {
					bodies = append(bodies, n)
				}
			},
			"release": func(r *rapid.T) {
				if len(bodies) > 0 {
					b.ReleaseBody(bodies[0])
					bodies = bodies[1:]
				}
			},
			"grow": func(r *rapid.T) {
				if len(streams) == 0 || rapid.Bool().Draw(r, "new") {
					s := &stream{}
					s.h = b.NewHolder(func() { s.ended = true })
					streams = append(streams, s)
				}
				s := streams[rapid.IntRange(0, len(streams)-1).Draw(r, "stream")]
				n := rapid.IntRange(1, 1500).Draw(r, "n")
				granted := s.h.Grow(n)
				if granted {
					s.held += n
				}
				must.Eq(r, !s.ended, granted)
			},
			"shrink": func(r *rapid.T) {
				for _, s := range streams {
					n := rapid.IntRange(0, s.held).Draw(r, "n")
					s.h.Shrink(n)
					s.held -= n
				}
			},
			"": func(r *rapid.T) {
				u, live, ending := b.Usage(), 0, 0
				for _, s := range streams {
					if s.ended {
						ending += s.held
					} else {
						live += s.held
					}
				}
				must.Eq(r, int64(live), u.Streams)
				must.Eq(r, int64(ending), u.Ending)
				must.LessEq(r, limit, u.Bodies+u.Streams)
			},
		})
		for _, s := range streams {
			s.h.Close()
		}
		for _, n := range bodies {
			b.ReleaseBody(n)
		}
		u := b.Usage()
		must.Zero(r, u.Bodies+u.Streams+u.Ending)
	})
}
