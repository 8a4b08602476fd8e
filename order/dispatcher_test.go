package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/lease"
	"github.com/papayasail/papayasail/store"
)

// setUp returns a dispatcher, a new lease, a load order for engine w1 and the engines.
func setUp(t *testing.T) (*Dispatcher, *lease.Lease, Order, *engineSet) {
	w := newWorld()
	w.addEngine("w1", false)
	memory := store.NewMemory()
	lessor := lease.NewStoreLessor(memory, "a", lease.Options{})
	held, err := lessor.Acquire(t.Context(), LeaseName)
	if err != nil {
		t.Fatal(err)
	}
	dispatcher := &Dispatcher{Host: "a", FailureDomain: "north", Store: memory, Lessor: lessor, Engine: gatedEngine{engineSet: w.engineSet, host: "a", gate: &gate{}}}
	document := fuzzDocument("letters", "m", 1, 1)
	return dispatcher, held, Order{Document: &document, Server: document.BackendServers[0], Kind: backend.OrderLoad, Model: "m@1"}, w.engineSet
}

func TestGiveKeepsToAllowedLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dispatcher, held, order, engineSet := setUp(t)
		order.Document.OrderLinks = []contract.OrderLink{{From: "south", BackendServers: []string{"w1"}}}
		_, err := dispatcher.Dispatch(t.Context(), held, order)
		is.True(errors.Is(err, ErrLinkNotAllowed))
		is.Equal(len(engineSet.effects), 0)
	})
}

func TestGiveAfterAnotherHoldersIntent(t *testing.T) {
	// Guards against an order sent by a host that lost the lease without noticing:
	// the server's record has an intent with a higher fencing number.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dispatcher, held, order, engineSet := setUp(t)
		next := intent{OrderRequest: backend.OrderRequest{OrderID: "x", Kind: backend.OrderLoad, Model: "m@2", Fence: held.Fence() + 1}, Holder: "b"}
		_, _, err := recordStore{dispatcher.Store}.open(t.Context(), "w1", serverRecord{}, next, 0)
		is.NoErr(err)
		_, err = dispatcher.Dispatch(t.Context(), held, order)
		is.True(errors.Is(err, ErrNotHolder))
		is.Equal(len(engineSet.effects), 0)
	})
}

func TestGiveWithoutTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dispatcher, held, order, engineSet := setUp(t)
		time.Sleep(held.Remaining() - minRemaining/2)
		_, err := dispatcher.Dispatch(t.Context(), held, order)
		is.True(errors.Is(err, ErrNotHolder))
		is.Equal(len(engineSet.effects), 0)
	})
}

func TestGiveReadsALostAnswerBack(t *testing.T) {
	// Guards against a repeated order after a lost response: the engine's state
	// shows that the model was loaded.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dispatcher, held, order, engineSet := setUp(t)
		engineSet.engines["w1"].loseAnswers = 1
		state, err := dispatcher.Dispatch(t.Context(), held, order)
		is.NoErr(err)
		is.Equal(state.Models, []string{"m@1"})
	})
}

func TestGiveToAnEngineWithNewerFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dispatcher, held, order, engineSet := setUp(t)
		engine := engineSet.engines["w1"]
		engine.honours, engine.state.LastFence = true, held.Fence()+1
		_, err := dispatcher.Dispatch(t.Context(), held, order)
		is.True(errors.Is(err, ErrOldFence))
		is.Equal(len(engineSet.effects), 0)
	})
}

func TestWeightsAcrossHolders(t *testing.T) {
	// Guards against loads above the weight store's rate when the lease changes
	// holders often or its record is deleted.
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		memory := store.NewMemory()
		loads := 0
		for range 20 {
			lessor := lease.NewStoreLessor(memory, "a", lease.Options{})
			held, err := lessor.Acquire(ctx, LeaseName)
			is.NoErr(err)
			limiter := NewLoadLimiter(6, 3)
			for range 3 {
				time.Sleep(time.Second)
				if limiter.Take(ctx, lessor, held) == nil {
					loads++
				}
			}
			is.NoErr(lessor.Release(ctx, held))
		}
		is.True(loads <= 6) // one minute of loads
		object, err := memory.Get(ctx, lease.Kind, LeaseName)
		is.NoErr(err)
		_, err = memory.Delete(ctx, lease.Kind, LeaseName, object.Version)
		is.NoErr(err)
		held, err := lease.NewStoreLessor(memory, "b", lease.Options{}).Acquire(ctx, LeaseName)
		is.NoErr(err)
		is.Equal(NewLoadLimiter(6, 3).Wait(held), 10*time.Second)
	})
}
