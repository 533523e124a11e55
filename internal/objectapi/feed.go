package objectapi

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a Feed, in addition to those of Store. Compare with errors.Is.
const (
	// ErrCompacted: the store no longer has the history after that revision; list again.
	ErrCompacted = errors.ConstError("objectapi: history compacted")
)

// Event is one change of one object. For a removal, Object has the key and the version of
// the removal; its value may be empty.
type Event struct {
	Object  Object
	Removed bool
}

// Listing holds all objects of a kind. It includes every change up to Revision.
type Listing struct {
	Objects  []Object
	Revision uint64
	// Transfer is the cost of reading the listing; zero if not measured.
	Transfer Transfer
}

// Transfer is the cost of reading a listing from the store.
type Transfer struct {
	Pages int
	Bytes int
	// Wait is the time until the headers of the answers arrived, Receive the time until their
	// bodies were complete, Decode the time to decode the objects.
	Wait, Receive, Decode time.Duration
}

// Changes is the result of one Follow call.
type Changes struct {
	Events []Event // may be empty
	// Revision is the revision to follow from next.
	Revision uint64
	// ClosesGap is set if the next call must follow from Revision even if there are no events: a relay
	// does not know all changes before it.
	ClosesGap bool
	// Age is how long before this Follow call the request to the store was sent that returned
	// these changes; negative if it was sent later, zero if the store answered directly. It
	// may be overestimated, never underestimated.
	Age time.Duration
}

// Feed is an object API for following all objects of a kind: unlike Store it reports
// removals, and ListKind does not lag. A key is "kind/name". All methods are safe for
// concurrent use; errors are those of Store and ErrCompacted.
type Feed interface {
	// Get returns the current object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// GetStale is Get at a tenth of its cost. It returns the object as it was some seconds ago,
	// if it existed then, and proves nothing about its current state.
	GetStale(ctx context.Context, key string) (Object, error)
	// ListKind returns all objects of a kind. ErrNotFound: the store does not know the kind; the listing's
	// Revision is then the lowest of the store's era.
	ListKind(ctx context.Context, kind string) (Listing, error)
	// ListStale is ListKind at a tenth of its cost. It returns objects as they were some
	// seconds ago, not all at the same time. Every change up to Revision is included, so the
	// current state is known only after following from Revision.
	ListStale(ctx context.Context, kind string) (Listing, error)
	// Follow waits up to wait for changes of a kind after a revision and returns them,
	// possibly none. It returns ErrCompacted if the store no longer has that history.
	Follow(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error)
	// Create writes an object that must not exist and returns its version.
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	// Update replaces the object if version is current and returns the new
	// version, or ErrConflict.
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}
