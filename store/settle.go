package store

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
)

// PutSettled is like Store.Put but resolves unknown outcomes: it retries the same
// conditional write until the store confirms whether it took effect. Value must
// differ from every other writer's; a random id in it ensures that.
//
// Failure: the answer to a write is lost after the write took effect. The retry
// then returns a VersionError caused by this writer's own write, so PutSettled
// reads the object and compares the value. The condition makes the retry safe,
// and a first attempt that is still in flight cannot take effect after the second.
//
// Errors: *VersionError (the object does not have the expected version and does not
// contain value; if an answer was lost, value may have been written and then
// replaced or deleted), ErrUnavailable (nothing was written), ErrOutcomeUnknown
// (ctx ended before the outcome was known).
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
