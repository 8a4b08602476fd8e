package store

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
)

// PutSettled writes like Store.Put and settles a lost answer itself: it makes
// the same conditional write again until the store says what holds. Value has
// to be unlike any other writer's, which a random id in it ensures.
//
// Failure: the answer to a write is lost after it took effect. It shows as
// VersionError at the second try, against our own write. The guard reads the
// object and compares the value. The condition makes the repeat safe, and a
// first try that is still on its way cannot take effect after the second.
//
// Errors: *VersionError (the object holds another write), ErrUnavailable
// (nothing was written), ErrOutcomeUnknown (ctx ended before the store said).
func PutSettled(ctx context.Context, store Store, kind, name string, value []byte, expect Version) (Version, error) {
	var backoff Backoff
	sent := false
	for {
		version, err := store.Put(ctx, kind, name, value, expect)
		var bad *VersionError
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, ErrOutcomeUnknown):
			sent = true
		case !sent:
			return 0, err
		case errors.As(err, &bad):
			object, readErr := store.Get(ctx, kind, name)
			if readErr == nil && bytes.Equal(object.Value, value) {
				return object.Version, nil
			}
			if readErr == nil || errors.Is(readErr, ErrNoObject) {
				return 0, err
			}
		}
		if backoff.Wait(ctx) != nil {
			return 0, errors.Mark(ctx.Err(), ErrOutcomeUnknown)
		}
	}
}
