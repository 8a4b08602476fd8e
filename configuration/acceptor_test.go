package configuration

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

func change(id, owner string, expect store.Version) Change {
	return Change{Service: "a", Document: []byte("a " + owner), Expect: expect, ChangeID: id, Who: "olga"}
}

func TestLostAnswerIsSettled(t *testing.T) {
	// Guards against a wrong outcome or a second write of a change that took
	// effect while the store's answer was lost.
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		acceptor := NewAcceptor(memory, parseTest)
		memory.SetFaults(store.Faults{LoseAnswers: 1})
		result, err := acceptor.Put(ctx, change("c1", "x", 0))
		is.NoErr(err)
		is.Equal(result.Outcome, Accepted)
		again, err := acceptor.Put(ctx, change("c1", "x", 0))
		is.NoErr(err)
		is.Equal(again, result) // a retry is the same change
		entries, err := acceptor.History(ctx, "a")
		is.NoErr(err)
		is.Equal(len(entries), 1)
		is.Equal(entries[0].To, result.Version)
	})
}

func TestLostRequestIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := store.NewMemory()
		memory.SetFaults(store.Faults{LoseRequests: 2})
		result, err := NewAcceptor(memory, parseTest).Put(t.Context(), change("c1", "x", 0))
		is.NoErr(err)
		is.Equal(result.Outcome, Accepted)
	})
}

func TestRacingOperators(t *testing.T) {
	// Guards against lost updates when two operators edit the same version:
	// one is accepted; the other is not, and gets the accepted change.
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		acceptor := NewAcceptor(store.NewMemory(), parseTest)
		first, err := acceptor.Put(ctx, change("c1", "x", 0))
		is.NoErr(err)
		won, err := acceptor.Put(ctx, change("c2", "y", first.Version))
		is.NoErr(err)
		lost, err := acceptor.Put(ctx, change("c3", "z", first.Version))
		is.NoErr(err)
		is.Equal(lost.Outcome, NotAccepted)
		is.Equal(lost.Version, won.Version)
		is.Equal(lost.Winner.ChangeID, "c2")
		is.Equal(lost.Winner.To, won.Version)
	})
}

// Guards against wrong outcomes if the store becomes unavailable before or
// after the write.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		acceptor := NewAcceptor(memory, parseTest)
		memory.SetFaults(store.Faults{Outage: true})
		result, err := acceptor.Put(ctx, change("c1", "x", 0))
		is.True(errors.Is(err, store.ErrUnavailable))
		is.Equal(result.Outcome, NotAccepted)

		memory.SetFaults(store.Faults{LoseAnswers: 1})
		go func() {
			for memory.Faults().LoseAnswers > 0 {
				time.Sleep(time.Millisecond)
			}
			memory.SetFaults(store.Faults{Outage: true})
		}()
		result, err = acceptor.Put(ctx, change("c1", "x", 0))
		is.NoErr(err)
		is.Equal(result.Outcome, Unknown)
		result, err = acceptor.Settle(ctx, "a", "c1")
		is.True(err != nil)
		is.Equal(result.Outcome, Unknown)
		memory.SetFaults(store.Faults{})
		result, err = acceptor.Settle(ctx, "a", "c1")
		is.NoErr(err)
		is.Equal(result.Outcome, Accepted)
	})
}

// Guards against a change that takes effect after it was settled as not
// accepted.
func TestSettledAsNotAcceptedIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		acceptor := NewAcceptor(memory, parseTest)
		late, err := Envelope{Document: "a late"}.Encode()
		is.NoErr(err)
		result, err := acceptor.Settle(ctx, "a", "c1")
		is.NoErr(err)
		is.Equal(result.Outcome, NotAccepted)
		_, err = memory.Put(ctx, Kind, ServiceName("a"), late, 0) // delayed write
		is.True(err != nil)
		result, err = acceptor.Put(ctx, change("c1", "x", 0)) // retry of the change
		is.NoErr(err)
		is.Equal(result.Outcome, NotAccepted)
		result, err = acceptor.Put(ctx, change("c2", "x", 0)) // the service still counts as new
		is.NoErr(err)
		is.Equal(result.Outcome, Accepted)
	})
}

