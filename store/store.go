// Package store reaches the platform's metadata store, the only place where
// papayasail keeps or agrees on anything.
package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Version is the store-wide revision at which an object was last written. It
// rises with every write to the store, so versions of different objects are
// ordered too. Zero stands for "does not exist".
type Version uint64

// MaxValueBytes is the largest value that the metadata store holds.
const MaxValueBytes = 1 << 20

// Object is one stored object.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Value   []byte
	Deleted bool // set in watch events only
}

// Store is the platform's metadata store.
type Store interface {
	// Get returns an object or ErrNoObject.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the object's version is expect (zero: the object
	// must not exist) and returns the new version. Errors: *VersionError,
	// ErrUnavailable (nothing was written), ErrOutcomeUnknown (the write may
	// have taken effect; read back to settle it).
	Put(ctx context.Context, kind, name string, value []byte, expect Version) (Version, error)
	// List returns all objects of a kind, ordered by name, and the store's
	// revision at that moment.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Watch waits up to the server's limit for changes of a kind after a
	// revision and returns them in order with the revision they reach. No
	// change within the limit: no events and the same or a later revision.
	// ErrCompacted: the revision is too old, List again.
	Watch(ctx context.Context, kind string, after Version) ([]Object, Version, error)
}

var (
	// ErrNoObject means that the object does not exist.
	ErrNoObject = errors.New("platform: no such object")
	// ErrUnavailable means that the store did not take the request: nothing was written.
	ErrUnavailable = errors.New("platform: store unavailable")
	// ErrOutcomeUnknown means that a write was sent and its answer lost.
	ErrOutcomeUnknown = errors.New("platform: outcome of write unknown")
	// ErrCompacted means that a watch asked for changes the store no longer has.
	ErrCompacted = errors.New("platform: revision compacted")
)

// VersionError means that a conditional write met another version.
type VersionError struct {
	Current Version // zero: the object does not exist
}

// Error implements error.
func (e *VersionError) Error() string {
	return errors.Newf("platform: bad version, current is %d", e.Current).Error()
}
