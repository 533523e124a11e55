package objectapi

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Revisions are ordered by era, then by the store's own count, and hold both.
func TestRevisionsAreOrderedOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, MaxEra-1)
		own := rapid.Uint64Range(0, 1<<revisionBits-1)
		e, r, other := era.Draw(t, "era"), own.Draw(t, "revision"), own.Draw(t, "other")
		must.Eq(t, e, Era(MakeRevision(e, r)))
		must.Eq(t, r, WithinEra(MakeRevision(e, r)))
		must.True(t, MakeRevision(e, r) < MakeRevision(e+1, other))
		must.Eq(t, r < other, MakeRevision(e, r) < MakeRevision(e, other))
	})
	must.Eq(t, 7, MakeRevision(0, 7))
}
