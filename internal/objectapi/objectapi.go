// Package objectapi is the client side of the platform's object API: versioned objects with
// conditional updates and watches, and a list of VMs that may be out of date.
//
// The package relies on these guarantees: Get returns the current object; a write with a
// version is applied only if that version is still current; versions only grow. List, Watch
// and VMs may lag.
package objectapi

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Errors of the object API. Compare with errors.Is.
const (
	// ErrNotFound: no such object; nothing was applied.
	ErrNotFound = errors.ConstError("objectapi: object not found")
	// ErrConflict: the version given is not the current one, or the object to
	// create exists already; nothing was applied.
	ErrConflict = errors.ConstError("objectapi: version conflict")
	// ErrUnavailable: the platform could not be reached or refused the call;
	// nothing was applied.
	ErrUnavailable = errors.ConstError("objectapi: unavailable")
	// ErrUnknownOutcome: the write was sent and no complete answer arrived; it may have been
	// applied. Read the object back before retrying.
	ErrUnknownOutcome = errors.ConstError("objectapi: outcome unknown")
	// ErrTooLarge: the value exceeds MaxValueBytes; nothing was applied.
	ErrTooLarge = errors.ConstError("objectapi: value too large")
)

// Object is one versioned value. Version is the platform-wide revision of its last write; see MakeRevision
// for stores that come back from a copy.
type Object struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM. A leaving VM is about to be removed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list of upstream VMs.
type VM struct {
	Name         string  `json:"name"`
	Place        string  `json:"place"`
	Domain       string  `json:"domain"`
	Address      string  `json:"address"`
	Accelerators int     `json:"accelerators"`
	State        VMState `json:"state"`
}

// Store is the object API. All methods are safe for concurrent use. Their errors are those
// of this package, see ErrNotFound and the others.
type Store interface {
	// Get returns the current object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key has the prefix, in key order; it may lag.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Create writes an object that must not exist and returns its version.
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	// Update replaces the object if version is current and returns the new version.
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// Delete removes the object if version is current.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits until an object whose key has the prefix has a version above after, and
	// returns these objects. It returns none if the platform ends the wait first.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, error)
	// VMs returns the VMs of a fabric domain, or of all domains if it is ""; it may lag.
	VMs(ctx context.Context, domain string) ([]VM, error)
}
