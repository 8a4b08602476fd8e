package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/platform"
	"github.com/papayasail/papayasail/platform/standin"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

const (
	services    = 13 // number of models in steady use at the target size
	joinTimeout = 2 * time.Minute
	// manyHosts is the size above which a fleet has the 10 failure domains and
	// 3 regions of the target; up to it a fleet has 3 domains in one region.
	manyHosts   = 30
	manyDomains = 10
	fewDomains  = 3
	regions     = 3
	seedHosts   = 3
)

// fleet runs the control planes of several entry hosts in one process.
type fleet struct {
	memory          *store.Memory
	server          *http.Server
	network         *countingNetwork
	partition       *partition
	platformBytes   atomic.Int64
	platformAddress string
	hosts           []*host
	documents       []string // service names
	workers         int
	organisations   int // number of organisations in each document
	stopHosts       context.CancelFunc
	running         sync.WaitGroup
}

// host is the control plane of one entry host.
type host struct {
	domain   string
	node     *peer.Node
	table    *configuration.Table
	client   *platform.ObjectStore
	store    store.Store // client with a limited rate of calls
	acceptor *configuration.Acceptor
	registry *prometheus.Registry
	inForce  atomic.Pointer[func(*host)] // if set, called after each change of the table
}

// startFleet starts the simulated platform with documents, and all hosts.
func startFleet(ctx context.Context, hosts, workers, organisations int) (*fleet, error) {
	f := &fleet{memory: store.NewMemory(), partition: newPartition(), workers: workers, organisations: organisations}
	f.network = &countingNetwork{bytes: &f.platformBytes}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "stand-in platform")
	}
	f.platformAddress = listener.Addr().String()
	f.server = &http.Server{Handler: standin.NewStore(f.memory)}
	f.running.Go(func() { _ = f.server.Serve(listener) })
	ctx, f.stopHosts = context.WithCancel(ctx)
	addresses, err := freeAddresses(hosts)
	if err != nil {
		return nil, err
	}
	for i, address := range addresses {
		f.partition.domainOf[address] = domainOf(i, hosts)
		f.hosts = append(f.hosts, f.newHost(i, address, addresses))
	}
	if err := f.putDocuments(ctx); err != nil {
		return nil, err
	}
	for _, h := range f.hosts {
		f.run(ctx, h)
	}
	return f, nil
}

// freeAddresses returns n distinct loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		defer listener.Close() // all listeners stay open until the last port is found, so that ports are distinct
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func domainOf(i, hosts int) string {
	domains := fewDomains
	if hosts > manyHosts {
		domains = manyDomains
	}
	return fmt.Sprintf("domain-%d", i%domains)
}

// nearDomains returns the failure domains in the region of a host; nil if the
// fleet has one region.
func nearDomains(i, hosts int) []string {
	if hosts <= manyHosts {
		return nil
	}
	var near []string
	for d := range manyDomains {
		if d%regions == i%manyDomains%regions {
			near = append(near, fmt.Sprintf("domain-%d", d))
		}
	}
	return near
}

func (f *fleet) newHost(i int, address string, addresses []string) *host {
	h := &host{domain: domainOf(i, len(addresses)), table: configuration.NewTable(contract.ParseDocument), registry: prometheus.NewRegistry()}
	h.client = platform.NewObjectStore(f.network, f.platformAddress)
	h.store = store.NewLimited(h.client, store.Budget{})
	h.acceptor = configuration.NewAcceptor(h.store, contract.ParseDocument)
	h.acceptor.OnObject = func(object store.Object) { h.table.Adopt([]store.Object{object}) }
	h.node = peer.New(peer.Options{
		Self: peer.Member{
			Host: fmt.Sprintf("host-%d", i), FailureDomain: h.domain,
			PeerAddress: address, CallerAddress: "http://" + address,
		},
		Network:       partitionedNetwork{partition: f.partition, domain: h.domain},
		Seeds:         addresses[:min(seedHosts, len(addresses))],
		Configuration: peerTable{h.table},
		Handler:       noRequests{},
		Registerer:    h.registry,
		Scope:         peer.Scope{Near: nearDomains(i, len(addresses))},
	})
	h.table.Subscribe(func() {
		h.node.Announce()
		if notify := h.inForce.Load(); notify != nil {
			(*notify)(h)
		}
	})
	return h
}

