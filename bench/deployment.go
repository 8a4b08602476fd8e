package bench

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/entryhost"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

const (
	model                  = "basin@3"
	probePeriod            = 500 * time.Millisecond
	keepAddress            = 10 * time.Second
	startTimeout           = 30 * time.Second
	callersPerOrganisation = 7 // client library instances per organisation
)

// deployment is one site in this process: the production code of the entry hosts
// over loopback TCP, simulated engines and an in-memory store.
type deployment struct {
	site     site
	policy   string
	store    *store.Memory
	topology *topology
	engines  []*engineServer
	hosts    []*hostProcess
	callers  [][]*caller.Client // by organisation
	running  sync.WaitGroup
}

type engineServer struct {
	*engine.Engine
	name, address string
}

type hostProcess struct {
	settings *settings.Settings
	stop     context.CancelFunc
	done     chan struct{}
}

// deploy starts a site under a policy and returns when the site is ready.
// attempts is the maximum number of attempts per request of the callers.
func deploy(ctx context.Context, s site, policy string, seed uint64, attempts int) (*deployment, error) {
	d := &deployment{site: s, policy: policy, store: store.NewMemory(), topology: newTopology(s)}
	if err := d.start(ctx, seed, attempts); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context, seed uint64, attempts int) error {
	for i := range d.site.workers {
		if err := d.startEngine(i, seed); err != nil {
			return err
		}
	}
	if err := d.acceptDocument(ctx); err != nil {
		return err
	}
	if err := d.startHosts(ctx); err != nil {
		return err
	}
	if err := d.makeCallers(attempts); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *deployment) startEngine(i int, seed uint64) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "bench: engine")
	}
	config := d.site.engine
	config.Name = fmt.Sprintf("engine-%d", i+1)
	config.Seed = seed*100 + uint64(i)
	config.Models = []string{model}
	config.MaxTokens = d.site.outputs.limit
	e := &engineServer{Engine: engine.New(config), name: config.Name, address: listener.Addr().String()}
	d.engines = append(d.engines, e)
	d.topology.setDomain(e.address, d.site.domain(i))
	d.running.Go(func() { _ = e.Serve(listener) })
	return nil
}

func (d *deployment) acceptDocument(ctx context.Context) error {
	acceptor := configuration.NewAcceptor(d.store, contract.ParseDocument)
	result, err := acceptor.Put(ctx, configuration.Change{Service: d.site.service, Document: []byte(d.document()), ChangeID: "bench", Who: "bench"})
	if err != nil {
		return errors.Wrap(err, "bench: document")
	}
	if result.Outcome != configuration.Accepted {
		return errors.Newf("bench: document not accepted: %s", result.Outcome)
	}
	return nil
}

// weights are the fair-share weights of the organisations, by index; the largest
// three have higher ones.
var weights = []int{4, 3, 2, 1, 1, 1, 1, 1, 1, 1}

func (d *deployment) document() string {
	var servers, organisations strings.Builder
	for i, e := range d.engines {
		fmt.Fprintf(&servers, "  - {name: %s, address: \"%s\", failure_domain: %s}\n", e.name, e.address, d.site.domain(i))
	}
	for i, weight := range weights {
		fmt.Fprintf(&organisations, "  - {organisation: %s, weight: %d}\n", organisationName(i), weight)
	}
	name, version, _ := strings.Cut(model, "@")
	return fmt.Sprintf(`service: %s
owner: bench
kind: model
model: {name: %s, version: "%s", max_tokens: %d, idempotent: %t}
backend_servers:
%sorganisations:
%sdeadlines: {queue: %s, first_token: %s, gap: 10s}
placement: {risk: %g, target_gap: %s}
`, d.site.service, name, version, d.site.outputs.limit, d.site.idempotent, &servers, &organisations,
		d.site.queueDeadline, d.site.firstTokenDeadline, d.site.placementRisk, d.site.targetGap)
}

func organisationName(i int) string { return fmt.Sprintf("org-%d", i) }

func organisationToken(i int) string { return fmt.Sprintf("token-of-organisation-%d", i) }

