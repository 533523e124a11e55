// Package control maintains a daemon's control state: the configuration head, the
// admission lease, the last contacts with peers, the domain objects and the evidence on
// groups. One goroutine changes it; request handling reads immutable snapshots.
package control

import (
	"slices"
	"time"

	"pearlanding/internal/cluster"
	"pearlanding/internal/group"
	"pearlanding/internal/revision"
)

// Config holds the identity of this daemon and its time limits.
type Config struct {
	Slot           string
	Incarnation    string
	SyncInterval   time.Duration
	AdmissionLease time.Duration
	EvidenceAge    time.Duration // maximum age of evidence to act on
}

// state is the whole control state. It belongs to the goroutine of Control.Run.
type state struct {
	cfg          Config
	head         revision.Head
	headVersion  uint64
	lease        revision.Lease
	acks         revision.Acks
	acceptedUpTo uint64                          // highest revision known to be accepted
	contacts     map[string]revision.PeerContact // last contact with each slot
	loads        map[string]cluster.DaemonLoad   // by slot
	domains      map[string]group.VersionedDomain
	evidence     map[string]group.Evidence
	servingSince map[string]time.Time // by group.StateKey: when the epoch was first seen serving
	stopping     bool
	startedAt    time.Time
}

func newState(cfg Config, now time.Time) *state {
	return &state{
		cfg: cfg, head: revision.NewHead(), contacts: map[string]revision.PeerContact{}, loads: map[string]cluster.DaemonLoad{},
		domains: map[string]group.VersionedDomain{}, evidence: map[string]group.Evidence{}, servingSince: map[string]time.Time{}, startedAt: now,
	}
}

// observeHead applies a head if it is newer than the current one. An older head, which a
// stale read may return, is ignored so that no change is ever undone.
func (s *state) observeHead(head revision.Head, version uint64, now time.Time) {
	if version <= s.headVersion || head.Revision < s.head.Revision {
		return
	}
	s.head, s.headVersion = head, version
	s.acceptedUpTo = max(s.acceptedUpTo, head.Accepted)
	if s.registered() {
		s.acks.Record(s.cfg.Slot, s.cfg.Incarnation, head.Revision, now)
	}
	for slot := range s.contacts {
		if _, member := head.Members[slot]; !member {
			delete(s.contacts, slot)
			delete(s.loads, slot)
		}
	}
}

// registered reports whether this process, not another incarnation, holds its slot.
func (s *state) registered() bool {
	return s.head.Members[s.cfg.Slot].Incarnation == s.cfg.Incarnation
}

// platformRead records that the platform's head at asOf was no newer than the one
// applied here.
func (s *state) platformRead(asOf time.Time) { s.lease.RecordPlatformRead(asOf) }

// observeSyncReply applies a peer's reply to a request that was sent at the given time.
func (s *state) observeSyncReply(r cluster.SyncReply, sent, now time.Time) {
	if r.Head != nil {
		s.observeHead(r.Head.Head, r.Head.Version, now)
	}
	if s.head.Members[r.Slot].Incarnation != r.Incarnation {
		return // the process does not hold the slot
	}
	s.recordContact(r.Slot, revision.PeerContact{Incarnation: r.Incarnation, Revision: r.Revision, AnsweredAt: sent})
	s.acks.Record(r.Slot, r.Incarnation, r.Revision, now)
	s.loads[r.Slot] = r.Load
	if r.PlatformAge >= 0 && r.HeadVersion <= s.headVersion {
		s.platformRead(sent.Add(-time.Duration(r.PlatformAge) * time.Millisecond))
	}
	if r.HeadVersion == s.headVersion {
		s.mergeRelayedContacts(r, sent)
	}
	for _, d := range r.Domains {
		s.observeDomainReport(d, sent)
	}
}

// recordContact records a contact with a slot unless a later one is known.
func (s *state) recordContact(slot string, contact revision.PeerContact) {
	old := s.contacts[slot]
	contact.RefusedAt = old.RefusedAt
	if old.Incarnation == contact.Incarnation && !contact.AnsweredAt.After(old.AnsweredAt) {
		return
	}
	s.contacts[slot] = contact
}

// mergeRelayedContacts records the peer's contacts with other slots. Their ages are
// counted back from the time at which the request was sent.
func (s *state) mergeRelayedContacts(r cluster.SyncReply, sent time.Time) {
	slots := s.head.Slots()
	if len(r.ContactAges) != len(slots) {
		return
	}
	unit := s.cfg.AdmissionLease / cluster.ContactAgeUnits
	for i, age := range r.ContactAges {
		slot := slots[i]
		if age == cluster.UnknownContactAge || slot == s.cfg.Slot {
			continue
		}
		at := sent.Add(-time.Duration(age) * unit)
		s.recordContact(slot, revision.PeerContact{Incarnation: s.head.Members[slot].Incarnation, Revision: r.Revision, AnsweredAt: at})
	}
}