func (f *fleet) run(ctx context.Context, h *host) {
	watcher := &replica.Follower{Store: h.store, Kind: configuration.Kind, Table: h.table.Table, Active: h.watches}
	f.running.Go(func() { _ = h.node.Run(ctx) })
	f.running.Go(func() { _ = watcher.Run(ctx) })
}

func (h *host) watches() bool {
	return domain.IsWatcher(h.node.Members(), h.node.Self().Host)
}

// putDocuments accepts the documents of all services, at different hosts, so
// that no host exceeds its limit of platform calls.
func (f *fleet) putDocuments(ctx context.Context) error {
	for s := range services {
		name := fmt.Sprintf("model-%d", s)
		f.documents = append(f.documents, name)
		if _, err := f.accept(ctx, f.hosts[s%len(f.hosts)], name, f.document(s, 0)); err != nil {
			return err
		}
	}
	return nil
}

// accept submits a document through h and returns the accepted version. The
// document comes into force later.
func (f *fleet) accept(ctx context.Context, h *host, name, text string) (store.Version, error) {
	_, version, _ := h.table.Document(name)
	result, err := h.acceptor.Put(ctx, configuration.Change{
		Service: name, Document: []byte(text), Expect: version, ChangeID: fmt.Sprintf("%s-%d", name, time.Now().UnixNano()), Who: "bench",
	})
	if err != nil {
		return 0, errors.Wrap(err, "accept a document")
	}
	if result.Outcome != configuration.Accepted {
		return 0, errors.Newf("document %s not accepted: %s", name, result.Outcome)
	}
	return result.Version, nil
}

// document returns the document of one service, with its share of the workers
// and its organisations. Different values of round give different texts.
func (f *fleet) document(index, round int) string {
	name := f.documents[index]
	var b strings.Builder
	fmt.Fprintf(&b, "service: %s\nowner: team-%d\nkind: model\nmodel:\n  name: %s\n  version: \"%d\"\n  max_tokens: 32768\n  idempotent: true\nbackend_servers:\n", name, round, name, index+1)
	for w := index; w < max(f.workers, services); w += services {
		fmt.Fprintf(&b, "  - name: engine-%d\n    address: 10.1.%d.%d:9000\n    failure_domain: domain-%d\n", w, w/200, w%200+1, w%manyDomains)
	}
	b.WriteString("organisations:\n")
	for o := range f.organisations {
		// Hashed names, so that the text compresses no better than real ones.
		fmt.Fprintf(&b, "  - organisation: %08x\n    weight: %d\n", uint32(xxhash.Sum64String(name+strconv.Itoa(o))), o%4+1)
	}
	return b.String()
}

// stop stops all hosts and the simulated platform.
func (f *fleet) stop() {
	f.memory.SetFaults(store.Faults{})
	f.stopHosts()
	_ = f.server.Close()
	f.running.Wait()
	for _, h := range f.hosts {
		h.client.Close()
	}
}

func (f *fleet) bytes() float64       { return f.metric("papayasail_peer_bytes_total") }
func (f *fleet) connections() float64 { return f.metric("papayasail_peer_connections") }

// metric returns the sum of a counter or gauge over all hosts.
func (f *fleet) metric(name string) (total float64) {
	for _, h := range f.hosts {
		total += h.metric(name)
	}
	return total
}

// metric returns the sum of a counter or gauge of the host over its labels.
func (h *host) metric(name string) (total float64) {
	families, _ := h.registry.Gather()
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return total
}

// peerTable adapts the configuration table to peer.ConfigurationTable.
type peerTable struct{ *configuration.Table }

// Adopt implements peer.ConfigurationTable.
func (t peerTable) Adopt(objects []store.Object) (int, error) {
	changed, _ := t.Table.Adopt(objects)
	return changed, nil
}

// noRequests is the peer request handler of a fleet without requests.
type noRequests struct{}

func (noRequests) Forward(context.Context, *peerpb.ForwardRequest) *peerpb.ForwardResponse {
	return &peerpb.ForwardResponse{}
}

func (noRequests) HandOver(context.Context, *peerpb.HandOverRequest) error { return nil }

// countingNetwork counts the bytes read and written by all its connections.
type countingNetwork struct {
	link.TCP
	bytes *atomic.Int64
}

func (n *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, n.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
