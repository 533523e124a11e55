package cluster

import "github.com/cespare/xxhash/v2"

// Duties spreads duties over slots by rendezvous hashing: removing a slot moves
// only what it held. It is immutable.
type Duties struct {
	slots  []string
	hashes []uint64
}

// NewDuties prepares the spreading over the slots.
func NewDuties(slots []string) Duties {
	hashes := make([]uint64, len(slots))
	for i, slot := range slots {
		hashes[i] = xxhash.Sum64String(slot)
	}
	return Duties{slots, hashes}
}

// score ranks a slot for a duty; the mixing makes each pair independent.
func score(slot, duty uint64) uint64 {
	const m1, m2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	h := slot ^ (duty * m2)
	h ^= h >> 33
	h *= m1
	h ^= h >> 33
	h *= m2
	return h ^ h>>33
}

// Owner returns the first slot for a duty, "" if there is none.
func (d Duties) Owner(duty string) string {
	best, bestScore := "", uint64(0)
	h := xxhash.Sum64String(duty)
	for i, slot := range d.slots {
		if s := score(d.hashes[i], h); best == "" || s > bestScore {
			best, bestScore = slot, s
		}
	}
	return best
}

// Owns tells whether slot is among the first n for a duty: whether it is there
// and fewer than n others score higher.
func (d Duties) Owns(slot, duty string, n int) bool {
	h := xxhash.Sum64String(duty)
	mine, present := score(xxhash.Sum64String(slot), h), false
	higher := 0
	for i, other := range d.slots {
		if other == slot {
			present = true
		} else if score(d.hashes[i], h) > mine {
			higher++
		}
	}
	return present && higher < n
}
