package store

// Version is the store-wide position at which an object was last written: the store's
// era and, within it, a revision that increases with every write. Versions of
// different objects are ordered as well. Zero means that the object does not exist.
//
// The store may come back from an older copy. Its revisions then go back and are
// given out again, and its era rises by one. A version of a later era is therefore
// higher, whatever its revision; it may still stand for older content.
type Version uint64

// revisionBits is the number of low bits of a Version that hold the revision. Versions
// up to era 8,191 are exact in JSON decoders that use floating point.
const revisionBits = 40

const (
	maxRevision = 1<<revisionBits - 1
	maxEra      = 1<<(64-revisionBits) - 1
)

// NewVersion returns the version of a revision in an era.
func NewVersion(era, revision uint64) Version {
	return Version(min(era, maxEra)<<revisionBits | min(revision, maxRevision))
}

// Era returns how often the store had come back from an older copy, as it counts;
// zero if it does not report it.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the store's revision within the era.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }
