package audit

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

func TestHistoryGivesEachEntryItsVersion(t *testing.T) {
	is := is.New(t)
	h := History{}.With(Entry{ChangeID: "a"}, 0).With(Entry{ChangeID: "b", From: 3}, 3)
	entry, ok := h.Find("a", 9)
	is.True(ok)
	is.Equal(entry.To, store.Version(3))
	entry, ok = h.Find("b", 9)
	is.True(ok)
	is.Equal(entry.To, store.Version(9)) // version of the object that contains it
	_, ok = h.Find("c", 9)
	is.True(!ok)
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var h History
	for i := range MaxEntries + 5 {
		h = h.With(Entry{ChangeID: fmt.Sprint(i)}, store.Version(i))
	}
	is.Equal(len(h.Entries), MaxEntries)
	is.Equal(h.Dropped, 5)
	is.Equal(h.Entries[0].ChangeID, fmt.Sprint(MaxEntries+4))
}
