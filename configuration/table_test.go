package configuration

import (
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

// Guards against adopting an older version from a peer that was partitioned.
func TestTableNeverGoesBack(t *testing.T) {
	is := is.New(t)
	table := NewTable(parseTest)
	changed, _ := table.Adopt([]store.Object{object("service/a", "a new", 7)})
	is.Equal(changed, 1)
	changed, _ = table.Adopt([]store.Object{object("service/a", "a old", 5)})
	is.Equal(changed, 0)
	document, version, ok := table.Document("a")
	is.True(ok)
	is.Equal(document.Owner, "new")
	is.Equal(version, store.Version(7))
	is.Equal(table.Version(), store.Version(7))
}

func TestTableDeletedStaysDeleted(t *testing.T) {
	// Guards against a removed service that reappears on a host, offered by a
	// peer that has not received the removal.
	is := is.New(t)
	table := NewTable(parseTest)
	table.Adopt([]store.Object{object("service/a", "a x", 5)})
	empty := NewTable(parseTest).Digest()
	table.Adopt([]store.Object{{Kind: Kind, Name: "service/a", Version: 6, Deleted: true}})
	table.Adopt([]store.Object{object("service/a", "a x", 5)})
	_, _, ok := table.Document("a")
	is.True(!ok)
	is.Equal(table.Digest(), empty)
	is.Equal(table.Since(5)[0].Deleted, true)
}

func TestTableMissedDeletion(t *testing.T) {
	// Guards against keeping a service whose removal event the store compacted
	// while the host did not watch: the next list lacks the service.
	is := is.New(t)
	table := NewTable(parseTest)
	table.Adopt([]store.Object{object("service/a", "a x", 5), object("service/b", "b x", 6)})
	table.AdoptList(Kind, []store.Object{object("service/b", "b x", 6)}, 9)
	_, _, ok := table.Document("a")
	is.True(!ok)
	is.Equal(len(table.Documents()), 1)
}

func TestTableKeepsLastGood(t *testing.T) {
	// Guards against losing the last valid document to an invalid one that was
	// written without validation; its version still counts as seen.
	is := is.New(t)
	table := NewTable(parseTest)
	table.Adopt([]store.Object{object("service/a", "a good", 5)})
	changed, findings := table.Adopt([]store.Object{object("service/a", "bad", 6)})
	is.Equal(changed, 1)
	is.Equal(len(findings), 1)
	document, version, _ := table.Document("a")
	is.Equal(document.Owner, "good")
	is.Equal(version, store.Version(5))
	is.Equal(table.Version(), store.Version(6))
}

func TestTableDigestIgnoresOrder(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(parseTest), NewTable(parseTest)
	one, two := object("service/a", "a x", 1), object("service/b", "b x", 2)
	notified := 0
	a.Subscribe(func() { notified++ })
	a.Adopt([]store.Object{one})
	a.Adopt([]store.Object{two})
	b.Adopt([]store.Object{two, one})
	is.Equal(a.Digest(), b.Digest())
	is.Equal(notified, 2)
	is.Equal(len(a.Since(1)), 1)
	b.Adopt([]store.Object{object("service/a", "a y", 3)})
	is.True(a.Digest() != b.Digest())
}
