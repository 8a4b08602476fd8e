package bench

import (
	"fmt"
	"strings"
	"sync"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/engine"
)

// Kinds of violation that the oracle counts. They are keys in the result file.
const (
	violationToken    = "token wrong, doubled, lost or out of order"
	violationMixed    = "tokens of two generations in one answer"
	violationLength   = "whole answer with another length than asked for"
	violationForeign  = "answer to another request"
	violationNotRun   = "told not run, but it ran"
	violationRepeated = "non-idempotent request ran twice"
)

// oracle checks the answers that callers received against the runs of the
// engines.
type oracle struct {
	seed       uint64
	idempotent bool

	mu         sync.Mutex               // guards all below
	violations map[string]int           // number of violations by kind
	samples    []string                 // descriptions of the first violations
	answeredBy map[int]string           // id of the generation that answered a request, by its number
	notRun     map[int]contract.Outcome // requests with the outcome not run, by number
}

const maxSamples = 5

func newOracle(seed uint64, idempotent bool) *oracle {
	return &oracle{seed: seed, idempotent: idempotent, violations: map[string]int{}, answeredBy: map[int]string{}, notRun: map[int]contract.Outcome{}}
}

func (o *oracle) addViolation(kind string, number int, detail string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations[kind]++
	if len(o.samples) < maxSamples {
		o.samples = append(o.samples, fmt.Sprintf("request %d: %s: %s", number, kind, detail))
	}
}

// answerCheck checks the tokens of one answer as they arrive.
type answerCheck struct {
	oracle     *oracle
	number     int
	generation string
	next       int  // expected index of the next token
	failed     bool // a wrong token was reported; further ones are not
}

// checkToken checks that a token is the next one of the answer's generation.
func (a *answerCheck) checkToken(index int, text string) {
	generation, _, _ := strings.Cut(text, ".")
	if a.next == 0 {
		a.generation = generation
	}
	if generation != a.generation && !a.failed {
		a.failed = true
		a.oracle.addViolation(violationMixed, a.number, text)
	}
	if (index != a.next || text != engine.TokenText(generation, index)) && !a.failed {
		a.failed = true
		a.oracle.addViolation(violationToken, a.number, fmt.Sprintf("%q at %d, expected %d", text, index, a.next))
	}
	a.next++
}

// checkEnd checks the length of an answer that ended as complete, and records
// its generation.
func (a *answerCheck) checkEnd(expected int) {
	if a.next != expected {
		a.oracle.addViolation(violationLength, a.number, fmt.Sprintf("%d tokens, asked for %d", a.next, expected))
	}
	a.oracle.mu.Lock()
	defer a.oracle.mu.Unlock()
	a.oracle.answeredBy[a.number] = a.generation
}

// recordOutcome records the outcome of a request without a complete answer.
func (o *oracle) recordOutcome(number int, outcome contract.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome == contract.OutcomeNotRun {
		o.notRun[number] = outcome
	}
}

// checkRuns compares the answers and outcomes with the runs of the engines.
// Call it after all requests have ended.
func (o *oracle) checkRuns(engines []*engineServer, all []arrival) {
	runs := map[string]int{}          // by tag
	prompts := map[string]string{}    // tag by generation
	generations := map[string][]int{} // requests by generation
	for _, e := range engines {
		for _, run := range e.Runs() {
			runs[tagOf(run.Prompt)]++
			prompts[run.GenerationID] = tagOf(run.Prompt)
		}
	}
	for number, generation := range o.answeredBy {
		generations[generation] = append(generations[generation], number)
		if prompts[generation] != tag(o.seed, number) {
			o.addViolation(violationForeign, number, generation)
		}
	}
	for number := range o.notRun {
		if runs[tag(o.seed, number)] > 0 {
			o.addViolation(violationNotRun, number, "")
		}
	}
	for _, a := range all {
		if !o.idempotent && runs[tag(o.seed, a.number)] > 1 {
			o.addViolation(violationRepeated, a.number, "")
		}
	}
}

func (o *oracle) violationCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, n := range o.violations {
		total += n
	}
	return total
}
