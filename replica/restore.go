package replica

import (
	"time"

	"github.com/papayasail/papayasail/store"
)

// RestoreGrace is how long after a host first sees a new era of the store its
// content may still be older than what the host has: the store came back from an
// older copy, and operators and servers need some time to write again what it lost.
const RestoreGrace = 2500 * time.Millisecond

// Precedence says which of two contents of an object a host keeps if they are from
// different eras of the store.
type Precedence int

// Precedences of the content of the older era.
const (
	// Replaced content yields to that of the newer era.
	Replaced Precedence = iota
	// KeptForGrace is kept until RestoreGrace has passed.
	KeptForGrace
	// Kept content is never replaced by this content of the newer era.
	Kept
)

// Across decides between the contents of an object in an older and in a newer era.
// Older may be a tombstone. Newer is one if a list of the newer era lacks the object;
// a deletion that was made in the newer era always takes effect. It must not block.
type Across func(older, newer store.Object) Precedence

// keepDeletions is the default Across: only a deletion is held back for the grace.
func keepDeletions(_, newer store.Object) Precedence {
	if newer.Deleted {
		return KeptForGrace
	}
	return Replaced
}

// noteEra records the newest era. Objects and lists that a host receives first begin
// no grace, since it has nothing to keep. The caller holds mu.
func (t *Table) noteEra(version store.Version) {
	era := version.Era()
	if era <= t.era && t.eraKnown {
		return
	}
	if t.eraKnown {
		t.eraBegan = time.Now()
		t.newEra = true
	}
	t.era, t.eraKnown = era, true
}

// inGrace reports whether content of the newest era may still be older than what this
// host has. The caller holds mu.
func (t *Table) inGrace() bool { return t.graceLeft() > 0 }

// graceLeft returns the remaining time of the grace. The caller holds mu.
func (t *Table) graceLeft() time.Duration {
	if t.eraBegan.IsZero() {
		return 0
	}
	return max(0, RestoreGrace-time.Since(t.eraBegan))
}

// GraceLeft returns how much longer objects may be kept although the store, in a new
// era, has other content or none. After that they have to be listed again.
func (t *Table) GraceLeft() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.graceLeft()
}

// precedes reports whether object takes the place of current, which this host has.
// The caller holds mu.
func (t *Table) precedes(object, current store.Object) bool {
	if object.Version.Era() == current.Version.Era() {
		return object.Version > current.Version
	}
	if object.Version < current.Version {
		return !object.Deleted && !current.Deleted && t.across(object, current) == Kept
	}
	return object.Deleted || !t.keeps(current, object)
}

// keeps reports whether this host keeps the content of an older era. The caller holds
// mu.
func (t *Table) keeps(older, newer store.Object) bool {
	precedence := t.across(older, newer)
	return precedence == Kept || precedence == KeptForGrace && t.inGrace()
}

// OfEarlierEra returns the objects of a kind that this host has from an era before that
// of the given version, without tombstones.
func (t *Table) OfEarlierEra(kind string, version store.Version) (objects []store.Object) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for key, object := range t.objects {
		if key.kind == kind && !object.Deleted && object.Version.Era() < version.Era() {
			objects = append(objects, object)
		}
	}
	return objects
}