func (d *deployment) startHosts(ctx context.Context) error {
	var all []*settings.Settings
	var peers []string
	for i := range d.site.entryHosts {
		s, err := d.hostSettings(i)
		if err != nil {
			return err
		}
		all, peers = append(all, s), append(peers, s.PeerAddress)
	}
	for _, s := range all {
		s.Peers = peers
		if err := d.startHost(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) hostSettings(i int) (*settings.Settings, error) {
	s := &settings.Settings{Host: fmt.Sprintf("host-%d", i+1), FailureDomain: d.site.domain(i)}
	for _, address := range []*string{&s.CallerAddress, &s.PeerAddress} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
		d.topology.setDomain(free, s.FailureDomain)
	}
	s.Platform = "127.0.0.1:1" // unused, because the store is in memory
	s.EventKey = []byte("a key that only benches use, of 32 bytes")
	for org := range d.site.shares {
		s.Organisations = append(s.Organisations, settings.Organisation{Name: organisationName(org), TokenSHA256: settings.HashToken(organisationToken(org))})
	}
	for j, from := range d.site.domains {
		for _, to := range d.site.domains[j+1:] {
			s.Distances = append(s.Distances, settings.Distance{From: from, To: to, Latency: d.site.domainLatency})
		}
	}
	s.Limits = settings.DefaultLimits()
	s.Limits.PeerProbePeriod = probePeriod
	s.Limits.KeepAddresses = keepAddress
	s.LogLevel = settings.DefaultLogLevel
	return s, nil
}

// Range of the ports on which entry hosts listen. It is below the ephemeral
// ports of the operating system, so that no outgoing connection can take a port
// between its selection and the start of the host.
const (
	firstPort = 12_000
	ports     = 18_000
)

var nextPort atomic.Uint32

// freeAddress returns a loopback address whose port was free when checked. It
// returns each address at most once per cycle through the port range.
func freeAddress() (string, error) {
	start := uint32(os.Getpid()) * 61 // concurrent processes start at different ports
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(start+nextPort.Add(1))%ports)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("bench: no free port")
}

func (d *deployment) startHost(ctx context.Context, s *settings.Settings) error {
	host, err := entryhost.New(entryhost.Options{
		Settings: s, Store: d.store, Policy: d.policy, PollsPerSecond: d.site.pollsPerSecond,
		Network: &network{topology: d.topology, domain: s.FailureDomain},
	})
	if err != nil {
		return errors.Wrapf(err, "bench: %s", s.Host)
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &hostProcess{settings: s, stop: cancel, done: make(chan struct{})}
	d.hosts = append(d.hosts, p)
	d.running.Go(func() {
		defer close(p.done)
		_ = host.Run(ctx)
	})
	return nil
}

func (d *deployment) makeCallers(attempts int) error {
	for org := range d.site.shares {
		var clients []*caller.Client
		for i := range callersPerOrganisation {
			var seeds []string
			for j := range d.hosts {
				seeds = append(seeds, d.hosts[(i+j)%len(d.hosts)].settings.CallerAddress)
			}
			client, err := caller.New(caller.Config{
				Seeds: seeds, Token: organisationToken(org), FailureDomain: d.site.domain(i), MaxAttempts: attempts,
				Network: &network{topology: d.topology, domain: callers}, Attempt: d.site.queueDeadline + d.site.firstTokenDeadline,
			})
			if err != nil {
				return errors.Wrap(err, "bench: caller")
			}
			clients = append(clients, client)
		}
		d.callers = append(d.callers, clients)
	}
	return nil
}

// waitReady waits until every caller has the addresses of all entry hosts and a
// request has succeeded.
func (d *deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := d.checkReady(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "bench: site not ready before the timeout")
		case <-time.After(probePeriod / 2):
		}
	}
}

func (d *deployment) checkReady(ctx context.Context) error {
	for _, clients := range d.callers {
		for _, client := range clients {
			answer, err := client.Addresses(ctx)
			if err != nil {
				return err
			}
			if len(answer.Addresses) < len(d.hosts) {
				return errors.Newf("caller has addresses of %d of %d entry hosts", len(answer.Addresses), len(d.hosts))
			}
		}
	}
	stream, err := d.callers[0][0].Generate(ctx, d.site.service, caller.Request{Prompt: "ready?", StopAfter: 1})
	if err != nil {
		return err
	}
	defer stream.Close()
	_, err = stream.Next()
	return err
}

// kill ends a host without a graceful stop and waits for its end.
func (p *hostProcess) kill() {
	p.stop()
	<-p.done
}

// close stops all callers, hosts and engines and waits for their end.
func (d *deployment) close() {
	for _, clients := range d.callers {
		for _, client := range clients {
			client.Close()
		}
	}
	for _, p := range d.hosts {
		p.kill()
	}
	for _, e := range d.engines {
		_ = e.Close()
	}
	d.running.Wait()
}
