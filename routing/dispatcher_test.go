package routing

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/contract"
)

const testService = "letters"

func testDocument(workers int) *contract.Document {
	document := &contract.Document{
		Service:   testService,
		Kind:      contract.KindModel,
		Model:     &contract.ModelSpec{Name: "m", Version: "1", MaxTokens: 2048},
		Deadlines: contract.Deadlines{Queue: 5 * time.Second},
		Placement: contract.Placement{Risk: 0.02, TargetGap: 50 * time.Millisecond},
	}
	for i := range workers {
		document.BackendServers = append(document.BackendServers, contract.BackendServer{
			Name: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256)})
	}
	return document
}

func testDispatcher(t *testing.T, policy string, document *contract.Document) (*Dispatcher, *backend.Pool) {
	t.Helper()
	pool := backend.NewPool(backend.PoolOptions{})
	pool.Update([]*contract.Document{document})
	d, err := New(Options{Pool: pool, Policy: policy, Host: "h", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, pool
}

func refusalOf(t *testing.T, err error) *contract.Refusal {
	t.Helper()
	var refusal *contract.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("not a refusal: %v", err)
	}
	return refusal
}

func TestUnknownPolicyIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := New(Options{Pool: backend.NewPool(backend.PoolOptions{}), Policy: "best"})
	is.True(err != nil)
}

func TestUnknownServiceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _ := testDispatcher(t, PolicyRandom, testDocument(1))
		_, err := d.Acquire(t.Context(), Request{Service: "other"})
		is.Equal(refusalOf(t, err).Reason, contract.ReasonUnknownService)
	})
}

// Guards against an early refusal while the only server that is not leaving is
// unreachable: requests wait for it and end as not run at their deadline.
func TestWaitsForAnUnreachableServerUntilTheDeadline(t *testing.T) {
	for _, policy := range Policies() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d, pool := testDispatcher(t, policy, testDocument(2))
			pool.MarkLeaving("10.0.0.0:80", backend.SourceOperator, time.Time{})
			pool.RecordFailure("10.0.0.1:80", backend.FailureRefusedConnection)
			_, err := d.Acquire(t.Context(), Request{Service: testService, Deadline: time.Now().Add(500 * time.Millisecond)})
			refusal := refusalOf(t, err)
			is.Equal(refusal.Outcome, contract.OutcomeNotRun)
			is.Equal(refusal.Reason, contract.ReasonDeadline)
			g, err := d.Acquire(t.Context(), Request{Service: testService})
			is.NoErr(err)
			is.Equal(g.Server(), "w1")
			g.Done(Result{Tokens: 10, Complete: true})
		})
	}
}

// Guards against requests that wait until their deadline although all servers are
// leaving.
func TestNoServerIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, pool := testDispatcher(t, PolicyLeastInFlight, testDocument(1))
		pool.MarkLeaving("10.0.0.0:80", backend.SourceReport, time.Time{})
		start := time.Now()
		_, err := d.Acquire(t.Context(), Request{Service: testService})
		is.Equal(refusalOf(t, err).Reason, contract.ReasonNoBackendServer)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

func TestInFlightLimitIsEnforcedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		document := testDocument(3)
		document.Organisations = []contract.Limit{{Organisation: "a", Weight: 1, MaxInFlight: 2}}
		d, _ := testDispatcher(t, PolicyRoundRobin, document)
		request := Request{Service: testService, Organisation: "a"}
		first, err := d.Acquire(t.Context(), request)
		is.NoErr(err)
		_, err = d.Acquire(t.Context(), request)
		is.NoErr(err)
		_, err = d.Acquire(t.Context(), request)
		is.Equal(refusalOf(t, err).Reason, contract.ReasonLimit)
		first.Done(Result{Tokens: 5, Complete: true})
		first.Done(Result{Tokens: 5, Complete: true}) // a second call releases nothing
		_, err = d.Acquire(t.Context(), request)
		is.NoErr(err)
		_, err = d.Acquire(t.Context(), request)
		is.Equal(refusalOf(t, err).Reason, contract.ReasonLimit)
	})
}

func TestExcludedServersAreNotChosen(t *testing.T) {
	for _, policy := range Policies() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d, _ := testDispatcher(t, policy, testDocument(3))
			for range 20 {
				g, err := d.Acquire(context.Background(), Request{Service: testService, Exclude: []string{"w0", "w2"}})
				is.NoErr(err)
				is.Equal(g.Server(), "w1")
				g.Done(Result{Tokens: 1, Complete: true})
			}
		})
	}
}
