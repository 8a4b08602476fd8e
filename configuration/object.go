// Package configuration keeps the service documents, drains, evacuations and
// organisations in force on an entry host, and writes changes to them to the
// platform's store.
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

// Kind is the kind of all stored configuration objects. They share one kind so
// that one list and one watch return them all in one order of versions.
const Kind = "configuration"

const (
	servicePrefix    = "service/"
	drainPrefix      = "drain/"
	evacuationPrefix = "evacuation/"
	// organisationsPrefix is followed by the id of a shard.
	organisationsPrefix = "organisations/"
	// headroomBytes is left unused below the store's limit on a value.
	headroomBytes = 4 << 10
)

// ServiceName returns the stored name of a service's document.
func ServiceName(service string) string { return servicePrefix + service }

// DrainName returns the stored name of a backend server's drain.
func DrainName(address string) string { return drainPrefix + address }

// EvacuationName returns the stored name of a failure domain's evacuation.
func EvacuationName(domain string) string { return evacuationPrefix + domain }

// Envelope is the stored form of a document, a drain, an evacuation or a shard
// of organisations. Its history contains the change that wrote it, so that a
// read determines the outcome of a write whose answer was lost.
type Envelope struct {
	// Document is the service document. It is empty in objects of other types
	// and in a service whose changes were all settled as not accepted.
	Document string `json:"document,omitempty"`
	// Drained is set if the backend server, or all servers of the failure
	// domain, get no new work.
	Drained bool `json:"drained,omitempty"`
	// Organisations are those of one shard, ordered by name.
	Organisations []Organisation `json:"organisations,omitempty"`
	History       audit.History  `json:"history"`
}

// ParseEnvelope decodes a stored object's value.
func ParseEnvelope(value []byte) (Envelope, error) {
	var envelope Envelope
	if err := json.Unmarshal(value, &envelope); err != nil {
		return Envelope{}, errors.Wrap(err, "configuration: stored object")
	}
	return envelope, nil
}

// Encode encodes the envelope for the store. While it is over the store's
// limit, the older half of its history is dropped; if it is over the limit
// with one entry left, Encode returns an error.
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

// digest returns a hash of the envelope's document or drain state.
func (e Envelope) digest() uint64 {
	text := "drain"
	if !e.Drained {
		text = "document " + e.Document
	}
	return xxhash.Sum64String(text)
}

// checkAddress returns an error if address is not an IP:port.
func checkAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return errors.Wrap(err, "configuration: backend server address")
}

// parseStoredName splits a stored name into the object's type and its name. An
// unknown type is empty.
func parseStoredName(stored string) (what audit.What, name string) {
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
