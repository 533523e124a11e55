package control

import (
	"encoding/binary"
	"time"

	"pearlanding/internal/cluster"
	"pearlanding/internal/group"
)

// Evidence on all groups of a domain is relayed in packed form, one entry per group in
// the order of GroupIDs. An entry names neither group nor epoch: both follow from the
// version of the domain object. Evidence with lost or leaving members or an ended epoch
// is also sent in full.
//
//	byte 0     age in units of the evidence age / ageUnits, rounded up; unknownAge: none
//	bytes 1-2  running, 3-4 queued, 5-6 slots, big endian, capped
const (
	packedEntrySize = 7
	ageUnits        = 200
	unknownAge      = 255
)

// packEvidence encodes the evidence on a domain's groups.
func packEvidence(d group.Domain, evidence map[string]group.Evidence, now time.Time, maxAge time.Duration) []byte {
	ids := d.GroupIDs()
	out := make([]byte, 0, packedEntrySize*len(ids))
	unit := maxAge / ageUnits
	for _, id := range ids {
		e, known := evidence[id]
		age := byte(unknownAge)
		if known && e.Epoch == d.Groups[id].Epoch && !e.ReadyAt.IsZero() {
			if units := (max(now.Sub(e.ReadyAt), 0) + unit - 1) / unit; units < unknownAge {
				age = byte(units)
			}
		}
		out = append(out, age)
		for _, n := range []int{e.Running, e.Queued, e.Slots} {
			out = binary.BigEndian.AppendUint16(out, uint16(min(max(n, 0), 0xffff)))
		}
	}
	return out
}

// unpackEvidence decodes evidence that was packed for the same version of the domain
// object; sent is when it was requested, from which ages are counted. It returns nil if
// the length of data does not match the number of groups.
func unpackEvidence(d group.Domain, data []byte, sent time.Time, maxAge time.Duration) []group.Evidence {
	ids := d.GroupIDs()
	if len(data) != packedEntrySize*len(ids) {
		return nil
	}
	unit := maxAge / ageUnits
	var out []group.Evidence
	for i, id := range ids {
		entry := data[i*packedEntrySize : (i+1)*packedEntrySize]
		if entry[0] == unknownAge {
			continue
		}
		uint16At := func(at int) int { return int(binary.BigEndian.Uint16(entry[at:])) }
		out = append(out, group.Evidence{Group: id, Epoch: d.Groups[id].Epoch, ReadyAt: sent.Add(-time.Duration(entry[0]) * unit),
			Running: uint16At(1), Queued: uint16At(3), Slots: uint16At(5)})
	}
	return out
}

// abnormalEvidence returns the evidence that the packed form can't express: lost or
// leaving members and ended epochs.
func abnormalEvidence(d group.Domain, evidence map[string]group.Evidence, now time.Time) []cluster.EvidenceReport {
	var out []cluster.EvidenceReport
	for id := range d.Groups {
		e, known := evidence[id]
		if !known || len(e.Lost) == 0 && len(e.Leaving) == 0 && !e.Ended {
			continue
		}
		age := int64(-1)
		if !e.ReadyAt.IsZero() {
			age = ageMS(now, e.ReadyAt)
		}
		out = append(out, cluster.EvidenceReport{AgeMS: age, Evidence: e})
	}
	return out
}
