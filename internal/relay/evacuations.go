package relay

import (
	"time"

	"pearlanding/internal/evacuation"
)

// EvacuationReport is a relay's report of which zones are evacuated.
type EvacuationReport struct {
	Seq      uint64   `json:"seq"` // changes with the zones; of this relay process only
	Zones    []string `json:"zones,omitempty"`
	Revision uint64   `json:"revision"` // of the store, up to which their changes are known
	AgeMS    int64    `json:"age_ms"`   // of the proof, in milliseconds before the reply was made, rounded up
}

// evacuations returns what this daemon knows of the evacuated zones; zero if that is not exchanged.
func (n *Node) evacuations() evacuation.Snapshot {
	if n.opts.Evacuations == nil {
		return evacuation.Snapshot{}
	}
	return n.opts.Evacuations.Snapshot()
}

// lastEvacuationSeq returns the number of the last report of the relay in use, for a poll; nil: this
// daemon wants none.
func (n *Node) lastEvacuationSeq() *uint64 {
	if n.opts.Evacuations == nil {
		return nil
	}
	seq := n.evacuationSeq
	return &seq
}

// newEvacuations reports whether a peer is to be notified of a change of the evacuated zones.
func (r *PollRequest) newEvacuations(s evacuation.Snapshot) bool {
	return r.EvacuationSeq != nil && s.Seq != 0 && *r.EvacuationSeq != s.Seq
}

// evacuationReport returns the report to a peer; nil if it wants none or nothing is known.
func (r *PollRequest) evacuationReport(s evacuation.Snapshot, now time.Time) *EvacuationReport {
	if r.EvacuationSeq == nil || s.Seq == 0 {
		return nil
	}
	return &EvacuationReport{Seq: s.Seq, Zones: s.Zones.Names(), Revision: s.Revision, AgeMS: ageMS(now, s.ProvedAt)}
}

// noteEvacuations applies a relay's report, which was made no earlier than at a time.
func (n *Node) noteEvacuations(r *EvacuationReport, made time.Time) {
	if r == nil || n.opts.Evacuations == nil {
		return
	}
	n.evacuationSeq = r.Seq
	age := time.Duration(max(r.AgeMS, 0)) * time.Millisecond
	n.opts.Evacuations.Apply(evacuation.NewState(r.Zones, r.Revision, made.Add(-age)), evacuation.FromRelay)
}
