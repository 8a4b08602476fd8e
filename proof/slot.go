package proof

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/papayasail/papayasail/entryhost"
	"github.com/papayasail/papayasail/fake/engine"
	"github.com/papayasail/papayasail/fake/plain"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/settings"
)

// incarnationNetwork is the network of one incarnation of an entry host. The
// goroutines of a killed incarnation still run in the test process, but must
// not reach another machine.
type incarnationNetwork struct {
	link.Network
	dead atomic.Bool
}

// Dial implements link.Network.
func (n *incarnationNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.dead.Load() {
		return nil, syscall.ENETDOWN
	}
	conn, err := n.Network.Dial(ctx, address)
	if err == nil && n.dead.Load() {
		conn.Close()
		return nil, syscall.ENETDOWN
	}
	return conn, err
}

// HostSlot is a machine that runs incarnations of one entry host, one at a time.
type HostSlot struct {
	world *World
	Name  string
	IP    string

	mu      sync.Mutex       // guards all below
	current *hostIncarnation // nil if none runs
	started int              // number of incarnations started so far
	frozen  bool
}

// hostIncarnation is one incarnation of an entry host.
type hostIncarnation struct {
	host     *entryhost.Host
	network  *incarnationNetwork
	cancel   context.CancelFunc
	ended    chan struct{} // closed when the incarnation has ended
	stopping bool          // a graceful stop has begun
}

// Address returns the address to which callers connect.
func (s *HostSlot) Address() string { return fmt.Sprintf("%s:%d", s.IP, callerPort) }

func (s *HostSlot) settings() (*settings.Settings, error) {
	peers := ""
	for _, other := range s.world.Hosts {
		if other != s {
			peers += fmt.Sprintf("%q, ", fmt.Sprintf("%s:%d", other.IP, peerPort))
		}
	}
	text := fmt.Sprintf(`host: %s
failure_domain: konya
caller_address: %s
peer_address: %s:%d
peers: [%s]
platform: 10.0.8.1:7400
event_key: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
operators:
  - {name: duty, token_sha256: %s}
organisations:
  - {name: dsi, token_sha256: %s}
`, s.Name, s.Address(), s.IP, peerPort, peers, settings.HashToken(operatorToken), settings.HashToken(callerToken))
	return settings.Parse(s.Name, []byte(text))
}

// Start starts the host unless it is running.
func (s *HostSlot) Start() error {
	time.Sleep(time.Millisecond) // incarnation numbers are derived from the clock and must differ
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	parsed, err := s.settings()
	if err != nil {
		return err
	}
	incarnation := &hostIncarnation{network: &incarnationNetwork{Network: s.world.Fabric.Host(s.IP)}, ended: make(chan struct{})}
	incarnation.host, err = entryhost.New(entryhost.Options{Settings: parsed, Network: incarnation.network, Store: s.world.Store, Policy: s.world.policy})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	incarnation.cancel = cancel
	s.current = incarnation
	s.started++
	go s.run(ctx, incarnation)
	return nil
}

func (s *HostSlot) run(ctx context.Context, incarnation *hostIncarnation) {
	defer close(incarnation.ended)
	_ = incarnation.host.Run(ctx) // may fail as a result of injected faults
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == incarnation {
		s.current = nil
	}
}

// Kill ends the incarnation without a graceful stop, like SIGKILL, and waits
// for its end.
func (s *HostSlot) Kill() {
	s.mu.Lock()
	incarnation := s.current
	s.current, s.frozen = nil, false
	s.mu.Unlock()
	if incarnation == nil {
		return
	}
	incarnation.network.dead.Store(true)
	s.world.Fabric.Kill(s.IP)
	incarnation.cancel()
	<-incarnation.ended
}

// Freeze stops the network of the machine, which simulates SIGSTOP of the
// process.
func (s *HostSlot) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.frozen = true
		s.world.Fabric.Freeze(s.IP)
	}
}

// Thaw ends Freeze.
func (s *HostSlot) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = false
	s.world.Fabric.Thaw(s.IP)
}

// Restart stops the host gracefully and starts it again. It returns without
// waiting for either.
func (s *HostSlot) Restart() { s.stop(true) }

// Stop stops the host gracefully. It returns without waiting for its end.
func (s *HostSlot) Stop() { s.stop(false) }

