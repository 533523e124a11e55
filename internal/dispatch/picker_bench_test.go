package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

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
