package objectapi

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a Feed, beside those of Store. Compare with errors.Is.
const (
	// ErrCompacted: the history asked for is gone; list again.
	ErrCompacted = errors.ConstError("objectapi: history compacted")
)

// Event is one change of one object. A removed object keeps its key and the
// version of its removal; its value may be empty.
type Event struct {
	Object  Object
	Removed bool
}

// Listing is all objects of a kind. Every change up to Revision is in it.
type Listing struct {
	Objects  []Object
	Revision uint64
	// Transfer is what reading it took; the zero value: not measured.
	Transfer Transfer
}

// Transfer is what reading a listing from the store took.
type Transfer struct {
	Pages int
	Bytes int
	// Wait is the time until the heads of the answers came, Receive until their bodies were
	// whole, Decode until the objects were read from them.
	Wait, Receive, Decode time.Duration
}

// Changes are what a call of Follow brought.
type Changes struct {
	Events []Event // possibly none
	// Revision is the store's revision to go on from after Events.
	Revision uint64
	// Age is how long before the caller asked the call was sent to the store that brought
	// these changes, negative if it was sent later; zero where the answer is the store's
	// own. It is never too young.
	Age time.Duration
}

// Feed is an object API that tells removals too and whose lists are current, not
// lagging: what a daemon needs to follow whole kinds of objects. A key is
// "kind/name". All methods are safe for concurrent use; errors are those of
// Store and of this file.
type Feed interface {
	// Get returns the current object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// GetStale is Get at a tenth of its price: the object as it was some seconds ago, if
	// it was there then. It proves nothing of what holds now.
	GetStale(ctx context.Context, key string) (Object, error)
	// ListKind returns all objects of a kind.
	ListKind(ctx context.Context, kind string) (Listing, error)
	// ListStale is ListKind at a tenth of its price: objects as they were some seconds
	// ago, not all at one time. Every change up to Revision is in it; whoever then
	// follows from Revision knows the kind as it is, and nothing before.
	ListStale(ctx context.Context, kind string) (Listing, error)
	// Follow waits up to wait for changes of a kind after a revision. It returns
	// them, possibly none, or ErrCompacted.
	Follow(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error)
	// Create writes an object that must not exist and returns its version.
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	// Update replaces the object if version is current and returns the new
	// version, or ErrConflict.
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}
