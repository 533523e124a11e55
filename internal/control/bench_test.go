package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pearlanding/internal/catalog"
	"pearlanding/internal/cluster"
	"pearlanding/internal/engine"
	"pearlanding/internal/group"
	"pearlanding/internal/revision"
)

// The benchmarks measure how the cost of a snapshot and of a sync exchange grows with
// the number of daemons and groups, for docs/CAPACITY.md.

// newFleetState returns the control state of one daemon in a fleet without faults, and
// the time at which that state is current.
func newFleetState(daemons, groups, vmsPerGroup int) (*state, time.Time) {
	now := time.Now()
	s := newState(Config{Slot: "d000", Incarnation: "i", SyncInterval: 250 * time.Millisecond, AdmissionLease: 2 * time.Second, EvidenceAge: 1500 * time.Millisecond}, now)
	head := revision.NewHead()
	for i := range daemons {
		head = head.WithMember(fmt.Sprintf("d%03d", i), revision.Member{Incarnation: "i", Peer: "10.0.0.1:8082", Operator: "10.0.0.1:8081", Place: "rio-grande", Domain: "rg-a"})
	}
	for i := range 10 {
		head.Doc.Workspaces[fmt.Sprintf("w%d", i)] = catalog.Workspace{TokenSHA256: fmt.Sprintf("%064d", i), Places: []string{"rio-grande"}}
	}
	head = head.WithAccepted()
	s.observeHead(head, 10, now)
	for i := 1; i < daemons; i++ {
		s.recordContact(fmt.Sprintf("d%03d", i), revision.PeerContact{Incarnation: "i", Revision: head.Revision, AnsweredAt: now})
	}
	s.platformRead(now)
	const domains = 11
	for i := range domains {
		d := group.NewDomain(fmt.Sprintf("dom%d", i), "rio-grande")
		for g := i; g < groups; g += domains {
			d.LastEpoch++
			replica := group.Group{ID: fmt.Sprintf("%s.%d", d.Name, g), Pool: "p@1", Epoch: d.LastEpoch, State: group.StateServing, Weights: engine.Weights{Model: "m", Version: "1"}}
			for v := range vmsPerGroup {
				vm := fmt.Sprintf("vm-%d-%d", g, v)
				d.VMs[vm] = group.VMRecord{Address: "10.0.0.1:9000", Accelerators: 2}
				replica.Members = append(replica.Members, group.Member{VM: vm, Address: "10.0.0.1:9000", BootID: "01234567-89ab-cdef-0123-456789abcdef"})
			}
			d.Groups[replica.ID] = replica
			s.observeEvidence(group.Evidence{Group: replica.ID, Epoch: replica.Epoch, ReadyAt: now, Running: 4, Slots: 8}, now)
		}
		s.observeDomain(d.Name, group.VersionedDomain{Version: uint64(20 + i), Domain: d}, now)
	}
	return s, now
}

type fleetSize struct{ daemons, groups, vms int }

func (f fleetSize) String() string {
	return fmt.Sprintf("daemons=%d/groups=%d/vms=%d", f.daemons, f.groups, f.vms)
}

var fleetSizes = []fleetSize{{9, 15, 4}, {39, 26, 16}, {98, 64, 16}, {390, 256, 16}}

// BenchmarkSnapshot measures the snapshot that follows each change of the state.
func BenchmarkSnapshot(b *testing.B) {
	for _, f := range fleetSizes {
		b.Run(f.String(), func(b *testing.B) {
			s, now := newFleetState(f.daemons, f.groups, f.vms)
			previous := s.snapshot(now, nil)
			b.ReportAllocs()
			for range b.N {
				previous = s.snapshot(now, previous)
			}
		})
	}
}

// BenchmarkSyncExchange measures one exchange between two daemons with the same state,
// and the bytes of its request and reply on the wire.
func BenchmarkSyncExchange(b *testing.B) {
	for _, f := range fleetSizes {
		b.Run(f.String(), func(b *testing.B) {
			s, now := newFleetState(f.daemons, f.groups, f.vms)
			snap := s.snapshot(now, nil)
			var bytes int
			for range b.N {
				request, _ := json.Marshal(snap.request())
				reply, _ := json.Marshal(snap.reply(snap.request(), now, s.cfg))
				var received cluster.SyncReply
				_ = json.Unmarshal(reply, &received)
				received.Slot = "d001"
				s.observeSyncReply(received, now, now)
				bytes = len(request) + len(reply)
			}
			b.ReportMetric(float64(bytes), "bytes/exchange")
		})
	}
}

// BenchmarkOwns measures one check whether this daemon owns a duty.
func BenchmarkOwns(b *testing.B) {
	for _, f := range fleetSizes {
		b.Run(f.String(), func(b *testing.B) {
			s, now := newFleetState(f.daemons, f.groups, f.vms)
			snap := s.snapshot(now, nil)
			for range b.N {
				snap.Owns("probe/dom1.12", 2)
			}
		})
	}
}

// BenchmarkDomainObject measures the size and encoding cost of a domain object.
func BenchmarkDomainObject(b *testing.B) {
	for _, f := range fleetSizes {
		b.Run(f.String(), func(b *testing.B) {
			s, _ := newFleetState(f.daemons, f.groups, f.vms)
			d := s.domains["dom1"].Domain
			var size int
			for range b.N {
				value, err := d.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(value)
			}
			b.ReportMetric(float64(size), "bytes/object")
		})
	}
}

// BenchmarkHead measures the size and encoding cost of the configuration head.
func BenchmarkHead(b *testing.B) {
	for _, f := range fleetSizes {
		b.Run(f.String(), func(b *testing.B) {
			s, _ := newFleetState(f.daemons, f.groups, f.vms)
			var size int
			for range b.N {
				value, err := s.head.Encode()
				if err != nil {
					b.Fatal(err)
				}
				if _, err := revision.Decode(value); err != nil {
					b.Fatal(err)
				}
				size = len(value)
			}
			b.ReportMetric(float64(size), "bytes/object")
		})
	}
}
