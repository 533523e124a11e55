package fleet

import (
	"time"

	"pearlanding/internal/objectapi"
)

// CopyLapse is how long after the store came back from a copy the copy's entries may differ from what the
// instances would write: living ones write again within that time, and the entries of others lapse after three
// heartbeats.
const CopyLapse = 5 * time.Second

// restoredStore is what a known state knows of the store's last return from a copy. The copy holds
// entries of instances that have left since, as if they served.
type restoredStore struct {
	era      uint64
	known    bool      // era is known
	since    time.Time // when a change of that era was first seen; zero: the first era
	now      time.Time
	skipped  bool // an entry was ignored
	relisted bool
}

// observe records the era of a revision, and returns whether the store has come back from a copy within
// CopyLapse.
func (r *restoredStore) observe(revision uint64, now time.Time) (recently bool) {
	if now.After(r.now) {
		r.now = now
	}
	if era := objectapi.Era(revision); !r.known || era > r.era {
		if r.known {
			r.since, r.skipped, r.relisted = r.now, false, false
		}
		r.era, r.known = era, true
	}
	return !r.since.IsZero() && r.now.Sub(r.since) < CopyLapse
}

// relistDue reports, once, that copies have lapsed of which some were ignored.
func (r *restoredStore) relistDue(now time.Time) bool {
	if !r.skipped || r.relisted || now.Sub(r.since) < CopyLapse {
		return false
	}
	r.relisted = true
	return true
}

// ignoreCopy reports whether an entry may be the copy of one that was removed before the store came back.
func (b *KnownState) ignoreCopy(in *Instance) bool {
	recently := b.restored.observe(in.Version, b.restored.now)
	gone, removed := b.removed[in.ID]
	if !recently || !removed || gone.Instance.StartedAt != in.StartedAt || gone.Lapsed || gone.InHeadGrace {
		return false
	}
	b.restored.skipped = true
	return true
}
