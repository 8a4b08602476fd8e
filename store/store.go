// Package store is the client interface to the platform's metadata store, the
// only place where papayasail persists state and reaches agreement.
package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the size limit of a value in the metadata store.
const MaxValueBytes = 1 << 20

// Object is one stored object.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Value   []byte
	Deleted bool // set in watch events and replicated tombstones, never by Get or List
}

// Store is the platform's metadata store.
type Store interface {
	// Get returns an object or ErrNoObject.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the object's version is expect (zero: the object
	// must not exist) and returns the new version. Errors: *VersionError,
	// ErrUnavailable (nothing was written), ErrOutcomeUnknown (the write may
	// have taken effect; a read of the object resolves it). A value over
	// MaxValueBytes is refused with another error; a retry cannot succeed.
	Put(ctx context.Context, kind, name string, value []byte, expect Version) (Version, error)
	// List returns all objects of a kind, ordered by name, and the store's
	// revision at that moment.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Watch waits up to the server's time limit for changes of a kind after a
	// revision and returns them in order with the revision that they reach. If
	// there is no change within the limit, it returns no events and the same or a
	// later revision. ErrCompacted means that the store does not have the changes
	// after the revision, or that it is of another era: call List again.
	Watch(ctx context.Context, kind string, after Version) ([]Object, Version, error)
}

var (
	// ErrNoObject means that the object does not exist.
	ErrNoObject = errors.New("platform: no such object")
	// ErrUnavailable means that the call failed and nothing was written.
	ErrUnavailable = errors.New("platform: store unavailable")
	// ErrOutcomeUnknown means that a write was sent and may have taken effect: no
	// answer was received, or one that does not show the outcome.
	ErrOutcomeUnknown = errors.New("platform: outcome of write unknown")
	// ErrCompacted means that a watch requested changes that the store no longer
	// has.
	ErrCompacted = errors.New("platform: revision compacted")
)

// VersionError means that the condition of a write failed: the object has another
// version than expected.
type VersionError struct {
	Current Version // zero: the object does not exist
}

// Error implements error.
func (e *VersionError) Error() string {
	return errors.Newf("platform: bad version, current is %d", e.Current).Error()
}
