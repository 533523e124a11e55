package quarantine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Errors of an operator's command. Compare with errors.Is.
const (
	// ErrNotRefused: no refused request has a digest that begins so; nothing was changed.
	ErrNotRefused = errors.ConstError("no refused request with that digest")
	// ErrAmbiguous: several have; nothing was changed.
	ErrAmbiguous = errors.ConstError("several refused requests with digests that begin so")
)

// releaseTries bounds the writes of a release that daemons keep coming before.
const releaseTries = 8

// List returns what the store holds. Errors are those of objectapi.Store, or about the
// record's form.
func List(ctx context.Context, feed objectapi.Feed, key string) (Stored, error) {
	s, _, err := fetch(ctx, feed, key)
	return s, err
}

// fetch reads the record; no version: there is none.
func fetch(ctx context.Context, feed objectapi.Feed, key string) (s Stored, version uint64, err error) {
	o, err := feed.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return Stored{}, 0, nil
	}
	if err != nil {
		return Stored{}, 0, err
	}
	s, err = ReadStored(o.Value)
	return s, o.Version, err
}

// Release lets a refused request be sent again; prefix is the beginning of its digest. The
// daemons hear of it with their relays' next listing. Errors are ErrNotRefused, ErrAmbiguous
// and those of objectapi.Store; after ErrUnknownOutcome it may have been released.
func Release(ctx context.Context, feed objectapi.Feed, key, prefix string, now time.Time) (Digest, error) {
	for try := 1; ; try++ {
		s, version, err := fetch(ctx, feed, key)
		if err != nil {
			return Digest{}, err
		}
		d, err := s.find(prefix)
		if err != nil {
			return Digest{}, err
		}
		s.Release(d, now)
		value, err := json.Marshal(s)
		if err != nil {
			return Digest{}, errors.Trace(err)
		}
		_, err = feed.Update(ctx, key, version, value)
		if !errors.Is(err, objectapi.ErrConflict) || try == releaseTries {
			return d, err
		}
	}
}

// find returns the refused content whose digest begins with prefix.
func (s *Stored) find(prefix string) (found Digest, err error) {
	n := 0
	for i := range s.Contents {
		if c := &s.Contents[i]; c.Refuses() && prefix != "" && strings.HasPrefix(c.Digest.String(), prefix) {
			found = c.Digest
			n++
		}
	}
	switch n {
	case 0:
		return Digest{}, ErrNotRefused
	case 1:
		return found, nil
	}
	return Digest{}, ErrAmbiguous
}
