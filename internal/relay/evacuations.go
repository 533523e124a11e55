package relay

import (
	"maps"
	"slices"
	"time"

	"pearlanding/internal/evacuation"
)

// EvacuationReport is a relay's report of which zones are evacuated.
type EvacuationReport struct {
	Seq      uint64   `json:"seq"` // changes with the zones; of this relay process only
	Zones    []string `json:"zones,omitempty"`
	Revision uint64   `json:"revision"` // of the store, up to which their changes are known
	AgeMS    int64    `json:"age_ms"`   // of the proof, in milliseconds before the reply was made, rounded up
	// Listed: a listing showed the zones as of Revision. False: a watch reported the last change, or the
	// relay is of an earlier version.
	Listed bool `json:"listed,omitempty"`
	// Ended are the zones whose evacuations ended a short while ago. EndsKnownMS is for how many
	// milliseconds before the reply was made that list is complete; 0: a relay of an earlier version, or
	// one whose configuration has no rule on cold instances.
	Ended       []EndedEvacuation `json:"ended,omitempty"`
	EndsKnownMS int64             `json:"ends_known_ms,omitempty"`
}

// EndedEvacuation is a zone whose evacuation ended.
type EndedEvacuation struct {
	Zone  string `json:"zone"`
	AgeMS int64  `json:"age_ms"` // milliseconds before the reply was made, rounded down
}

// newEvacuationReport returns a report of what is known.
func newEvacuationReport(s evacuation.Snapshot, now time.Time) *EvacuationReport {
	out := &EvacuationReport{Seq: s.Seq, Zones: s.Zones.Names(), Revision: s.Revision, AgeMS: ageMS(now, s.ProvedAt), Listed: s.Listed}
	if s.Ends.Since.IsZero() {
		return out
	}
	out.EndsKnownMS = max(now.Sub(s.Ends.Since).Milliseconds(), 1)
	for _, zone := range slices.Sorted(maps.Keys(s.Ends.At)) {
		out.Ended = append(out.Ended, EndedEvacuation{zone, max(now.Sub(s.Ends.At[zone]).Milliseconds(), 0)})
	}
	return out
}

// state returns the state that a report shows which was made no earlier than at a time.
func (r *EvacuationReport) state(made time.Time) evacuation.State {
	s := evacuation.NewState(r.Zones, r.Revision, made.Add(-time.Duration(max(r.AgeMS, 0))*time.Millisecond))
	s.Listed = r.Listed
	return s
}

// ends returns the ends that a report shows which was made no earlier than at a time and received at
// another. The age of an end counts from the former: counted from the latter, an end that relays report
// to each other would never grow old. The list counts as complete from the latter.
func (r *EvacuationReport) ends(made, received time.Time) evacuation.Ends {
	if r.EndsKnownMS <= 0 {
		return evacuation.Ends{}
	}
	out := evacuation.Ends{Since: received.Add(-time.Duration(r.EndsKnownMS) * time.Millisecond), At: map[string]time.Time{}}
	for _, e := range r.Ended {
		out.At[e.Zone] = made.Add(-time.Duration(max(e.AgeMS, 0)) * time.Millisecond)
	}
	return out
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
	return newEvacuationReport(s, now)
}

// endsReport returns the report to the relay of another zone, which may have started just now and knows no
// ends; nil if ends are not exchanged.
func (n *Node) endsReport(now time.Time) *EvacuationReport {
	s := n.evacuations()
	if s.Seq == 0 || s.Ends.Since.IsZero() {
		return nil
	}
	return newEvacuationReport(s, now)
}

// noteEvacuations applies a relay's report, which was made no earlier than at a time.
func (n *Node) noteEvacuations(r *EvacuationReport, made time.Time) {
	if r == nil || n.opts.Evacuations == nil {
		return
	}
	n.evacuationSeq = r.Seq
	n.opts.Evacuations.Apply(r.state(made), evacuation.FromRelay)
	n.noteEnds(r, made)
}

// noteEnds applies the ends that another daemon reported in a message that was made no earlier than at a
// time and received now.
func (n *Node) noteEnds(r *EvacuationReport, made time.Time) {
	if r == nil || n.opts.Evacuations == nil {
		return
	}
	n.opts.Evacuations.ApplyEnds(r.state(made), r.ends(made, n.now()))
}
