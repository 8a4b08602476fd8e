package proof

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/store"
)

// Action is one step of a sequence. A, B and N select its target; an action
// without a valid target is skipped and not counted.
type Action struct {
	Verb string
	A, B int // indexes of machines, hosts or requests, modulo their number
	N    int // a small number; its meaning depends on the verb
}

// String renders the action for reports.
func (a Action) String() string { return fmt.Sprintf("%s(%d,%d,%d)", a.Verb, a.A, a.B, a.N) }

// verb executes an action and reports whether the action applied.
type verb func(w *World, a Action) bool

// verbs maps the name of each action to its implementation. See gentleVerbs
// for those that inject no fault that a caller may notice.
var verbs = map[string]verb{
	"narrative":        func(w *World, a Action) bool { return w.newRequest(Narrative, a) },
	"letter":           func(w *World, a Action) bool { return w.newRequest(Letter, a) },
	"verdict":          func(w *World, a Action) bool { return w.newRequest(Verdict, a) },
	"reading":          func(w *World, a Action) bool { return w.newRequest(Reading, a) },
	"client narrative": func(w *World, a Action) bool { return w.newClientRequest(Narrative, a) },
	"client letter":    func(w *World, a Action) bool { return w.newClientRequest(Letter, a) },
	"client verdict":   func(w *World, a Action) bool { return w.newClientRequest(Verdict, a) },
	"client reading":   func(w *World, a Action) bool { return w.newClientRequest(Reading, a) },
	"repeat same":      func(w *World, a Action) bool { return w.repeat(a, true) },
	"repeat elsewhere": func(w *World, a Action) bool { return w.repeat(a, false) },
	"repeat changed":   repeatChanged,
	"resume elsewhere": resumeElsewhere,
	"abandon":          abandon,
	"kill host":        killHost,
	"start host":       startHost,
	"freeze host":      freezeHost,
	"thaw host":        thawHost,
	"restart host":     restartHost,
	"cut":              func(w *World, a Action) bool { return w.onLink(a, w.Fabric.Cut) },
	"silence":          func(w *World, a Action) bool { return w.onLink(a, w.Fabric.Silence) },
	"silence one way":  func(w *World, a Action) bool { return w.onLink(a, w.Fabric.SilenceOneWay) },
	"silence open":     func(w *World, a Action) bool { return w.onLink(a, w.Fabric.SilenceOpenConnections) },
	"stall":            func(w *World, a Action) bool { return w.onLink(a, w.Fabric.Stall) },
	"heal":             heal,
	"cross answers":    crossAnswers,
	"spoil calls":      spoilCalls,
	"drain server":     drainServer,
	"end drain":        endDrain,
	"kill engine":      killEngine,
	"reclaim engine":   reclaimEngine,
	"revive engine":    reviveEngine,
	"pause engine":     pauseEngine,
	"platform out":     platformOut,
	"platform in":      platformIn,
	"wait":             waitBriefly,
}

// Do executes an action and counts it if it applied.
func (w *World) Do(a Action, counts *Counts) {
	if verbs[a.Verb](w, a) {
		counts.add(a.Verb)
	}
}

func (w *World) host(i int) *HostSlot { return w.Hosts[i%len(w.Hosts)] }

// newRequest sends a new request to host A. If the kind requires an
// idempotency key, the key is prefixed with the home of host B.
func (w *World) newRequest(kind Kind, a Action) bool {
	r, err := w.NewRequest(kind, 5+a.N*7, w.host(a.A), w.host(a.B))
	if err != nil {
		return false
	}
	w.Send(r, w.host(a.A))
	return true
}

// newClientRequest sends a new request through the client library.
func (w *World) newClientRequest(kind Kind, a Action) bool {
	w.sendWithClient(kind, a, func(*Request, error) {})
	return true
}

// NewRequest prepares a request without sending it. If the kind requires a
// key, NewRequest queries host via for the home of host target.
func (w *World) NewRequest(kind Kind, tokens int, via, target *HostSlot) (*Request, error) {
	r := &Request{Kind: kind, Tokens: tokens, Body: w.Oracle.newBody()}
	if kind == Letter || kind == Verdict {
		home, err := w.Home(via, target)
		if err != nil {
			return nil, err
		}
		r.Key = home + "." + r.Body
	}
	return r, nil
}

