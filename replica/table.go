// Package replica keeps copies of the store's objects on one host. Within an era of
// the store the version of each object only increases, whether updates come from the
// store or from peers, and in whatever order. Between eras, Across decides.
package replica

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/store"
)

var (
	adopted = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "papayasail", Subsystem: "configuration", Name: "adopted_total",
		Help: "Object versions adopted.",
	})
	refusedOlder = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "papayasail", Subsystem: "configuration", Name: "refused_older_total",
		Help: "Objects refused because this host already has a newer version.",
	})
	unreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "papayasail", Subsystem: "configuration", Name: "unreadable_total",
		Help: "Object versions that could not be applied; the last valid one stays active.",
	})
)

func init() { prometheus.MustRegister(adopted, refusedOlder, unreadable) }

// Finding is a stored object that could not be applied, and the error.
type Finding struct {
	Kind    string
	Name    string // stored name
	Version store.Version
	Err     error
}

// Apply activates an object's content; a deleted object has no value. If it
// returns an error, the previous content stays active. It is called for each
// version that the table adopts, in increasing order within a batch, with the
// table's lock held.
type Apply func(store.Object) error

// Table is the set of objects that this host has received, including tombstones
// of deleted ones.
//
// If a batch contains all changes after a version that this host already has, the
// table afterwards has all changes up to its Version. Such batches are a list,
// consecutive watches, and a peer's Since of this host's Version. A host whose
// digest still differs from a peer's after such a batch requests Since(0).
type Table struct {
	apply  Apply
	across Across
	// OnNewEra is called, without the table's lock held, when this host has first seen
	// a new era of the store; nil: no call. Set it before use. It must not block.
	OnNewEra func(era uint64)

	mu        sync.RWMutex // guards all below; held while apply runs, but not while listeners run
	objects   map[objectKey]store.Object
	listed    map[string]store.Version // by kind: revision of the newest list
	version   store.Version
	required  []string      // kinds that must have been listed for the table to be complete; none: any
	complete  bool          // the required lists were adopted, or a complete peer has sent all its objects
	era       uint64        // newest era of the store
	eraKnown  bool          // whether any object or list was adopted
	eraBegan  time.Time     // when this host first saw the newest era; zero: its first one
	newEra    bool          // OnNewEra is to be called
	digest    uint64        // sum of the hashes of all objects that are not deleted
	upTo      store.Version // see CompleteTo
	listeners []func()

	changed map[objectKey]struct{} // objects adopted since the last TakeChanged; nil before the first
	taken   store.Version          // version at the last TakeChanged
}

type objectKey struct{ kind, name string }

// New returns an empty table that activates objects with apply.
func New(apply Apply) *Table {
	return &Table{
		apply:   apply,
		across:  keepDeletions,
		objects: map[objectKey]store.Object{},
		listed:  map[string]store.Version{},
	}
}

// SetAcross sets what decides between contents of different eras. It must be called
// before the table is used.
func (t *Table) SetAcross(across Across) { t.across = across }

// Get returns an object, and whether the table has it and it is not deleted.
func (t *Table) Get(kind, name string) (store.Object, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	object, ok := t.objects[objectKey{kind, name}]
	return object, ok && !object.Deleted
}

// Adopt adopts the objects that are newer than those in the table and returns how
// many there were, with a finding for each that could not be applied. Deleted
// objects are kept as tombstones, so that a peer or a delayed answer cannot
// restore an older version.
func (t *Table) Adopt(objects []store.Object) (changed int, findings []Finding) {
	t.mu.Lock()
	changed, findings = t.adoptAll(objects)
	t.mu.Unlock()
	t.notify(changed, findings)
	return changed, findings
}

// adoptAll adopts objects in order of version. The caller holds mu.
func (t *Table) adoptAll(objects []store.Object) (changed int, findings []Finding) {
	ordered := slices.Clone(objects)
	slices.SortStableFunc(ordered, byVersion)
	for _, object := range ordered {
		newer, err := t.adopt(object)
		if newer {
			changed++
		}
		if err != nil {
			findings = append(findings, Finding{Kind: object.Kind, Name: object.Name, Version: object.Version, Err: err})
		}
	}
	return changed, findings
}

