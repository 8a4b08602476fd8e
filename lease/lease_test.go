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
		is.Equal(second.FirstActionDelay(), time.Duration(0)) // released: no previous action to wait for
		is.Equal(string(second.State()), `{"kept":1}`)
	})
}

// Guards against two holders at a time when one is paused until its lease has
// expired.
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
		is.True(first.Remaining() < -2*time.Second) // a's time to begin actions ended more than 2 s ago
		is.True(second.Fence() > first.Fence())
		is.True(second.FirstActionDelay() > 29*time.Second) // a's last action may still be running
		is.True(errors.Is(a.Renew(ctx, first, nil), ErrLost))
		is.Equal(first.Remaining(), time.Duration(0))
	})
}

func TestLostAnswersKeepTheLease(t *testing.T) {
	// Guards against a holder losing its lease or its fencing number because the
	// store's answers to the acquisition and to a renewal are lost.
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

// Guards against a holder giving up its lease because an earlier renewal took
// effect but its answer was lost.
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
		_, err = memory.Put(ctx, Kind, duty, value, object.Version) // the renewal whose answer is lost
		is.NoErr(err)
		is.True(errors.Is(lessor.Renew(ctx, held, json.RawMessage(`1`)), store.ErrOutcomeUnknown))
		is.NoErr(lessor.Renew(ctx, held, json.RawMessage(`1`)))
		is.Equal(string(held.State()), "1")
	})
}

func TestFenceIncreasesAfterDeletion(t *testing.T) {
	// Guards against engines refusing orders of the next holder as too old after an
	// operator of the platform has deleted the lease's object.
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

func TestLeaseExpiresDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		lessor := NewStoreLessor(memory, "a", Options{})
		held, err := lessor.Acquire(ctx, duty)
		is.NoErr(err)
		memory.SetFaults(store.Faults{Outage: true})
		time.Sleep(15 * time.Second)
		is.True(errors.Is(lessor.Renew(ctx, held, nil), store.ErrUnavailable))
		is.True(held.Remaining() > 0) // remains valid until it expires
		time.Sleep(5 * time.Second)
		is.True(held.Remaining() <= 0)
		memory.SetFaults(store.Faults{})
		is.NoErr(lessor.Renew(ctx, held, nil)) // no other host has acquired it
		is.True(held.Remaining() > 0)
	})
}

// Guards against two hosts that act at the same time because the store came back from a
// copy that is older than the lease of one of them.
func TestLeaseLostByTheStoreIsWaitedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		a, b := NewStoreLessor(memory, "a", Options{}), NewStoreLessor(memory, "b", Options{})
		memory.Set("others", "o", nil)
		older := memory.Copy() // before the lease
		first, err := a.Acquire(ctx, duty)
		is.NoErr(err)
		memory.Restore(older)
		second, err := b.Acquire(ctx, duty)
		is.NoErr(err)
		is.True(second.Fence() > first.Fence())
		is.True(second.FirstActionDelay() > first.Remaining()+defaultMaxActionTime) // a's last action may begin until then
		is.True(errors.Is(a.Renew(ctx, first, nil), ErrLost))
		time.Sleep(time.Minute)
		is.NoErr(b.Release(ctx, second))
		third, err := b.Acquire(ctx, duty)
		is.NoErr(err)
		is.Equal(third.FirstActionDelay(), time.Duration(0)) // the era is no longer new
	})
}
