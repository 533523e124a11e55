package cluster

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

func TestRemovingSlotMovesOnlyItsDuties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "slots")
		var slots []string
		for i := range n {
			slots = append(slots, fmt.Sprintf("d%d", i))
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		before := NewRendezvousHash(slots)
		after := NewRendezvousHash(append(append([]string(nil), slots[:removed]...), slots[removed+1:]...))
		for i := range 50 {
			duty := fmt.Sprintf("probe/%d", i)
			owner := before.Owner(duty)
			must.True(t, before.Owns(owner, duty, 1))
			if owner != slots[removed] {
				must.Eq(t, owner, after.Owner(duty))
			}
			must.False(t, after.Owns(slots[removed], duty, n))
		}
	})
}

func TestDutiesAreSpreadEvenly(t *testing.T) {
	var slots []string
	for i := range 9 {
		slots = append(slots, fmt.Sprintf("entry-%d", i))
	}
	dutiesOf := map[string]int{}
	hash := NewRendezvousHash(slots)
	const duties = 9000
	for i := range duties {
		dutiesOf[hash.Owner(fmt.Sprintf("probe/rg-a.%d", i))]++
	}
	for slot, n := range dutiesOf {
		must.Between(t, 800, n, 1200, must.Sprint(slot))
	}
}

func TestNoSlotsNoOwner(t *testing.T) {
	must.Eq(t, "", NewRendezvousHash(nil).Owner("x"))
	must.False(t, NewRendezvousHash(nil).Owns("a", "x", 1))
}