func (s *HostSlot) stop(startAgain bool) {
	s.mu.Lock()
	incarnation := s.current
	if incarnation == nil || incarnation.stopping {
		s.mu.Unlock()
		return
	}
	incarnation.stopping = true
	s.mu.Unlock()
	s.world.callers.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), stopTimeout)
		defer stop()
		_ = incarnation.host.Stop(ctx) // a kill during the stop is not an error here
		<-incarnation.ended
		if startAgain {
			_ = s.Start() // an address that is still in use shows up as a host that stays down
		}
	})
}

// awaitStop waits until a graceful stop has ended.
func (s *HostSlot) awaitStop() {
	s.mu.Lock()
	incarnation := s.current
	s.mu.Unlock()
	if incarnation != nil && incarnation.stopping {
		<-incarnation.ended
	}
}

// Up reports whether the host is running, not frozen and not stopping.
func (s *HostSlot) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil && !s.frozen && !s.current.stopping
}

// Running reports whether an incarnation is running, including one that is
// frozen or stopping.
func (s *HostSlot) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil
}

// Frozen reports whether the host is frozen.
func (s *HostSlot) Frozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen
}

// EngineSlot is a machine that runs incarnations of one engine, one at a time.
type EngineSlot struct {
	world *World
	Name  string
	IP    string

	mu           sync.Mutex // guards all below
	current      *engine.Engine
	incarnations []*engine.Engine
}

// Address returns the address on which the engine listens.
func (s *EngineSlot) Address() string { return fmt.Sprintf("%s:%d", s.IP, backendPort) }

// Start starts a new incarnation of the engine, without generations.
func (s *EngineSlot) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := s.world.Fabric.Host(s.IP).Listen(s.Address())
	if err != nil {
		return err
	}
	e := engine.New(engineConfig(s.Name))
	s.current = e
	s.incarnations = append(s.incarnations, e)
	go e.Serve(listener)
	return nil
}

// Engine returns the newest incarnation of the engine, running or not.
func (s *EngineSlot) Engine() *engine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Incarnations returns all incarnations of the engine, oldest first.
func (s *EngineSlot) Incarnations() []*engine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*engine.Engine(nil), s.incarnations...)
}

// Kill ends the engine without a graceful stop; its generations are lost.
func (s *EngineSlot) Kill() {
	s.Engine().Close()
	s.world.Fabric.Kill(s.IP)
}

// Repair ends the faults of the engine; it starts a new incarnation if the last
// one is closed or leaving.
func (s *EngineSlot) Repair() error {
	s.world.Fabric.Thaw(s.IP)
	e := s.Engine()
	if e.Closed() || e.Load().Leaving {
		s.Kill()
		return s.Start()
	}
	e.Pause(false)
	e.CrossAnswers(0)
	e.CrossChunks(0)
	e.SkipChunks(0)
	return nil
}

// PlainSlot is a machine that runs incarnations of one plain service, one at a
// time.
type PlainSlot struct {
	world *World
	Name  string
	IP    string

	mu           sync.Mutex // guards all below
	current      *plain.Service
	incarnations []*plain.Service
}

// Address returns the address on which the service listens.
func (s *PlainSlot) Address() string { return fmt.Sprintf("%s:%d", s.IP, backendPort) }

// Start starts a new incarnation of the service.
func (s *PlainSlot) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := s.world.Fabric.Host(s.IP).Listen(s.Address())
	if err != nil {
		return err
	}
	s.current = plain.New(plainConfig(s.Name))
	s.incarnations = append(s.incarnations, s.current)
	go s.current.Serve(listener)
	return nil
}

// Service returns the newest incarnation of the service, running or not.
func (s *PlainSlot) Service() *plain.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Incarnations returns all incarnations of the service, oldest first.
func (s *PlainSlot) Incarnations() []*plain.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*plain.Service(nil), s.incarnations...)
}

// Kill ends the service without a graceful stop.
func (s *PlainSlot) Kill() {
	s.Service().Close()
	s.world.Fabric.Kill(s.IP)
}

// Repair ends the faults of the service; it starts a new incarnation if the
// last one is closed.
func (s *PlainSlot) Repair() error {
	s.world.Fabric.Thaw(s.IP)
	if s.Service().Closed() {
		return s.Start()
	}
	s.Service().Leave(false)
	s.Service().ClearModes()
	return nil
}
