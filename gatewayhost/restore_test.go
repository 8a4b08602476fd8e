package gatewayhost

import (
	"testing"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

// Guards against an older copy of the store that reverts configurations, or forgets that
// servers leave or are gone and that failure domains are evacuated.
func TestWhatIsKeptBetweenEras(t *testing.T) {
	is := is.New(t)
	h, _ := standaloneHost(notLeaving)
	across := func(kind, older, newer string) replica.Precedence {
		content := func(era uint64, value string) store.Object {
			return store.Object{Kind: kind, Name: "i-1", Version: store.NewVersion(era, 7), Value: []byte(value), Deleted: value == "deleted"}
		}
		return h.across(content(1, older), content(2, newer))
	}
	is.Equal(across(kindOfConfiguration, "\x05", "\x04"), replica.Kept)
	is.Equal(across(kindOfConfiguration, "\x05", "deleted"), replica.Kept)
	is.Equal(across(kindOfConfiguration, "\x05", ""), replica.Kept) // unreadable
	is.Equal(across(kindOfConfiguration, "\x05", "\x05"), replica.Replaced)
	is.Equal(across(kindOfConfiguration, "\x05", "\x06"), replica.Replaced)
	is.Equal(across(kindOfConfiguration, "", "\x04"), replica.Replaced)

	is.Equal(across(kindOfServers, "ready", "deleted"), replica.KeptForGrace)
	is.Equal(across(kindOfServers, "deleted", "ready"), replica.KeptForGrace)
	is.Equal(across(kindOfServers, "leaving", "ready"), replica.KeptForGrace)
	is.Equal(across(kindOfServers, "ready", ""), replica.KeptForGrace) // unreadable
	is.Equal(across(kindOfServers, "ready", "leaving"), replica.Replaced)
	is.Equal(across(kindOfServers, "ready", "ready"), replica.Replaced)
	is.Equal(across(kindOfServers, "", "ready"), replica.Replaced)

	is.Equal(across(kindOfEvacuations, "ordered", "deleted"), replica.KeptForGrace)
	is.Equal(across(kindOfEvacuations, "deleted", "ordered"), replica.Replaced)
}
