package proof

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/entryhost"
)

// Guards against requests lost or run twice while seven hosts restart one after the other,
// each as soon as the previous one serves again, under continuous load.
func TestRollingRestartOfSeven(t *testing.T) {
	const site = 7
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, err := NewWorld(site, entryhost.DefaultPolicy)
		is.NoErr(err)
		counts := NewCounts()
		for i, host := range w.Hosts {
			for _, kind := range []string{"narrative", "letter", "verdict", "reading", "letter"} {
				is.True(w.doGentle(Action{Verb: kind, N: 7}))
				time.Sleep(100 * time.Millisecond)
			}
			host.Restart()
			is.True(w.doGentle(Action{Verb: "letter", N: i}))
			host.awaitStop()
			time.Sleep(time.Second)
		}
		w.AwaitCallers()
		is.Equal(len(w.Oracle.Check()), 0)
		counts.addSequence(w.Oracle)
		w.Close()
		for _, host := range w.Hosts {
			is.Equal(host.started, 2)
		}
		t.Log(counts)
	})
}
