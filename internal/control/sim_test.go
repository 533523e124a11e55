package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pearlanding/internal/cluster"
	"pearlanding/internal/revision"
)

// The simulation runs the real control state of a few daemons on a virtual clock with
// random sequences of configuration changes, delayed exchanges, partitions, platform
// outages, kills, restarts, pauses and removals. The invariant: once any daemon knows
// that a revision is accepted, no process admits requests under an older one.

const (
	simLease = 2 * time.Second
	simSync  = 250 * time.Millisecond
)

type simNode struct {
	cfg     Config
	state   *state
	snap    *Snapshot
	running bool
	paused  bool
}

type sim struct {
	t                *rapid.T
	now              time.Time
	head             revision.Head
	version          uint64
	storeOutage      bool
	nodes            []*simNode
	peerPartitioned  map[[2]int]bool // by pair of nodes, lower index first
	storeUnreachable map[int]bool    // by node
	acceptedRevision uint64          // highest revision that any daemon knows as accepted
	processCount     int             // processes started so far; numbers the incarnations
	inFlight         []simReply
	acceptedBy       string // slot of the first daemon that knew acceptedRevision as accepted
}

// simReply is a sync reply in flight. It is dropped if the requesting process has been
// replaced when it arrives.
type simReply struct {
	toNode    int
	requester *state // the process that sent the request
	reply     cluster.SyncReply
	sent      time.Time
}

func newSim(t *rapid.T, n int) *sim {
	s := &sim{t: t, now: time.Unix(1000, 0), head: revision.NewHead(), peerPartitioned: map[[2]int]bool{}, storeUnreachable: map[int]bool{}}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{cfg: Config{Slot: fmt.Sprintf("d%d", i), SyncInterval: simSync, AdmissionLease: simLease, EvidenceAge: time.Second}})
		if i == n-1 && n > 2 && rapid.Bool().Draw(t, "last one joins later") {
			s.nodes[i].state = newState(s.nodes[i].cfg, s.now)
			continue
		}
		s.startProcess(i)
	}
	return s
}

func (s *sim) startProcess(i int) {
	n := s.nodes[i]
	s.processCount++
	n.cfg.Incarnation = fmt.Sprintf("inc%d", s.processCount)
	n.state, n.running, n.paused = newState(n.cfg, s.now), true, false
	n.snap = nil
	s.refresh(i)
	s.register(i)
}

func (s *sim) refresh(i int) {
	n := s.nodes[i]
	n.snap = n.state.snapshot(s.now, n.snap)
	if n.snap.AcceptedUpTo > s.acceptedRevision {
		s.acceptedRevision, s.acceptedBy = n.snap.AcceptedUpTo, n.cfg.Slot
	}
}

func (s *sim) canReachStore(i int) bool { return s.isUp(i) && !s.storeOutage && !s.storeUnreachable[i] }
func (s *sim) isUp(i int) bool          { return s.nodes[i].running && !s.nodes[i].paused }

// write makes one conditional update that is based on a linearizable read.
func (s *sim) write(i int, next revision.Head) {
	s.head = next
	s.version++
	s.read(i)
}

func (s *sim) read(i int) {
	n := s.nodes[i]
	n.state.observeHead(s.head, s.version, s.now)
	n.state.platformRead(s.now)
	s.refresh(i)
}

func (s *sim) register(i int) {
	n := s.nodes[i]
	if s.canReachStore(i) && s.head.Members[n.cfg.Slot].Incarnation != n.cfg.Incarnation {
		s.write(i, s.head.WithMember(n.cfg.Slot, revision.Member{Incarnation: n.cfg.Incarnation, Peer: n.cfg.Slot}))
	}
}

func (s *sim) pickNode() int { return rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "node") }

func (s *sim) advance() {
	ms := rapid.SampledFrom([]int{10, 100, 250, 600, 1100, 2600}).Draw(s.t, "ms")
	s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
	for i := range s.nodes {
		if s.isUp(i) {
			s.refresh(i)
		}
	}
}

func (s *sim) changeDoc() {
	if i := s.pickNode(); s.canReachStore(i) {
		s.write(i, s.head.WithDoc(s.head.Doc, revision.Change{}))
	}
}

func (s *sim) poll() {
	if i := s.pickNode(); s.canReachStore(i) {
		s.register(i)
		s.read(i)
	}
}

// startSync sends a sync request. The reply is built now and delivered later or never.
func (s *sim) startSync() {
	i, j := s.pickNode(), s.pickNode()
	if i == j || !s.isUp(i) {
		return
	}
	requester := s.nodes[i].state
	switch peer := s.nodes[j]; {
	case !peer.running:
		requester.observeRefusal(peer.cfg.Slot, s.now)
		s.refresh(i)
	case peer.paused || s.peerPartitioned[[2]int{min(i, j), max(i, j)}]:
	default:
		s.refresh(j)
		reply := peer.snap.reply(s.nodes[i].snap.request(), s.now, peer.cfg)
		s.inFlight = append(s.inFlight, simReply{toNode: i, requester: requester, reply: reply, sent: s.now})
		if rapid.Bool().Draw(s.t, "at once") {
			s.deliver()
		}
	}
}

