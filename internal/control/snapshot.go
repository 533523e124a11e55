package control

import (
	"maps"
	"sync/atomic"
	"time"

	"pearlanding/internal/catalog"
	"pearlanding/internal/cluster"
	"pearlanding/internal/group"
	"pearlanding/internal/revision"
	"pearlanding/internal/router"
)

// Peer is the known state of one registered daemon.
type Peer struct {
	revision.Member
	State       PeerState
	Revision    uint64    // applied revision as of the last contact
	LastContact time.Time // last contact; zero: none
	// Refused is set if its address refused a connection after the last contact: no
	// process listens there.
	Refused bool
}

// Snapshot is the control state at one time. It is immutable once published.
type Snapshot struct {
	Head        revision.Head
	HeadVersion uint64
	Slot        string
	Incarnation string
	Registered  bool
	Stopping    bool
	// AdmitUntil is when the admission lease expires.
	AdmitUntil time.Time
	// PlatformAsOf is the time of the freshest read of the head from the platform, by
	// this daemon or a peer.
	PlatformAsOf time.Time
	// AcceptedUpTo is the highest revision known to be in force everywhere.
	AcceptedUpTo uint64
	// WaitingFor lists the slots that have not acknowledged the head's revision.
	WaitingFor        []string
	LiveSlots         []string // slots of the daemons that can be assigned duties
	owners            cluster.RendezvousHash
	Peers             map[string]Peer                  // by slot
	Domains           map[string]group.VersionedDomain // by name
	Evidence          map[string]group.Evidence        // by group id
	Targets           map[string][]*router.Target      // by pool
	WorkspaceByDigest map[string]string                // token digest -> workspace
	Pools             []catalog.Pool
	// OthersInUse is the number of in-flight requests at the other live daemons, by
	// workspace.
	OthersInUse map[string]int
	// OthersDemand holds the requests per second by workspace with a rate limit at each of the other live
	// daemons that reported them.
	OthersDemand []map[string]float64
	// Changed is closed when a newer snapshot has been published.
	Changed chan struct{}
}

// MayAdmit reports whether requests may be admitted at now.
func (s *Snapshot) MayAdmit(now time.Time) bool {
	return s.Registered && !s.Stopping && now.Before(s.AdmitUntil)
}

// Owns reports whether this daemon is among the n live daemons that a duty is assigned
// to.
func (s *Snapshot) Owns(duty string, n int) bool { return s.owners.Owns(s.Slot, duty, n) }

// Owner returns the slot of the live daemon that a duty is assigned to if only one
// daemon has it, "" if no daemon is live.
func (s *Snapshot) Owner(duty string) string { return s.owners.Owner(duty) }

// headPollers is the number of daemons that poll the head. The others poll it only if
// they receive no recent read from their peers.
const headPollers = 2

// PollDue reports whether this daemon should read the head from the platform at now: a
// head poller once the freshest known read is a quarter of the lease old, any other
// daemon once it is half of the lease old.
func (s *Snapshot) PollDue(now time.Time, lease time.Duration) bool {
	age := now.Sub(s.PlatformAsOf)
	return age >= lease/2 || age >= lease/4 && s.Owns("poll", headPollers)
}

// snapshot builds the next snapshot. It reuses the parts of the previous one that can't
// have changed.
func (s *state) snapshot(now time.Time, previous *Snapshot) *Snapshot {
	s.lease.Renew(now, s.cfg.AdmissionLease, s.head, s.cfg.Slot, s.contacts)
	verdict, waiting := s.acks.Decide(now, s.head, s.cfg.AdmissionLease, s.cfg.Slot, s.contacts)
	if verdict == revision.VerdictAccepted && s.headVersion > 0 {
		s.acceptedUpTo = max(s.acceptedUpTo, s.head.Revision)
	}
	out := &Snapshot{
		Head: s.head, HeadVersion: s.headVersion, Slot: s.cfg.Slot, Incarnation: s.cfg.Incarnation,
		Registered: s.registered(), Stopping: s.stopping, AdmitUntil: s.lease.ValidUntil(),
		PlatformAsOf: s.lease.PlatformAsOf(), AcceptedUpTo: s.acceptedUpTo, WaitingFor: waiting,
		LiveSlots: s.liveSlots(now), Peers: s.peers(now), Domains: maps.Clone(s.domains), Evidence: maps.Clone(s.evidence),
		OthersInUse: s.othersInUse(now), OthersDemand: s.othersDemand(now), Changed: make(chan struct{}),
	}
	if previous != nil && previous.HeadVersion == s.headVersion {
		out.WorkspaceByDigest, out.Pools = previous.WorkspaceByDigest, previous.Pools
	} else {
		out.WorkspaceByDigest, out.Pools = workspacesByDigest(s.head.Doc), s.head.Doc.Pools()
	}
	out.Targets = s.targets(previous)
	out.owners = cluster.NewRendezvousHash(out.LiveSlots)
	return out
}

