package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/store"
)

// Names of the services in every world.
const (
	ServiceNarratives = "outlook" // idempotent generations
	ServiceLetters    = "letters" // generations that are not idempotent
	ServiceRisk       = "risk"    // exact calls
)

const (
	// CallerIP is the address of the machine of callers that send plain HTTP
	// requests, OtherCallerIP that of callers that use the client library.
	CallerIP      = "10.0.9.1"
	OtherCallerIP = "10.0.9.2"

	callerPort  = 7480
	peerPort    = 7580
	backendPort = 8000

	discoveryTime       = 3 * time.Second  // virtual; time for the hosts of a new fleet to discover each other
	shutdownTime        = 5 * time.Minute  // virtual; longer than any timer that is still pending at the end
	stopTimeout         = 2 * time.Minute  // timeout of a graceful stop
	callerToken         = "secret of dsi"  // bearer token of the only organisation
	operatorToken       = "secret of duty" // bearer token of the only operator
	generationRetention = 60 * time.Second // retention of an ended generation in an engine
	unreadGrace         = 10 * time.Second // how long an engine runs a generation without a reader
	linkLatency         = time.Millisecond // unused: links between machines have no latency
	engines             = 2
	plains              = 2
)

// World is a simulated deployment: entry hosts, engines, plain services and the
// platform's store on one in-memory network.
type World struct {
	policy  string // routing policy of the hosts
	Fabric  *network.Fabric
	Store   *store.Memory
	Hosts   []*HostSlot
	Engines []*EngineSlot
	Plains  []*PlainSlot
	Oracle  *Oracle

	http      *http.Client   // of callers that send plain HTTP requests
	client    *caller.Client // of callers that use the client library
	callers   sync.WaitGroup
	linkFault bool // a link has a fault; only used by the goroutine that executes actions
}

// NewWorld starts a world with the given number of entry hosts and routing
// policy, and waits until the hosts have had time to discover each other.
func NewWorld(hosts int, policy string) (*World, error) {
	w := &World{policy: policy, Fabric: network.New(network.Options{}), Store: store.NewMemory()}
	w.Oracle = newOracle(w)
	w.http = &http.Client{Transport: &http.Transport{DialContext: dialFrom(w.Fabric.Host(CallerIP)), DisableKeepAlives: true, DisableCompression: true}}
	for i := range engines {
		w.Engines = append(w.Engines, &EngineSlot{world: w, Name: fmt.Sprintf("engine-%d", i+1), IP: fmt.Sprintf("10.0.1.%d", i+1)})
	}
	for i := range plains {
		w.Plains = append(w.Plains, &PlainSlot{world: w, Name: fmt.Sprintf("plain-%d", i+1), IP: fmt.Sprintf("10.0.2.%d", i+1)})
	}
	for i := range hosts {
		w.Hosts = append(w.Hosts, &HostSlot{world: w, Name: fmt.Sprintf("host-%d", i+1), IP: fmt.Sprintf("10.0.0.%d", i+1)})
	}
	return w, w.start()
}

func (w *World) start() error {
	if err := w.configure(); err != nil {
		return err
	}
	if err := w.startClient(); err != nil {
		return err
	}
	for _, slot := range w.Engines {
		if err := slot.Start(); err != nil {
			return err
		}
	}
	for _, slot := range w.Plains {
		if err := slot.Start(); err != nil {
			return err
		}
	}
	for _, slot := range w.Hosts {
		if err := slot.Start(); err != nil {
			return err
		}
	}
	time.Sleep(discoveryTime)
	return nil
}

func (w *World) startClient() (err error) {
	config := caller.Config{Token: callerToken, Network: w.Fabric.Host(OtherCallerIP)}
	for _, slot := range w.Hosts {
		config.Seeds = append(config.Seeds, slot.Address())
	}
	w.client, err = caller.New(config)
	return err
}

// configure puts the documents of all services in force.
func (w *World) configure() error {
	acceptor := configuration.NewAcceptor(w.Store, contract.ParseDocument)
	for service, document := range w.documents() {
		_, err := acceptor.Put(context.Background(), configuration.Change{
			Service: service, Document: []byte(document), ChangeID: "first-" + service, Who: "proof",
		})
		if err != nil {
			return errors.Wrap(err, service)
		}
	}
	return nil
}

func (w *World) documents() map[string]string {
	model := func(service, idempotent string) string {
		document := "service: " + service + "\nowner: proof\nkind: model\nmodel:\n  name: basin\n  version: \"1\"\n  max_tokens: 1000\n  idempotent: " + idempotent + "\nbackend_servers:\n"
		for _, slot := range w.Engines {
			document += fmt.Sprintf("  - {name: %s, address: %q, failure_domain: konya}\n", slot.Name, slot.Address())
		}
		return document
	}
	risk := "service: " + ServiceRisk + "\nowner: proof\nkind: plain\nbackend_servers:\n"
	for _, slot := range w.Plains {
		risk += fmt.Sprintf("  - {name: %s, address: %q, failure_domain: konya}\n", slot.Name, slot.Address())
	}
	return map[string]string{
		ServiceNarratives: model(ServiceNarratives, "true"),
		ServiceLetters:    model(ServiceLetters, "false"),
		ServiceRisk:       risk,
	}
}

// Machines returns the IP addresses of all machines.
func (w *World) Machines() []string {
	ips := []string{CallerIP, OtherCallerIP}
	for _, slot := range w.Hosts {
		ips = append(ips, slot.IP)
	}
	for _, slot := range w.Engines {
		ips = append(ips, slot.IP)
	}
	for _, slot := range w.Plains {
		ips = append(ips, slot.IP)
	}
	return ips
}

// EndFaults ends every fault: it heals all links, makes the store available, and
// thaws or restarts every process that was frozen, stopped or killed.
func (w *World) EndFaults() error {
	w.Fabric.HealAll()
	w.Store.SetFaults(store.Faults{})
	for _, slot := range w.Engines {
		if err := slot.Repair(); err != nil {
			return err
		}
	}
	for _, slot := range w.Plains {
		if err := slot.Repair(); err != nil {
			return err
		}
	}
	for _, slot := range w.Hosts {
		slot.Thaw()
		slot.awaitStop()
		if err := slot.Start(); err != nil {
			return err
		}
	}
	return nil
}

// AwaitCallers waits until every attempt and every graceful stop has ended.
func (w *World) AwaitCallers() { w.callers.Wait() }

// Close stops all processes of the world. All goroutines of the world have ended
// when Close returns.
func (w *World) Close() {
	w.callers.Wait()
	w.client.Close()
	for _, slot := range w.Hosts {
		slot.Kill()
	}
	for _, slot := range w.Engines {
		slot.Kill()
	}
	for _, slot := range w.Plains {
		slot.Kill()
	}
	w.Fabric.HealAll()
	time.Sleep(shutdownTime)
}

// engineConfig returns the configuration of a small and fast engine, so that
// its memory fills up and generations of different lengths overlap.
func engineConfig(name string) engine.Config {
	return engine.Config{
		Name: name, TokenCapacity: 400, MaxBatch: 6, MaxWaiting: 8, StepBase: 50 * time.Millisecond,
		Grace: unreadGrace, Keep: generationRetention, ReportLag: 200 * time.Millisecond, ReportLoss: 0.05,
		Models: []string{"basin@1"},
	}
}

// plainConfig returns a configuration with a delay, so that faults occur while
// calls are running.
func plainConfig(name string) plain.Config {
	return plain.Config{Name: name, Delay: 100 * time.Millisecond}
}
