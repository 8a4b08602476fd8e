package backend

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/contract"
)

// Guards against keeping the load of a crashed engine after its restart.
func TestIdleServerThatStartedAgainIsHeard(t *testing.T) {
	is := is.New(t)
	pool := NewPool(PoolOptions{})
	pool.Update([]*contract.Document{{Service: "a", BackendServers: []contract.BackendServer{{Name: "s", Address: "10.0.0.1:1"}}}})
	pool.Report("10.0.0.1:1", LoadReport{Sequence: 50, Running: 3}, time.Now())
	for range 2 {
		pool.Report("10.0.0.1:1", LoadReport{Sequence: 0}, time.Now())
	}
	is.Equal(pool.Snapshot("a").Servers[0].Load.Running, 0)
}

// Guards against a slow start of servers that were never marked as leaving.
func TestClearLeavingWithoutMarkKeepsReadySince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := NewPool(PoolOptions{})
		pool.Update([]*contract.Document{{Service: "a", BackendServers: []contract.BackendServer{{Name: "s", Address: "10.0.0.1:1"}}}})
		time.Sleep(time.Minute)
		pool.ClearLeaving("10.0.0.1:1", SourceOperator)
		snapshot := pool.Snapshot("a")
		is.Equal(snapshot.Ramp(snapshot.Servers[0], time.Now()), 1.0)

		pool.MarkLeaving("10.0.0.1:1", SourceOperator, time.Time{})
		pool.ClearLeaving("10.0.0.1:1", SourceOperator)
		snapshot = pool.Snapshot("a")
		is.True(snapshot.Ramp(snapshot.Servers[0], time.Now()) < 1.0) // the server was leaving and returns
	})
}
