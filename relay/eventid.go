// Package relay forwards requests from callers to backend servers and returns
// the responses: token streams that can be resumed at any entry host, and exact
// calls with one complete response.
package relay

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	eventIDVersion  = "1"
	eventIDFields   = 4 // version, location, offset, MAC
	refFields       = 4 // organisation, service, server, generation
	macBytes        = 16
	maxEventIDBytes = 1024
	fieldSeparator  = "\n"
	offsetBase      = 36
)

// ErrEventID means that an event id is malformed or not authentic.
var ErrEventID = errors.New("relay: event id is malformed or not authentic")

// GenerationRef identifies a generation, its organisation and service, and the
// backend server that runs it.
type GenerationRef struct {
	Organisation string
	Service      string
	Server       string // address of the backend server, IP:port
	Generation   string
}

// EventID is a position in a stream: Next is the offset of the first token
// that the caller has not received. Any entry host can resume the stream from
// it without shared state, because the id includes the generation's location.
type EventID struct {
	GenerationRef
	Next int
}

// Signer creates and verifies event ids with an HMAC-SHA256. All entry hosts
// have the keys in their settings. The first key signs and all keys verify, so
// that a key can be replaced on one host after another.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer with the given keys; at least one is required.
func NewSigner(keys ...[]byte) *Signer { return &Signer{keys: keys} }

// GenerationSigner creates the event ids of one stream.
type GenerationSigner struct {
	key    []byte
	prefix string
}

// ForGeneration returns a signer for the events of one stream.
func (s *Signer) ForGeneration(ref GenerationRef) *GenerationSigner {
	fields := strings.Join([]string{ref.Organisation, ref.Service, ref.Server, ref.Generation}, fieldSeparator)
	prefix := eventIDVersion + "." + base64.RawURLEncoding.EncodeToString([]byte(fields)) + "."
	return &GenerationSigner{key: s.keys[0], prefix: prefix}
}

// EventIDAt returns the event id from which the stream resumes with the token at
// offset next.
func (s *GenerationSigner) EventIDAt(next int) string {
	signed := s.prefix + strconv.FormatInt(int64(next), offsetBase)
	return signed + "." + eventMAC(s.key, signed)
}

func eventMAC(key []byte, signed string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(signed))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

// Parse decodes and verifies an event id. It returns ErrEventID if the id is
// malformed or not authentic.
func (s *Signer) Parse(id string) (EventID, error) {
	if len(id) > maxEventIDBytes {
		return EventID{}, ErrEventID
	}
	parts := strings.Split(id, ".")
	if len(parts) != eventIDFields || parts[0] != eventIDVersion || !s.authentic(id, parts[eventIDFields-1]) {
		return EventID{}, ErrEventID
	}
	raw, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return EventID{}, ErrEventID
	}
	fields := strings.Split(string(raw), fieldSeparator)
	next, err := strconv.ParseInt(parts[2], offsetBase, 32)
	if err != nil || next < 0 || len(fields) != refFields {
		return EventID{}, ErrEventID
	}
	ref := GenerationRef{Organisation: fields[0], Service: fields[1], Server: fields[2], Generation: fields[3]}
	return EventID{GenerationRef: ref, Next: int(next)}, nil
}

func (s *Signer) authentic(id, got string) bool {
	signed := id[:len(id)-len(got)-1]
	for _, key := range s.keys {
		if hmac.Equal([]byte(eventMAC(key, signed)), []byte(got)) {
			return true
		}
	}
	return false
}
