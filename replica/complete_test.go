package replica

import (
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

func objectOf(kind, name string, version store.Version) store.Object {
	return store.Object{Kind: kind, Name: name, Version: version, Value: []byte("v")}
}

// Guards against a host that takes its copy for complete because of one new object, or because of the
// list of one kind.
func TestCompleteToIsWhatAllKindsReach(t *testing.T) {
	is := is.New(t)
	table := New(func(store.Object) error { return nil })
	table.Require("a", "b")
	table.AdoptList("a", []store.Object{objectOf("a", "x", 3)}, 8)
	is.Equal(table.CompleteTo(), store.Version(0))
	table.AdoptList("b", nil, 6)
	is.Equal(table.CompleteTo(), store.Version(6))
	table.Adopt([]store.Object{objectOf("a", "y", 12)})
	is.Equal(table.CompleteTo(), store.Version(6))
	table.SetCompleteTo(10)
	table.SetCompleteTo(7)
	is.Equal(table.CompleteTo(), store.Version(10))
}

// Guards against a host that takes its copy for complete although it lacks a change.
func TestHasEachCountsRevisions(t *testing.T) {
	is := is.New(t)
	table := New(func(store.Object) error { return nil })
	table.Adopt([]store.Object{objectOf("a", "x", 3), objectOf("b", "y", 4), objectOf("a", "z", 6)})
	is.True(table.HasEach(2, 4))
	is.True(!table.HasEach(2, 5))
	is.True(!table.HasEach(2, 6))
	table.Adopt([]store.Object{objectOf("b", "w", 5)})
	is.True(table.HasEach(2, 6))
	table.Adopt([]store.Object{{Kind: "a", Name: "x", Version: 7, Deleted: true}})
	is.True(!table.HasEach(2, 7)) // the revision of a deletion is not exact
	is.True(!table.HasEach(store.NewVersion(0, 2), store.NewVersion(1, 6)))
}

// Guards against objects that are sent again to a host that has them, and against tombstones or newer
// versions that are left out.
func TestMissingLeavesOutWhatTheOtherHostHas(t *testing.T) {
	is := is.New(t)
	ours, theirs := New(func(store.Object) error { return nil }), New(func(store.Object) error { return nil })
	ours.Adopt([]store.Object{objectOf("a", "old", 2), objectOf("a", "same", 5), objectOf("a", "newer", 6), {Kind: "a", Name: "gone", Version: 7, Deleted: true}})
	theirs.Adopt([]store.Object{objectOf("a", "old", 2), objectOf("a", "same", 5), objectOf("a", "newer", 4), objectOf("a", "gone", 3)})
	var names []string
	for _, missing := range ours.Missing(2, theirs.HashesSince(2)) {
		names = append(names, missing.Name)
	}
	is.Equal(names, []string{"newer", "gone"})
	is.Equal(len(ours.Missing(7, nil)), 0)
}
