package retry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/papayasail/papayasail/contract"
)

var policy = contract.RetryPolicy{MaxRetries: 3, Initial: 100 * time.Millisecond, BudgetPercent: 20, MaxResetWait: 2 * time.Second}

var idempotent = Subject{Organisation: "a", Idempotent: true}

func evidence(t *rapid.T) Evidence {
	return Evidence{
		Stage:      Stage(rapid.IntRange(int(StageUnknown), int(StageDelivered)+1).Draw(t, "stage")),
		Status:     rapid.SampledFrom([]int{0, 200, 400, 404, 418, 429, 500, 502, 503, 504, 599}).Draw(t, "status"),
		NotRun:     rapid.Bool().Draw(t, "not run"),
		RetryAfter: time.Duration(rapid.IntRange(0, 5).Draw(t, "retry after")) * time.Second,
		Cancelled:  rapid.Bool().Draw(t, "cancelled"),
		Mismatch:   rapid.Bool().Draw(t, "mismatch"),
	}
}

// Guards against running a non-idempotent request twice: the connection breaks
// before the response to a request that may have run, such as the
// acknowledgement of an alarm, and the policy allows three retries.
func TestWorkThatMayHaveRunIsNeverRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := evidence(t)
		decision := NewEvaluator(policy, 1).Decide(e, Subject{Organisation: "a"}, &Attempts{})
		reached := e.Stage != StageDial && (e.Stage != StageAnswered || !e.NotRun)
		if decision.Retry && reached {
			t.Fatalf("retried a request that may have run: %+v", e)
		}
		if decision.Effect == EffectNone && reached {
			t.Fatalf("reported as not run although it may have run: %+v", e)
		}
	})
}

// Guards against mixed output: an engine fails after some tokens were delivered,
// and a second run would append other tokens to them.
func TestNoRetryAfterTokensWereDelivered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		subject := Subject{Organisation: "a", Idempotent: true, Delivered: true}
		if NewEvaluator(policy, 1).Decide(evidence(t), subject, &Attempts{}).Retry {
			t.Fatal("retried after part of the response was delivered")
		}
	})
}

func TestUnclassifiedFailsClosed(t *testing.T) {
	is := is.New(t)
	for _, e := range []Evidence{{}, {Stage: StageAnswered, Status: 500}, {Stage: StageAnswered, Status: 599}, {Stage: StageSent, Mismatch: true}} {
		is.Equal(Classify(e).Class, ClassUnclassified)
		is.True(!NewEvaluator(policy, 1).Decide(e, idempotent, &Attempts{}).Retry)
	}
}

func TestResetTimeIsHonouredOnceAndCostsNoStep(t *testing.T) {
	is := is.New(t)
	evaluator, attempts := NewEvaluator(policy, 1), &Attempts{}
	e := Evidence{Stage: StageAnswered, Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: time.Second}
	first := evaluator.Decide(e, idempotent, attempts)
	is.Equal(first.After, time.Second)
	is.Equal(first.Reason, ReasonReset)
	for i := range policy.MaxRetries {
		next := evaluator.Decide(e, idempotent, attempts)
		is.Equal(next.Reason, ReasonBackoff)
		step := policy.Initial << i
		is.True(next.After >= step/2 && next.After <= step)
	}
	is.Equal(evaluator.Decide(e, idempotent, attempts).Reason, ReasonExhausted)
}

func TestResetTimeBeyondTheBoundIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	e := Evidence{Stage: StageDial, RetryAfter: time.Hour}
	is.Equal(NewEvaluator(policy, 1).Decide(e, idempotent, &Attempts{}).Reason, ReasonBackoff)
}

func TestNoRetryOutlastsTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		subject := Subject{Organisation: "a", Deadline: time.Now().Add(10 * time.Millisecond)}
		is.Equal(NewEvaluator(policy, 1).Decide(Evidence{Stage: StageDial}, subject, &Attempts{}).Reason, ReasonDeadline)
	})
}

// Guards against a retry storm: all engines fail under overload, each request is
// sent four times, and this sustains the overload. Retries must stay within a
// share of the traffic.
func TestRetriesStayWithinTheirShareOfTraffic(t *testing.T) {
	is := is.New(t)
	evaluator := NewEvaluator(policy, 1)
	const requests = 1000
	retries := 0
	for range requests {
		evaluator.CountRequest("a")
		attempts := &Attempts{}
		for evaluator.Decide(Evidence{Stage: StageDial}, idempotent, attempts).Retry {
			retries++
		}
	}
	is.True(retries <= requests*policy.BudgetPercent/100+budgetBurst)
	is.True(retries >= requests*policy.BudgetPercent/100)
	other := Subject{Organisation: "b"}
	// Five requests add one token to the service's budget, which the retries of "a"
	// have used up.
	evaluator.CountRequest("b")
	evaluator.CountRequest("b")
	evaluator.CountRequest("b")
	evaluator.CountRequest("b")
	evaluator.CountRequest("b")
	is.True(evaluator.Decide(Evidence{Stage: StageDial}, other, &Attempts{}).Retry) // retries of "a" leave the budget of "b" untouched
}
