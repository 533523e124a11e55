package revision

import (
	"context"

	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// ErrUnchanged: the change function found nothing to write.
const ErrUnchanged = errors.ConstError("revision: nothing to change")

// maxTries bounds how often a lost race is run again.
const maxTries = 20

// Commit applies change to the current head by conditional update until it is
// written, and returns the head that stands. change is called anew with the
// current head after every lost race or lost answer; it must recognise its own
// earlier success and return ErrUnchanged then. An ErrUnknownOutcome from here
// means that the platform could not even be read back.
func Commit(ctx context.Context, store objectapi.Store, change func(Head) (Head, error)) (Head, uint64, error) {
	var err error
	written := false
	for range maxTries {
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

// Read returns the current head; of an empty platform, an empty head at version
// 0 with ErrNotFound.
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
