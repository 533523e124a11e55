package account

import (
	"cmp"
	"slices"
	"strings"
)

// CutSummary counts begun streams whose callers' connections were closed before the end of the
// response, by how the first and the last send ended.
type CutSummary struct {
	Reason   string `json:"reason"`
	FirstEnd string `json:"first_end"`
	LastEnd  string `json:"last_end"` // empty if there was a single send
	// ReplicaAtWork reports whether the first replica had events for other streams of the daemon
	// after the last one of this stream.
	ReplicaAtWork bool `json:"replica_at_work"`
	Count         int  `json:"count"`
}

// cut returns the summary of a begun stream that was cut, without a count. ok is false for any
// other request.
func (req *request) cut() (c CutSummary, ok bool) {
	if req.events == 0 || req.status/100 == 2 || len(req.sendEnds) == 0 {
		return CutSummary{}, false
	}
	c = CutSummary{Reason: req.reason, FirstEnd: endClass(req.sendEnds[0]), ReplicaAtWork: req.firstReplicaAtWork}
	if n := len(req.sendEnds); n > 1 {
		c.LastEnd = endClass(req.sendEnds[n-1])
	}
	return c, true
}

// isReplicaAtWork reports whether the replica of a send had events for other streams after the last
// one of this send.
func isReplicaAtWork(send map[string]any) bool {
	silent, known := send["silent_ms"].(float64)
	replicaSilent, _ := send["replica_silent_ms"].(float64)
	return known && replicaSilent < silent
}

// endClass returns how a send ended, without addresses.
func endClass(end string) string {
	switch {
	case strings.Contains(end, "stands still"):
		return "moved"
	case strings.HasPrefix(end, "dial "):
		return "connect"
	case strings.Contains(end, "connection reset"):
		return "reset"
	case strings.Contains(end, "EOF"):
		return "ended early"
	}
	return end
}

// sortCuts returns the summaries with their counts, the most frequent first.
func sortCuts(counts map[CutSummary]int) []CutSummary {
	out := make([]CutSummary, 0, len(counts))
	for c, n := range counts {
		c.Count = n
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b CutSummary) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.FirstEnd, b.FirstEnd), cmp.Compare(a.LastEnd, b.LastEnd))
	})
	return out
}
