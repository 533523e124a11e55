package account

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/decisionlog"
)

// VersionSummary counts the requests that were handled under one version of the configuration.
type VersionSummary struct {
	Version  uint64 `json:"version"`
	Requests int    `json:"requests"`
	Daemons  int    `json:"daemons"` // number of daemons that handled them
	// OldestProofMS is the greatest age of the proof under which a request was handled, At the
	// time of that request's line, and Daemon the source of the line.
	OldestProofMS int       `json:"oldest_proof_ms"`
	At            time.Time `json:"at"`
	Daemon        string    `json:"daemon"`
}

// summarizeVersions counts the requests by version of the configuration, the version with the
// oldest proof first. Requests that matched no route or key count too.
func summarizeVersions(lines []decisionlog.Line) []VersionSummary {
	found, daemons := map[uint64]*VersionSummary{}, map[uint64]map[string]bool{}
	for _, l := range lines {
		field, ok := l.Fields["config_version"].(float64)
		if l.Message != "request" || !ok {
			continue
		}
		version := uint64(field)
		v := found[version]
		if v == nil {
			v = &VersionSummary{Version: version, OldestProofMS: -1}
			found[version], daemons[version] = v, map[string]bool{}
		}
		v.addRequest(l)
		daemons[version][l.Source] = true
	}
	out := make([]VersionSummary, 0, len(found))
	for version, v := range found {
		v.Daemons = len(daemons[version])
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b VersionSummary) int {
		return cmp.Or(cmp.Compare(b.OldestProofMS, a.OldestProofMS), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// addRequest counts one request line.
func (v *VersionSummary) addRequest(l decisionlog.Line) {
	v.Requests += max(intField(l, "stands_for"), 1)
	if age := intField(l, "proof_age_ms"); age > v.OldestProofMS {
		v.OldestProofMS, v.At, v.Daemon = age, l.Time, l.Source
	}
}
