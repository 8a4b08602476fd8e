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
	brokenToken    = "token wrong, doubled, lost or out of order"
	brokenMixed    = "tokens of two generations in one answer"
	brokenLength   = "whole answer with another length than asked for"
	brokenForeign  = "answer to another request"
	brokenNotRun   = "told not run, but it ran"
	brokenRepeated = "non-idempotent request ran twice"
)

// oracle checks the answers that callers received against the runs of the
// engines.
type oracle struct {
	seed       uint64
	idempotent bool

	mu     sync.Mutex               // guards all below
	broken map[string]int           // number of violations by kind
	sample []string                 // descriptions of the first violations
	from   map[int]string           // id of the generation that answered a request, by its number
	notRun map[int]contract.Outcome // requests with the outcome not run, by number
}

const maxSamples = 5

func newOracle(seed uint64, idempotent bool) *oracle {
	return &oracle{seed: seed, idempotent: idempotent, broken: map[string]int{}, from: map[int]string{}, notRun: map[int]contract.Outcome{}}
}

func (o *oracle) report(kind string, number int, detail string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broken[kind]++
	if len(o.sample) < maxSamples {
		o.sample = append(o.sample, fmt.Sprintf("request %d: %s: %s", number, kind, detail))
	}
}

// answer checks the tokens of one answer as they arrive.
type answer struct {
	oracle     *oracle
	number     int
	generation string
	next       int  // expected index of the next token
	bad        bool // a wrong token was reported; further ones are not
}

// token checks that a token is the next one of the answer's generation.
func (a *answer) token(index int, text string) {
	generation, _, _ := strings.Cut(text, ".")
	if a.next == 0 {
		a.generation = generation
	}
	if generation != a.generation && !a.bad {
		a.bad = true
		a.oracle.report(brokenMixed, a.number, text)
	}
	if (index != a.next || text != engine.TokenText(generation, index)) && !a.bad {
		a.bad = true
		a.oracle.report(brokenToken, a.number, fmt.Sprintf("%q at %d, expected %d", text, index, a.next))
	}
	a.next++
}

// whole checks the length of an answer that ended as complete, and records its
// generation.
func (a *answer) whole(expected int) {
	if a.next != expected {
		a.oracle.report(brokenLength, a.number, fmt.Sprintf("%d tokens, asked for %d", a.next, expected))
	}
	a.oracle.mu.Lock()
	defer a.oracle.mu.Unlock()
	a.oracle.from[a.number] = a.generation
}

// refused records the outcome of a request without a complete answer.
func (o *oracle) refused(number int, outcome contract.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome == contract.OutcomeNotRun {
		o.notRun[number] = outcome
	}
}

// settle compares the answers and outcomes with the runs of the engines. Call it
// after all requests have ended.
func (o *oracle) settle(engines []*engineServer, all []arrival) {
	runs := map[string]int{}          // by tag
	prompts := map[string]string{}    // tag by generation
	generations := map[string][]int{} // requests by generation
	for _, e := range engines {
		for _, run := range e.Runs() {
			runs[tagOf(run.Prompt)]++
			prompts[run.GenerationID] = tagOf(run.Prompt)
		}
	}
	for number, generation := range o.from {
		generations[generation] = append(generations[generation], number)
		if prompts[generation] != tag(o.seed, number) {
			o.report(brokenForeign, number, generation)
		}
	}
	for number := range o.notRun {
		if runs[tag(o.seed, number)] > 0 {
			o.report(brokenNotRun, number, "")
		}
	}
	for _, a := range all {
		if !o.idempotent && runs[tag(o.seed, a.number)] > 1 {
			o.report(brokenRepeated, a.number, "")
		}
	}
}

func (o *oracle) total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, n := range o.broken {
		total += n
	}
	return total
}
