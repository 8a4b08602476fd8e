// Package gatewayhost is one entry host around a gateway: it follows the store
// or its peers, knows how far it may trust what it has, and stops without
// cutting callers off. How the store's objects, callers and backend servers
// spell what they say is given to it.
package gatewayhost

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/gateway"
	"github.com/papayasail/papayasail/internal/moment"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/placement"
	"github.com/papayasail/papayasail/quarantine"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

const (
	// MsgStart is the log message of a process's start.
	MsgStart   = "entry host starts"
	msgStopped = "entry host stopped"

	// configurationSpacing groups configurations that come together; one may
	// be in force so much later, of the two seconds that operators allow.
	configurationSpacing = 100 * time.Millisecond
	// serversSpacing does the same for servers that are replaced. The watchers
	// of all failure domains do not wait at the same time and tell each other,
	// and a server that leaves gives notice of 1.5 s at least.
	serversSpacing = 400 * time.Millisecond
	// storeBackoff and storeBackoffMax space the tries while the store is
	// away. A host that is cut off from all others tries too, and on some days
	// a third of the fleet is.
	storeBackoff    = 60 * time.Millisecond
	storeBackoffMax = time.Second

	// readHeaderTimeout and keptIdle are above the operator's limits for
	// callers (3 s, 15 s): callers keep to those, and a connection that is
	// closed early loses the request that crosses the close.
	readHeaderTimeout = 10 * time.Second
	keptIdle          = time.Minute
	maxHeaderBytes    = 64 << 10
)

// Objects says which stored objects a host acts by, and how to read them.
type Objects struct {
	// Configuration and ConfigurationName are kind and name of the operator's
	// configuration.
	Configuration, ConfigurationName string
	// Servers is the kind of the backend servers' entries, which are named by
	// the servers' ids.
	Servers string
	// Evacuations is the kind of the operator's orders that no request goes to
	// the servers of a failure domain, by which they are named. An order holds
	// for as long as it is there, whatever its content.
	Evacuations string
	// Quarantine is the kind of the one object that holds the quarantined
	// requests; this system writes it.
	Quarantine        string
	ReadConfiguration func(data []byte) (*gateway.Configuration, error)
	ReadServer        func(id string, data []byte) (fleet.Server, error)
}

// Backend speaks with backend servers.
type Backend interface {
	gateway.Backend
	// Ask asks a server what it says of itself. HealthPath is where its
	// service's servers tell their health; "": nowhere.
	Ask(ctx context.Context, server fleet.Server, healthPath string) (fleet.OwnWord, error)
	// Held asks an engine which generations it has. It is an error if it does
	// not say, or another life of the server answers.
	Held(ctx context.Context, server fleet.Server) (fleet.Held, error)
	// OnBroken sets what is called when a connection to an address breaks, also
	// an unused one; it must not block.
	OnBroken(broke func(address string))
}

// Server is an HTTP server of the host, at an IP:port.
type Server struct {
	Address string
	Handler http.Handler
}

