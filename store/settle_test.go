package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

func TestPutSettled(t *testing.T) {
	// Guards against a lease holder that mistakes its own renewal for another
	// host's write when the store's answer is lost, whether or not the write took effect.
	for _, faults := range []store.Faults{{}, {LoseAnswers: 1}, {LoseAnswers: 2}, {LoseRequests: 2}, {LoseRequests: 1, LoseAnswers: 1}} {
		synctest.Test(t, func(t *testing.T) {
			is, ctx := is.New(t), t.Context()
			memory := store.NewMemory()
			first, err := memory.Put(ctx, "k", "n", []byte("0"), 0)
			is.NoErr(err)
			memory.SetFaults(faults)
			version, err := store.PutSettled(ctx, memory, "k", "n", []byte("mine"), first)
			is.NoErr(err)
			object, err := memory.Get(ctx, "k", "n")
			is.NoErr(err)
			is.Equal(object.Version, version)
			_, err = store.PutSettled(ctx, memory, "k", "n", []byte("late"), first)
			var bad *store.VersionError
			is.True(errors.As(err, &bad))
		})
	}
}

func TestPutSettledDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		memory := store.NewMemory()
		memory.SetFaults(store.Faults{LoseAnswers: 1})
		go func() {
			time.Sleep(time.Millisecond)
			memory.SetFaults(store.Faults{Outage: true})
		}()
		_, err := store.PutSettled(ctx, memory, "k", "n", []byte("mine"), 0)
		is.True(errors.Is(err, store.ErrOutcomeUnknown))
		_, err = store.PutSettled(t.Context(), memory, "k", "m", []byte("mine"), 0)
		is.True(errors.Is(err, store.ErrUnavailable))
	})
}
