// Package replica holds copies of the store's objects on one host. For each
// object the version only rises, whoever offers one: the store, a peer, in any
// order.
package replica

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/store"
)

var (
	adopted = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "papayasail", Subsystem: "configuration", Name: "adopted_total",
		Help: "Versions put in force.",
	})
	refusedOlder = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "papayasail", Subsystem: "configuration", Name: "refused_older_total",
		Help: "Objects offered in an older version than this host has had.",
	})
	unreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "papayasail", Subsystem: "configuration", Name: "unreadable_total",
		Help: "Versions that could not be parsed; the last good one stays in force.",
	})
)

func init() { prometheus.MustRegister(adopted, refusedOlder, unreadable) }

// Finding says that a stored object could not be put in force.
type Finding struct {
	Kind    string
	Name    string // stored name
	Version store.Version
	Err     error
}

// Apply puts an object's content in force; a deleted object has no value. On
// an error the content before stays in force. It is called for each version
// that is taken, in rising order, with the table's lock held.
type Apply func(store.Object) error

// Table is the set of objects that this host has had.
//
// Batches that hold all changes after a version that this host has (a list,
// watches in order, a peer's Since of this host's Version) leave the table
// complete up to its Version. A host whose digest still differs from a peer's
// after such a batch asks for Since(0).
type Table struct {
	apply Apply

	mu        sync.RWMutex // guards all below; held while apply runs, not while subscribers do
	objects   map[objectKey]store.Object
	listed    map[string]store.Version // by kind: revision of the newest list
	version   store.Version
	complete  bool   // has had all there was at one moment
	digest    uint64 // sum of the hashes of all objects that are not deleted
	listeners []func()
}

type objectKey struct{ kind, name string }

// New returns an empty table that puts objects in force with apply.
func New(apply Apply) *Table {
	return &Table{
		apply:   apply,
		objects: map[objectKey]store.Object{},
		listed:  map[string]store.Version{},
	}
}

// Get returns an object that is not deleted.
func (t *Table) Get(kind, name string) (store.Object, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	object, ok := t.objects[objectKey{kind, name}]
	return object, ok && !object.Deleted
}

// Adopt puts those objects in force that are newer than what this host has
// had, and returns how many. Deleted objects are kept as tombstones, so that a
// peer or a slow answer cannot bring an older version back.
func (t *Table) Adopt(objects []store.Object) (changed int, findings []Finding) {
	t.mu.Lock()
	changed, findings = t.adoptAll(objects)
	t.mu.Unlock()
	t.notify(changed, findings)
	return changed, findings
}

// adoptAll takes objects in order of version. The caller holds mu.
func (t *Table) adoptAll(objects []store.Object) (changed int, findings []Finding) {
	ordered := slices.Clone(objects)
	slices.SortStableFunc(ordered, byVersion)
	for _, object := range ordered {
		took, err := t.adopt(object)
		if took {
			changed++
		}
		if err != nil {
			findings = append(findings, Finding{Kind: object.Kind, Name: object.Name, Version: object.Version, Err: err})
		}
	}
	return changed, findings
}

// notify counts what was adopted and calls the listeners.
func (t *Table) notify(changed int, findings []Finding) {
	adopted.Add(float64(changed))
	unreadable.Add(float64(len(findings)))
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

// adopt takes one object. The caller holds mu.
func (t *Table) adopt(object store.Object) (took bool, err error) {
	key := objectKey{object.Kind, object.Name}
	had, known := t.objects[key]
	if object.Version <= had.Version {
		// An older version comes from a peer that was cut off, a slow answer
		// of the store, or a store restored from a backup. Serving it would
		// revert an accepted change.
		if object.Version < had.Version {
			refusedOlder.Inc()
		}
		return false, nil
	}
	if listed := t.listed[object.Kind]; object.Version <= listed && !object.Deleted {
		// A list of the store, newer than this version, did not have it: the
		// object was deleted before this host heard of it. A peer that still
		// serves it would bring it back; as a tombstone it goes the other way.
		object = store.Object{Kind: object.Kind, Name: object.Name, Version: listed, Deleted: true}
	}
	if known && !had.Deleted {
		t.digest -= hashOf(had)
	}
	if object.Deleted {
		object.Value = nil
	} else {
		t.digest += hashOf(object)
	}
	t.objects[key] = object
	t.version = max(t.version, object.Version)
	return true, t.apply(object)
}

// AdoptList adopts the answer of a list. Objects of the kind that the list
// lacks, and that this host knows from an earlier version, were deleted while
// it did not watch; they become tombstones of the list's revision.
func (t *Table) AdoptList(kind string, objects []store.Object, revision store.Version) (changed int, findings []Finding) {
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Name] = true
	}
	all := slices.Clone(objects)
	t.mu.Lock()
	for key, had := range t.objects {
		if key.kind == kind && !had.Deleted && !listed[key.name] && had.Version < revision {
			all = append(all, store.Object{Kind: kind, Name: key.name, Version: revision, Deleted: true})
		}
	}
	changed, findings = t.adoptAll(all)
	t.listed[kind] = max(t.listed[kind], revision)
	t.complete = true
	t.mu.Unlock()
	t.notify(changed, findings)
	return changed, findings
}

// Listed returns the revision of the newest list of a kind; zero: none.
func (t *Table) Listed(kind string) store.Version {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.listed[kind]
}

// Complete reports whether this host has had everything that the store or a
// peer had at one moment. Until then what it does not know may exist.
func (t *Table) Complete() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.complete
}

// SetComplete notes that a peer, itself complete, has given all it had.
func (t *Table) SetComplete() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.complete = true
}

// Version is the newest version that this host has had of any object; zero
// means that it has no configuration yet.
func (t *Table) Version() store.Version {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Digest is a hash of the names and versions of all objects that are not
// deleted. Hosts with the same objects have the same digest, in whichever
// order they adopted them.
func (t *Table) Digest() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.digest
}

// Since returns the objects newer than a version, tombstones too, in order of
// version.
func (t *Table) Since(after store.Version) []store.Object {
	t.mu.RLock()
	defer t.mu.RUnlock()
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

// Subscribe has listener called after each change. It must not block.
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
