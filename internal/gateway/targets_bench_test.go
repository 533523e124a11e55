package gateway

import (
	"fmt"
	"testing"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// benchSize is how many instances a replica takes.
const benchSize = 4

// benchView is a view of so many instances, all in groups that serve one of two models.
func benchView(instances int) *fleet.View {
	all := map[string]*fleet.Instance{}
	for i := range instances {
		group, id := i/benchSize, fmt.Sprintf("i-%05d", i)
		all[id] = &fleet.Instance{ID: id, Service: "engines", Address: "10.0.0.1:80", Models: []string{fmt.Sprint("m", group%2)},
			Group: fleet.Membership{Name: fmt.Sprint("g", group), Epoch: 1, Rank: i % benchSize, State: headOpen(i)}}
	}
	return fleet.Build(1, time.Time{}, all, nil, func(string, string) int { return benchSize })
}

func headOpen(i int) fleet.GroupState {
	if i%benchSize == 0 {
		return fleet.Open
	}
	return fleet.Ready
}

// benchEngines is the service of benchView's instances.
var benchEngines = &routes.Service{Name: "engines", Engine: &routes.Engine{Models: []routes.Model{{Name: "m0", Size: benchSize}, {Name: "m1", Size: benchSize}}}}

// BenchmarkListTargets is what the first request after a change costs.
func BenchmarkListTargets(b *testing.B) {
	for _, instances := range []int{300, 3000, 8200} {
		v := benchView(instances)
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(listTargets(v, benchEngines, "m0").at(time.Time{})) == 0 {
					b.Fatal("no target")
				}
			}
		})
	}
}

// BenchmarkTargets is what each request costs once or twice, and a stream that waits each
// checkEvery.
func BenchmarkTargets(b *testing.B) {
	for _, instances := range []int{300, 3000, 8200} {
		v, g := benchView(instances), &Gateway{Gate: newGate()}
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(g.targets(v, benchEngines, "m0")) == 0 {
					b.Fatal("no target")
				}
			}
		})
	}
}

// BenchmarkTargetsBesideALeavingInstance is the same once an instance has said of itself that it
// leaves: the gate is asked for each target from then on.
func BenchmarkTargetsBesideALeavingInstance(b *testing.B) {
	for _, instances := range []int{300, 3000, 8200} {
		v, g := benchView(instances), &Gateway{Gate: newGate()}
		g.Gate.Observe(backpressure.Life{Instance: "gone"}, backpressure.Signals{Leaving: true}, time.Time{}, time.Time{})
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(g.targets(v, benchEngines, "m0")) == 0 {
					b.Fatal("no target")
				}
			}
		})
	}
}

// BenchmarkBuild is what each news of instances costs a daemon.
func BenchmarkBuild(b *testing.B) {
	for _, instances := range []int{300, 3000, 8200} {
		v := benchView(instances)
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				fleet.Build(1, time.Time{}, v.Instances, nil, func(string, string) int { return benchSize })
			}
		})
	}
}