// Options set up a Host. All fields are required.
type Options struct {
	Name           string
	Domain         string // failure domain
	Capacity       int    // of the processor, in thousandths of a core; zero: not known
	PeerAddress    string
	CallersAddress string // where callers are sent
	Seeds          []string
	Network        link.Network
	Store          store.Checker
	Objects        Objects
	Backend        Backend
	// Repeats bounds requests that are sent once more.
	RepeatRatio, RepeatAllowance float64
	RepeatWindow                 time.Duration
	// ListChangedSlack is how long after a disturbance the store's list of
	// servers may lack some that live.
	ListChangedSlack time.Duration
	// StopGrace is the time from the wish to stop until the process is killed.
	StopGrace  time.Duration
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// Host is one entry host.
type Host struct {
	options       Options
	logger        *zap.Logger
	table         *replica.Table
	configuration *replica.Follower
	servers       *replica.Follower
	evacuations   *replica.Follower
	evacuated     atomic.Uint64 // newest revision of an evacuation
	node          atomic.Pointer[peer.Node]
	fleet         *fleet.Table
	quarantine    *quarantine.Table
	quarantined   chan struct{} // holds a token when a quarantined request is to be stored
	askingCold    sync.Map      // addresses whose servers are being asked whether they are cold
	allocator     *allocation.Allocator
	allocation    *allocation.Client
	sentinel      *allocation.Sentinel
	gateway       *gateway.Gateway
	confirmed     moment.Moment // when the store was asked for the configuration, and answered
	relayed       moment.Moment // the same, asked by another host
	stopping      atomic.Bool
	pulling       atomic.Bool   // from an allocator that has a newer configuration
	comparing     atomic.Bool   // what the store has with what the watches brought
	booting       atomic.Bool   // has not met its peers yet
	lives         atomic.Uint64 // how often the host has joined anew
	watch         *domain.WatchDuty
}

// New puts a host together; Run starts it.
func New(o Options) *Host {
	h := &Host{options: o, logger: o.Logger, quarantined: make(chan struct{}, 1)}
	h.table = replica.New(h.apply)
	h.watch = &domain.WatchDuty{
		Host: o.Name, Fleet: h, Check: h.checkStore, Returned: h.relist, Active: func() bool { return !h.booting.Load() },
		Interval: guardInterval, Timeout: guardTimeout,
	}
	h.configuration = h.follower(o.Objects.Configuration, configurationSpacing)
	h.servers = h.follower(o.Objects.Servers, serversSpacing)
	h.evacuations = h.follower(o.Objects.Evacuations, 0)
	h.fleet = fleet.NewTable(o.Name, o.Logger)
	h.allocator = allocation.NewAllocator(h.fleet, placement.DefaultLimits, rand.IntN, o.Logger)
	h.allocator.Undisturbed = h.servers.Undisturbed
	h.allocator.Revision, h.allocator.Verified, h.allocator.Relayed = h.surelyNewest, h.verified, h.relay
	h.quarantine = quarantine.NewTable(o.Logger, o.Registerer)
	h.quarantine.Changed = func() { h.node.Load().Announce() }
	h.quarantine.Kept = h.noteQuarantined
	h.node.Store(h.newNode(0, o.Registerer))
	h.table.Subscribe(func() { h.node.Load().Announce() })
	o.Backend.OnBroken(h.connectionBroke)
	h.allocation = allocation.NewClient(o.Name, o.Domain, h, h.allocator, h.fleet, o.Logger)
	h.allocator.Evacuated = h.evacuated.Load
	h.allocation.Told, h.allocation.ToldEvacuated = h.catchUp, h.catchUpEvacuations
	h.sentinel = &allocation.Sentinel{
		Host: o.Name, Client: h.allocation, Fleet: h.fleet, Check: o.Store.Check, Verify: h.verify, Verified: h.verified, Ask: h.ask,
		Logger: o.Logger,
	}
	h.gateway = gateway.New(gateway.Options{
		Domain: o.Domain, Fleet: h.fleet, Backend: o.Backend, Allocator: h.allocation, Quarantine: h.quarantine, Logger: o.Logger,
		Limits:  placement.DefaultLimits,
		Budget:  &gateway.Budget{Ratio: o.RepeatRatio, Allowance: o.RepeatAllowance, Window: o.RepeatWindow, Hosts: h.liveHosts},
		Confirm: h.confirm, Others: h.othersLive, Metrics: gateway.NewMetrics(o.Registerer),
	})
	return h
}

func (h *Host) follower(kind string, spacing time.Duration) *replica.Follower {
	return &replica.Follower{
		Store: h.options.Store, Kind: kind, Table: h.table, Logger: h.logger.With(zap.String("kind", kind)),
		Active: h.watch.Watches, Spacing: spacing, Backoff: store.Backoff{Initial: storeBackoff, Max: storeBackoffMax},
		OnCompacted: func() { h.relistBut(kind) },
	}
}

// Gateway returns the gateway, for what decodes callers' requests.
func (h *Host) Gateway() *gateway.Gateway { return h.gateway }

// Run serves until ctx ends, then stops gracefully: callers' requests at one
// server, side questions at the others.
func (h *Host) Run(ctx context.Context, callers Server, others ...Server) error {
	h.logger.Info(MsgStart, zap.String("host", h.options.Name), zap.String("domain", h.options.Domain))
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, inner := errgroup.WithContext(inner)
	h.booting.Store(true)
	for _, run := range h.background() {
		group.Go(func() error { return ignoreEnd(run(inner)) })
	}
	server := h.serve(inner, group, callers)
	for _, other := range others {
		h.serve(inner, group, other)
	}
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			h.stop(server)
		case <-inner.Done():
		}
		return nil
	})
	err := group.Wait()
	h.logger.Info(msgStopped, zap.Error(err))
	return err
}

// background returns what runs beside the servers, each until its context ends.
func (h *Host) background() []func(context.Context) error {
	return []func(context.Context) error{
		h.boot, h.configuration.Run, h.servers.Run, h.evacuations.Run, h.watch.Run, h.keepQuarantine, h.releaseLost,
		h.runNode, h.allocation.Run, h.allocation.Exchange, h.sentinel.Run,
	}
}

func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve runs a server until the context ends.
func (h *Host) serve(ctx context.Context, group *errgroup.Group, s Server) *http.Server {
	server := &http.Server{
		Handler: s.Handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: keptIdle, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(h.logger.Named("http")),
	}
	group.Go(func() error {
		listener, err := h.options.Network.Listen(s.Address)
		if err != nil {
			return errors.Wrapf(err, "gatewayhost: listen at %s", s.Address)
		}
		return ignoreClosed(server.Serve(listener))
	})
	group.Go(func() error {
		<-ctx.Done()
		return ignoreClosed(server.Close())
	})
	return server
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
