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

// A relayed contact is recorded at the age that the peer reported, counted from when the
// request was sent. Otherwise daemons could keep a dead peer alive by relaying it.
func TestRelayedContactKeepsItsAge(t *testing.T) {
	now := time.Unix(8000, 0)
	s := testState(now)
	sent := now.Add(time.Second)
	reply := cluster.SyncReply{Slot: "b", Incarnation: "1", Revision: s.head.Revision, HeadVersion: 5, PlatformAge: -1,
		ContactAges: []byte{10, 0, 50}}
	s.observeSyncReply(reply, sent, sent.Add(100*time.Millisecond))
	must.Eq(t, sent, s.contacts["b"].AnsweredAt)
	must.Eq(t, sent.Add(-time.Second), s.contacts["c"].AnsweredAt) // 50 hundredths of two seconds

	reply.ContactAges, reply.HeadVersion = []byte{0, 0, 0}, 4
	s.observeSyncReply(reply, sent, sent)
	must.Eq(t, sent.Add(-time.Second), s.contacts["c"].AnsweredAt, must.Sprint("ages for another head version are ignored"))
}

func TestSilentPeerIsSuspectBeforeDead(t *testing.T) {
	now := time.Unix(8000, 0)
	s := testState(now)
	s.recordContact("b", revision.PeerContact{Incarnation: "1", AnsweredAt: now})
	must.Eq(t, PeerAlive, s.peerState("b", now.Add(time.Second)))
	must.Eq(t, PeerSuspect, s.peerState("b", now.Add(2*time.Second)))
	must.Eq(t, PeerDead, s.peerState("b", now.Add(5*time.Second)))
	s.observeRefusal("b", now.Add(time.Millisecond))
	must.Eq(t, PeerDead, s.peerState("b", now.Add(2*time.Millisecond)))
	must.Eq(t, []string{"a"}, s.liveSlots(now.Add(2*time.Millisecond)))
}

func TestFreshestEvidenceOfAnyProberIsKept(t *testing.T) {
	now := time.Unix(8000, 0)
	s := testState(now)
	ready := group.Evidence{Group: "g", Epoch: 3, ReadyAt: now}
	s.observeEvidence(ready, now)
	// Another prober can't reach a member. Its report is ignored while the first one is
	// fresh.
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 3, Lost: []string{"vm"}}, now.Add(time.Second))
	must.SliceEmpty(t, s.evidence["g"].Lost)
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 3, Lost: []string{"vm"}}, now.Add(2*time.Second))
	must.Eq(t, []string{"vm"}, s.evidence["g"].Lost)
	// The end of an epoch is final, and evidence of an older epoch is ignored.
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 3, Ended: true, Lost: []string{"vm"}}, now)
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 3, ReadyAt: now.Add(time.Hour)}, now)
	must.True(t, s.evidence["g"].Ended)
	s.observeEvidence(group.Evidence{Group: "g", Epoch: 2, ReadyAt: now.Add(time.Hour)}, now)
	must.Eq(t, uint64(3), s.evidence["g"].Epoch)
}

// While peers relay recent reads of the head, two daemons poll it, whatever the size of
// the fleet; otherwise every daemon does.
func TestHeadPollersDoNotGrowWithFleet(t *testing.T) {
	const lease = 2 * time.Second
	for _, n := range []int{3, 9, 30, 390} {
		due := map[time.Duration]int{}
		for i := range n {
			s, now := newFleetState(n, 1, 1)
			s.cfg.Slot = fmt.Sprintf("d%03d", i)
			for j := range n {
				s.recordContact(fmt.Sprintf("d%03d", j), revision.PeerContact{Incarnation: "i", Revision: s.head.Revision, AnsweredAt: now})
			}
			snap := s.snapshot(now, nil)
			must.SliceLen(t, n, snap.LiveSlots)
			for _, age := range []time.Duration{lease/4 - 1, lease / 4, lease/2 - 1, lease / 2} {
				if snap.PollDue(now.Add(age), lease) {
					due[age]++
				}
			}
		}
		must.Eq(t, 0, due[lease/4-1])
		must.Eq(t, headPollers, due[lease/4])
		must.Eq(t, headPollers, due[lease/2-1])
		must.Eq(t, n, due[lease/2])
	}
}
