package objectapi

// A store that loses its latest writes and comes back from a copy gives revisions out again. It
// begins a new era then. All revisions and versions outside the store's client are made of both, so
// that every comparison orders them over eras: whatever was written or read in a later era is later.

// revisionBits is the width of a store's own revision: a thousand writes a second for 34 years.
const revisionBits = 40

// MaxEra is the highest era that a revision can hold.
const MaxEra = 1<<(64-revisionBits) - 1

// MakeRevision returns the revision of an era, which is at most MaxEra.
func MakeRevision(era, revision uint64) uint64 {
	return era<<revisionBits | revision&(1<<revisionBits-1)
}

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> revisionBits }

// WithinEra returns a revision as the store counts it in its era.
func WithinEra(revision uint64) uint64 { return revision & (1<<revisionBits - 1) }
