package entryhost

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestHostWithoutStoreIsRefused(t *testing.T) {
	// A program forgets to hand the store in. The host started, and ended with
	// its first call to the store.
	is := is.New(t)
	_, err := New(Options{})
	is.True(errors.Is(err, errNoStore))
}
