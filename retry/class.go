// Package retry decides whether a failed request may be retried. The evidence is
// classified first, then the effect gate checks whether a retry is safe, and only
// then the service's policy determines whether and when to retry.
package retry

import (
	"net/http"
	"time"
)

// Stage is the progress of a request towards a backend server when it failed.
type Stage int

const (
	StageUnknown   Stage = iota // not recorded: never retried, effect unknown
	StageDial                   // no connection: no byte of the request was sent
	StageSent                   // at least one byte may have reached the server
	StageAnswered               // the server's status code was received
	StageDelivered              // part of the response was delivered to the caller
)

// Evidence is the information about one failed attempt.
type Evidence struct {
	Stage Stage
	// Status is the status code of the backend server's response; 0: none.
	Status int
	// NotRun reports whether the server marked its response as not run
	// (backend.HeaderNotRun).
	NotRun bool
	// RetryAfter is the delay before a retry that the server advises; zero: none.
	RetryAfter time.Duration
	// Cancelled reports whether the caller or this host cancelled the attempt.
	Cancelled bool
	// Mismatch reports whether the response belonged to another request.
	Mismatch bool
}

// Class is the kind of failure.
type Class string

const (
	// ClassTransient failures pass without intervention: connection, overload,
	// restart.
	ClassTransient Class = "transient"
	// ClassHard failures persist until something is changed: credentials, bad
	// request.
	ClassHard Class = "hard"
	// ClassUnclassified is evidence that matches no rule, or from which no
	// conclusion is safe. It is never retried.
	ClassUnclassified Class = "unclassified"
)

// Effect is whether the failed attempt may have had an effect.
type Effect string

const (
	EffectNone    Effect = "none"    // no backend server ran any part of the request
	EffectUnknown Effect = "unknown" // the request may have run
)

// Verdict is the result of classification.
type Verdict struct {
	Class  Class
	Effect Effect
	Rule   string // stable id of the matching rule, for metrics
}

type rule struct {
	id     string
	class  Class
	effect Effect
	match  func(Evidence) bool
}

// rules is the ordered list of rules; the first match applies. Evidence that
// matches none fails closed.
var rules = []rule{
	{"cancelled", ClassHard, EffectUnknown, func(e Evidence) bool { return e.Cancelled && e.Stage != StageDial }},
	{"cancelled_before_sending", ClassHard, EffectNone, func(e Evidence) bool { return e.Cancelled }},
	{"mismatch", ClassUnclassified, EffectUnknown, func(e Evidence) bool { return e.Mismatch }},
	{"delivered", ClassTransient, EffectUnknown, func(e Evidence) bool { return e.Stage == StageDelivered }},
	{"dial", ClassTransient, EffectNone, func(e Evidence) bool { return e.Stage == StageDial }},
	{"refused_not_run", ClassTransient, EffectNone, func(e Evidence) bool { return e.answered() && e.NotRun && e.transientStatus() }},
	{"refused_for_good", ClassHard, EffectNone, func(e Evidence) bool { return e.answered() && e.NotRun }},
	{"overloaded", ClassTransient, EffectUnknown, func(e Evidence) bool { return e.answered() && e.transientStatus() }},
	{"client_error", ClassHard, EffectUnknown, func(e Evidence) bool { return e.answered() && e.Status >= 400 && e.Status < 500 }},
	{"lost", ClassTransient, EffectUnknown, func(e Evidence) bool { return e.Stage == StageSent && e.Status == 0 }},
}

func (e Evidence) answered() bool { return e.Stage == StageAnswered }

// transientStatus reports whether the status code indicates a transient failure.
func (e Evidence) transientStatus() bool {
	switch e.Status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// Classify returns the verdict of the first matching rule.
func Classify(evidence Evidence) Verdict {
	for _, rule := range rules {
		if rule.match(evidence) {
			return Verdict{Class: rule.class, Effect: rule.effect, Rule: rule.id}
		}
	}
	return Verdict{Class: ClassUnclassified, Effect: EffectUnknown, Rule: "none"}
}
