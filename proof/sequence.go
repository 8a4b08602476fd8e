package proof

import (
	"fmt"
	"time"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/entryhost"
)

const (
	fleet        = 3                // number of entry hosts in the world of a sequence
	settleTime   = 10 * time.Second // wait after Mend before the recovery check
	recoverLimit = 60 * time.Second // deadline of the recovery check, per host and kind
)

// RunSequence executes a sequence of actions in a new world and returns the
// violations that the oracle found. It has to run in a synctest bubble.
func RunSequence(actions []Action, counts *Counts) []string {
	w, err := NewWorld(fleet, entryhost.DefaultPolicy)
	if err != nil {
		return []string{fmt.Sprintf("world does not start: %v", err)}
	}
	for _, action := range actions {
		w.Do(action, counts)
	}
	if err := w.Mend(); err != nil {
		w.Oracle.fail("faults cannot be ended: %v", err)
	}
	w.Await()
	time.Sleep(settleTime)
	w.recovers()
	w.Await()
	faults := w.Oracle.Check()
	counts.sequence(w.Oracle)
	w.Close()
	return faults
}

// recovers ends all drains and checks that every kind of work succeeds again at
// each host.
func (w *World) recovers() {
	for _, address := range w.backendAddresses() {
		w.endDrainSurely(address)
	}
	for _, host := range w.Hosts {
		for _, kind := range []Kind{Narrative, Letter, Verdict, Reading} {
			if reason := w.succeeds(kind, host); reason != "" {
				w.Oracle.fail("%s serves no requests of kind %d after all faults ended: %s", host.Name, kind, reason)
			}
		}
	}
}

func (w *World) endDrainSurely(address string) {
	for i, known := range w.backendAddresses() {
		if known == address && !w.drain(w.Hosts[0], i, true) {
			w.Oracle.fail("drain of %s cannot be ended", address)
		}
	}
}

// succeeds sends new requests until one succeeds and returns "". After
// recoverLimit it returns why the last one failed.
func (w *World) succeeds(kind Kind, host *HostSlot) string {
	reason := ""
	for until := time.Now().Add(recoverLimit); time.Now().Before(until); time.Sleep(time.Second) {
		r, err := w.NewRequest(kind, 3, host, host)
		if err != nil {
			reason = err.Error()
			continue
		}
		attempt := w.Send(r, host)
		w.Await()
		outcome, why, _ := w.Oracle.Ended(attempt)
		if outcome == contract.OutcomeDone {
			return ""
		}
		reason = string(outcome) + " " + string(why)
	}
	return reason
}
