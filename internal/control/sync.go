package control

import (
	"encoding/json"
	"time"

	"pearlanding/internal/cluster"
)

// request returns the sync request of a daemon with this snapshot.
func (s *Snapshot) request() cluster.SyncRequest {
	versions := make(map[string]uint64, len(s.Domains))
	for name, versioned := range s.Domains {
		versions[name] = versioned.Version
	}
	return cluster.SyncRequest{Slot: s.Slot, HeadVersion: s.HeadVersion, Domains: versions}
}

// reply returns the answer of a daemon with this snapshot to a peer's request at now.
// It holds only objects that are newer than the peer's.
func (s *Snapshot) reply(req cluster.SyncRequest, now time.Time, cfg Config) cluster.SyncReply {
	out := cluster.SyncReply{
		Slot: s.Slot, Incarnation: s.Incarnation, Revision: s.Head.Revision, HeadVersion: s.HeadVersion, PlatformAge: -1,
	}
	if req.HeadVersion < s.HeadVersion {
		out.Head = &cluster.VersionedHead{Version: s.HeadVersion, Head: s.Head}
	}
	if !s.PlatformAsOf.IsZero() {
		out.PlatformAge = ageMS(now, s.PlatformAsOf)
	}
	out.ContactAges = s.contactAges(now, cfg.AdmissionLease)
	for name, versioned := range s.Domains {
		report := cluster.DomainReport{Name: name, Version: versioned.Version, Abnormal: abnormalEvidence(versioned.Domain, s.Evidence, now)}
		if len(versioned.Domain.Groups) > 0 {
			report.Packed = packEvidence(versioned.Domain, s.Evidence, now, cfg.EvidenceAge)
		}
		if req.Domains[name] < versioned.Version {
			if data, err := json.Marshal(versioned.Domain); err == nil {
				report.Domain = data
			}
		}
		if len(report.Domain) > 0 || len(report.Packed) > 0 {
			out.Domains = append(out.Domains, report)
		}
	}
	return out
}

// ageMS returns an age in milliseconds, rounded up so that a relayed fact never appears
// younger than it is.
func ageMS(now, at time.Time) int64 {
	return int64((now.Sub(at) + time.Millisecond - 1) / time.Millisecond)
}

// contactAges returns this daemon's contacts with the slots of the head in the form of
// SyncReply.ContactAges. A peer whose applied revision is ahead of this head counts as not
// contacted: the receiver records each relayed contact with the revision of the reply and
// would not notice that the peer is ahead.
func (s *Snapshot) contactAges(now time.Time, lease time.Duration) []byte {
	unit := lease / cluster.ContactAgeUnits
	slots := s.Head.Slots()
	out := make([]byte, len(slots))
	for i, slot := range slots {
		out[i] = cluster.UnknownContactAge
		p := s.Peers[slot]
		if p.LastContact.IsZero() || p.Revision > s.Head.Revision {
			continue
		}
		// Rounded up so that a relayed contact never appears younger than it is.
		if age := (max(now.Sub(p.LastContact), 0) + unit - 1) / unit; age < cluster.UnknownContactAge {
			out[i] = byte(age)
		}
	}
	return out
}
