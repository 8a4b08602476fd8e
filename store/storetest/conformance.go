// Package storetest contains the conformance suite that every store.Store must
// pass. Values that are read back are JSON, as the platform's store accepts nothing
// else; a nil value must be accepted too.
package storetest

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

// Subject is a store under test, with the in-memory store behind it, which the
// suite uses to inject faults.
type Subject struct {
	Store  store.Store
	Memory *store.Memory
}

const kind = "thing"

// Conformance runs the suite. It calls open in the synctest bubble of each test;
// open must register the cleanup of its resources with t.Cleanup.
func Conformance(t *testing.T, open func(t *testing.T) Subject) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, s Subject)
	}{
		{"conditional writes", conditionalWrites},
		{"one of many writers wins", oneWriterWins},
		{"list is ordered", listIsOrdered},
		{"watch returns changes in order", watchOrder},
		{"watch waits", watchWaits},
		{"watch ends without change", watchEnds},
		{"changes at once", changesAtOnce},
		{"compacted", compacted},
		{"restored from an older copy", restored},
		{"outage", outage},
		{"outage ends a waiting watch", outageEndsWatch},
		{"lost answer", lostAnswer},
		{"lost request", lostRequest},
		{"slow store", slowStore},
		{"names with slashes", slashes},
		{"value over the limit", overLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(t, open(t)) })
		})
	}
}

func conditionalWrites(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	_, err := s.Store.Get(ctx, kind, "a")
	is.True(errors.Is(err, store.ErrNoObject))
	first, err := s.Store.Put(ctx, kind, "a", []byte("1"), 0)
	is.NoErr(err)
	var bad *store.VersionError
	_, err = s.Store.Put(ctx, kind, "a", []byte("2"), 0)
	is.True(errors.As(err, &bad))
	is.Equal(bad.Current, first)
	second, err := s.Store.Put(ctx, kind, "a", []byte("2"), first)
	is.NoErr(err)
	is.True(second > first) // versions rise
	_, err = s.Store.Put(ctx, kind, "a", []byte("3"), first)
	is.True(errors.As(err, &bad))
	is.Equal(bad.Current, second)
	_, err = s.Store.Put(ctx, kind, "b", []byte("3"), second)
	is.True(errors.As(err, &bad))
	is.Equal(bad.Current, store.Version(0)) // b does not exist
	object, err := s.Store.Get(ctx, kind, "a")
	is.NoErr(err)
	is.Equal(object, store.Object{Kind: kind, Name: "a", Version: second, Value: []byte("2")})
}

func oneWriterWins(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	const writers = 5
	results := make(chan error, writers)
	for range writers {
		go func() {
			_, err := s.Store.Put(ctx, kind, "a", []byte(`"x"`), 0)
			results <- err
		}()
	}
	won := 0
	for range writers {
		var bad *store.VersionError
		err := <-results
		if err == nil {
			won++
			continue
		}
		is.True(errors.As(err, &bad))
	}
	is.Equal(won, 1)
}

func listIsOrdered(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	var last store.Version
	for _, name := range []string{"c", "a", "b"} {
		version, err := s.Store.Put(ctx, kind, name, []byte(strconv.Quote(name)), 0)
		is.NoErr(err)
		last = version
	}
	_, err := s.Store.Put(ctx, "other", "z", nil, 0)
	is.NoErr(err)
	objects, revision, err := s.Store.List(ctx, kind)
	is.NoErr(err)
	is.True(revision > last)
	is.Equal(names(objects), []string{"a", "b", "c"})
}

func watchOrder(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	_, revision, err := s.Store.List(ctx, kind)
	is.NoErr(err)
	version, err := s.Store.Put(ctx, kind, "b", []byte("1"), 0)
	is.NoErr(err)
	_, err = s.Store.Put(ctx, kind, "a", []byte("1"), 0)
	is.NoErr(err)
	_, err = s.Memory.Delete(ctx, kind, "b", version)
	is.NoErr(err)
	events, reached, err := s.Store.Watch(ctx, kind, revision)
	is.NoErr(err)
	is.Equal(names(events), []string{"b", "a", "b"})
	is.True(events[2].Deleted)
	is.Equal(reached, events[2].Version)
	is.True(slices.IsSortedFunc(events, func(a, b store.Object) int { return int(a.Version) - int(b.Version) }))
}

