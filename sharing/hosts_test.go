package sharing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against shares that grow while a host is away for a moment and still uses its own.
func TestAbsentHostKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := NewHosts("a")
		hosts.SetPresent([]string{"a", "b", "c"})
		is.Equal(hosts.Count(), 3)
		hosts.SetPresent([]string{"a", "b"})
		time.Sleep(absentHostShare - time.Second)
		is.Equal(hosts.Count(), 3)
		hosts.SetPresent([]string{"a", "b", "d"})
		is.Equal(hosts.Count(), 4) // a new host counts at once
		time.Sleep(time.Second)
		is.Equal(hosts.Count(), 3)
	})
}

// Guards against a starting host that takes a bound for itself because it knows nobody yet.
func TestJoiningHostAssumesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := NewHosts("a")
		hosts.StartJoining()
		is.Equal(hosts.Count(), joiningHosts)
		hosts.Join([]string{"a", "b"}, []string{"c"})
		is.Equal(hosts.Count(), 3) // c may start again
		time.Sleep(absentHostShare)
		is.Equal(hosts.Count(), 2)
	})
}

// Guards against a host that is alone and counts nobody, not even itself.
func TestHostCountsItself(t *testing.T) {
	is := is.New(t)
	hosts := NewHosts("a")
	hosts.SetPresent(nil)
	is.Equal(hosts.Count(), 1)
	is.Equal(hosts.CountIf(func(host string) bool { return host == "a" }), 1)
}
