package cluster

import "github.com/cespare/xxhash/v2"

// RendezvousHash assigns duties to slots by rendezvous (highest random weight)
// hashing: removing a slot moves only the duties of that slot. It is immutable.
type RendezvousHash struct {
	slots  []string
	hashes []uint64
}

// NewRendezvousHash returns the assignment of duties to the given slots.
func NewRendezvousHash(slots []string) RendezvousHash {
	hashes := make([]uint64, len(slots))
	for i, slot := range slots {
		hashes[i] = xxhash.Sum64String(slot)
	}
	return RendezvousHash{slots, hashes}
}

// weight returns the weight of a slot for a duty, both given by their hashes. Mixing
// with the 64-bit finalizer of MurmurHash3 makes the weights of different pairs
// independent.
func weight(slot, duty uint64) uint64 {
	const m1, m2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	h := slot ^ (duty * m2)
	h ^= h >> 33
	h *= m1
	h ^= h >> 33
	h *= m2
	return h ^ h>>33
}

// Owner returns the slot with the highest weight for a duty, "" if there are no slots.
func (r RendezvousHash) Owner(duty string) string {
	best, bestWeight := "", uint64(0)
	h := xxhash.Sum64String(duty)
	for i, slot := range r.slots {
		if w := weight(r.hashes[i], h); best == "" || w > bestWeight {
			best, bestWeight = slot, w
		}
	}
	return best
}

// Owns reports whether slot is one of the n slots with the highest weights for a duty:
// it is one of the slots and fewer than n others have a higher weight.
func (r RendezvousHash) Owns(slot, duty string, n int) bool {
	h := xxhash.Sum64String(duty)
	own, present := weight(xxhash.Sum64String(slot), h), false
	higher := 0
	for i, other := range r.slots {
		if other == slot {
			present = true
		} else if weight(r.hashes[i], h) > own {
			higher++
		}
	}
	return present && higher < n
}
