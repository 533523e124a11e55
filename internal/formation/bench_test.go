package formation

import (
	"fmt"
	"testing"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// benchDomain is the number of instances in a fabric domain.
const benchDomain = 10

// benchView returns a view in which the first instances are in serving groups. The others are free
// and hold no model.
func benchView(instances, serving int, engine *routes.Engine) *fleet.View {
	all := map[string]*fleet.Instance{}
	for i := range instances {
		id, domain := fmt.Sprintf("i-%05d", i), i/benchDomain
		in := &fleet.Instance{ID: id, Service: simService, Address: "10.0.0.1:80", Zone: fmt.Sprint("z", domain%3), Domain: fmt.Sprintf("d%04d", domain), Version: uint64(i)}
		m := engine.Models[domain%2]
		if group := i % benchDomain / m.ReplicaSize; i < serving && (group+1)*m.ReplicaSize <= benchDomain {
			rank := i % benchDomain % m.ReplicaSize
			in.Models, in.Staged = []string{m.Name}, []string{m.Name}
			in.Group = fleet.Membership{Name: fmt.Sprintf("g%04d-%d", domain, group), Epoch: epochsPerTerm + 1, Rank: rank, State: fleet.Ready}
			if rank == 0 {
				in.Group.State = fleet.Open
			}
		}
		all[id] = in
	}
	return fleet.BuildView(1, time.Time{}, all, nil, func(_, model string) int {
		m, _ := engine.Model(model)
		return m.ReplicaSize
	})
}

// benchViews runs a benchmark at several sizes, with none, half and all of the instances serving.
func benchViews(b *testing.B, run func(v *fleet.View, engine *routes.Engine)) {
	engine := simModels()
	for _, instances := range []int{300, 3000, 8200} {
		engine.ConcurrentLoads = instances / 8
		for name, serving := range map[string]int{"start": 0, "half": instances / 2, "serving": instances} {
			v := benchView(instances, serving, engine)
			b.Run(fmt.Sprintf("%d/%s", instances, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					run(v, engine)
				}
			})
		}
	}
}

// BenchmarkPlan measures the first plan of a planner that takes over.
func BenchmarkPlan(b *testing.B) {
	now := time.Unix(1000, 0)
	benchViews(b, func(v *fleet.View, engine *routes.Engine) {
		p := NewPlanner(simService, 2, nil, now)
		p.BeforeFirstRequest = true
		p.Plan(v, engine, now)
	})
}

// BenchmarkHasPendingWork measures the check for neglected work that a daemon without the lease
// makes on a view.
func BenchmarkHasPendingWork(b *testing.B) {
	now := time.Unix(1000, 0)
	benchViews(b, func(v *fleet.View, engine *routes.Engine) {
		(&Manager{}).hasPendingWork(v, routes.Compile(&routes.Config{Services: []routes.Service{{Name: simService, Engine: engine}}}), now)
	})
}