// notify updates the metrics and, if any object changed, calls the listeners.
func (t *Table) notify(changed int, findings []Finding) {
	adopted.Add(float64(changed))
	unreadable.Add(float64(len(findings)))
	if era, begun := t.takeNewEra(); begun && t.OnNewEra != nil {
		t.OnNewEra(era)
	}
	if changed == 0 {
		return
	}
	t.mu.RLock()
	listeners := t.listeners
	t.mu.RUnlock()
	for _, listener := range listeners {
		listener()
	}
}

// adopt adopts one object and reports whether it was newer than the table's. The
// error is that of apply. The caller holds mu.
func (t *Table) adopt(object store.Object) (newer bool, err error) {
	t.noteEra(object.Version)
	key := objectKey{object.Kind, object.Name}
	current, known := t.objects[key]
	if known && !t.precedes(object, current) {
		// An older version can come from a peer that was partitioned, a delayed
		// answer of the store, or a store that came back from an older copy. Adopting
		// it would revert an accepted change.
		if object.Version != current.Version {
			refusedOlder.Inc()
		}
		// What is refused counts as seen: hosts that adopted it then pull from this one,
		// as their digests differ.
		t.version = max(t.version, object.Version)
		return false, nil
	}
	listed := t.listed[object.Kind]
	if !known && object.Version.Era() < listed.Era() && !object.Deleted {
		// The newer era's list lacks it, perhaps only because the store's copy is older.
		// A tombstone would delete it at hosts that keep it for the grace.
		refusedOlder.Inc()
		return false, nil
	}
	// If this host has a content of another era, the list may have had the object, and this
	// host may have kept its own.
	unlisted := object.Version <= listed && (!known || current.Version.Era() == object.Version.Era())
	if unlisted && !object.Deleted {
		// A list newer than this version did not contain the object, so it was
		// deleted before this host received it. A peer that still has it would
		// restore it; the tombstone deletes it at that peer instead.
		object = store.Object{Kind: object.Kind, Name: object.Name, Version: listed, Deleted: true}
	}
	if known && !current.Deleted {
		t.digest -= hashOf(current)
	}
	if object.Deleted {
		object.Value = nil
	} else {
		t.digest += hashOf(object)
	}
	t.objects[key] = object
	if t.changed != nil {
		t.changed[key] = struct{}{}
	}
	t.version = max(t.version, object.Version)
	if known && object.Version.Era() > current.Version.Era() && sameContent(object, current) {
		return true, nil // in force already
	}
	return true, t.apply(object)
}

func sameContent(a, b store.Object) bool {
	return a.Deleted == b.Deleted && bytes.Equal(a.Value, b.Value)
}

// takeNewEra returns the newest era, and whether it has begun since the last call.
func (t *Table) takeNewEra() (era uint64, begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun, t.newEra = t.newEra, false
	return t.era, begun
}

// AdoptList adopts the result of a list. Objects of the kind that are in the
// table in an earlier version, but not in the list, were deleted while this host
// did not watch; they become tombstones at the list's revision.
func (t *Table) AdoptList(kind string, objects []store.Object, revision store.Version) (changed int, findings []Finding) {
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Name] = true
	}
	all := slices.Clone(objects)
	t.mu.Lock()
	t.noteEra(revision)
	for key, current := range t.objects {
		if key.kind != kind || current.Deleted || listed[key.name] || current.Version >= revision {
			continue
		}
		tombstone := store.Object{Kind: kind, Name: key.name, Version: revision, Deleted: true}
		if current.Version.Era() == revision.Era() || !t.keeps(current, tombstone) {
			all = append(all, tombstone)
		}
	}
	changed, findings = t.adoptAll(all)
	t.listed[kind] = max(t.listed[kind], revision)
	t.complete = t.complete || !slices.ContainsFunc(t.required, func(kind string) bool { _, listed := t.listed[kind]; return !listed })
	t.mu.Unlock()
	t.notify(changed, findings)
	return changed, findings
}