// pickRequest returns the n-th earlier request, modulo their number, for which
// matches returns true; nil if there is none.
func (w *World) pickRequest(n int, matches func(*Request) bool) *Request {
	var matching []*Request
	for _, r := range w.Oracle.Requests() {
		if matches(r) {
			matching = append(matching, r)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return matching[n%len(matching)]
}

func hasKey(r *Request) bool { return r.Key != "" }

func (w *World) repeat(a Action, same bool) bool {
	r := w.pickRequest(a.A, hasKey)
	if r == nil {
		return false
	}
	host := w.host(a.B)
	if at := strings.HasPrefix(r.Key, host.Name+"."); at != same {
		host = w.host(a.B + 1)
	}
	w.Send(r, host)
	return true
}

func repeatChanged(w *World, a Action) bool {
	r := w.pickRequest(a.A, hasKey)
	if r == nil {
		return false
	}
	w.SendChanged(r, w.host(a.B))
	return true
}

func resumeElsewhere(w *World, a Action) bool {
	r := w.pickRequest(a.A, func(r *Request) bool { return !r.usesClient && w.Oracle.lastEvent(r) != "" })
	return r != nil && w.Resume(r, w.host(a.B)) != nil
}

func abandon(w *World, a Action) bool {
	attempt := w.Oracle.runningAttempt(a.A)
	if attempt == nil || attempt.Request.usesClient {
		return false
	}
	attempt.Abandon()
	return true
}

func killHost(w *World, a Action) bool {
	host := w.host(a.A)
	if !host.Running() {
		return false
	}
	host.Kill() // also during a graceful stop
	return true
}

func startHost(w *World, a Action) bool {
	for i := range w.Hosts {
		if host := w.host(a.A + i); !host.Running() {
			return host.Start() == nil
		}
	}
	return false
}

func freezeHost(w *World, a Action) bool {
	host := w.host(a.A)
	if !host.Running() || host.Frozen() {
		return false
	}
	host.Freeze()
	return true
}

func thawHost(w *World, a Action) bool {
	for _, host := range w.Hosts {
		if host.Frozen() {
			host.Thaw()
			return true
		}
	}
	return false
}

func restartHost(w *World, a Action) bool {
	host := w.host(a.A)
	if !host.Up() {
		return false
	}
	host.Restart()
	return true
}

// onLink injects a fault into the link between an entry host and any machine.
// An odd N reverses the direction.
func (w *World) onLink(a Action, do func(from, to string)) bool {
	machines := w.Machines()
	from, to := w.host(a.A).IP, machines[a.B%len(machines)]
	if from == to {
		return false
	}
	if a.N%2 == 1 {
		from, to = to, from
	}
	do(from, to)
	w.linkFault = true
	return true
}

func heal(w *World, _ Action) bool {
	hadFaults := w.linkFault
	w.Fabric.HealAll()
	w.linkFault = false
	return hadFaults
}

func crossAnswers(w *World, a Action) bool {
	e := w.Engines[a.A%len(w.Engines)].Engine()
	switch a.B % 3 {
	case 0:
		e.CrossAnswers(1 + a.N%2)
	case 1:
		e.CrossChunks(1)
	case 2:
		e.SkipChunks(1)
	}
	return true
}

func spoilCalls(w *World, a Action) bool {
	modes := []plain.Mode{plain.Refuse, plain.Fail, plain.Cross, plain.DropBefore, plain.DropAfter, plain.Late, plain.Truncate}
	service := w.Plains[a.A%len(w.Plains)].Service()
	service.SetLateDelay(15 * time.Second)
	service.QueueModes(modes[a.N%len(modes)])
	return true
}

func drainServer(w *World, a Action) bool { return w.drain(w.host(a.A), a.B, false) }

func endDrain(w *World, a Action) bool { return w.drain(w.host(a.A), a.B, true) }

// drain sends an operator request to a host that drains a backend server or
// ends its drain. It reports whether the host accepted the request.
func (w *World) drain(at *HostSlot, server int, end bool) bool {
	addresses := w.backendAddresses()
	address := addresses[server%len(addresses)]
	body := fmt.Sprintf(`{"end":%t,"change_id":%q}`, end, w.Oracle.newBody())
	ctx, cancel := context.WithTimeout(context.Background(), idleTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.Address()+"/v1/operator/backend_servers/"+address+"/drain", strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	request.Header.Set("Content-Type", "application/json")
	response, err := w.http.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *World) backendAddresses() []string {
	var addresses []string
	for _, slot := range w.Engines {
		addresses = append(addresses, slot.Address())
	}
	for _, slot := range w.Plains {
		addresses = append(addresses, slot.Address())
	}
	return addresses
}

func killEngine(w *World, a Action) bool {
	slot := w.Engines[a.A%len(w.Engines)]
	if slot.Engine().Closed() {
		return false
	}
	slot.Kill()
	return true
}

func reclaimEngine(w *World, a Action) bool {
	e := w.Engines[a.A%len(w.Engines)].Engine()
	if e.Closed() || e.Load().Leaving {
		return false
	}
	e.Reclaim(time.Duration(1+a.N) * time.Second)
	return true
}

func reviveEngine(w *World, a Action) bool {
	for i := range w.Engines {
		if slot := w.Engines[(a.A+i)%len(w.Engines)]; slot.Engine().Closed() {
			return slot.Repair() == nil
		}
	}
	return false
}

func pauseEngine(w *World, a Action) bool {
	e := w.Engines[a.A%len(w.Engines)].Engine()
	e.Pause(a.N%2 == 0)
	return true
}

func platformOut(w *World, a Action) bool {
	w.Store.SetFaults(store.Faults{Outage: a.N%2 == 0, LoseAnswers: a.N % 3, LoseRequests: a.N % 2})
	return true
}

func platformIn(w *World, _ Action) bool {
	hadFaults := w.Store.Faults() != store.Faults{}
	w.Store.SetFaults(store.Faults{})
	return hadFaults
}

func waitBriefly(_ *World, a Action) bool {
	time.Sleep(time.Duration(1<<a.N) * 50 * time.Millisecond)
	return true
}
