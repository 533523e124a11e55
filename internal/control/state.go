// Package control owns a daemon's control state: the configuration head, the
// admission lease, who was heard when, the domain objects and the evidence about
// groups. One goroutine changes it; traffic reads immutable snapshots.
package control

import (
	"slices"
	"time"

	"pearlanding/internal/cluster"
	"pearlanding/internal/group"
	"pearlanding/internal/revision"
)

// Config says who this daemon is and the ages it works with.
type Config struct {
	Slot           string
	Incarnation    string
	SyncInterval   time.Duration
	AdmissionLease time.Duration
	EvidenceAge    time.Duration
}

// state is all control state. Only the loop's goroutine touches it.
type state struct {
	cfg         Config
	head        revision.Head
	headVersion uint64
	lease       revision.Lease
	acks        revision.Acks
	decided     uint64 // highest revision known to be accepted
	heard       map[string]revision.Hearing
	loads       map[string]cluster.DaemonLoad
	domains     map[string]group.Copy
	evidence    map[string]group.Evidence
	servingAt   map[string]time.Time // by epoch: when it was first seen serving
	stopping    bool
	started     time.Time
}

func newState(cfg Config, now time.Time) *state {
	return &state{
		cfg: cfg, head: revision.NewHead(), heard: map[string]revision.Hearing{}, loads: map[string]cluster.DaemonLoad{},
		domains: map[string]group.Copy{}, evidence: map[string]group.Evidence{}, servingAt: map[string]time.Time{}, started: now,
	}
}

// observeHead adopts a head copy if it is newer. An older one never undoes
// anything, whatever a lagging read returned.
func (s *state) observeHead(head revision.Head, version uint64, now time.Time) {
	if version <= s.headVersion || head.Revision < s.head.Revision {
		return
	}
	s.head, s.headVersion = head, version
	s.decided = max(s.decided, head.Accepted)
	if s.registered() {
		s.acks.Note(s.cfg.Slot, s.cfg.Incarnation, head.Revision, now)
	}
	for slot := range s.heard {
		if _, member := head.Members[slot]; !member {
			delete(s.heard, slot)
			delete(s.loads, slot)
		}
	}
}

// registered tells whether this very process holds its slot.
func (s *state) registered() bool {
	return s.head.Members[s.cfg.Slot].Incarnation == s.cfg.Incarnation
}

// platformRead notes that the platform's head at asOf was no newer than ours.
func (s *state) platformRead(asOf time.Time) { s.lease.PlatformRead(asOf) }

// synced folds at now a peer's reply to a request sent at the given time.
func (s *state) synced(r cluster.SyncReply, sent, now time.Time) {
	if r.Head != nil {
		s.observeHead(r.Head.Head, r.Head.Version, now)
	}
	if s.head.Members[r.Slot].Incarnation != r.Incarnation {
		return // a process that does not hold the slot counts for nothing
	}
	s.hear(r.Slot, revision.Hearing{Incarnation: r.Incarnation, Revision: r.Revision, At: sent})
	s.acks.Note(r.Slot, r.Incarnation, r.Revision, now)
	s.loads[r.Slot] = r.Load
	if r.PlatformAge >= 0 && r.HeadVersion <= s.headVersion {
		s.platformRead(sent.Add(-time.Duration(r.PlatformAge) * time.Millisecond))
	}
	if r.HeadVersion == s.headVersion {
		s.relayedHearings(r, sent)
	}
	for _, d := range r.Domains {
		s.domainReport(d, sent)
	}
}

// hear keeps the freshest hearing of a slot.
func (s *state) hear(slot string, h revision.Hearing) {
	old := s.heard[slot]
	h.Refused = old.Refused
	if old.Incarnation == h.Incarnation && !h.At.After(old.At) {
		return
	}
	s.heard[slot] = h
}

// relayedHearings counts whom the peer heard as heard, that much earlier.
func (s *state) relayedHearings(r cluster.SyncReply, sent time.Time) {
	slots := s.head.Slots()
	if len(r.HeardAges) != len(slots) {
		return
	}
	unit := s.cfg.AdmissionLease / cluster.AgeUnits
	for i, age := range r.HeardAges {
		slot := slots[i]
		if age == cluster.UnknownAge || slot == s.cfg.Slot {
			continue
		}
		at := sent.Add(-time.Duration(age) * unit)
		s.hear(slot, revision.Hearing{Incarnation: s.head.Members[slot].Incarnation, Revision: r.Revision, At: at})
	}
}

