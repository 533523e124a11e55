package gateway

import (
	"fmt"
	"testing"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// benchReplicaSize is the number of instances of a replica.
const benchReplicaSize = 4

// benchView returns a view with the given number of instances, all in groups that serve one of
// two models.
func benchView(instances int) *fleet.View {
	byID := map[string]*fleet.Instance{}
	for i := range instances {
		group, id := i/benchReplicaSize, fmt.Sprintf("i-%05d", i)
		byID[id] = &fleet.Instance{ID: id, Service: "engines", Address: "10.0.0.1:80", Models: []string{fmt.Sprint("m", group%2)},
			Group: fleet.Membership{Name: fmt.Sprint("g", group), Epoch: 1, Rank: i % benchReplicaSize, State: benchState(i)}}
	}
	return fleet.BuildView(1, time.Time{}, byID, nil, func(string, string) int { return benchReplicaSize })
}

// benchState returns the state of the i-th instance: Open for the heads of groups.
func benchState(i int) fleet.GroupState {
	if i%benchReplicaSize == 0 {
		return fleet.Open
	}
	return fleet.Ready
}

// benchEngines is the service that the instances of benchView belong to.
var benchEngines = &routes.Service{Name: "engines", Engine: &routes.Engine{Models: []routes.Model{{Name: "m0", ReplicaSize: benchReplicaSize}, {Name: "m1", ReplicaSize: benchReplicaSize}}}}

// BenchmarkListTargets measures what the first request after a change of the view adds.
func BenchmarkListTargets(b *testing.B) {
	for _, instances := range []int{300, 3000, 8200} {
		v := benchView(instances)
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(listTargets(v, benchEngines, "m0").validAt(time.Time{})) == 0 {
					b.Fatal("no target")
				}
			}
		})
	}
}

// BenchmarkTargets measures what each request does once or twice, and a silent stream every
// stallCheckInterval.
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

// BenchmarkTargetsWithALeavingInstance measures the same after an instance has announced its
// departure: from then on the gate is asked about each target.
func BenchmarkTargetsWithALeavingInstance(b *testing.B) {
	for _, instances := range []int{300, 3000, 8200} {
		v, g := benchView(instances), &Gateway{Gate: newGate()}
		g.Gate.Observe(backpressure.Incarnation{Instance: "gone"}, backpressure.Signals{Leaving: true}, time.Time{}, time.Time{})
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

// BenchmarkBuild measures what a daemon does after each change of the instances.
func BenchmarkBuild(b *testing.B) {
	for _, instances := range []int{300, 3000, 8200} {
		v := benchView(instances)
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				fleet.BuildView(1, time.Time{}, v.Instances, nil, func(string, string) int { return benchReplicaSize })
			}
		})
	}
}
