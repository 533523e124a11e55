package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pearlanding/internal/demand"
	"pearlanding/internal/fleet"
)

// BenchmarkPick measures one choice among replicas, some of which this daemon used recently, while
// the loads of other daemons are known.
func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{75, 750, 2050} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			now := time.Unix(1000, 0)
			p := NewPicker("z0", rand.New(rand.NewPCG(1, 2)).IntN)
			others := PeerReports{Daemons: 300, InFlight: map[string]int{}}
			targets := make([]Target, replicas)
			for i := range targets {
				id := fmt.Sprintf("i-%05d", i)
				targets[i] = Target{Instance: id, StartedAt: 1, Address: "10.0.0.1:80", Zone: fmt.Sprint("z", i%3), Group: fleet.GroupKey{Name: "g" + id, Epoch: 1}}
				others.InFlight[id] = i % 7
			}
			for i := range min(replicas, 100) {
				p.Pick(targets[i:i+1], nil, now)
			}
			p.SetPeerReports(others, now)
			b.ReportAllocs()
			for b.Loop() {
				p.Release(p.Pick(targets, nil, now))
			}
		})
	}
}

// BenchmarkPlace measures one choice and admission with the loads and the demand of all daemons known.
func BenchmarkPlace(b *testing.B) {
	for _, replicas := range []int{16, 100, 750} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			now := time.Unix(1000, 0)
			p := NewPicker("z0", rand.New(rand.NewPCG(1, 2)).IntN)
			others := PeerReports{Daemons: 300, InFlight: map[string]int{}, Demand: []demand.Rate{{Key: demand.Key{Service: "s", Model: "m"}, Requests: 20 * float64(replicas)}}}
			targets := make([]Target, replicas)
			for i := range targets {
				id := fmt.Sprintf("i-%05d", i)
				targets[i] = Target{Instance: id, StartedAt: 1, Zone: fmt.Sprint("z", i%3), Group: fleet.GroupKey{Name: "g" + id, Epoch: 1}}
				others.InFlight[id] = i % 30
			}
			p.SetPeerReports(others, now)
			req := urgentRequest()
			b.ReportAllocs()
			for b.Loop() {
				if t, _ := p.Place(targets, nil, req, now); t != nil {
					p.Release(t)
				}
			}
		})
	}
}