func watchWaits(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	_, revision, err := s.Store.List(ctx, kind)
	is.NoErr(err)
	go func() {
		time.Sleep(2 * time.Second)
		_, _ = s.Store.Put(ctx, kind, "a", []byte("1"), 0)
	}()
	before, start := s.Memory.Calls(), time.Now()
	events, _, err := s.Store.Watch(ctx, kind, revision)
	is.NoErr(err)
	is.Equal(names(events), []string{"a"})
	is.True(time.Since(start) >= 2*time.Second)
	is.Equal(s.Memory.Calls()-before, uint64(2)) // the watch and the put, one call each
}

func watchEnds(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	version, err := s.Store.Put(ctx, kind, "a", nil, 0)
	is.NoErr(err)
	events, revision, err := s.Store.Watch(ctx, kind, version)
	is.NoErr(err)
	is.Equal(len(events), 0)
	is.True(revision >= version)
}

// changesAtOnce is about stores that are Checkers, too.
func changesAtOnce(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	checker, ok := s.Store.(interface {
		Changes(ctx context.Context, kind string, after store.Version) ([]store.Object, store.Version, error)
	})
	if !ok {
		return
	}
	first, err := s.Store.Put(ctx, kind, "a", nil, 0)
	is.NoErr(err)
	began := time.Now()
	events, revision, err := checker.Changes(ctx, kind, first)
	is.NoErr(err)
	is.Equal(len(events), 0)
	is.True(revision >= first)
	is.True(time.Since(began) < time.Second)
	second, err := s.Store.Put(ctx, kind, "b", nil, 0)
	is.NoErr(err)
	_, err = s.Store.Put(ctx, kind+"-other", "c", nil, 0)
	is.NoErr(err)
	events, revision, err = checker.Changes(ctx, kind, first)
	is.NoErr(err)
	is.Equal(len(events), 1)
	is.Equal(events[0].Version, second)
	is.True(revision >= second)
	s.Memory.Compact()
	_, err = s.Store.Put(ctx, kind, "d", nil, 0)
	is.NoErr(err)
	_, _, err = checker.Changes(ctx, kind, first)
	is.True(errors.Is(err, store.ErrCompacted))
	s.Memory.SetFaults(store.Faults{Outage: true})
	_, _, err = checker.Changes(ctx, kind, first)
	is.True(errors.Is(err, store.ErrUnavailable))
}

func compacted(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	var version store.Version
	for range s.Memory.KeepEvents + 2 {
		next, err := s.Memory.Put(ctx, kind, "a", nil, version)
		is.NoErr(err)
		version = next
	}
	_, _, err := s.Store.Watch(ctx, kind, 1)
	is.True(errors.Is(err, store.ErrCompacted))
}

func outage(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	s.Memory.SetFaults(store.Faults{Outage: true})
	_, err := s.Store.Put(ctx, kind, "a", nil, 0)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrOutcomeUnknown))
	_, err = s.Store.Get(ctx, kind, "a")
	is.True(errors.Is(err, store.ErrUnavailable))
	_, _, err = s.Store.List(ctx, kind)
	is.True(errors.Is(err, store.ErrUnavailable))
	s.Memory.SetFaults(store.Faults{})
	_, err = s.Store.Get(ctx, kind, "a")
	is.True(errors.Is(err, store.ErrNoObject)) // nothing was written
}

func outageEndsWatch(t *testing.T, s Subject) {
	is := is.New(t)
	go func() {
		time.Sleep(time.Second)
		s.Memory.SetFaults(store.Faults{Outage: true})
	}()
	_, _, err := s.Store.Watch(t.Context(), kind, 0)
	is.True(errors.Is(err, store.ErrUnavailable))
}

