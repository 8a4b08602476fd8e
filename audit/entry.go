// Package audit defines the entries of the audit trail. Entries are part of the
// stored object that they describe, so an entry and its change are written
// atomically, in one conditional write.
package audit

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayasail/papayasail/store"
)

// What is the kind of change that an entry describes.
type What string

const (
	WhatDocument   What = "document"
	WhatDrain      What = "drain"
	WhatEvacuation What = "evacuation"
	WhatOrder      What = "order"

	WhatOrganisation What = "organisation"

	WhatSettled What = "settled" // a change that was settled as not accepted and can never be accepted
)

// Entry is one line of the audit trail.
type Entry struct {
	ChangeID string        `json:"change_id"`
	Who      string        `json:"who"`
	When     time.Time     `json:"when"` // wall clock of the host that wrote the entry
	What     What          `json:"what"`
	Name     string        `json:"name"` // service, backend server, failure domain or organisation
	From     store.Version `json:"from_version"`
	// To is the version created by the change. It is zero in the object that the
	// change wrote; there it equals the object's own version.
	To     store.Version `json:"to_version,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// Digest is the hash of the written value. It distinguishes a retry of a
	// change from another change with the same id.
	Digest uint64 `json:"digest,omitempty"`
}

// SortNewestFirst sorts entries, newest first.
func SortNewestFirst(entries []Entry) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		if a.To != b.To {
			return cmp.Compare(b.To, a.To)
		}
		return b.When.Compare(a.When)
	})
}

// OrderKind is the kind of the stored objects with the last order to a backend
// server and the history of its orders. Like every object with a history, their
// value is a JSON object with the History under "history".
const OrderKind = "order"
