package lease

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/store"
)

const duty = "orders"

func TestOneHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		a, b := NewStoreLessor(memory, "a", Options{}), NewStoreLessor(memory, "b", Options{})
		first, err := a.Acquire(ctx, duty)
		is.NoErr(err)
		var held *HeldError
		_, err = b.Acquire(ctx, duty)
		is.True(errors.As(err, &held))
		is.Equal(held.Holder, "a")
		for range 20 {
			time.Sleep(a.RenewEvery())
			is.NoErr(a.Renew(ctx, first, nil))
			_, err = b.Acquire(ctx, duty)
			is.True(errors.As(err, &held))
		}
		is.NoErr(a.Renew(ctx, first, json.RawMessage(`{"kept":1}`)))
		is.NoErr(a.Release(ctx, first))
		is.Equal(first.Remaining(), time.Duration(0))
		second, err := b.Acquire(ctx, duty)
		is.NoErr(err)
		is.True(second.Fence() > first.Fence())
		is.Equal(second.Quiet(), time.Duration(0)) // released: nothing to wait for
		is.Equal(string(second.State()), `{"kept":1}`)
	})
}

// Guards against two holders when one is paused past its lease.
func TestHolderPausedPastItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		a, b := NewStoreLessor(memory, "a", Options{}), NewStoreLessor(memory, "b", Options{})
		first, err := a.Acquire(ctx, duty)
		is.NoErr(err)
		var second *Lease
		for second == nil {
			valid := first.Remaining() > 0
			second, err = b.Acquire(ctx, duty)
			is.True(err != nil || !valid)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(first.Remaining() < -2*time.Second) // stopped well before
		is.True(second.Fence() > first.Fence())
		is.True(second.Quiet() > 29*time.Second) // a's last action may go on
		is.True(errors.Is(a.Renew(ctx, first, nil), ErrLost))
		is.Equal(first.Remaining(), time.Duration(0))
	})
}

func TestLostAnswersKeepTheLease(t *testing.T) {
	// The store loses the answer to the acquisition and to a renewal. The
	// holder goes on under the same fencing number.
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		lessor := NewStoreLessor(memory, "a", Options{})
		memory.SetFaults(store.Faults{LoseAnswers: 1})
		held, err := lessor.Acquire(ctx, duty)
		is.NoErr(err)
		fence := held.Fence()
		is.True(fence > 0)
		memory.SetFaults(store.Faults{LoseAnswers: 1})
		is.NoErr(lessor.Renew(ctx, held, nil))
		time.Sleep(5 * time.Second)
		is.NoErr(lessor.Renew(ctx, held, nil))
		is.Equal(held.Fence(), fence)
	})
}

// Guards against a lease given up because its own renewal took effect unanswered.
func TestEarlierRenewalTookEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		lessor := NewStoreLessor(memory, "a", Options{})
		held, err := lessor.Acquire(ctx, duty)
		is.NoErr(err)
		object, err := memory.Get(ctx, Kind, duty)
		is.NoErr(err)
		stored, err := decode(object.Value)
		is.NoErr(err)
		stored.Renewal, stored.Fence = 1, object.Version
		value, err := stored.encode()
		is.NoErr(err)
		_, err = memory.Put(ctx, Kind, duty, value, object.Version) // the renewal without an answer
		is.NoErr(err)
		is.True(errors.Is(lessor.Renew(ctx, held, json.RawMessage(`1`)), store.ErrOutcomeUnknown))
		is.NoErr(lessor.Renew(ctx, held, json.RawMessage(`1`)))
		is.Equal(string(held.State()), "1")
	})
}

func TestFenceRisesAfterDeletion(t *testing.T) {
	// An operator of the platform deletes the lease's object. Engines that
	// refuse old fencing numbers must still obey the next holder.
	is, ctx := is.New(t), t.Context()
	memory := store.NewMemory()
	lessor := NewStoreLessor(memory, "a", Options{})
	first, err := lessor.Acquire(ctx, duty)
	is.NoErr(err)
	version, _ := first.snapshot()
	_, err = memory.Delete(ctx, Kind, duty, version)
	is.NoErr(err)
	second, err := lessor.Acquire(ctx, duty)
	is.NoErr(err)
	is.True(second.Fence() > first.Fence())
}

func TestStoreAwayEndsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		lessor := NewStoreLessor(memory, "a", Options{})
		held, err := lessor.Acquire(ctx, duty)
		is.NoErr(err)
		memory.SetFaults(store.Faults{Outage: true})
		time.Sleep(15 * time.Second)
		is.True(errors.Is(lessor.Renew(ctx, held, nil), store.ErrUnavailable))
		is.True(held.Remaining() > 0) // runs on to its end
		time.Sleep(5 * time.Second)
		is.True(held.Remaining() <= 0)
		memory.SetFaults(store.Faults{})
		is.NoErr(lessor.Renew(ctx, held, nil)) // nobody took it: same fence
		is.True(held.Remaining() > 0)
	})
}
