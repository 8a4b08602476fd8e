package configuration

import (
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

var clashes = prometheus.NewCounter(prometheus.CounterOpts{
	Namespace: "papayasail", Subsystem: "configuration", Name: "organisation_clashes_total",
	Help: "Tokens put in force that another organisation has too; the first by name gets the token.",
})

func init() { prometheus.MustRegister(clashes) }

// Parser parses a service document. The file argument is the document's name in
// findings.
type Parser func(file string, data []byte) (*contract.Document, error)

// Finding reports a stored object that could not be put in force.
type Finding = replica.Finding

// Table is the configuration in force on this host: a replica of the stored
// objects and their decoded content. It is safe for concurrent use.
//
// Lock order: the replica's lock, then mu.
type Table struct {
	*replica.Table
	parse Parser

	mu       sync.RWMutex // guards all below
	services map[string]activeDocument
	drained  map[drainTarget]bool
	index    organisationIndex
}

// activeDocument is the last valid document of a service.
type activeDocument struct {
	document *contract.Document
	version  store.Version
}

// drainTarget is a backend server (drain) or failure domain (evacuation) that
// gets no new work.
type drainTarget struct {
	what audit.What
	name string
}

// NewTable returns an empty table that parses documents with parse.
func NewTable(parse Parser) *Table {
	t := &Table{
		parse:    parse,
		services: map[string]activeDocument{},
		drained:  map[drainTarget]bool{},
		index:    newOrganisationIndex(),
	}
	t.Table = replica.New(t.apply)
	t.SetAcross(acrossEras)
	return t
}

// apply applies an object's content. On an error the last valid content
// stays in force. The replica calls it with its lock held.
func (t *Table) apply(object store.Object) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	what, name := parseStoredName(object.Name)
	if object.Deleted {
		t.remove(what, name)
		return nil
	}
	envelope, err := ParseEnvelope(object.Value)
	if err != nil {
		return err
	}
	switch what {
	case audit.WhatDrain, audit.WhatEvacuation:
		if envelope.Drained {
			t.drained[drainTarget{what, name}] = true
		} else {
			delete(t.drained, drainTarget{what, name})
		}
	case audit.WhatOrganisation:
		organisations := withVersions(envelope.Organisations, object.Version)
		if err := checkShard(name, organisations); err != nil {
			return err
		}
		clashes.Add(float64(t.index.replaceShard(name, organisations)))
	case audit.WhatDocument:
		if envelope.Document == "" {
			return nil
		}
		document, err := t.parse(name, []byte(envelope.Document))
		if err != nil {
			return err
		}
		t.services[name] = activeDocument{document: document, version: object.Version}
	}
	return nil
}

// remove takes a deleted object out of force. The caller holds mu.
func (t *Table) remove(what audit.What, name string) {
	switch what {
	case audit.WhatDrain, audit.WhatEvacuation:
		delete(t.drained, drainTarget{what, name})
	case audit.WhatOrganisation:
		t.index.replaceShard(name, nil)
	case audit.WhatDocument:
		delete(t.services, name)
	}
}

// Document returns a service's document in force and its version.
// Documents are shared: callers must not change them.
func (t *Table) Document(service string) (*contract.Document, store.Version, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	current, ok := t.services[service]
	return current.document, current.version, ok
}

// Source returns the newest stored document of a service, unparsed, and its
// version. An invalid document is returned too, although it is not in force.
func (t *Table) Source(service string) (string, store.Version, bool) {
	object, ok := t.Get(Kind, ServiceName(service))
	envelope, err := ParseEnvelope(object.Value)
	if !ok || err != nil || envelope.Document == "" {
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
	return t.drained[drainTarget{audit.WhatDrain, address}]
}

// Evacuated reports whether an operator evacuated a failure domain.
func (t *Table) Evacuated(domain string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.drained[drainTarget{audit.WhatEvacuation, domain}]
}

// Organisation returns the organisation in force to which a token belongs. It
// is shared: callers must not change it.
func (t *Table) Organisation(token settings.TokenHash) (*Organisation, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	organisation, ok := t.index.byToken[token]
	return organisation, ok
}

// Organisations returns the organisations in force whose names sort after a
// name, ordered by name, limit at most. They are shared: callers must not
// change them.
func (t *Table) Organisations(after string, limit int) []*Organisation {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.index.page(after, limit)
}

// OrganisationNamed returns the organisation in force with a name. It is
// shared: callers must not change it.
func (t *Table) OrganisationNamed(name string) (*Organisation, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.index.find(name)
}
