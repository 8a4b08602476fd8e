// Package shortid bounds IDs that callers choose where tables, logs and messages keep them.
package shortid

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxBytes is the maximum length of a short ID.
const MaxBytes = 64

// hashBytes is the length of what replaces the end of a long ID: a separator and a hash.
const hashBytes = 1 + 13

// Of returns an ID itself if it has at most MaxBytes, and else its beginning and a hash of
// all of it, so that different IDs stay different.
func Of(id string) string {
	if len(id) <= MaxBytes {
		return id
	}
	return id[:MaxBytes-hashBytes] + "~" + strconv.FormatUint(xxhash.Sum64String(id), 36)
}
