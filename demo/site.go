package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/entryhost"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/internal/operatorclient"
	"github.com/papayasail/papayasail/platform"
	"github.com/papayasail/papayasail/platform/standin"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

// Tokens of a Site.
const (
	OperatorToken = "demo-operator"
	CallerToken   = "demo-caller" // may use all services
	OtherToken    = "demo-other"  // may use only the service "other"
)

// Sizes of a Site.
const (
	entryHosts    = 3
	engines       = 3
	bodyLimit     = 64 << 10
	probePeriod   = 100 * time.Millisecond
	keepAlive     = 500 * time.Millisecond
	keepAddresses = 5 * time.Second
	stopTimeout   = 20 * time.Second
	settleTime    = 15 * time.Second // timeout of each awaited condition; normally it takes seconds at most
	pollInterval  = 20 * time.Millisecond
)

var failureDomains = []string{"ankara", "kirikkale", "konya"}

// Site is a small deployment in one process on loopback ports: stand-ins of
// the platform, of model engines and of a plain service, and entry hosts.
type Site struct {
	Store   *store.Memory
	Engines []*Engine
	Plain   *Plain
	Hosts   []*EntryHost

	options  Options
	network  *loopback
	platform string
	servers  []*http.Server
	running  sync.WaitGroup
}

// Engine is a stand-in model engine and its address.
type Engine struct {
	*engine.Engine
	Name, Address, FailureDomain string
}

// Plain is a stand-in plain service and its address.
type Plain struct {
	*plain.Service
	Name, Address, FailureDomain string
}

// EntryHost is one entry host.
type EntryHost struct {
	Name          string
	CallerAddress string
	Operator      *operator.Client

	settings *settings.Settings
	host     *entryhost.Host
	kill     context.CancelFunc
	done     chan struct{} // closed when the host has stopped
}

// Options configures a Site.
type Options struct {
	// ServerTLS configures the certificate of all entry hosts; nil: plain HTTP.
	ServerTLS *settings.TLS
	// ClientTLS configures the site's own clients.
	ClientTLS *tls.Config
}

