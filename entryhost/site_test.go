package entryhost

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/papayasail/papayasail/caller"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/fake/network"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

const (
	testToken    = "akarsu-token"
	callerIP     = "10.0.9.1"
	outlook      = "outlook"
	letters      = "letters"
	gauges       = "gauges"
	modelService = `
service: %s
owner: hydrology
kind: model
model: {name: basin, version: "3", max_tokens: 4096, idempotent: %t}
backend_servers:
  - {name: engine-1, address: 10.0.1.1:9000, failure_domain: ankara, checks_orders: true}
  - {name: engine-2, address: 10.0.1.2:9000, failure_domain: konya, checks_orders: true}
`
	plainService = `
service: gauges
owner: hydrology
kind: plain
backend_servers:
  - {name: plain-1, address: 10.0.2.1:9000, failure_domain: ankara}
`
)

// site is an in-memory deployment for a synctest bubble: a store, two engines, a
// plain service and entry hosts.
type site struct {
	is             *is.I
	fabric         *network.Fabric
	store          *store.Memory
	engines        []*engine.Engine
	plain          *plain.Service
	hosts          []*Host
	stops          []func()
	pollsPerSecond float64      // load polls per second of each host; 0 for the default
	killed         map[int]bool // hosts whose machine was killed
	eventKeys      string       // event keys in the settings of hosts started from now on
}

// testEventKey is the default event key.
var testEventKey = strings.Repeat("ab", 32)

func hostIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func newSite(t *testing.T, hosts int) *site {
	return newSiteWithEngines(t, hosts, engine.Config{Models: []string{"basin@3"}})
}

func newSiteWithEngines(t *testing.T, hosts int, engines engine.Config) *site {
	return newSiteWithPolls(t, hosts, engines, 0)
}

func newSiteWithPolls(t *testing.T, hosts int, engines engine.Config, polls float64) *site {
	s := &site{pollsPerSecond: polls, killed: make(map[int]bool), is: is.New(t), fabric: network.New(network.Options{}), store: store.NewMemory(), eventKeys: "event_key: " + testEventKey, plain: plain.New(plain.Config{Name: "plain-1"})}
	for i := range 2 {
		engines.Name, engines.Seed = fmt.Sprintf("engine-%d", i+1), uint64(i)
		e := engine.New(engines)
		s.engines = append(s.engines, e)
		s.serve(fmt.Sprintf("10.0.1.%d:9000", i+1), e.Serve, e.Close)
	}
	s.serve("10.0.2.1:9000", s.plain.Serve, s.plain.Close)
	s.accept(outlook, fmt.Sprintf(modelService, outlook, true))
	s.accept(letters, fmt.Sprintf(modelService, letters, false))
	s.accept(gauges, plainService)
	for i := range hosts {
		s.start(i, hosts)
	}
	time.Sleep(3 * time.Second) // configuration, membership and first load reports
	return s
}

func (s *site) serve(address string, serve func(net.Listener) error, closer func() error) {
	host, _, err := net.SplitHostPort(address)
	s.is.NoErr(err)
	listener, err := s.fabric.Host(host).Listen(address)
	s.is.NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serve(listener) // returns after Close
	}()
	s.stops = append(s.stops, func() { _ = closer(); <-done })
}

func (s *site) accept(service, document string) {
	acceptor := configuration.NewAcceptor(s.store, contract.ParseDocument)
	result, err := acceptor.Put(context.Background(), configuration.Change{Service: service, Document: []byte(document), ChangeID: "create-" + service, Who: "test"})
	s.is.NoErr(err)
	s.is.Equal(result.Outcome, configuration.Accepted)
}

func (s *site) start(i, total int) { s.startAt(i, total, hostIP(i)) }

// startAt starts host i at an IP that may differ from hostIP(i).
func (s *site) startAt(i, total int, ip string) {
	var peers []string
	for j := range total {
		peers = append(peers, fmt.Sprintf("%q", hostIP(j)+":7481"))
	}
	parsed, err := settings.Parse("test.yaml", []byte(fmt.Sprintf(`
host: h%d
failure_domain: ankara
caller_address: %s:7480
peer_address: %s:7481
peers: [%s]
platform: 10.0.3.1:7000
%s
organisations:
  - {name: akarsu, token_sha256: %s}
operators:
  - {name: ops, token_sha256: %s}
`, i+1, ip, ip, strings.Join(peers, ", "), s.eventKeys,
		settings.HashToken(testToken), settings.HashToken("ops-token"))))
	s.is.NoErr(err)
	host, err := New(Options{Settings: parsed, Network: s.fabric.Host(ip), Store: s.store, PollsPerSecond: s.pollsPerSecond})
	s.is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx) }()
	s.hosts = append(s.hosts, host)
	s.stops = append(s.stops, func() {
		cancel()
		if err := <-done; !s.killed[i] {
			s.is.NoErr(err)
		}
	})
}

// kill kills the machine of an entry host with its connections and listeners.
func (s *site) kill(i int) {
	s.killed[i] = true
	s.fabric.Kill(hostIP(i))
}

func (s *site) close() {
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i]()
	}
	time.Sleep(recordedRunsEnd)
}

// recordedRunsEnd is how long a generation that runs for its record may continue
// after its host was closed.
const recordedRunsEnd = time.Minute

func (s *site) caller(seeds ...string) *caller.Client {
	client, err := caller.New(caller.Config{Seeds: seeds, Token: testToken, FailureDomain: "ankara", Network: s.fabric.Host(callerIP)})
	s.is.NoErr(err)
	return client
}

// readAll reads a stream to its end, checks that each token arrives once, in order
// and from an engine of the site, and returns the number of tokens.
func (s *site) readAll(stream *caller.Stream) int {
	for n := 0; ; n++ {
		token, err := stream.Next()
		if err == io.EOF {
			return n
		}
		s.is.NoErr(err)
		s.is.Equal(token.Index, n)
		s.is.True(s.isEngineToken(token))
	}
}

func (s *site) isEngineToken(token caller.Token) bool {
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if token.Text == engine.TokenText(run.GenerationID, token.Index) {
				return true
			}
		}
	}
	return false
}

// do sends one request over a new connection.
func (s *site) do(request *http.Request) (*http.Response, string) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return s.fabric.Host(callerIP).Dial(ctx, address)
	}}
	response, err := transport.RoundTrip(request)
	s.is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	s.is.NoErr(err)
	s.is.NoErr(response.Body.Close())
	return response, string(body)
}

// acknowledge sends an alarm acknowledgement with a key to host i and returns
// status and body.
func (s *site) acknowledge(i int, key string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+hostIP(i)+":7480/v1/services/gauges/call/alarms/7/ack", strings.NewReader("seen"))
	s.is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("Idempotency-Key", key)
	response, body := s.do(request)
	return fmt.Sprintf("%d %s", response.StatusCode, body)
}

// inFlight returns the number of data requests in flight at a host.
func (s *site) inFlight(host *Host) int {
	host.inFlight.mu.Lock()
	defer host.inFlight.mu.Unlock()
	return host.inFlight.count
}