// Listed returns the revision of the newest list of a kind; zero if there was none.
func (t *Table) Listed(kind string) store.Version {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.listed[kind]
}

// Require sets the kinds that must have been listed for the table to be complete.
// It must be called before the table is used.
func (t *Table) Require(kinds ...string) { t.required = kinds }

// Complete reports whether this host has adopted a list of each required kind from
// the store (without Require: of any kind), or all objects of a complete peer. Until
// then, an object missing from the table may exist in the store; after a list, this
// still holds for objects of kinds that were not listed.
func (t *Table) Complete() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.complete
}

// SetComplete records that a peer with a complete table has sent all its objects.
func (t *Table) SetComplete() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.complete = true
}

// CompleteTo returns the version up to which this host has all changes of the required
// kinds; zero if it does not know. It may have some newer ones too.
func (t *Table) CompleteTo() store.Version {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.required) == 0 {
		return t.upTo
	}
	listed := t.listed[t.required[0]]
	for _, kind := range t.required {
		listed = min(listed, t.listed[kind])
	}
	return max(t.upTo, listed)
}

// SetCompleteTo records that this host has all changes of the required kinds up to a
// version. A lower one than before has no effect.
func (t *Table) SetCompleteTo(version store.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upTo = max(t.upTo, version)
}

// HasEach reports whether this host has an object of each revision after a version up to
// another one, of the same era: then it has all changes up to that. It is false, too, if an
// object has changed twice or was deleted since.
func (t *Table) HasEach(after, upTo store.Version) bool {
	if after.Era() != upTo.Era() {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	found := uint64(0)
	for _, object := range t.objects {
		if !object.Deleted && object.Version > after && object.Version <= upTo {
			found++
		}
	}
	return found == upTo.Revision()-after.Revision()
}

// HashesSince returns the hashes of the objects newer than a version; see Missing.
func (t *Table) HashesSince(after store.Version) []uint64 {
	objects := t.Since(after)
	hashes := make([]uint64, len(objects))
	for i, object := range objects {
		hashes[i] = hashOf(object)
	}
	return hashes
}

// Missing returns the objects newer than a version, including tombstones, ordered by
// version, without those whose hashes another host has.
func (t *Table) Missing(after store.Version, have []uint64) []store.Object {
	objects := t.Since(after)
	if len(have) == 0 || len(objects) == 0 {
		return objects
	}
	held := make(map[uint64]struct{}, len(have))
	for _, hash := range have {
		held[hash] = struct{}{}
	}
	return slices.DeleteFunc(objects, func(object store.Object) bool {
		_, ok := held[hashOf(object)]
		return ok
	})
}

// Version returns the newest version of any object in the table; zero means that
// this host has no configuration yet.
func (t *Table) Version() store.Version {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Digest returns a hash of the kinds, names and versions of all objects that are
// not deleted. Hosts with the same objects have the same digest, regardless of the
// order in which they adopted them.
func (t *Table) Digest() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.digest
}

// Since returns the objects newer than a version, including tombstones, ordered
// by version.
func (t *Table) Since(after store.Version) []store.Object {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.version <= after {
		return nil
	}
	var objects []store.Object
	for _, object := range t.objects {
		if object.Version > after {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b store.Object) int {
		if order := byVersion(a, b); order != 0 {
			return order
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return objects
}

// TakeChanged returns the objects adopted since the last call, ordered by version,
// and the version of the table at that call. The first call returns no objects.
func (t *Table) TakeChanged() (objects []store.Object, previous store.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.changed {
		objects = append(objects, t.objects[key])
	}
	slices.SortFunc(objects, byVersion)
	t.changed = map[objectKey]struct{}{}
	previous, t.taken = t.taken, t.version
	return objects, previous
}

// Subscribe registers a listener that is called after each batch with changes,
// without the table's lock held. It must not block.
func (t *Table) Subscribe(listener func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(slices.Clone(t.listeners), listener)
}

func byVersion(a, b store.Object) int { return cmp.Compare(a.Version, b.Version) }

func hashOf(object store.Object) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(object.Kind + "\x00" + object.Name + "\x00")
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(object.Version)))
	return digest.Sum64()
}
