package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
	"pearlanding/internal/group"
)

// Unpacked evidence is for the same epoch and at least as old as the packed evidence,
// by at most one unit.
func TestPackedEvidenceIsNeverYounger(t *testing.T) {
	const maxAge = 1500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(7000, 0)
		d := group.NewDomain("d", "here")
		evidence := map[string]group.Evidence{}
		for i := range rapid.IntRange(0, 20).Draw(t, "groups") {
			id := fmt.Sprintf("d.%d", i)
			d.Groups[id] = group.Group{ID: id, Epoch: uint64(i + 1)}
			if rapid.Bool().Draw(t, "known") {
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
				evidence[id] = group.Evidence{Group: id, Epoch: uint64(i + rapid.IntRange(0, 1).Draw(t, "epoch")), ReadyAt: now.Add(-age),
					Running: rapid.IntRange(0, 1<<17).Draw(t, "running"), Slots: 8}
			}
		}
		for _, e := range unpackEvidence(d, packEvidence(d, evidence, now, maxAge), now, maxAge) {
			in := evidence[e.Group]
			must.Eq(t, in.Epoch, e.Epoch)
			must.Eq(t, d.Groups[e.Group].Epoch, e.Epoch)
			must.False(t, e.ReadyAt.After(in.ReadyAt))
			must.LessEq(t, maxAge/ageUnits, in.ReadyAt.Sub(e.ReadyAt))
			must.Eq(t, min(in.Running, 0xffff), e.Running)
		}
	})
}

func TestPackedEvidenceOfAnotherVersionIsIgnored(t *testing.T) {
	d := group.NewDomain("d", "here")
	d.Groups["d.1"] = group.Group{ID: "d.1", Epoch: 1}
	must.SliceEmpty(t, unpackEvidence(d, make([]byte, packedEntrySize*2), time.Unix(1, 0), time.Second))
	must.SliceEmpty(t, unpackEvidence(d, []byte{1}, time.Unix(1, 0), time.Second))
}