// refused notes that a peer's address refused a connection at that time.
func (s *state) refused(slot string, at time.Time) {
	if _, member := s.head.Members[slot]; !member {
		return
	}
	h := s.heard[slot]
	h.Refused = at
	s.heard[slot] = h
}

// PeerState is how alive a registered daemon seems.
type PeerState string

// Peer states. Duties are given to alive peers only.
const (
	PeerAlive   PeerState = "alive"
	PeerSuspect PeerState = "suspect"
	PeerDead    PeerState = "dead"
)

// suspectAfter is how many sync intervals of silence make a peer suspect.
const suspectAfter = 5

// peerState judges a slot at now.
func (s *state) peerState(slot string, now time.Time) PeerState {
	if slot == s.cfg.Slot {
		if s.registered() && !s.stopping {
			return PeerAlive
		}
		return PeerDead
	}
	h := s.heard[slot]
	last := h.At
	if last.IsZero() {
		last = s.started
	}
	switch {
	case h.Refused.After(h.At):
		return PeerDead
	case now.Sub(last) <= suspectAfter*s.cfg.SyncInterval && !h.At.IsZero():
		return PeerAlive
	case now.Sub(last) <= 2*s.cfg.AdmissionLease:
		return PeerSuspect
	}
	return PeerDead
}

// live lists the slots that duties may be given to.
func (s *state) live(now time.Time) []string {
	var out []string
	for _, slot := range s.head.Slots() {
		if s.peerState(slot, now) == PeerAlive {
			out = append(out, slot)
		}
	}
	return out
}

// observeDomain adopts a domain object if it is newer.
func (s *state) observeDomain(name string, c group.Copy, now time.Time) {
	if old, known := s.domains[name]; known && c.Version <= old.Version {
		return
	}
	s.domains[name] = c
	for id, g := range c.Domain.Groups {
		key := group.StateKey(g)
		if _, seen := s.servingAt[key]; !seen && g.State == group.StateServing {
			s.servingAt[key] = now
		}
		if e, ok := s.evidence[id]; ok && e.Epoch != g.Epoch {
			delete(s.evidence, id)
		}
	}
}

// domainReport folds what a peer said of a domain.
func (s *state) domainReport(r cluster.DomainReport, sent time.Time) {
	if len(r.Domain) > 0 {
		if d, err := group.DecodeDomain(r.Domain); err == nil {
			s.observeDomain(r.Name, group.Copy{Version: r.Version, Domain: d}, sent)
		}
	}
	if c := s.domains[r.Name]; c.Version == r.Version {
		for _, e := range unpack(c.Domain, r.Packed, sent, s.cfg.EvidenceAge) {
			s.observeEvidence(e, sent)
		}
	}
	for _, e := range r.Wrong {
		ev := e.Evidence
		if e.AgeMS >= 0 {
			ev.Ready = sent.Add(-time.Duration(e.AgeMS) * time.Millisecond)
		}
		s.observeEvidence(ev, sent)
	}
}

// observeEvidence keeps the evidence of the current epoch that is ready latest. A
// prober that misses a member counts for nothing while another still sees the
// whole group ready; that a member is leaving, or that the epoch is surely over,
// counts whoever saw it.
func (s *state) observeEvidence(e group.Evidence, learned time.Time) {
	old, known := s.evidence[e.Group]
	if known && old.Epoch > e.Epoch {
		return
	}
	if known && old.Epoch == e.Epoch && old.Ended {
		return
	}
	if known && old.Epoch == e.Epoch && !e.Ended && e.Ready.Before(old.Ready) && learned.Sub(old.Ready) < s.cfg.EvidenceAge {
		old.Leaving = unionStrings(old.Leaving, e.Leaving)
		s.evidence[e.Group] = old
		return
	}
	s.evidence[e.Group] = e
}

func unionStrings(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// prune drops what belongs to groups that are no more.
func (s *state) prune() {
	serving, groups := map[string]bool{}, map[string]bool{}
	for _, c := range s.domains {
		for id, g := range c.Domain.Groups {
			groups[id] = true
			serving[group.StateKey(g)] = true
		}
	}
	for id := range s.evidence {
		if !groups[id] {
			delete(s.evidence, id)
		}
	}
	for key := range s.servingAt {
		if !serving[key] {
			delete(s.servingAt, key)
		}
	}
}