func workspacesByDigest(doc catalog.Doc) map[string]string {
	out := make(map[string]string, len(doc.Workspaces))
	for name, ws := range doc.Workspaces {
		out[ws.TokenSHA256] = name
	}
	return out
}

func (s *state) peers(now time.Time) map[string]Peer {
	out := make(map[string]Peer, len(s.head.Members))
	for slot, m := range s.head.Members {
		contact := s.contacts[slot]
		if slot == s.cfg.Slot {
			contact.Revision, contact.AnsweredAt = s.head.Revision, now
		}
		out[slot] = Peer{Member: m, State: s.peerState(slot, now), Revision: contact.Revision, LastContact: contact.AnsweredAt, Refused: contact.RefusedAt.After(contact.AnsweredAt)}
	}
	return out
}

func (s *state) othersInUse(now time.Time) map[string]int {
	out := map[string]int{}
	for slot, load := range s.loads {
		if slot == s.cfg.Slot || s.peerState(slot, now) != PeerAlive {
			continue
		}
		for ws, n := range load.InUse {
			out[ws] += n
		}
	}
	return out
}

func (s *state) othersDemand(now time.Time) (out []map[string]float64) {
	for slot, load := range s.loads {
		if slot != s.cfg.Slot && s.peerState(slot, now) == PeerAlive && load.Demand != nil {
			out = append(out, load.Demand)
		}
	}
	return out
}

// DemandOf returns the requests per second of a workspace at each of the other live daemons that reported
// them.
func (s *Snapshot) DemandOf(workspace string) (out []float64) {
	for _, demand := range s.OthersDemand {
		out = append(out, demand[workspace])
	}
	return out
}

// targets returns, by pool, the groups that requests may be routed to: serving, without
// departing members and with evidence for the current epoch. A target keeps its
// dispatch counter until newer evidence arrives.
func (s *state) targets(previous *Snapshot) map[string][]*router.Target {
	old := map[string]*router.Target{}
	if previous != nil {
		for _, list := range previous.Targets {
			for _, t := range list {
				old[t.Group] = t
			}
		}
	}
	out := map[string][]*router.Target{}
	for _, c := range s.domains {
		for _, id := range c.Domain.GroupIDs() {
			g := c.Domain.Groups[id]
			e, known := s.evidence[id]
			if g.State != group.StateServing || !known || e.Epoch != g.Epoch || e.Ended || len(e.Leaving) > 0 || c.Domain.Departing(g) {
				continue
			}
			out[g.Pool] = append(out[g.Pool], s.target(c.Domain, g, e, old[id]))
		}
	}
	return out
}

func (s *state) target(d group.Domain, g group.Group, e group.Evidence, old *router.Target) *router.Target {
	t := &router.Target{
		Group: g.ID, Pool: g.Pool, Epoch: g.Epoch, Place: d.Place, Domain: d.Name, Address: g.Members[0].Address,
		ReadyAt: e.ReadyAt, Running: e.Running, Queued: e.Queued, Slots: e.Slots,
		ServingSince: s.servingSince[group.StateKey(g)], Sent: new(atomic.Int64),
	}
	if old != nil && old.Epoch == t.Epoch && old.ReadyAt.Equal(t.ReadyAt) {
		t.Sent = old.Sent
	}
	return t
}
