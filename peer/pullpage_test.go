package peer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/store"
)

// startingTable is a table that may not have everything yet.
type startingTable struct {
	ConfigurationTable
	complete bool
}

func (s *startingTable) Complete() bool                     { return s.complete }
func (s *startingTable) SetComplete()                       { s.complete = true }
func (s *startingTable) Version() store.Version             { return 7 }
func (s *startingTable) Digest() uint64                     { return 7 }
func (s *startingTable) Since(store.Version) []store.Object { return nil }

// A host boots and pulls from another one that boots too. It must not take
// the little that the other has for all there is, and call the tokens of the
// rest wrong.
func TestStartingHostSaysThatThereIsMore(t *testing.T) {
	is := is.New(t)
	table := &startingTable{}
	is.True(pullPage(table, &peerpb.PullRequest{}).GetMore())
	table.SetComplete()
	is.True(!pullPage(table, &peerpb.PullRequest{}).GetMore())
}
