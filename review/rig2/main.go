// Command rig2 runs the cases of the second review: real entry hosts as processes, and
// stand-ins of the platform's store, of backend servers and of clients in this process.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

// exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario runs a case in a world that is not started yet. The result is whether the rule
// was broken.
type scenario func(w *world, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"last-key":      lastKey,
	"shed-and-drop": shedAndDrop,
	"other-writer":  otherWriter,
	"no-signature":  noSignature,
	"last-route":    lastRoute,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the case that the arguments name: CASE PROGRAM RECORD.
func run(arguments []string) int {
	if len(arguments) != 3 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE PROGRAM RECORD")
		return exitFailed
	}
	w, err := newWorld(arguments[1], arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, disruption %t", arguments[0], trouble)
	broken, err := scenarios[arguments[0]](w, trouble)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		w.note("verdict: the rule was broken")
		return exitBroken
	}
	w.note("verdict: the rule held")
	return exitHeld
}