// syncAll makes every pair of connected daemons exchange their states without delay.
func (s *sim) syncAll() {
	for i := range s.nodes {
		for j := range s.nodes {
			if i == j || !s.isUp(i) || s.nodes[j].paused || s.peerPartitioned[[2]int{min(i, j), max(i, j)}] {
				continue
			}
			if !s.nodes[j].running {
				s.nodes[i].state.observeRefusal(s.nodes[j].cfg.Slot, s.now)
			} else {
				s.refresh(j)
				s.nodes[i].state.observeSyncReply(s.nodes[j].snap.reply(s.nodes[i].snap.request(), s.now, s.nodes[j].cfg), s.now, s.now)
			}
			s.refresh(i)
		}
	}
}

func (s *sim) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	r := s.inFlight[0]
	s.inFlight = s.inFlight[1:]
	if n := s.nodes[r.toNode]; s.isUp(r.toNode) && n.state == r.requester {
		n.state.observeSyncReply(r.reply, r.sent, s.now)
		s.refresh(r.toNode)
	}
}

func (s *sim) togglePeerPartition() {
	i, j := s.pickNode(), s.pickNode()
	key := [2]int{min(i, j), max(i, j)}
	s.peerPartitioned[key] = !s.peerPartitioned[key]
}

func (s *sim) toggleStoreAccess() {
	i := s.pickNode()
	s.storeUnreachable[i] = !s.storeUnreachable[i]
}

func (s *sim) kill()    { s.nodes[s.pickNode()].running = false }
func (s *sim) restart() { s.startProcess(s.pickNode()) }

func (s *sim) togglePause() {
	i := s.pickNode()
	s.nodes[i].paused = !s.nodes[i].paused
	if s.isUp(i) {
		s.refresh(i)
	}
}

func (s *sim) recordAccepted() {
	i := s.pickNode()
	if s.canReachStore(i) && s.nodes[i].snap.AcceptedUpTo >= s.head.Revision && s.head.Accepted < s.head.Revision {
		s.write(i, s.head.WithAccepted())
	}
}

// removeMember removes a slot without confirmation that its process has stopped.
func (s *sim) removeMember() {
	i, j := s.pickNode(), s.pickNode()
	if _, member := s.head.Members[s.nodes[j].cfg.Slot]; i != j && member && s.canReachStore(i) {
		s.write(i, s.head.WithoutMember(s.nodes[j].cfg.Slot, false))
	}
}

// checkAdmission checks that an accepted revision is in force wherever requests are
// admitted. Paused processes count because they may resume at any time.
func (s *sim) checkAdmission(t *rapid.T) {
	for _, n := range s.nodes {
		if n.running && n.snap.MayAdmit(s.now) && n.snap.Head.Revision < s.acceptedRevision {
			t.Fatalf("%s (paused %t) admits under revision %d; %d was accepted by %s",
				n.cfg.Slot, n.paused, n.snap.Head.Revision, s.acceptedRevision, s.acceptedBy)
		}
	}
}

// TestAcceptedIsInForceEverywhere guards against an accepted configuration that is not
// in force at every daemon or that reverts.
func TestAcceptedIsInForceEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(2, 5).Draw(t, "daemons"))
		action := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { s.t = t; f() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"":               s.checkAdmission,
			"advance":        action(s.advance),
			"advance again":  action(s.advance),
			"change":         action(s.changeDoc),
			"poll":           action(s.poll),
			"ask":            action(s.startSync),
			"sync all":       action(s.syncAll),
			"deliver":        action(s.deliver),
			"cut peers":      action(s.togglePeerPartition),
			"cut store":      action(s.toggleStoreAccess),
			"outage":         action(func() { s.storeOutage = !s.storeOutage }),
			"kill":           action(s.kill),
			"restart":        action(s.restart),
			"pause":          action(s.togglePause),
			"accept":         action(s.recordAccepted),
			"remove":         action(s.removeMember),
			"revision grows": action(s.replayOldHead),
		})
	})
}

// replayOldHead applies an old head to a node, as a stale read would, and checks that
// its revision does not go back.
func (s *sim) replayOldHead() {
	i := s.pickNode()
	n := s.nodes[i]
	if !s.isUp(i) {
		return
	}
	before := n.state.head.Revision
	old := s.head
	old.Revision = uint64(rapid.IntRange(0, int(s.head.Revision)).Draw(s.t, "old"))
	n.state.observeHead(old, rapid.Uint64Range(0, n.state.headVersion).Draw(s.t, "version"), s.now)
	if n.state.head.Revision < before {
		s.t.Fatalf("revision went back from %d to %d", before, n.state.head.Revision)
	}
}
