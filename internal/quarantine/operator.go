package quarantine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Errors of Release. Compare with errors.Is.
const (
	// ErrNotQuarantined: no quarantined trait has a digest with this prefix; nothing was changed.
	ErrNotQuarantined = errors.ConstError("no quarantined request has this digest")
	// ErrAmbiguous: several quarantined traits have a digest with this prefix; nothing was
	// changed.
	ErrAmbiguous = errors.ConstError("several quarantined requests have digests with this prefix")
)

// maxReleaseAttempts is how often a release is tried whose write conflicts with the daemons'
// writes.
const maxReleaseAttempts = 8

// List returns the store's snapshot. It fails with the errors of objectapi.Store and of
// ParseSnapshot.
func List(ctx context.Context, feed objectapi.Feed, key string) (Snapshot, error) {
	s, _, err := fetch(ctx, feed, key)
	return s, err
}

// fetch reads and parses the store's snapshot; the version is 0 if there is none.
func fetch(ctx context.Context, feed objectapi.Feed, key string) (s Snapshot, version uint64, err error) {
	o, err := feed.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return Snapshot{}, 0, nil
	}
	if err != nil {
		return Snapshot{}, 0, err
	}
	s, err = ParseSnapshot(o.Value)
	return s, o.Version, err
}

// Release lifts the quarantine of the trait whose digest begins with prefix, so that requests with it
// are sent again. The daemons learn of it from their relays' next listing. It fails
// with ErrNotQuarantined, ErrAmbiguous and the errors of ParseSnapshot and objectapi.Store; after
// ErrUnknownOutcome the trait may have been released.
func Release(ctx context.Context, feed objectapi.Feed, key, prefix string, now time.Time) (Digest, error) {
	for attempt := 1; ; attempt++ {
		s, version, err := fetch(ctx, feed, key)
		if err != nil {
			return Digest{}, err
		}
		d, err := s.findByPrefix(prefix)
		if err != nil {
			return Digest{}, err
		}
		s.Release(d, now)
		value, err := json.Marshal(s)
		if err != nil {
			return Digest{}, errors.Trace(err)
		}
		_, err = feed.Update(ctx, key, version, value)
		if !errors.Is(err, objectapi.ErrConflict) || attempt == maxReleaseAttempts {
			return d, err
		}
	}
}

// findByPrefix returns the digest of the only quarantined trait whose digest begins with
// prefix, or of the one with that id of a part. It fails with ErrNotQuarantined or ErrAmbiguous; an empty
// prefix matches no trait.
func (s *Snapshot) findByPrefix(prefix string) (found Digest, err error) {
	matches := 0
	for c := range s.All() {
		if c.Quarantined() && prefix != "" && (strings.HasPrefix(c.Digest.String(), prefix) || c.Part == prefix) {
			found = c.Digest
			matches++
		}
	}
	switch matches {
	case 0:
		return Digest{}, ErrNotQuarantined
	case 1:
		return found, nil
	}
	return Digest{}, ErrAmbiguous
}
