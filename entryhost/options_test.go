package entryhost

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestHostWithoutStoreIsRefused(t *testing.T) {
	// Guards against a host without a store that starts and fails at its first
	// call to the store.
	is := is.New(t)
	_, err := New(Options{})
	is.True(errors.Is(err, errNoStore))
}
