package replica

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

// byValue keeps the content with the higher number; deletions wait for the grace.
func byValue(older, newer store.Object) Precedence {
	if newer.Deleted {
		return KeptForGrace
	}
	a, _ := strconv.Atoi(string(older.Value))
	b, _ := strconv.Atoi(string(newer.Value))
	if b < a {
		return Kept
	}
	return Replaced
}

func object(name string, era, revision uint64, value int) store.Object {
	return store.Object{Kind: "k", Name: name, Version: store.NewVersion(era, revision), Value: []byte(strconv.Itoa(value))}
}

func contentOf(table *Table, name string) string {
	o, found := table.Get("k", name)
	if !found {
		return "none"
	}
	return string(o.Value)
}

// Guards against objects that are lost at once because the store came back from a copy
// without them, and that are never removed afterwards.
func TestObjectsMissingFromOlderCopyAreKeptForGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := New(func(store.Object) error { return nil })
		eras := []uint64{}
		table.OnNewEra = func(era uint64) { eras = append(eras, era) }
		table.AdoptList("k", []store.Object{object("a", 1, 5, 1), object("b", 1, 6, 2)}, store.NewVersion(1, 6))
		is.Equal(table.GraceLeft(), time.Duration(0)) // the first era has nothing to compare with
		copied := []store.Object{object("a", 2, 5, 1)}
		table.AdoptList("k", copied, store.NewVersion(2, 5))
		is.Equal(contentOf(table, "b"), "2")
		is.Equal(table.GraceLeft(), RestoreGrace)
		time.Sleep(RestoreGrace)
		table.AdoptList("k", copied, store.NewVersion(2, 5))
		is.Equal(contentOf(table, "b"), "none")
		is.Equal(contentOf(table, "a"), "1")
		is.Equal(eras, []uint64{2})
	})
}

// Guards against content of an older era that arrives late and replaces newer content,
// and against content of a newer era that is refused because its revision is lower.
func TestEraDecidesBeforeRevision(t *testing.T) {
	is := is.New(t)
	table := New(func(store.Object) error { return nil })
	table.Adopt([]store.Object{object("a", 1, 500, 1)})
	table.Adopt([]store.Object{object("a", 2, 3, 2)})
	is.Equal(contentOf(table, "a"), "2")
	table.Adopt([]store.Object{object("a", 1, 501, 3)})
	is.Equal(contentOf(table, "a"), "2")
	table.AdoptList("k", nil, store.NewVersion(1, 600)) // a list that was on its way
	is.Equal(contentOf(table, "a"), "2")
	is.Equal(table.Version(), store.NewVersion(2, 3))
}

// Guards against hosts that end with different contents after they heard of objects of
// several eras in different orders.
func TestOrderOfErasDoesNotMatter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			var all []store.Object
			for era := range uint64(3) {
				value := random.IntN(5) // a writer counts up, from where the copy left it
				for revision := range uint64(8) {
					value += random.IntN(2)
					all = append(all, object(fmt.Sprint(revision%2), era, 10+revision, value))
				}
			}
			var digests []uint64
			for range 4 {
				random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				table := New(func(store.Object) error { return nil })
				table.SetAcross(byValue)
				for _, o := range all {
					table.Adopt([]store.Object{o})
				}
				digests = append(digests, table.Digest())
			}
			for _, digest := range digests {
				is.Equal(digest, digests[0])
			}
		}
	})
}

// Guards against a deletion in the newer era that hosts take for an object that the
// older copy lacks, and against a host that deletes what others keep for the grace.
func TestDeletionsOfTheNewerEraTakeEffect(t *testing.T) {
	is := is.New(t)
	table := New(func(store.Object) error { return nil })
	table.Adopt([]store.Object{object("a", 1, 5, 1)})
	deleted := store.Object{Kind: "k", Name: "a", Version: store.NewVersion(2, 4), Deleted: true}
	table.Adopt([]store.Object{deleted})
	is.Equal(contentOf(table, "a"), "none")

	started := New(func(store.Object) error { return nil })
	started.AdoptList("k", nil, store.NewVersion(2, 4))
	started.Adopt([]store.Object{object("b", 1, 6, 1)})
	is.Equal(contentOf(started, "b"), "none")
	is.Equal(len(started.Since(0)), 0) // no tombstone either
}

// Guards against a live object that is deleted because it was refused while it was listed
// during the grace.
func TestObjectRefusedDuringTheGraceIsAdoptedAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := New(func(store.Object) error { return nil })
		table.SetAcross(func(older, _ store.Object) Precedence {
			if older.Deleted {
				return KeptForGrace
			}
			return Replaced
		})
		table.Adopt([]store.Object{{Kind: "k", Name: "a", Version: store.NewVersion(1, 9), Deleted: true}})
		listed := []store.Object{object("a", 2, 5, 1)}
		table.AdoptList("k", listed, store.NewVersion(2, 8))
		is.Equal(contentOf(table, "a"), "none")
		time.Sleep(RestoreGrace)
		table.AdoptList("k", listed, store.NewVersion(2, 8))
		is.Equal(contentOf(table, "a"), "1")
	})
}