func lostAnswer(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	s.Memory.SetFaults(store.Faults{LoseAnswers: 1})
	_, err := s.Store.Put(ctx, kind, "a", []byte("1"), 0)
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	object, err := s.Store.Get(ctx, kind, "a")
	is.NoErr(err)
	is.Equal(object.Value, []byte("1")) // the write took effect
}

func lostRequest(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	s.Memory.SetFaults(store.Faults{LoseRequests: 1})
	_, err := s.Store.Put(ctx, kind, "a", []byte("1"), 0)
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	_, err = s.Store.Get(ctx, kind, "a")
	is.True(errors.Is(err, store.ErrNoObject))
}

func slowStore(t *testing.T, s Subject) {
	is := is.New(t)
	s.Memory.SetFaults(store.Faults{Slow: time.Minute})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	start := time.Now()
	_, err := s.Store.Put(ctx, kind, "a", nil, 0)
	is.True(errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown))
	is.Equal(time.Since(start), time.Second) // the caller's deadline is met
	s.Memory.SetFaults(store.Faults{})
	time.Sleep(time.Minute)
	_, readErr := s.Store.Get(t.Context(), kind, "a")
	if errors.Is(err, store.ErrUnavailable) {
		is.True(errors.Is(readErr, store.ErrNoObject)) // nothing was written, as the error promises
	}
}

func slashes(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	const name = "service/a b/ç%2F"
	_, err := s.Store.Put(ctx, kind, name, []byte("1"), 0)
	is.NoErr(err)
	object, err := s.Store.Get(ctx, kind, name)
	is.NoErr(err)
	is.Equal(object.Name, name)
	objects, _, err := s.Store.List(ctx, kind)
	is.NoErr(err)
	is.Equal(names(objects), []string{name})
}

func overLimit(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	_, err := s.Store.Put(ctx, kind, "a", make([]byte, store.MaxValueBytes+1), 0)
	is.True(err != nil)
	is.True(!errors.Is(err, store.ErrUnavailable)) // a retry cannot succeed
	largest := []byte(strconv.Quote(strings.Repeat("a", store.MaxValueBytes-len(`""`))))
	_, err = s.Store.Put(ctx, kind, "a", largest, 0)
	is.NoErr(err)
	object, err := s.Store.Get(ctx, kind, "a")
	is.NoErr(err)
	is.True(bytes.Equal(object.Value, largest))
}

func names(objects []store.Object) []string {
	var all []string
	for _, object := range objects {
		all = append(all, object.Name)
	}
	return all
}

// Guards against versions, watches and conditions that survive a return of the store
// from an older copy, although its revisions are given out again.
func restored(t *testing.T, s Subject) {
	is, ctx := is.New(t), t.Context()
	before, err := s.Store.Put(ctx, kind, "a", []byte("1"), 0)
	is.NoErr(err)
	older := s.Memory.Copy()
	lost, err := s.Store.Put(ctx, kind, "a", []byte("2"), before)
	is.NoErr(err)
	s.Memory.Restore(older)
	again := s.Memory.Set(kind, "b", []byte("3")) // has the revision of the lost write
	is.Equal(again.Revision(), lost.Revision())
	is.True(again > lost)

	_, _, err = s.Store.Watch(ctx, kind, lost)
	is.True(errors.Is(err, store.ErrCompacted))
	objects, revision, err := s.Store.List(ctx, kind)
	is.NoErr(err)
	is.Equal(revision, again)
	is.Equal(string(objects[0].Value), "1")
	is.True(objects[0].Version > lost) // all that the store has now is of the newer era
	_, err = s.Store.Put(ctx, kind, "b", []byte("4"), lost)
	var bad *store.VersionError
	is.True(errors.As(err, &bad))
	is.Equal(bad.Current, again)
	_, err = s.Store.Put(ctx, kind, "a", []byte("4"), objects[0].Version)
	is.NoErr(err)
	events, _, err := s.Store.Watch(ctx, kind, revision)
	is.NoErr(err)
	is.Equal(len(events), 1)
}
