package account

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/decisionlog"
)

// Version is one version of the configuration and what was handled by it.
type Version struct {
	Version  uint64 `json:"version"`
	Requests int    `json:"requests"`
	Daemons  int    `json:"daemons"` // that handled them
	// OldestProofMS is the greatest age of the proof on which a request was handled, At when
	// and Daemon where.
	OldestProofMS int       `json:"oldest_proof_ms"`
	At            time.Time `json:"at"`
	Daemon        string    `json:"daemon"`
}

// versions tells by which version of the configuration requests were handled, those with the
// oldest proof first. Requests that matched no route or key count too.
func versions(lines []decisionlog.Line) []Version {
	found, daemons := map[uint64]*Version{}, map[uint64]map[string]bool{}
	for _, l := range lines {
		number, ok := l.Fields["config_version"].(float64)
		if l.Message != "request" || !ok {
			continue
		}
		version := uint64(number)
		v := found[version]
		if v == nil {
			v = &Version{Version: version, OldestProofMS: -1}
			found[version], daemons[version] = v, map[string]bool{}
		}
		v.add(l)
		daemons[version][l.Source] = true
	}
	out := make([]Version, 0, len(found))
	for version, v := range found {
		v.Daemons = len(daemons[version])
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b Version) int {
		return cmp.Or(cmp.Compare(b.OldestProofMS, a.OldestProofMS), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// add counts one request's line.
func (v *Version) add(l decisionlog.Line) {
	v.Requests += max(number(l, "stands_for"), 1)
	if age := number(l, "proof_age_ms"); age > v.OldestProofMS {
		v.OldestProofMS, v.At, v.Daemon = age, l.Time, l.Source
	}
}
