package revision

import (
	"context"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// ErrUnchanged: the change function had nothing to write.
const ErrUnchanged = errors.ConstError("revision: nothing to change")

// maxCommitTries limits the attempts of one Commit.
const maxCommitTries = 20

// Commit applies change to the current head by a conditional update and returns the head
// in force and its version. After a version conflict or a lost answer it calls change
// again with the current head; change must recognise that its earlier write succeeded and
// return ErrUnchanged then. Errors of change are returned unwrapped, with the current head.
// ErrUnknownOutcome means that a write may have been applied and could not be confirmed by
// reading the head back.
func Commit(ctx context.Context, store objectapi.Store, change func(Head) (Head, error)) (Head, uint64, error) {
	var err error
	written := false
	for range maxCommitTries {
		var head Head
		var version uint64
		head, version, err = Read(ctx, store)
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			break
		}
		next, changeErr := change(head)
		if changeErr != nil {
			return head, version, changeErr
		}
		version, err = write(ctx, store, version, next)
		if err == nil {
			return next, version, nil
		}
		written = written || errors.Is(err, objectapi.ErrUnknownOutcome)
		if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrUnknownOutcome) {
			break
		}
	}
	if written {
		return Head{}, 0, errors.WithType(err, objectapi.ErrUnknownOutcome)
	}
	return Head{}, 0, errors.Trace(err)
}

// Read returns the current head and its version. On an empty platform it returns an empty
// head, version 0 and ErrNotFound.
func Read(ctx context.Context, store objectapi.Store) (Head, uint64, error) {
	obj, err := store.Get(ctx, Key)
	if err != nil {
		return NewHead(), 0, err
	}
	head, err := Decode(obj.Value)
	return head, obj.Version, err
}

func write(ctx context.Context, store objectapi.Store, version uint64, next Head) (uint64, error) {
	value, err := next.Encode()
	if err != nil {
		return 0, err
	}
	if version == 0 {
		return store.Create(ctx, Key, value)
	}
	return store.Update(ctx, Key, version, value)
}
