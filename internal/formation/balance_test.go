package formation

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"pearlanding/internal/demand"
	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// Guards against moves for a burst of 4 s, also one with the first requests, and against a change that lasts and
// is not followed after 5.25 s. A burst is visible for 5 s, as rates are those of the last second.
func TestSmoothedDemandIgnoresBursts(t *testing.T) {
	models := []routes.Model{{Name: "small", ReplicaSize: 4}}
	smoothed := func(h *demandHistory, n int, work float64, now *time.Time) float64 {
		for range n {
			h.observe([]demand.Rate{{Key: demand.Key{Service: simService, Model: "small"}, Requests: 1, Work: work}}, simService, models, []int{10}, *now)
			*now = now.Add(sampleInterval)
		}
		return h.smoothed["small"].work
	}
	h, now := &demandHistory{}, time.Unix(1000, 0)
	must.Eq(t, 0, smoothed(h, 20, 25, &now), must.Sprint("a burst with the first requests"))
	must.Eq(t, 10, smoothed(h, 42, 10, &now))
	must.Eq(t, 10, smoothed(h, 20, 25, &now), must.Sprint("a later burst"))
	must.Eq(t, 25, smoothed(h, 1, 25, &now), must.Sprint("it lasts"))
	must.Eq(t, 25, smoothed(h, 20, 10, &now))
	now = now.Add(maxSampleGap)
	must.Eq(t, 0, smoothed(h, 1, 10, &now), must.Sprint("nothing is known of the time before a gap"))
}

// Guards against moves that take what a model needs, or the last group of a less urgent one, that exceed the
// size of a domain, or that do not end.
func TestBalanceKeepsWhatModelsNeed(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		models := []routes.Model{{Name: "a", ReplicaSize: rapid.IntRange(1, 8).Draw(r, "a")}, {Name: "b", ReplicaSize: rapid.IntRange(1, 8).Draw(r, "b")},
			{Name: "c", ReplicaSize: rapid.IntRange(1, 8).Draw(r, "c")}}
		var domains []*domainCapacity
		before := make([]int, len(models))
		for i := range rapid.IntRange(1, 12).Draw(r, "domains") {
			d := &domainCapacity{name: fmt.Sprint(i), zone: fmt.Sprint(i % 3), size: rapid.IntRange(0, 20).Draw(r, "size"), settling: -1,
				staged: make([]int, len(models)), serving: make([][]*fleet.Group, len(models)), layout: make(layout, len(models))}
			d.layout[rapid.IntRange(0, 2).Draw(r, "model")] = 1
			d.layout = d.layout.fit(models, d.size)
			for m, n := range d.layout {
				before[m] += n
			}
			domains = append(domains, d)
		}
		needs := make([]modelNeed, len(models))
		for i := range needs {
			needs[i] = modelNeed{groups: rapid.Float64Range(1, 40).Draw(r, "need"), urgency: rapid.IntRange(0, 1).Draw(r, "urgency")}
		}
		moves := balance(models, needs, domains, nil)
		after := make([]int, len(models))
		for _, d := range domains {
			if d.layout.instances(models) > d.size {
				r.Fatalf("domain of %d holds %v", d.size, d.layout)
			}
			for m, n := range d.layout {
				after[m] += n
			}
		}
		short := false
		for i, need := range needs {
			short = short || float64(before[i]) < need.groups
			if after[i] >= before[i] || float64(after[i]) >= need.groups {
				continue
			}
			urgent := false
			for j, other := range needs {
				urgent = urgent || other.urgency < need.urgency && after[j] > before[j]
			}
			if !urgent || after[i] < 1 {
				r.Fatalf("model %d needs %.1f and went from %d to %d groups: %+v", i, need.groups, before[i], after[i], needs)
			}
		}
		if !short && len(moves) > 0 {
			r.Fatalf("moves without a shortage: %+v", moves)
		}
	})
}

// Guards against moves that follow a report with impossible figures: a negative or infinite work of
// one daemon would hide what the others need.
func TestInvalidRatesMoveNothing(t *testing.T) {
	key := demand.Key{Service: "llm", Model: "small"}
	for _, bad := range []demand.Rate{{Key: key, Work: -100}, {Key: key, Work: 1e308}, {Key: key, Requests: -1, Work: 100}} {
		out := demandByModel([]demand.Rate{{Key: key, Requests: 10, Work: 5}, bad}, "llm")
		must.Eq(t, 5, out["small"].work)
		must.Zero(t, out["small"].urgency)
	}
}
