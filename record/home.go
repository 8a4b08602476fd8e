// Package record keeps in memory the outcome of each non-idempotent request, so
// that a request runs at most once, regardless of how often it is sent and to
// which entry hosts.
package record

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	homeFields  = 3 // host, incarnation, epoch
	keyFields   = homeFields + 1
	maxKeyBytes = 200
	numberBase  = 36
)

// ErrKey means that an idempotency key or a home is malformed.
var ErrKey = errors.New("record: malformed key, want HOME.UNIQUE with HOME from the addresses answer")

// Home identifies the only process in which a key may run, one incarnation of an
// entry host, and the epoch in which the key was issued. Epochs bound how long
// records are kept.
type Home struct {
	Host        string
	Incarnation uint64
	Epoch       uint64
}

// String formats the home as HOST.INCARNATION.EPOCH, with numbers in base 36.
func (h Home) String() string {
	return h.IncarnationID() + "." + strconv.FormatUint(h.Epoch, numberBase)
}

// IncarnationID formats the host and its incarnation as HOST.INCARNATION,
// without the epoch.
func (h Home) IncarnationID() string {
	return h.Host + "." + strconv.FormatUint(h.Incarnation, numberBase)
}

// SameIncarnation reports whether two homes belong to the same incarnation of the
// same host.
func (h Home) SameIncarnation(o Home) bool {
	return h.Host == o.Host && h.Incarnation == o.Incarnation
}

// ParseHome parses a home in the format of String. It returns ErrKey if s is
// malformed.
func ParseHome(s string) (Home, error) {
	parts := strings.Split(s, ".")
	if len(parts) != homeFields || parts[0] == "" {
		return Home{}, ErrKey
	}
	incarnation, err := strconv.ParseUint(parts[1], numberBase, 64)
	if err != nil {
		return Home{}, ErrKey
	}
	epoch, err := strconv.ParseUint(parts[2], numberBase, 64)
	if err != nil {
		return Home{}, ErrKey
	}
	home := Home{Host: parts[0], Incarnation: incarnation, Epoch: epoch}
	if home.String() != s { // accepts one spelling only; otherwise one key could have two records
		return Home{}, ErrKey
	}
	return home, nil
}

// Key is an idempotency key. It identifies one request of a caller by the home
// that may run it and a unique part chosen by the caller.
type Key struct {
	Home   Home
	Unique string
}

// String formats the key as HOME.UNIQUE.
func (k Key) String() string { return k.Home.String() + "." + k.Unique }

// ParseKey parses the value of an Idempotency-Key header. The unique part has one
// or more of A-Z a-z 0-9 - _. It returns ErrKey if s is malformed or longer than
// maxKeyBytes.
func ParseKey(s string) (Key, error) {
	if len(s) > maxKeyBytes {
		return Key{}, ErrKey
	}
	cut := strings.LastIndexByte(s, '.')
	if cut < 0 || strings.Count(s, ".") != keyFields-1 {
		return Key{}, ErrKey
	}
	unique := s[cut+1:]
	if unique == "" || strings.ContainsFunc(unique, invalidUniqueRune) {
		return Key{}, ErrKey
	}
	home, err := ParseHome(s[:cut])
	if err != nil {
		return Key{}, err
	}
	return Key{Home: home, Unique: unique}, nil
}

func invalidUniqueRune(r rune) bool {
	switch {
	case r >= '0' && r <= '9', r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r == '-', r == '_':
		return false
	}
	return true
}
