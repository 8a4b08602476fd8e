package backend

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/contract"
)

func poolOf(n int) *Pool {
	pool := NewPool(PoolOptions{})
	document := &contract.Document{Service: "letters", Kind: contract.KindModel}
	for i := range n {
		document.BackendServers = append(document.BackendServers, contract.BackendServer{
			Name: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	pool.Update([]*contract.Document{document})
	return pool
}

func stateOf(pool *Pool, i int) State { return pool.Snapshot("letters").Servers[i].State }

// Guards against an overtaken report that clears the leaving state of an engine.
func TestLateReportDoesNotUndoLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := poolOf(2)
		pool.Report("10.0.0.0:80", LoadReport{Sequence: 7, Leaving: true}, time.Now())
		pool.Report("10.0.0.0:80", LoadReport{Sequence: 6}, time.Now())
		is.Equal(stateOf(pool, 0), StateLeaving)
		pool.Report("10.0.0.0:80", LoadReport{Sequence: 8}, time.Now())
		is.Equal(stateOf(pool, 0), StateReady)
	})
}

// Guards against dropping all reports of a restarted engine as late: it numbers
// them from 1, so its load would stay at the value before the crash.
func TestReportsOfARestartedServerAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := poolOf(1)
		pool.Report("10.0.0.0:80", LoadReport{Sequence: 900, Running: 9}, time.Now())
		pool.Report("10.0.0.0:80", LoadReport{Sequence: 1}, time.Now())
		pool.Report("10.0.0.0:80", LoadReport{Sequence: 2, Running: 1}, time.Now())
		is.Equal(pool.Snapshot("letters").Servers[0].Load.Running, 1)
	})
}

// Guards against a server that is ejected for ever longer because requests crashed the
// processes that ran at its address before.
func TestRestartedServerIsNotBlamedForCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := poolOf(8)
		for sequence := range uint64(6) {
			for range defaultEjectAfter { // streams that break with the process
				pool.RecordFailure("10.0.0.0:80", FailureReset)
				pool.RecordCrash("10.0.0.0:80")
			}
			is.Equal(stateOf(pool, 0), StateUnreachable)
			time.Sleep(3 * time.Second)
			pool.Report("10.0.0.0:80", LoadReport{Sequence: sequence + 1}, time.Now())
			is.Equal(stateOf(pool, 0), StateReady)
			pool.RecordSuccess("10.0.0.0:80")
		}
	})
}

// Guards against an operator's drain that is ended by another source, such as
// the host list or the server's own report.
func TestLeavingFromAnySourceWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := poolOf(1)
		pool.MarkLeaving("10.0.0.0:80", SourceOperator, time.Time{})
		pool.MarkLeaving("10.0.0.0:80", SourceHostList, time.Now().Add(time.Second))
		pool.ClearLeaving("10.0.0.0:80", SourceHostList)
		pool.Report("10.0.0.0:80", LoadReport{Sequence: 1}, time.Now())
		time.Sleep(time.Hour)
		is.Equal(stateOf(pool, 0), StateLeaving)
		pool.ClearLeaving("10.0.0.0:80", SourceOperator)
		is.Equal(stateOf(pool, 0), StateReady)
	})
}

func TestRefusedConnectionLapsesAndRampsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := poolOf(2)
		pool.RecordFailure("10.0.0.0:80", FailureRefusedConnection)
		is.Equal(stateOf(pool, 0), StateUnreachable)
		time.Sleep(time.Second)
		snapshot := pool.Snapshot("letters")
		is.Equal(snapshot.Servers[0].State, StateReady)
		is.True(snapshot.Ramp(snapshot.Servers[0], time.Now()) < 0.2)
		is.Equal(snapshot.Ramp(snapshot.Servers[1], time.Now()), 1.0)
		time.Sleep(time.Minute)
		is.Equal(snapshot.Ramp(snapshot.Servers[0], time.Now()), 1.0)
	})
}

// Guards against ejecting all engines when a harmful request or a bad link of
// this host makes all of them fail: no work could be placed.
func TestEjectionStaysWithinMaxShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		pool := poolOf(n)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 80).Draw(t, "failures") {
			pool.RecordFailure(fmt.Sprintf("10.0.0.%d:80", i), FailureReset)
		}
		ejected := 0
		for _, server := range pool.Snapshot("letters").Servers {
			if server.State == StateEjected {
				ejected++
			}
		}
		if ejected > n/2 {
			t.Fatalf("%d of %d servers ejected", ejected, n)
		}
	})
}

func TestSubsetsSpreadEvenly(t *testing.T) {
	is := is.New(t)
	servers := poolOf(600).Snapshot("letters").Servers
	followers := make([]int, len(servers))
	for host := range 390 {
		for _, i := range Subset(fmt.Sprintf("host%d", host), servers, DefaultMaxPolledServers) {
			followers[i]++
		}
	}
	for _, n := range followers {
		is.True(n > 4) // 20.8 on average
	}
}

func TestPollerKeepsToItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var asked atomic.Int64
		source := func(context.Context, string) (LoadReport, error) {
			return LoadReport{Sequence: uint64(asked.Add(1)), Running: 3}, nil
		}
		pool := poolOf(600)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
		defer cancel()
		NewPoller(pool, source, PollerOptions{Host: "h", PerSecond: func() float64 { return PollsPerSecond(390) }}).Run(ctx)
		is.True(asked.Load() > 150)
		is.True(asked.Load() <= 250) // 2 per second, plus the jitter of the last round
	})
}
