package configuration

import (
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

// acrossEras decides between the contents of an object before and after the store came
// back from an older copy. An accepted change does not revert: a content that the other
// one was made from is older, and no object is ever removed.
func acrossEras(older, newer store.Object) replica.Precedence {
	if older.Deleted {
		return replica.Replaced
	}
	if newer.Deleted {
		return replica.Kept
	}
	before, err := ParseEnvelope(older.Value)
	if err != nil {
		return replica.Replaced
	}
	after, err := ParseEnvelope(newer.Value)
	if err != nil || before.History.Extends(after.History) {
		return replica.Kept
	}
	return replica.Replaced
}
