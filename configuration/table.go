package configuration

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/settings"
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
	clashes = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "papayasail", Subsystem: "configuration", Name: "organisation_clashes_total",
		Help: "Tokens put in force that another organisation holds too; the first by name has it.",
	})
	unreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "papayasail", Subsystem: "configuration", Name: "unreadable_total",
		Help: "Versions that could not be parsed; the last good one stays in force.",
	})
)

func init() { prometheus.MustRegister(adopted, refusedOlder, unreadable, clashes) }

// Parser reads a service document. File names it in findings.
type Parser func(file string, data []byte) (*contract.Document, error)

// Finding says that a stored object could not be put in force.
type Finding struct {
	Name    string // stored name
	Version store.Version
	Err     error
}

// Table is the configuration in force on this host. For each object the
// version only rises, whoever offers one: the store, a peer, in any order.
//
// Batches that hold all changes after a version that this host has (a list,
// watches in order, a peer's Since of this host's Version) leave the table
// complete up to its Version. A host whose digest still differs from a peer's
// after such a batch asks for Since(0).
type Table struct {
	parse Parser

	mu        sync.RWMutex // guards all below; not held while subscribers run
	objects   map[objectKey]store.Object
	services  map[string]inForce
	drained   map[string]bool
	directory directory
	listed    map[string]store.Version // by kind: revision of the newest list
	version   store.Version
	complete  bool   // has had all there was at one moment
	digest    uint64 // sum of the hashes of all objects that are not deleted
	listeners []func()
}

type objectKey struct{ kind, name string }

// inForce is the last good document of a service.
type inForce struct {
	document *contract.Document
	version  store.Version
}

// NewTable returns an empty table that reads documents with parse.
func NewTable(parse Parser) *Table {
	return &Table{
		parse:     parse,
		objects:   map[objectKey]store.Object{},
		listed:    map[string]store.Version{},
		services:  map[string]inForce{},
		drained:   map[string]bool{},
		directory: newDirectory(),
	}
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
			findings = append(findings, Finding{Name: object.Name, Version: object.Version, Err: err})
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
	return true, t.putInForce(object)
}

// putInForce applies an object's content. On an error the last good content
// stays in force. The caller holds mu.
func (t *Table) putInForce(object store.Object) error {
	what, name := nameOf(object.Name)
	if object.Deleted {
		t.forget(what, name)
		return nil
	}
	envelope, err := ParseEnvelope(object.Value)
	if err != nil {
		return err
	}
	switch what {
	case audit.WhatDrain:
		if envelope.Drained {
			t.drained[name] = true
		} else {
			delete(t.drained, name)
		}
	case audit.WhatOrganisation:
		organisations := stamped(envelope.Organisations, object.Version)
		if err := checkShard(name, organisations); err != nil {
			return err
		}
		clashes.Add(float64(t.directory.take(name, organisations)))
	case audit.WhatDocument:
		if envelope.Document == "" {
			return nil
		}
		document, err := t.parse(name, []byte(envelope.Document))
		if err != nil {
			return err
		}
		t.services[name] = inForce{document: document, version: object.Version}
	}
	return nil
}

// forget takes a deleted object out of force. The caller holds mu.
func (t *Table) forget(what audit.What, name string) {
	switch what {
	case audit.WhatDrain:
		delete(t.drained, name)
	case audit.WhatOrganisation:
		t.directory.take(name, nil)
	case audit.WhatDocument:
		delete(t.services, name)
	}
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

// Document returns the document in force of a service and its version.
// Documents are shared: callers must not change them.
func (t *Table) Document(service string) (*contract.Document, store.Version, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	current, ok := t.services[service]
	return current.document, current.version, ok
}

// Source returns the newest stored document of a service as its team wrote it,
// and its version.
func (t *Table) Source(service string) (string, store.Version, bool) {
	t.mu.RLock()
	object, ok := t.objects[objectKey{Kind, ServiceName(service)}]
	t.mu.RUnlock()
	envelope, err := ParseEnvelope(object.Value)
	if !ok || object.Deleted || err != nil || envelope.Document == "" {
		return "", 0, false
	}
	return envelope.Document, object.Version, true
}

// Documents returns all documents in force, ordered by service.
func (t *Table) Documents() []*contract.Document {
	t.mu.RLock()
	defer t.mu.RUnlock()
	documents := make([]*contract.Document, 0, len(t.services))
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		documents = append(documents, t.services[service].document)
	}
	return documents
}

// Drained reports whether an operator drained the backend server at address.
func (t *Table) Drained(address string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.drained[address]
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

// Organisation returns the organisation in force that holds a token. It is
// shared: callers must not change it.
func (t *Table) Organisation(token settings.TokenHash) (*Organisation, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	organisation, ok := t.directory.byToken[token]
	return organisation, ok
}

// Organisations returns those in force whose names come after a name, in
// order, limit at most. They are shared: callers must not change them.
func (t *Table) Organisations(after string, limit int) []*Organisation {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.directory.page(after, limit)
}

// OrganisationNamed returns the organisation in force of a name.
func (t *Table) OrganisationNamed(name string) (*Organisation, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.directory.named(name)
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
