package audit

import (
	"slices"

	"github.com/papayasail/papayasail/store"
)

// MaxEntries bounds a History.
const MaxEntries = 256

// History is the bounded list of entries inside a stored object, newest first.
type History struct {
	Entries []Entry `json:"entries"`
	// Dropped counts entries that were removed to stay within bounds.
	Dropped int `json:"dropped,omitempty"`
}

// With returns the history with an entry in front. The entry that was newest
// gets its To: the version of the object that is now being replaced.
func (h History) With(entry Entry, replaced store.Version) History {
	entries := make([]Entry, 0, len(h.Entries)+1)
	entries = append(entries, entry)
	entries = append(entries, h.At(replaced)...)
	next := History{Entries: entries, Dropped: h.Dropped}
	return next.Truncate(MaxEntries)
}

// At returns the entries as seen in an object of this version: the newest
// entry made it.
func (h History) At(version store.Version) []Entry {
	entries := slices.Clone(h.Entries)
	if len(entries) > 0 && entries[0].To == 0 {
		entries[0].To = version
	}
	return entries
}

// Find returns the entry of a change in an object of this version.
func (h History) Find(changeID string, version store.Version) (Entry, bool) {
	for _, entry := range h.At(version) {
		if entry.ChangeID == changeID {
			return entry, true
		}
	}
	return Entry{}, false
}

// Truncate keeps the newest entries.
func (h History) Truncate(keep int) History {
	if extra := len(h.Entries) - keep; extra > 0 {
		h.Entries = h.Entries[:keep]
		h.Dropped += extra
	}
	return h
}
