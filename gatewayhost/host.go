// Package gatewayhost runs an entry host around a gateway: it follows the store
// or its peers, tracks how fresh its replica is, and stops gracefully. The
// formats of stored objects and the protocols of callers and backend servers
// are supplied by the caller of New.
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

	"github.com/papayasail/papayasail/admission"
	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/failedcalls"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/freshness"
	"github.com/papayasail/papayasail/gateway"
	"github.com/papayasail/papayasail/internal/moment"
	"github.com/papayasail/papayasail/internal/suspension"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/placement"
	"github.com/papayasail/papayasail/quarantine"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
	"github.com/papayasail/papayasail/tunnel"
)

const (
	// MsgStart is the log message written when a process starts.
	MsgStart   = "entry host starts"
	msgStopped = "entry host stopped"

	// configurationSpacing is the pause between two watches of the configuration,
	// so that changes in quick succession are read together. It delays their
	// activation, for which the operator allows two seconds, by up to that time.
	configurationSpacing = 100 * time.Millisecond
	// serversSpacing is the pause between two watches of the servers, so that
	// replacements in quick succession are read together. It must be shorter than
	// the notice of at least 1.5 s with which a server announces that it is
	// leaving. The watchers of the failure domains pause at different times and
	// gossip changes to each other, which shortens the delay.
	serversSpacing = 400 * time.Millisecond
	// storeBackoff and storeBackoffMax are the initial and the longest interval
	// between attempts while the store is unavailable. They limit its load:
	// hosts that are cut off from all others watch the store too, and these can
	// be a third of the fleet.
	storeBackoff    = 60 * time.Millisecond
	storeBackoffMax = time.Second

	// readHeaderTimeout and idleTimeout are longer than the operator's limits for
	// callers (3 s and 15 s), so that callers close connections first: a
	// connection closed by the host loses a request sent at the same moment.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	// minHeadLimit is the lowest limit of a request's head, in bytes, whatever the
	// configuration says; maxHeadLimit is the highest.
	minHeadLimit = 64 << 10
	maxHeadLimit = 1 << 20
)

// Objects names the stored objects that a host uses, and decodes them.
type Objects struct {
	// Configuration and ConfigurationName are the kind and the name of the
	// operator's configuration.
	Configuration, ConfigurationName string
	// Servers is the kind of the backend servers' entries. An entry's name is
	// the server's id.
	Servers string
	// Evacuations is the kind of the operator's orders to evacuate a failure
	// domain: no request is sent to its servers. An order's name is the failure
	// domain. It applies as long as the object exists, whatever its content.
	Evacuations string
	// Quarantine is the kind of the single object that stores the quarantined
	// requests and prompt parts; entry hosts write it.
	Quarantine        string
	ReadConfiguration func(data []byte) (*gateway.Configuration, error)
	ReadServer        func(id string, data []byte) (fleet.Server, error)
}

// Backend communicates with backend servers.
type Backend interface {
	gateway.Backend
	// QueryStatus queries the status that a server reports about itself. HealthPath is
	// the path at which the servers of its service report health; empty if they
	// do not.
	QueryStatus(ctx context.Context, server fleet.Server, healthPath string) (fleet.SelfReport, error)
	// QueryGenerations queries which generations an engine has. It returns an error if the
	// engine does not report them, or if another incarnation of the server
	// answers.
	QueryGenerations(ctx context.Context, server fleet.Server) (fleet.Held, error)
	// OnConnectionBroken sets the callback for a broken connection, including an idle
	// one, to an address. The callback must not block.
	OnConnectionBroken(callback func(address string))
	// OnRequest sets the callback for a caller's request that is sent to a server. The
	// parameter first is set if no other connection to the server was open when that of the
	// request was opened. The callback must not block.
	OnRequest(callback func(server fleet.Incarnation, first bool))
}

// Server is an HTTP server of the host. Address is an IP:port.
type Server struct {
	Address string
	Handler http.Handler
}

