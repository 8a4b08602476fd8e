package peer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/store"
)

// startingTable is a table that may be incomplete.
type startingTable struct {
	ConfigurationTable
	complete bool
}

func (s *startingTable) Complete() bool                     { return s.complete }
func (s *startingTable) SetComplete()                       { s.complete = true }
func (s *startingTable) CompleteTo() store.Version          { return 7 }
func (s *startingTable) SetCompleteTo(store.Version)        {}
func (s *startingTable) Version() store.Version             { return 7 }
func (s *startingTable) Digest() uint64                     { return 7 }
func (s *startingTable) Since(store.Version) []store.Object { return nil }

// Guards against a starting host that pulls from another starting host, takes the
// incomplete table for a complete one, and rejects callers' valid tokens.
func TestStartingHostReportsMoreObjects(t *testing.T) {
	is := is.New(t)
	table := &startingTable{}
	is.True(pullPage(table, &peerpb.PullRequest{}).GetMore())
	table.SetComplete()
	is.True(!pullPage(table, &peerpb.PullRequest{}).GetMore())
}
