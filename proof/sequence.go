package proof

import (
	"fmt"
	"time"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/entryhost"
)

const (
	defaultHosts    = 3                // number of entry hosts in the world of a sequence
	settleTime      = 10 * time.Second // wait after EndFaults before the recovery check
	recoveryTimeout = 60 * time.Second // deadline of the recovery check, per host and kind
)

// RunSequence executes a sequence of actions in a new world and returns the
// violations that the oracle found. It has to run in a synctest bubble.
func RunSequence(actions []Action, counts *Counts) []string {
	w, err := NewWorld(defaultHosts, entryhost.DefaultPolicy)
	if err != nil {
		return []string{fmt.Sprintf("world does not start: %v", err)}
	}
	for _, action := range actions {
		w.Do(action, counts)
	}
	if err := w.EndFaults(); err != nil {
		w.Oracle.reportViolation("faults cannot be ended: %v", err)
	}
	w.AwaitCallers()
	time.Sleep(settleTime)
	w.checkRecovery()
	w.AwaitCallers()
	violations := w.Oracle.Check()
	counts.addSequence(w.Oracle)
	w.Close()
	return violations
}

// checkRecovery ends all drains and checks that every kind of work succeeds
// again at each host.
func (w *World) checkRecovery() {
	for _, address := range w.backendAddresses() {
		w.mustEndDrain(address)
	}
	for _, host := range w.Hosts {
		for _, kind := range []Kind{Narrative, Letter, Verdict, Reading} {
			if reason := w.awaitSuccess(kind, host); reason != "" {
				w.Oracle.reportViolation("%s serves no requests of kind %d after all faults ended: %s", host.Name, kind, reason)
			}
		}
	}
}

func (w *World) mustEndDrain(address string) {
	for i, known := range w.backendAddresses() {
		if known == address && !w.drain(w.Hosts[0], i, true) {
			w.Oracle.reportViolation("drain of %s cannot be ended", address)
		}
	}
}

// awaitSuccess sends new requests until one succeeds and returns "". After
// recoveryTimeout it returns why the last one failed.
func (w *World) awaitSuccess(kind Kind, host *HostSlot) string {
	reason := ""
	for until := time.Now().Add(recoveryTimeout); time.Now().Before(until); time.Sleep(time.Second) {
		r, err := w.NewRequest(kind, 3, host, host)
		if err != nil {
			reason = err.Error()
			continue
		}
		attempt := w.Send(r, host)
		w.AwaitCallers()
		outcome, why, _ := w.Oracle.AttemptResult(attempt)
		if outcome == contract.OutcomeDone {
			return ""
		}
		reason = string(outcome) + " " + string(why)
	}
	return reason
}
