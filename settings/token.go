package settings

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// TokenHash is the SHA-256 of a bearer token. Settings contain hashes only, so
// that a leaked file gives no access.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of a token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// String renders the hash in hexadecimal, as in settings.
func (h TokenHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h TokenHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *TokenHash) UnmarshalText(text []byte) (err error) {
	*h, err = ParseTokenHash(string(text))
	return err
}

// ParseTokenHash parses a hash in hexadecimal.
func ParseTokenHash(text string) (TokenHash, error) {
	var hash TokenHash
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		return hash, errors.New("must be the SHA-256 of a token, 64 hexadecimal digits (papayasail hash-token)")
	}
	copy(hash[:], raw)
	return hash, nil
}

// Tokens maps tokens to operators and organisations. It is immutable.
//
// The time of a lookup reveals nothing useful about valid tokens: the maps are keyed
// by the token's SHA-256, so the time of a comparison depends on a hash that an
// attacker cannot choose byte by byte.
type Tokens struct {
	operators     map[TokenHash]Operator
	organisations map[TokenHash]Organisation
	names         map[string]bool // names of organisations
}

// Tokens returns the lookup table of the settings.
func (s *Settings) Tokens() *Tokens {
	t := &Tokens{
		operators:     make(map[TokenHash]Operator, len(s.Operators)),
		organisations: make(map[TokenHash]Organisation, len(s.Organisations)),
		names:         make(map[string]bool, len(s.Organisations)),
	}
	for _, operator := range s.Operators {
		t.operators[operator.TokenSHA256] = operator
	}
	for _, organisation := range s.Organisations {
		t.organisations[organisation.TokenSHA256] = organisation
		t.names[organisation.Name] = true
	}
	return t
}

// Operator returns the operator that holds the token.
func (t *Tokens) Operator(token string) (Operator, bool) {
	operator, ok := t.operators[HashToken(token)]
	return operator, ok
}

// Organisation returns the organisation that holds the token.
func (t *Tokens) Organisation(token string) (Organisation, bool) {
	organisation, ok := t.organisations[HashToken(token)]
	return organisation, ok
}

// Holder returns "operator NAME" or "organisation NAME" for the hash of a token.
func (t *Tokens) Holder(hash TokenHash) (name string, ok bool) {
	if operator, ok := t.operators[hash]; ok {
		return "operator " + operator.Name, true
	}
	organisation, ok := t.organisations[hash]
	return "organisation " + organisation.Name, ok
}

// HasOrganisation reports whether an organisation has this name.
func (t *Tokens) HasOrganisation(name string) bool { return t.names[name] }

// MayUse reports whether the organisation may use a service.
func (o Organisation) MayUse(service string) bool {
	if o.Services == nil {
		return true
	}
	for _, allowed := range o.Services {
		if allowed == service {
			return true
		}
	}
	return false
}
