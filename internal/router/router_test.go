package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

var places = []string{"rio-grande", "itajai", "paranagua"}

func drawTargets(t *rapid.T, now time.Time) []*Target {
	var out []*Target
	for i := range rapid.IntRange(0, 12).Draw(t, "targets") {
		out = append(out, &Target{
			Group: fmt.Sprintf("g%d", i), Place: rapid.SampledFrom(places).Draw(t, "place"), Slots: 8, Sent: new(atomic.Int64),
			Running: rapid.IntRange(0, 40).Draw(t, "running"), ServingSince: now.Add(-time.Duration(rapid.IntRange(0, 10).Draw(t, "up")) * time.Second),
			ReadyAt: now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond),
		})
	}
	return out
}

// For any policy, load and randomness, the chosen target is in a permitted place, has a fresh
// readiness report and was not tried before.
func TestOnlyPermittedPlaces(t *testing.T) {
	now := time.Unix(6000, 0)
	rapid.Check(t, func(t *rapid.T) {
		r := &Router{Policy: rapid.SampledFrom([]Policy{PolicyAffinity, PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded}).Draw(t, "policy"),
			Subset: rapid.IntRange(1, 6).Draw(t, "subset"), MaxReadinessAge: 1500 * time.Millisecond, SlowStart: 5 * time.Second}
		targets := drawTargets(t, now)
		req := Request{Places: rapid.SliceOfDistinct(rapid.SampledFrom(places), rapid.ID).Draw(t, "places"),
			PrefixHash: rapid.Uint64().Draw(t, "prefix"), Tried: []string{"g3"}}
		permitted := r.Permitted(targets, req, now)
		chosen := r.Choose(permitted, req, now, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") })
		must.Eq(t, len(permitted) == 0, chosen == nil)
		if chosen == nil {
			return
		}
		must.SliceContains(t, req.Places, chosen.Place)
		must.Less(t, 1500*time.Millisecond, now.Sub(chosen.ReadyAt))
		must.NotEq(t, "g3", chosen.Group)
	})
}

func makeTargets(n int, now time.Time) []*Target {
	var out []*Target
	for i := range n {
		out = append(out, &Target{Group: fmt.Sprintf("g%d", i), Place: "p", Slots: 8, ReadyAt: now, Sent: new(atomic.Int64)})
	}
	return out
}

func TestPrefixStaysAtItsReplicaUntilThatIsLoaded(t *testing.T) {
	now := time.Unix(6000, 0)
	r := &Router{Policy: PolicyAffinity, Subset: 4, MaxReadinessAge: time.Second}
	targets := makeTargets(15, now)
	req := Request{PrefixHash: 77}
	uniform := rand.New(rand.NewPCG(1, 1)).IntN
	preferred := r.Choose(targets, req, now, uniform)
	for range 50 {
		must.Eq(t, preferred, r.Choose(targets, req, now, uniform))
	}
	preferred.Sent.Add(8)
	must.NotEq(t, preferred, r.Choose(targets, req, now, uniform))
}

func TestPrefixesSpreadOverReplicas(t *testing.T) {
	now := time.Unix(6000, 0)
	r := &Router{Policy: PolicyAffinity, Subset: 4, MaxReadinessAge: time.Second}
	targets := makeTargets(16, now)
	uniform := rand.New(rand.NewPCG(1, 1)).IntN
	count := map[string]int{}
	const prefixes = 16000
	for i := range prefixes {
		prefix := PrefixHash("w", []byte(fmt.Sprintf("prompt %d", i)))
		count[r.Choose(targets, Request{PrefixHash: prefix}, now, uniform).Group]++
	}
	for group, n := range count {
		must.Between(t, 800, n, 1200, must.Sprint(group))
	}
	must.MapLen(t, 16, count)
}

func TestPrefixHashKeepsWorkspacesApart(t *testing.T) {
	must.NotEq(t, PrefixHash("a", []byte("same")), PrefixHash("b", []byte("same")))
	long := slices.Repeat([]byte("x"), 1000)
	must.Eq(t, PrefixHash("a", long), PrefixHash("a", append(slices.Clone(long), 'y')))
}

func BenchmarkChoose(b *testing.B) {
	now := time.Now()
	for _, n := range []int{15, 64, 256} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			r := &Router{Policy: PolicyAffinity, Subset: 4, MaxReadinessAge: time.Second}
			targets := makeTargets(n, now)
			req := Request{Places: []string{"p"}}
			for i := range b.N {
				req.PrefixHash = uint64(i)
				r.Choose(r.Permitted(targets, req, now), req, now, Uniform)
			}
		})
	}
}