// Start starts a site without any service document. Close stops it.
func Start(ctx context.Context, options Options) (*Site, error) {
	s := &Site{options: options, Store: store.NewMemory(), network: newLoopback()}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	var err error
	if s.platform, err = s.serve(standin.NewStore(s.Store)); err != nil {
		return err
	}
	for i := range engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	if err := s.startPlain(); err != nil {
		return err
	}
	if err := s.createHosts(); err != nil {
		return err
	}
	for _, host := range s.Hosts {
		if err := s.startHost(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

// Close stops everything immediately and waits until it has stopped.
func (s *Site) Close() {
	for _, host := range s.Hosts {
		host.Kill()
	}
	for _, e := range s.Engines {
		_ = e.Close()
	}
	if s.Plain != nil {
		_ = s.Plain.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.network.close()
	s.running.Wait()
}

// serve serves a handler on a free port until Close.
func (s *Site) serve(handler http.Handler) (string, error) {
	address, listener, err := s.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	s.running.Go(func() { _ = server.Serve(listener) })
	return address, nil
}

func (s *Site) listen() (string, net.Listener, error) {
	address, err := s.network.reserve()
	if err != nil {
		return "", nil, err
	}
	listener, err := s.network.Listen(address)
	return address, listener, err
}

func (s *Site) startEngine(i int) error {
	address, listener, err := s.listen()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("engine-%d", i+1)
	e := engine.New(engine.Config{Name: name, Seed: uint64(i + 1), Models: []string{"basin@3", "letter@1"}})
	s.Engines = append(s.Engines, &Engine{Engine: e, Name: name, Address: address, FailureDomain: failureDomains[i%len(failureDomains)]})
	s.running.Go(func() { _ = e.Serve(listener) })
	return nil
}

func (s *Site) startPlain() error {
	address, listener, err := s.listen()
	if err != nil {
		return err
	}
	p := plain.New(plain.Config{Name: "gauges-1"})
	s.Plain = &Plain{Service: p, Name: "gauges-1", Address: address, FailureDomain: failureDomains[0]}
	s.running.Go(func() { _ = p.Serve(listener) })
	return nil
}

// createHosts reserves the addresses of all entry hosts and creates their settings, each
// with the addresses of all peers.
func (s *Site) createHosts() error {
	var peers []string
	for i := range entryHosts {
		callers, err := s.network.reserve()
		if err != nil {
			return err
		}
		peer, err := s.network.reserve()
		if err != nil {
			return err
		}
		peers = append(peers, peer)
		name := fmt.Sprintf("host-%d", i+1)
		s.Hosts = append(s.Hosts, &EntryHost{
			Name: name, CallerAddress: callers, Operator: operatorclient.New(s.url(callers), s.network, s.options.ClientTLS),
			settings: &settings.Settings{Host: name, FailureDomain: failureDomains[i], CallerAddress: callers, PeerAddress: peer},
		})
	}
	for _, host := range s.Hosts {
		host.settings.Peers = peers
		s.fillSettings(host.settings)
	}
	return nil
}

func (s *Site) url(address string) string {
	if s.options.ServerTLS != nil {
		return "https://" + address
	}
	return "http://" + address
}

func (s *Site) fillSettings(target *settings.Settings) {
	const oneWay = 1500 * time.Microsecond
	target.Platform = s.platform
	target.TLS = s.options.ServerTLS
	target.EventKey = []byte("a key that only the demo uses, 32+ bytes")
	target.Operators = []settings.Operator{{Name: "demo", TokenSHA256: settings.HashToken(OperatorToken)}}
	target.Organisations = []settings.Organisation{
		{Name: "cooperative", TokenSHA256: settings.HashToken(CallerToken)},
		{Name: "other", TokenSHA256: settings.HashToken(OtherToken), Services: []string{"other"}},
	}
	for i, from := range failureDomains {
		for _, other := range failureDomains[i+1:] {
			target.Distances = append(target.Distances, settings.Distance{From: from, To: other, Latency: oneWay})
		}
	}
	target.Limits = settings.DefaultLimits()
	target.Limits.BodyBytes = bodyLimit
	target.Limits.KeepAlive = keepAlive
	target.Limits.KeepAddresses = keepAddresses
	target.Limits.PeerProbePeriod = probePeriod
	target.Limits.StopBound = stopTimeout
	target.LogLevel = settings.DefaultLogLevel
}

func (s *Site) startHost(ctx context.Context, host *EntryHost) error {
	var err error
	host.host, err = entryhost.New(entryhost.Options{
		Settings: host.settings, Network: s.network,
		Store: platform.NewStore(s.network, host.settings.Platform, float64(host.settings.Limits.PlatformCalls)),
	})
	if err != nil {
		return errors.Wrapf(err, "demo: %s", host.Name)
	}
	ctx, host.kill = context.WithCancel(ctx)
	host.done = make(chan struct{})
	s.running.Go(func() {
		defer close(host.done)
		_ = host.host.Run(ctx)
	})
	return nil
}

// Kill stops the host immediately, as the end of its process does, and waits for it.
func (h *EntryHost) Kill() {
	if h.kill != nil {
		h.kill()
		<-h.done
	}
}

// Stop stops the host gracefully, within Limits.StopBound of its settings.
func (h *EntryHost) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Limits.StopBound)
	defer cancel()
	return h.host.Stop(ctx)
}

// Caller returns a client with all entry hosts as seeds.
func (s *Site) Caller(token string) (*caller.Client, error) {
	var seeds []string
	for _, host := range s.Hosts {
		seeds = append(seeds, s.url(host.CallerAddress))
	}
	return caller.New(caller.Config{Seeds: seeds, Token: token, Network: s.network, TLS: s.options.ClientTLS})
}

// eventually polls until done returns true. It returns an error after settleTime or
// when ctx ends.
func eventually(ctx context.Context, condition string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Newf("%s: condition not met within %s", condition, settleTime)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
