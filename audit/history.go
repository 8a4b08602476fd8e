package audit

import (
	"slices"

	"github.com/papayasail/papayasail/store"
)

// MaxEntries is the maximum number of entries of a History.
const MaxEntries = 256

// History is the bounded list of entries inside a stored object, newest first.
type History struct {
	Entries []Entry `json:"entries"`
	// Dropped counts the entries that were removed to stay within the bound.
	Dropped int `json:"dropped,omitempty"`
}

// With returns the history with entry prepended. The To of the previously newest
// entry is set to replaced, the version of the object that is being replaced.
func (h History) With(entry Entry, replaced store.Version) History {
	entries := make([]Entry, 0, len(h.Entries)+1)
	entries = append(entries, entry)
	entries = append(entries, h.At(replaced)...)
	next := History{Entries: entries, Dropped: h.Dropped}
	return next.Truncate(MaxEntries)
}

// At returns the entries as read from an object of the given version, which the
// newest entry created.
func (h History) At(version store.Version) []Entry {
	entries := slices.Clone(h.Entries)
	if len(entries) > 0 && entries[0].To == 0 {
		entries[0].To = version
	}
	return entries
}

// Find returns the entry of a change, as read from an object of the given version.
func (h History) Find(changeID string, version store.Version) (Entry, bool) {
	for _, entry := range h.At(version) {
		if entry.ChangeID == changeID {
			return entry, true
		}
	}
	return Entry{}, false
}

// Extends reports whether the history continues the other one: it has that one's
// newest change, and later ones.
func (h History) Extends(other History) bool {
	if len(h.Entries) == 0 || len(other.Entries) == 0 {
		return len(h.Entries) > len(other.Entries)
	}
	newest := other.Entries[0].ChangeID
	return h.Entries[0].ChangeID != newest && slices.ContainsFunc(h.Entries, func(e Entry) bool { return e.ChangeID == newest })
}

// Truncate drops all entries except the newest keep.
func (h History) Truncate(keep int) History {
	if extra := len(h.Entries) - keep; extra > 0 {
		h.Entries = h.Entries[:keep]
		h.Dropped += extra
	}
	return h
}
