// Package configuration holds the service documents and drains in force on an
// entry host, takes changes to them, and follows the platform's store.
package configuration

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/store"
)

// Kind is the kind of all stored configuration objects. Documents and drains
// share it so that one list and one watch see both in one order of versions.
const Kind = "configuration"

const (
	servicePrefix    = "service/"
	drainPrefix      = "drain/"
	evacuationPrefix = "evacuation/"
	// organisationsPrefix is followed by the name of a shard.
	organisationsPrefix = "organisations/"
	// headroomBytes is kept free below the store's limit.
	headroomBytes = 4 << 10
)

// ServiceName is the stored name of a service's document.
func ServiceName(service string) string { return servicePrefix + service }

// DrainName is the stored name of a backend server's drain.
func DrainName(address string) string { return drainPrefix + address }

// EvacuationName is the stored name of a failure domain's evacuation.
func EvacuationName(domain string) string { return evacuationPrefix + domain }

// Envelope is the stored form of a document, a drain, an evacuation or a shard
// of organisations. The change that wrote it stands in the history, so a read settles a write whose answer was lost.
type Envelope struct {
	// Document is the service document; empty in a drain, and in a service
	// that only ever had changes settled as not accepted.
	Document string `json:"document,omitempty"`
	// Drained says that the backend server, or all of the failure domain, gets
	// no new work.
	Drained bool `json:"drained,omitempty"`
	// Organisations is one shard of them, ordered by name.
	Organisations []Organisation `json:"organisations,omitempty"`
	History       audit.History  `json:"history"`
}

// ParseEnvelope reads a stored object's value.
func ParseEnvelope(value []byte) (Envelope, error) {
	var envelope Envelope
	if err := json.Unmarshal(value, &envelope); err != nil {
		return Envelope{}, errors.Wrap(err, "configuration: stored object")
	}
	return envelope, nil
}

// Encode renders the envelope for the store. Oldest history entries go first
// when it would be over the store's limit; a document that alone is over it
// is an error.
func (e Envelope) Encode() ([]byte, error) {
	for {
		value, err := json.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(err, "configuration: stored object")
		}
		if len(value) <= store.MaxValueBytes-headroomBytes {
			return value, nil
		}
		if len(e.History.Entries) <= 1 {
			return nil, errors.Newf("configuration: %d bytes are too large to store", len(value))
		}
		e.History = e.History.Truncate(len(e.History.Entries) / 2)
	}
}

// digest is the hash of what an envelope puts in force.
func (e Envelope) digest() uint64 {
	text := "drain"
	if !e.Drained {
		text = "document " + e.Document
	}
	return xxhash.Sum64String(text)
}

// checkAddress reports whether address is an IP:port.
func checkAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return errors.Wrap(err, "configuration: backend server address")
}

// nameOf splits a stored name into what it is about.
func nameOf(stored string) (what audit.What, name string) {
	if service, ok := strings.CutPrefix(stored, servicePrefix); ok {
		return audit.WhatDocument, service
	}
	if address, ok := strings.CutPrefix(stored, drainPrefix); ok {
		return audit.WhatDrain, address
	}
	if domain, ok := strings.CutPrefix(stored, evacuationPrefix); ok {
		return audit.WhatEvacuation, domain
	}
	if shard, ok := strings.CutPrefix(stored, organisationsPrefix); ok {
		return audit.WhatOrganisation, shard
	}
	return "", stored
}
