package formation

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

func TestYieldOfADomain(t *testing.T) {
	for _, c := range []struct {
		n, size int
		missing float64
		want    float64
	}{
		{10, 4, 1e-12, 0.8}, // two groups of four, two idle
		{10, 2, 1e-12, 1},
		{18, 8, 1e-12, 16.0 / 18},
		{2, 2, 0.1, 0.81}, // both must live
		{3, 2, 0.5, (3.0/8*2 + 1.0/8*2) / 3},
		{7, 8, 0.1, 0},
		{8, 0, 0.1, 0},
	} {
		must.True(t, math.Abs(yield(c.n, c.size, c.missing)-c.want) < 1e-9, must.Sprint(c, yield(c.n, c.size, c.missing)))
	}
	must.Less(t, yield(18, 2, missingShare), yield(18, 8, missingShare))
}
