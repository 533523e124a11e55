package control

import (
	"encoding/binary"
	"time"

	"pearlanding/internal/cluster"
	"pearlanding/internal/group"
)

// Evidence about all groups of a domain is relayed packed, by the order of the
// groups in one version of the domain object: the version says which groups and
// epochs are meant. Only groups with something wrong are spelled out as well.
//
//	byte 0     age in units of the evidence age / ageUnits, rounded up; noAge: none
//	bytes 1-2  running, 3-4 queued, 5-6 slots, big endian, capped
const (
	packedSize = 7
	ageUnits   = 200
	noAge      = 255
)

// pack writes the evidence of a domain's groups.
func pack(d group.Domain, evidence map[string]group.Evidence, now time.Time, maxAge time.Duration) []byte {
	ids := d.GroupIDs()
	out := make([]byte, 0, packedSize*len(ids))
	unit := maxAge / ageUnits
	for _, id := range ids {
		e, known := evidence[id]
		age := byte(noAge)
		if known && e.Epoch == d.Groups[id].Epoch && !e.Ready.IsZero() {
			if units := (max(now.Sub(e.Ready), 0) + unit - 1) / unit; units < noAge {
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

// unpack reads evidence of a domain's groups that was packed for the same version,
// with ages counted from when it was asked for. Data of another length is ignored.
func unpack(d group.Domain, data []byte, sent time.Time, maxAge time.Duration) []group.Evidence {
	ids := d.GroupIDs()
	if len(data) != packedSize*len(ids) {
		return nil
	}
	unit := maxAge / ageUnits
	var out []group.Evidence
	for i, id := range ids {
		entry := data[i*packedSize : (i+1)*packedSize]
		if entry[0] == noAge {
			continue
		}
		number := func(at int) int { return int(binary.BigEndian.Uint16(entry[at:])) }
		out = append(out, group.Evidence{Group: id, Epoch: d.Groups[id].Epoch, Ready: sent.Add(-time.Duration(entry[0]) * unit),
			Running: number(1), Queued: number(3), Slots: number(5)})
	}
	return out
}

// wrong lists the evidence that says more than readiness and load.
func wrong(d group.Domain, evidence map[string]group.Evidence, now time.Time) []cluster.EvidenceReport {
	var out []cluster.EvidenceReport
	for id := range d.Groups {
		e, known := evidence[id]
		if !known || len(e.Lost) == 0 && len(e.Leaving) == 0 && !e.Ended {
			continue
		}
		age := int64(-1)
		if !e.Ready.IsZero() {
			age = ageMS(now, e.Ready)
		}
		out = append(out, cluster.EvidenceReport{AgeMS: age, Evidence: e})
	}
	return out
}
