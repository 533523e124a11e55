package control

import (
	"encoding/json"
	"time"

	"pearlanding/internal/cluster"
)

// request is what a daemon with this snapshot asks a peer.
func (s *Snapshot) request() cluster.SyncRequest {
	versions := make(map[string]uint64, len(s.Domains))
	for name, copied := range s.Domains {
		versions[name] = copied.Version
	}
	return cluster.SyncRequest{Slot: s.Slot, HeadVersion: s.HeadVersion, Domains: versions}
}

// reply is what a daemon with this snapshot answers a peer at now.
func (s *Snapshot) reply(req cluster.SyncRequest, now time.Time, cfg Config) cluster.SyncReply {
	out := cluster.SyncReply{
		Slot: s.Slot, Incarnation: s.Incarnation, Revision: s.Head.Revision, HeadVersion: s.HeadVersion, PlatformAge: -1,
	}
	if req.HeadVersion < s.HeadVersion {
		out.Head = &cluster.HeadCopy{Version: s.HeadVersion, Head: s.Head}
	}
	if !s.PlatformAsOf.IsZero() {
		out.PlatformAge = ageMS(now, s.PlatformAsOf)
	}
	out.HeardAges = s.heardAges(now, cfg.AdmissionLease)
	for name, copied := range s.Domains {
		report := cluster.DomainReport{Name: name, Version: copied.Version, Wrong: wrong(copied.Domain, s.Evidence, now)}
		if len(copied.Domain.Groups) > 0 {
			report.Packed = pack(copied.Domain, s.Evidence, now, cfg.EvidenceAge)
		}
		if req.Domains[name] < copied.Version {
			if data, err := json.Marshal(copied.Domain); err == nil {
				report.Domain = data
			}
		}
		if len(report.Domain) > 0 || len(report.Packed) > 0 {
			out.Domains = append(out.Domains, report)
		}
	}
	return out
}

// ageMS rounds an age up to whole milliseconds: a relayed fact never gets younger.
func ageMS(now, at time.Time) int64 {
	return int64((now.Sub(at) + time.Millisecond - 1) / time.Millisecond)
}

// heardAges is the relayed form of whom this daemon heard at the head's slots.
func (s *Snapshot) heardAges(now time.Time, term time.Duration) []byte {
	unit := term / cluster.AgeUnits
	slots := s.Head.Slots()
	out := make([]byte, len(slots))
	for i, slot := range slots {
		out[i] = cluster.UnknownAge
		p := s.Peers[slot]
		if p.HeardAt.IsZero() || p.Revision > s.Head.Revision {
			continue
		}
		// Rounded up: a relayed hearing never gets younger.
		if age := (max(now.Sub(p.HeardAt), 0) + unit - 1) / unit; age < cluster.UnknownAge {
			out[i] = byte(age)
		}
	}
	return out
}