// Options configure a Host. All fields but Region, AnswerMemory and
// Intake are required.
type Options struct {
	Name          string
	Domain        string // failure domain
	Region        string // of the failure domain; "": not known
	Capacity      int    // CPU capacity in thousandths of a core; zero if unknown
	PeerAddress   string
	CallerAddress string // address advertised to callers
	Seeds         []string
	Network       link.Network
	Store         store.Checker
	Objects       Objects
	// NewBackend returns the client of backend servers, which dials them through the
	// given network.
	NewBackend func(network link.Network) Backend
	// RepeatRatio, RepeatAllowance and RepeatWindow are the retry budget; see
	// [gateway.Budget].
	RepeatRatio, RepeatAllowance float64
	RepeatWindow                 time.Duration
	// AnswerMemory bounds the memory of buffered answers; see [gateway.Options].
	AnswerMemory int64
	// Intake bounds what callers make the host hold, at all its servers together. Its Logger,
	// Registerer and MaxHeadBytes are those of the host.
	Intake link.IntakeOptions
	// StopGrace is the time from the stop signal until the process is killed.
	StopGrace  time.Duration
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// Host is one entry host.
type Host struct {
	options            Options
	logger             *zap.Logger
	table              *replica.Table
	configuration      *replica.Follower
	servers            *replica.Follower
	evacuations        *replica.Follower
	quarantines        *replica.Follower
	evacuationRevision atomic.Uint64 // newest revision of an evacuation order
	node               atomic.Pointer[peer.Node]
	summarised         atomic.Pointer[memberSummary]
	fleet              *fleet.Table
	paths              *tunnel.Network // to backend servers
	backend            Backend
	quarantine         *quarantine.Table
	quarantineDirty    chan struct{} // has a token while changes of the quarantine are to be stored
	coldQueries        sync.Map      // addresses for which a query of handleBrokenConnection is running
	allocator          *allocation.Allocator
	allocation         *allocation.Client
	outageMonitor      *allocation.OutageMonitor
	failedCalls        *failedcalls.Table
	gateway            *gateway.Gateway
	intake             *link.Intake
	verifiedAt         moment.Moment // start of the last successful read of the configuration from the store
	relayedVerifiedAt  moment.Moment // same for a read by another host that found the same revision
	stopping           atomic.Bool
	pulling            atomic.Bool   // a pull from an allocator is in progress
	checkingWatches    atomic.Bool   // a comparison of the watches with the store is in progress
	booting            atomic.Bool   // has not joined its peers yet
	rejoins            atomic.Uint64 // number of rejoins under a new incarnation
	watch              *domain.WatchDuty
	views              *freshness.Keeper
	undecided          *undecidedRemovals
}

// New returns a host; Run starts it.
func New(o Options) *Host {
	h := &Host{options: o, logger: o.Logger, quarantineDirty: make(chan struct{}, 1), undecided: newUndecidedRemovals()}
	o.Intake.Logger, o.Intake.Registerer, o.Intake.MaxHeadBytes = o.Logger, o.Registerer, h.headLimit
	h.intake = link.NewIntake(o.Intake)
	h.table = replica.New(h.apply)
	h.table.SetAcross(h.across)
	h.table.OnNewEra = h.handleNewEra
	h.table.Require(o.Objects.Configuration, o.Objects.Servers, o.Objects.Evacuations)
	h.watch = &domain.WatchDuty{
		Host: o.Name, Fleet: h, Check: h.checkStore, OnStoreRecovered: h.relist, Active: func() bool { return !h.booting.Load() },
		Interval: storeCheckInterval, Timeout: storeCheckTimeout,
	}
	h.views = &freshness.Keeper{
		Host: o.Name, Fleet: h, Table: h.table, Adopt: h.adoptView, Active: func() bool { return !h.booting.Load() }, Read: h.readChanges,
		Suspended: suspension.Total, Logger: o.Logger, Metrics: freshness.NewMetrics(o.Registerer),
	}
	h.configuration = h.newFollower(o.Objects.Configuration, configurationSpacing)
	h.servers = h.newFollower(o.Objects.Servers, serversSpacing)
	h.evacuations = h.newFollower(o.Objects.Evacuations, 0)
	h.quarantines = h.newFollower(o.Objects.Quarantine, 0)
	h.fleet = fleet.NewTable(o.Name, o.Logger)
	h.paths = tunnel.NewNetwork(tunnel.Options{
		Host: o.Name, Domain: o.Domain, Direct: o.Network, Peers: h, ServiceAt: h.fleet.ServiceAt, Logger: o.Logger, Registerer: o.Registerer,
	})
	h.backend = o.NewBackend(h.paths)
	h.allocator = allocation.NewAllocator(h.fleet, placement.DefaultLimits, rand.IntN, o.Logger)
	h.allocator.Metrics = admission.NewMetrics(o.Registerer)
	h.allocator.Revision, h.allocator.Verified, h.allocator.OnRelayedRevision = h.verifiedRevision, h.verificationAge, h.recordRelayedVerification
	h.quarantine = quarantine.NewTable(o.Logger, o.Registerer)
	h.quarantine.OnGossipRecords = func() { h.node.Load().Announce() }
	h.quarantine.QuarantineChanged = h.scheduleQuarantineWrite
	h.quarantine.TrialHost = h.isTrialHost
	h.fleet.OnNews = func() { h.node.Load().Announce() }
	h.failedCalls = failedcalls.New(o.Name, h)
	h.node.Store(h.newNode(0, o.Registerer))
	h.table.Subscribe(func() {
		h.fleet.LogAdded()
		h.node.Load().Distribute()
	})
	h.backend.OnConnectionBroken(h.handleBrokenConnection)
	h.backend.OnRequest(h.checkColdIfDue)
	h.allocation = allocation.NewClient(o.Name, o.Domain, h, h.allocator, h.fleet, o.Logger)
	h.allocator.Evacuated = h.evacuationRevision.Load
	h.allocation.OnRevision, h.allocation.OnEvacuation = h.catchUp, h.catchUpEvacuations
	h.outageMonitor = &allocation.OutageMonitor{
		Host: o.Name, Client: h.allocation, Fleet: h.fleet, Check: o.Store.Check, Verify: h.verify, Verified: h.verificationAge, Ask: h.queryStatus,
		Logger: o.Logger,
	}
	h.gateway = gateway.New(gateway.Options{
		Domain: o.Domain, RegionOf: h.regionOf, Fleet: h.fleet, Backend: h.backend, Allocator: h.allocation, Quarantine: h.quarantine, Logger: o.Logger,
		Limits: placement.DefaultLimits, FailedCalls: h.failedCalls,
		Budget:  &gateway.Budget{Ratio: o.RepeatRatio, Allowance: o.RepeatAllowance, Window: o.RepeatWindow, Hosts: h.fleet.Sharers().Count},
		Confirm: h.confirm, PathLost: h.paths.Lost, OtherHostsAvailable: h.hasLivePeers, AnswerMemory: o.AnswerMemory,
		Metrics: gateway.NewMetrics(o.Registerer),
	})
	return h
}

// newFollower returns a follower of the objects of a kind.
func (h *Host) newFollower(kind string, spacing time.Duration) *replica.Follower {
	return &replica.Follower{
		Store: h.options.Store, Kind: kind, Table: h.table, Logger: h.logger.With(zap.String("kind", kind)),
		Active: h.watch.Watches, Spacing: spacing, Backoff: store.Backoff{Initial: storeBackoff, Max: storeBackoffMax},
		OnCompacted: func() { h.relistExcept(kind) },
	}
}

// Gateway returns the gateway that serves decoded callers' requests.
func (h *Host) Gateway() *gateway.Gateway { return h.gateway }

// Run serves until ctx ends, then stops gracefully. The server callers takes
// callers' requests and is drained; the servers others, which need no graceful
// stop, are closed after that.
func (h *Host) Run(ctx context.Context, callers Server, others ...Server) error {
	h.logger.Info(MsgStart, zap.String("host", h.options.Name), zap.String("domain", h.options.Domain))
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, inner := errgroup.WithContext(inner)
	h.booting.Store(true)
	for _, run := range h.background() {
		group.Go(func() error { return ignoreCanceled(run(inner)) })
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

// background returns the background loops; each runs until its context ends.
func (h *Host) background() []func(context.Context) error {
	return []func(context.Context) error{
		h.boot, h.configuration.Run, h.servers.Run, h.evacuations.Run, h.quarantines.Run, h.watch.Run, h.syncQuarantine, h.releaseLostGenerations, h.querySuspects, h.revisePeerReports,
		h.runNode, h.allocation.Run, h.allocation.Exchange, h.outageMonitor.Run, h.views.Run, h.decideRemovals,
	}
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve starts an HTTP server in the group; it runs until ctx ends.
func (h *Host) serve(ctx context.Context, group *errgroup.Group, s Server) *link.DrainServer {
	server := link.NewDrainServer(&http.Server{
		Handler: s.Handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadLimit,
		ErrorLog: zap.NewStdLog(h.logger.Named("http")),
	})
	server.Intake = h.intake
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

// headLimit returns the limit of the head of callers' requests, in bytes.
func (h *Host) headLimit() int {
	limit := int64(minHeadLimit)
	if c := h.gateway.Configuration(); c != nil {
		limit = max(limit, c.Limits.MaxHeaderBytes)
	}
	return int(min(limit, maxHeadLimit))
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
