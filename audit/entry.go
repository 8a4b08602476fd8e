// Package audit describes entries of the audit trail. Entries live inside the
// stored objects that they are about, so an entry and its change are written
// in one conditional write: neither can be there without the other.
package audit

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayasail/papayasail/store"
)

// What names the kind of change that an entry is about.
type What string

const (
	WhatDocument   What = "document"
	WhatDrain      What = "drain"
	WhatEvacuation What = "evacuation"
	WhatOrder      What = "order"

	WhatOrganisation What = "organisation"

	WhatSettled What = "settled" // a change that was found not accepted, for good
)

// Entry is one line of the audit trail.
type Entry struct {
	ChangeID string        `json:"change_id"`
	Who      string        `json:"who"`
	When     time.Time     `json:"when"` // clock of the host that wrote it
	What     What          `json:"what"`
	Name     string        `json:"name"` // service, backend server, failure domain or organisation
	From     store.Version `json:"from_version"`
	// To is the version that the change made. It is zero inside the object
	// that the change wrote, whose own version it is.
	To     store.Version `json:"to_version,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// Digest is the hash of what was written; it tells a repeat of a change
	// from another change that uses the same id.
	Digest uint64 `json:"digest,omitempty"`
}

// Newest sorts entries newest first.
func Newest(entries []Entry) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		if a.To != b.To {
			return cmp.Compare(b.To, a.To)
		}
		return b.When.Compare(a.When)
	})
}

// OrderKind is the kind of the stored objects that hold orders to backend
// servers and their history. Like every object with a history, their value is
// a JSON object with the History under "history".
const OrderKind = "order"
