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

// Services of the world.
const (
	ServiceNarratives = "outlook" // generations that are idempotent
	ServiceLetters    = "letters" // generations that are not
	ServiceRisk       = "risk"    // exact calls
)

const (
	// CallerIP is the machine of the raw callers, OtherCallerIP that of
	// callers that use the client library.
	CallerIP      = "10.0.9.1"
	OtherCallerIP = "10.0.9.2"

	callerPort  = 7480
	peerPort    = 7580
	backendPort = 8000

	joinTime  = 3 * time.Second  // virtual; until a fresh fleet knows itself
	drainTime = 5 * time.Minute  // virtual; longer than any timeout that still runs
	stopBound = 2 * time.Minute  // of a graceful stop
	token     = "secret of dsi"  // of the one organisation
	operator  = "secret of duty" // of the one operator
	outlive   = 60 * time.Second // how long an engine keeps an ended generation
	grace     = 10 * time.Second // how long an engine runs a generation unread
	network1  = time.Millisecond // latency between any two machines
	engines   = 2
	plains    = 2
)

// World is a small fleet: entry hosts, engines, plain services and the
// platform's store.
type World struct {
	policy string // routing policy of the hosts
	Fabric *network.Fabric
	Store  *store.Memory
	Hosts  []*HostSlot
	Models []*EngineSlot
	Plains []*PlainSlot
	Oracle *Oracle

	http    *http.Client   // of the raw callers
	client  *caller.Client // of callers that use the client library
	callers sync.WaitGroup
	faulty  bool // a link has a fault; used by the goroutine that acts
}

// NewWorld starts a fleet of so many entry hosts under a routing policy and waits until its members
// know each other.
func NewWorld(hosts int, policy string) (*World, error) {
	w := &World{policy: policy, Fabric: network.New(network.Options{}), Store: store.NewMemory()}
	w.Oracle = newOracle(w)
	w.http = &http.Client{Transport: &http.Transport{DialContext: dialFrom(w.Fabric.Host(CallerIP)), DisableKeepAlives: true, DisableCompression: true}}
	for i := range engines {
		w.Models = append(w.Models, &EngineSlot{world: w, Name: fmt.Sprintf("engine-%d", i+1), IP: fmt.Sprintf("10.0.1.%d", i+1)})
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
	for _, slot := range w.Models {
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
	time.Sleep(joinTime)
	return nil
}

func (w *World) startClient() (err error) {
	config := caller.Config{Token: token, Network: w.Fabric.Host(OtherCallerIP)}
	for _, slot := range w.Hosts {
		config.Seeds = append(config.Seeds, slot.Address())
	}
	w.client, err = caller.New(config)
	return err
}

// configure puts the service documents in force.
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
		for _, slot := range w.Models {
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

// Machines returns the IPs of all machines.
func (w *World) Machines() []string {
	ips := []string{CallerIP, OtherCallerIP}
	for _, slot := range w.Hosts {
		ips = append(ips, slot.IP)
	}
	for _, slot := range w.Models {
		ips = append(ips, slot.IP)
	}
	for _, slot := range w.Plains {
		ips = append(ips, slot.IP)
	}
	return ips
}

// Mend ends every fault: links heal, the store is back, whatever was frozen,
// stopped or killed runs again.
func (w *World) Mend() error {
	w.Fabric.HealAll()
	w.Store.SetFaults(store.Faults{})
	for _, slot := range w.Models {
		if err := slot.Revive(); err != nil {
			return err
		}
	}
	for _, slot := range w.Plains {
		if err := slot.Revive(); err != nil {
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

// Await waits until every caller has ended.
func (w *World) Await() { w.callers.Wait() }

// Close ends everything. The world's goroutines have ended when it returns.
func (w *World) Close() {
	w.callers.Wait()
	w.client.Close()
	for _, slot := range w.Hosts {
		slot.Kill()
	}
	for _, slot := range w.Models {
		slot.Kill()
	}
	for _, slot := range w.Plains {
		slot.Kill()
	}
	w.Fabric.HealAll()
	time.Sleep(drainTime)
}

// engineConfig is small and quick, so that memory fills and lengths vary.
func engineConfig(name string) engine.Config {
	return engine.Config{
		Name: name, TokenCapacity: 400, MaxBatch: 6, MaxWaiting: 8, StepBase: 50 * time.Millisecond,
		Grace: grace, Keep: outlive, ReportLag: 200 * time.Millisecond, ReportLoss: 0.05,
		Models: []string{"basin@1"},
	}
}

// plainConfig makes calls take a while, so that faults meet them running.
func plainConfig(name string) plain.Config {
	return plain.Config{Name: name, Delay: 100 * time.Millisecond}
}
