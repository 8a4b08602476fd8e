package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/contract"
)

var decisionsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "papayasail_retry_decisions_total",
	Help: "Failed attempts, by the rule that classified them and the decision.",
}, []string{"rule", "decision"})

// Collectors returns the metrics of this package.
func Collectors() []prometheus.Collector { return []prometheus.Collector{decisionsTotal} }

// Reason is the reason for a decision. ReasonBackoff and ReasonReset come with a
// retry, all others with none.
type Reason string

const (
	ReasonBackoff   Reason = "backoff"    // retry after exponential backoff
	ReasonReset     Reason = "reset_wait" // retry after the time that the server advised (Evidence.RetryAfter)
	ReasonClass     Reason = "class"      // hard or unclassified failure
	ReasonEffect    Reason = "effect"     // may have run and must not run twice
	ReasonExhausted Reason = "exhausted"  // maximum number of retries reached
	ReasonBudget    Reason = "budget"     // retry budget used up
	ReasonDeadline  Reason = "deadline"   // the wait would exceed the request's deadline
)

// Decision is whether to retry, and when.
type Decision struct {
	Retry bool
	After time.Duration // wait before the next attempt
	// Effect of the failed attempt: EffectNone allows the outcome not_run.
	Effect Effect
	Reason Reason
}

// Attempts is the retry state of one request. The zero value is the state after
// the first attempt. It is not safe for concurrent use.
type Attempts struct {
	retries        int
	usedRetryAfter bool // the time advised by the server was used once
}

// Subject describes the request that failed.
type Subject struct {
	Organisation string
	Idempotent   bool
	// Delivered reports whether part of the response reached the caller. Such a
	// request is never retried: the caller would receive a mix of tokens from
	// two generations.
	Delivered bool
	Deadline  time.Time // zero: none
}

// Evaluator applies the retry policy of one service. It is safe for concurrent
// use.
type Evaluator struct {
	mu      sync.Mutex // guards the fields below
	policy  contract.RetryPolicy
	budgets map[string]*budget // by organisation; wholeService for the service
	random  *rand.Rand
}

// NewEvaluator returns an evaluator. Its retry budgets start full, or empty if the
// policy grants no retry budget. seed is the seed of the jitter.
func NewEvaluator(policy contract.RetryPolicy, seed uint64) *Evaluator {
	return &Evaluator{policy: policy, budgets: map[string]*budget{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// SetPolicy replaces the policy. The budgets are kept.
func (e *Evaluator) SetPolicy(policy contract.RetryPolicy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.policy = policy
}

// CountRequest counts a first attempt, which adds a share of a token to the retry
// budgets of the service and of the organisation.
func (e *Evaluator) CountRequest(organisation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := float64(e.policy.BudgetPercent) / 100
	e.budget(wholeService).deposit(share)
	e.budget(organisation).deposit(share)
}

// Decide decides whether and when to retry after a failed attempt. The effect
// gate is checked before the policy, so that no setting can cause a retry of a
// request that must not run twice.
func (e *Evaluator) Decide(evidence Evidence, subject Subject, attempts *Attempts) Decision {
	verdict := Classify(evidence)
	decision := e.decide(verdict, evidence, subject, attempts)
	decision.Effect = verdict.Effect
	decisionsTotal.WithLabelValues(verdict.Rule, string(decision.Reason)).Inc()
	return decision
}

func (e *Evaluator) decide(verdict Verdict, evidence Evidence, subject Subject, attempts *Attempts) Decision {
	if !effectGate(verdict, subject) {
		return Decision{Reason: ReasonEffect}
	}
	if verdict.Class != ClassTransient {
		return Decision{Reason: ReasonClass}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	decision := e.nextWait(evidence, attempts)
	if !decision.Retry {
		return decision
	}
	if !subject.Deadline.IsZero() && time.Now().Add(decision.After).After(subject.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !e.withdraw(subject.Organisation) {
		return Decision{Reason: ReasonBudget}
	}
	if decision.Reason == ReasonReset {
		attempts.usedRetryAfter = true
	} else {
		attempts.retries++
	}
	return decision
}

// effectGate is the effect gate: a request that may have run is retried only if
// it is idempotent and no part of the response was delivered to the caller.
func effectGate(verdict Verdict, subject Subject) bool {
	if subject.Delivered {
		return false
	}
	return verdict.Effect == EffectNone || subject.Idempotent
}

// nextWait determines the wait before the retry. It is the time advised by the
// server if that is at most MaxResetWait and none was used for this request
// before; otherwise it is the next step of the exponential backoff with jitter.
// Called with mu held.
func (e *Evaluator) nextWait(evidence Evidence, attempts *Attempts) Decision {
	if evidence.RetryAfter > 0 && !attempts.usedRetryAfter && evidence.RetryAfter <= e.policy.MaxResetWait {
		return Decision{Retry: true, After: evidence.RetryAfter, Reason: ReasonReset}
	}
	if attempts.retries >= e.policy.MaxRetries {
		return Decision{Reason: ReasonExhausted}
	}
	step := e.policy.Initial << min(attempts.retries, maxDoublings)
	if step > 0 { // jitter between half and the whole step spreads the retries of requests that failed together
		step = step/2 + time.Duration(e.random.Int64N(int64(step/2)+1))
	}
	return Decision{Retry: true, After: step, Reason: ReasonBackoff}
}

// withdraw takes the cost of one retry from both budgets, or from neither. It
// returns false if either one is used up. Called with mu held.
func (e *Evaluator) withdraw(organisation string) bool {
	service, own := e.budget(wholeService), e.budget(organisation)
	if service.tokens < 1 || own.tokens < 1 {
		return false
	}
	service.tokens--
	if own != service {
		own.tokens--
	}
	return true
}

const (
	wholeService = "" // key of the service's budget
	maxDoublings = 10 // of the backoff step
	// budgetBurst is the maximum and the initial number of tokens in a budget:
	// the largest burst of retries after a quiet period.
	budgetBurst = 10
)

// budget is a retry budget: it limits retries to a share of the requests plus a
// burst of budgetBurst. Without it, each request that fails on an overloaded server
// is retried several times, which keeps the server overloaded.
type budget struct{ tokens float64 }

func (b *budget) deposit(share float64) { b.tokens = min(budgetBurst, b.tokens+share) }

// budget returns the budget of an organisation and creates it if needed: full, or
// empty if the policy grants no retry budget. Called with mu held.
func (e *Evaluator) budget(organisation string) *budget {
	b := e.budgets[organisation]
	if b == nil {
		b = &budget{}
		if e.policy.BudgetPercent > 0 {
			b.tokens = budgetBurst
		}
		e.budgets[organisation] = b
	}
	return b
}
