package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/cluster"
	"pearlanding/internal/group"
	"pearlanding/internal/revision"
)

func testState(now time.Time) *state {
	s := newState(Config{Slot: "a", Incarnation: "1", SyncInterval: 250 * time.Millisecond, AdmissionLease: 2 * time.Second, EvidenceAge: 1500 * time.Millisecond}, now)
	head := revision.NewHead()
	for _, slot := range []string{"a", "b", "c"} {
		head = head.WithMember(slot, revision.Member{Incarnation: "1"})
	}
	s.observeHead(head.WithAccepted(), 5, now)
	return s
}

// TestRelayedHearingKeepsItsAge: a relayed hearing is as old as the peer said,
// counted from when it was asked, else a dead peer would echo for ever.
func TestRelayedHearingKeepsItsAge(t *testing.T) {
	now := time.Unix(8000, 0)
	s := testState(now)
	sent := now.Add(time.Second)
	reply := cluster.SyncReply{Slot: "b", Incarnation: "1", Revision: s.head.Revision, HeadVersion: 5, PlatformAge: -1,
		HeardAges: []byte{10, 0, 50}}
	s.synced(reply, sent, sent.Add(100*time.Millisecond))
	must.Eq(t, sent, s.heard["b"].At)
	must.Eq(t, sent.Add(-time.Second), s.heard["c"].At) // 50 hundredths of two seconds

	reply.HeardAges, reply.HeadVersion = []byte{0, 0, 0}, 4
	s.synced(reply, sent, sent)
	must.Eq(t, sent.Add(-time.Second), s.heard["c"].At, must.Sprint("ages for another head count for nothing"))
}

func TestPeerGoesSilentBeforeItIsDead(t *testing.T) {
	now := time.Unix(8000, 0)
	s := testState(now)
	s.hear("b", revision.Hearing{Incarnation: "1", At: now})
	must.Eq(t, PeerAlive, s.peerState("b", now.Add(time.Second)))
	must.Eq(t, PeerSuspect, s.peerState("b", now.Add(2*time.Second)))
	must.Eq(t, PeerDead, s.peerState("b", now.Add(5*time.Second)))
	s.refused("b", now.Add(time.Millisecond))
	must.Eq(t, PeerDead, s.peerState("b", now.Add(2*time.Millisecond)))
	must.Eq(t, []string{"a"}, s.live(now.Add(2*time.Millisecond)))
}

func TestEvidenceOfAnyProberCounts(t *testing.T) {
	now := time.Unix(8000, 0)
	s := testState(now)
	ready := group.Evidence{Group: "g", Epoch: 3, Ready: now}
	s.observeEvidence(ready, now)
	// Another prober misses a member: that counts for nothing while this is fresh.
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 3, Lost: []string{"vm"}}, now.Add(time.Second))
	must.SliceEmpty(t, s.evidence["g"].Lost)
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 3, Lost: []string{"vm"}}, now.Add(2*time.Second))
	must.Eq(t, []string{"vm"}, s.evidence["g"].Lost)
	// The end of an epoch is final, and an older epoch says nothing.
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 3, Ended: true, Lost: []string{"vm"}}, now)
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 3, Ready: now.Add(time.Hour)}, now)
	must.True(t, s.evidence["g"].Ended)
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 2, Ready: now.Add(time.Hour)}, now)
	must.Eq(t, uint64(3), s.evidence["g"].Epoch)
}

// TestPollersDoNotGrowWithTheFleet: with evidence that peers relay, two daemons
// read the head, however many there are; without it, every daemon does.
func TestPollersDoNotGrowWithTheFleet(t *testing.T) {
	const lease = 2 * time.Second
	for _, n := range []int{3, 9, 30, 390} {
		due := map[time.Duration]int{}
		for i := range n {
			s, now := fleet(n, 1, 1)
			s.cfg.Slot = fmt.Sprintf("d%03d", i)
			for j := range n {
				s.hear(fmt.Sprintf("d%03d", j), revision.Hearing{Incarnation: "i", Revision: s.head.Revision, At: now})
			}
			snap := s.snapshot(now, nil)
			must.SliceLen(t, n, snap.Live)
			for _, age := range []time.Duration{lease/4 - 1, lease / 4, lease/2 - 1, lease / 2} {
				if snap.PollDue(now.Add(age), lease) {
					due[age]++
				}
			}
		}
		must.Eq(t, 0, due[lease/4-1])
		must.Eq(t, pollers, due[lease/4])
		must.Eq(t, pollers, due[lease/2-1])
		must.Eq(t, n, due[lease/2])
	}
}