func TestChangeIDReused(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	acceptor := NewAcceptor(store.NewMemory(), parseTest)
	_, err := acceptor.Put(ctx, change("c1", "x", 0))
	is.NoErr(err)
	_, err = acceptor.Put(ctx, change("c1", "y", 0))
	is.True(errors.Is(err, ErrChangeIDReused))
}

func TestBadDocumentIsNotWritten(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	memory := store.NewMemory()
	acceptor := NewAcceptor(memory, parseTest)
	_, err := acceptor.Put(ctx, Change{Service: "a", Document: []byte("bad"), ChangeID: "c1"})
	is.True(err != nil)
	_, err = acceptor.Put(ctx, Change{Service: "b", Document: []byte("a x"), ChangeID: "c1"})
	is.True(errors.Is(err, ErrWrongService))
	is.Equal(memory.Calls(), uint64(0))
}

func TestHistoryStaysUnderTheLimit(t *testing.T) {
	// Guards against objects that the store refuses because the history of
	// many changes has grown over its limit.
	is, ctx := is.New(t), t.Context()
	const rounds, nameBytes = 70, 20 << 10 // 1.4 MB of entries in all
	memory := store.NewMemory()
	memory.KeepEvents = 4
	acceptor := NewAcceptor(memory, parseTest)
	var version store.Version
	for i := range rounds {
		next := change(fmt.Sprint(i), "x", version)
		next.Who = strings.Repeat("w", nameBytes)
		result, err := acceptor.Put(ctx, next)
		is.NoErr(err)
		version = result.Version
	}
	entries, err := acceptor.History(ctx, "a")
	is.NoErr(err)
	is.True(len(entries) > 20 && len(entries) < rounds)
	is.Equal(entries[0].To, version)
	result, err := acceptor.Settle(ctx, "a", "0") // dropped from the history
	is.NoErr(err)
	is.Equal(result.Outcome, Unknown)
}

func TestDrainAndTrail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		acceptor, table := NewAcceptor(memory, parseTest), NewTable(parseTest)
		_, err := acceptor.Put(ctx, change("c1", "x", 0))
		is.NoErr(err)
		_, err = acceptor.Drain(ctx, "10.0.0.9:80", false, "d1", "olga")
		is.NoErr(err)
		watcher := &replica.Follower{Store: memory, Kind: Kind, Table: table.Table}
		go func() { _ = watcher.Run(ctx) }()
		synctest.Wait()
		is.True(table.Drained("10.0.0.9:80"))
		_, err = acceptor.Drain(ctx, "10.0.0.9:80", true, "d2", "olga")
		is.NoErr(err)
		synctest.Wait()
		is.True(!table.Drained("10.0.0.9:80"))
		entries, err := acceptor.Trail(ctx)
		is.NoErr(err)
		is.Equal(len(entries), 3)
		is.Equal(entries[0].ChangeID, "d2")
		_, err = acceptor.Drain(ctx, "nowhere", false, "d3", "olga")
		is.True(err != nil)
	})
}

func TestEvacuationAndTrail(t *testing.T) {
	// An evacuation takes effect, can be ended, and is in the audit trail. A
	// retry with the same change id is one change.
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		acceptor, table := NewAcceptor(memory, parseTest), NewTable(parseTest)
		watcher := &replica.Follower{Store: memory, Kind: Kind, Table: table.Table}
		go func() { _ = watcher.Run(ctx) }()
		for range 2 {
			_, err := acceptor.Evacuate(ctx, "ankara", false, "e1", "olga")
			is.NoErr(err)
			synctest.Wait()
			is.True(table.Evacuated("ankara"))
		}
		is.True(!table.Drained("ankara"))
		is.True(!table.Evacuated("konya"))
		_, err := acceptor.Evacuate(ctx, "ankara", true, "e2", "olga")
		is.NoErr(err)
		synctest.Wait()
		is.True(!table.Evacuated("ankara"))
		entries, err := acceptor.Trail(ctx)
		is.NoErr(err)
		is.Equal(len(entries), 2)
		is.Equal(entries[0].What, audit.WhatEvacuation)
		is.Equal(entries[0].Who, "olga")
		_, err = acceptor.Evacuate(ctx, "", false, "e3", "olga")
		is.True(errors.Is(err, ErrNoFailureDomain))
	})
}