// observeRefusal records that a slot's address refused a connection at the given time.
func (s *state) observeRefusal(slot string, at time.Time) {
	if _, member := s.head.Members[slot]; !member {
		return
	}
	contact := s.contacts[slot]
	contact.RefusedAt = at
	s.contacts[slot] = contact
}

// PeerState is the liveness of a registered daemon as seen by this one.
type PeerState string

// Peer states. Duties are assigned to alive peers only.
const (
	PeerAlive   PeerState = "alive"
	PeerSuspect PeerState = "suspect"
	PeerDead    PeerState = "dead"
)

// suspectAfterIntervals is the number of sync intervals without contact after which a
// peer is suspect.
const suspectAfterIntervals = 5

// peerState returns the state of a slot's daemon at now. A peer is dead if its address
// refuses connections or there was no contact for two admission leases.
func (s *state) peerState(slot string, now time.Time) PeerState {
	if slot == s.cfg.Slot {
		if s.registered() && !s.stopping {
			return PeerAlive
		}
		return PeerDead
	}
	contact := s.contacts[slot]
	last := contact.AnsweredAt
	if last.IsZero() {
		last = s.startedAt
	}
	switch {
	case contact.RefusedAt.After(contact.AnsweredAt):
		return PeerDead
	case now.Sub(last) <= suspectAfterIntervals*s.cfg.SyncInterval && !contact.AnsweredAt.IsZero():
		return PeerAlive
	case now.Sub(last) <= 2*s.cfg.AdmissionLease:
		return PeerSuspect
	}
	return PeerDead
}

// liveSlots lists the slots that duties may be assigned to.
func (s *state) liveSlots(now time.Time) []string {
	var out []string
	for _, slot := range s.head.Slots() {
		if s.peerState(slot, now) == PeerAlive {
			out = append(out, slot)
		}
	}
	return out
}

// observeDomain applies a domain object if it is newer.
func (s *state) observeDomain(name string, c group.VersionedDomain, now time.Time) {
	if old, known := s.domains[name]; known && c.Version <= old.Version {
		return
	}
	s.domains[name] = c
	for id, g := range c.Domain.Groups {
		key := group.StateKey(g)
		if _, seen := s.servingSince[key]; !seen && g.State == group.StateServing {
			s.servingSince[key] = now
		}
		if e, ok := s.evidence[id]; ok && e.Epoch != g.Epoch {
			delete(s.evidence, id)
		}
	}
}

// observeDomainReport applies a peer's report on a domain.
func (s *state) observeDomainReport(r cluster.DomainReport, sent time.Time) {
	if len(r.Domain) > 0 {
		if d, err := group.DecodeDomain(r.Domain); err == nil {
			s.observeDomain(r.Name, group.VersionedDomain{Version: r.Version, Domain: d}, sent)
		}
	}
	if c := s.domains[r.Name]; c.Version == r.Version {
		for _, e := range unpackEvidence(c.Domain, r.Packed, sent, s.cfg.EvidenceAge) {
			s.observeEvidence(e, sent)
		}
	}
	for _, e := range r.Abnormal {
		ev := e.Evidence
		if e.AgeMS >= 0 {
			ev.ReadyAt = sent.Add(-time.Duration(e.AgeMS) * time.Millisecond)
		}
		s.observeEvidence(ev, sent)
	}
}

// observeEvidence keeps the evidence of the latest epoch with the latest ReadyAt. A
// report of a prober that can't reach a member is ignored while the report of another
// prober that saw the whole group ready is fresh. Leaving members and ended epochs are
// taken from any prober.
func (s *state) observeEvidence(e group.Evidence, received time.Time) {
	old, known := s.evidence[e.Group]
	if known && old.Epoch > e.Epoch {
		return
	}
	if known && old.Epoch == e.Epoch && old.Ended {
		return
	}
	if known && old.Epoch == e.Epoch && !e.Ended && e.ReadyAt.Before(old.ReadyAt) && received.Sub(old.ReadyAt) < s.cfg.EvidenceAge {
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

// prune removes the evidence on and serving times of groups that no longer exist.
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
	for key := range s.servingSince {
		if !serving[key] {
			delete(s.servingSince, key)
		}
	}
}
