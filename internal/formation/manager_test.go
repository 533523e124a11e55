package formation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A holder of the lease must not plan on a view from before its term (seen as TWO
// on a hunted day), nor on one that was proved long ago.
func TestPlannerWaitsForAViewOfItsTerm(t *testing.T) {
	began := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		proved, now time.Time
		current     bool
	}{
		"before the term": {began.Add(-time.Millisecond), began.Add(time.Second), false},
		"in the term":     {began.Add(time.Millisecond), began.Add(time.Second), true},
		"long ago":        {began.Add(time.Millisecond), began.Add(viewFor + time.Second), false},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Manager{began: began, Proved: func() time.Time { return c.proved }}
			must.Eq(t, c.current, m.current(c.now))
		})
	}
}
