package entryhost

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/papayasail/papayasail/backend"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/order"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/quarantine"
	"github.com/papayasail/papayasail/record"
	"github.com/papayasail/papayasail/relay"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/routing"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/sharing"
	"github.com/papayasail/papayasail/store"
	"github.com/papayasail/papayasail/tunnel"
)

// Log messages.
const (
	msgServing  = "serving"
	msgStopping = "stopping"
	msgStopped  = "stopped"

	msgSuperseded    = "superseded by another host with the same name"
	msgNotHandedOver = "handing over records to a successor failed"
	msgAnswersCutOff = "responses cut off at shutdown"
	msgTunnelsCutOff = "tunnels of other hosts cut off at the end of the stop"
)

// joinTimeout is how long a starting host waits for peers before it believes to be alone.
const joinTimeout = time.Second

// Host is one entry host.
type Host struct {
	options         Options
	settings        *settings.Settings
	tokens          *settings.Tokens
	logger          *zap.Logger
	table           *configuration.Table
	follower        *replica.Follower
	watchDuty       *domain.WatchDuty
	hostList        *hostList
	orderController *order.Controller
	acceptor        *configuration.Acceptor
	node            *peer.Node
	distances       *domain.Distances
	pool            *backend.Pool
	poller          *backend.Poller
	paths           *tunnel.Network // to backend servers
	client          *backend.Client
	scheduler       *routing.Dispatcher
	ledger          *record.Ledger
	quarantine      *quarantine.Table
	relay           *relay.Relay
	server          *link.DrainServer
	inFlight        *inFlightCounter

	created  time.Time
	sharers  *sharing.Hosts // the entry hosts that divide limits and load polls
	refusing atomic.Bool    // new work is refused
	leaving  atomic.Bool    // reported as not ready
	closing  atomic.Bool    // records have been handed over
	stop     context.CancelFunc
	stopped  chan struct{} // closed when Run has returned
}

// New returns a host that is not yet running. Run starts it.
func New(options Options) (*Host, error) {
	if options.Store == nil {
		return nil, errNoStore
	}
	o := options.withDefaults()
	h := &Host{
		options: o, settings: o.Settings, tokens: o.Settings.Tokens(), logger: o.Logger,
		table: configuration.NewTable(contract.ParseDocument), distances: distancesOf(o.Settings),
		pool: backend.NewPool(backend.PoolOptions{Logger: o.Logger}), inFlight: newInFlightCounter(), sharers: sharing.NewHosts(o.Settings.Host),
		created: time.Now(), stopped: make(chan struct{}),
	}
	h.paths = tunnel.NewNetwork(tunnel.Options{
		Host: o.Settings.Host, Domain: o.Settings.FailureDomain, Direct: o.Network, Peers: h, ServiceAt: h.pool.ServiceAt,
		Logger: o.Logger, Registerer: o.Registry,
	})
	h.client = backend.NewClient(h.paths, backend.ClientOptions{StreamReadTimeout: o.BackendReadTimeout})
	h.acceptor = configuration.NewAcceptor(o.Store, acceptanceParser(o.Settings))
	h.acceptor.OnObject = func(object store.Object) { h.table.Adopt([]store.Object{object}) }
	h.acceptor.CheckConflict = h.organisations().checkConflict
	h.ledger = newLedger(o.Settings)
	scheduler, err := routing.New(routing.Options{Pool: h.pool, Policy: o.Policy, Host: o.Settings.Host, Share: h.limitShare})
	if err != nil {
		return nil, err
	}
	h.scheduler = scheduler
	h.poller = backend.NewPoller(h.pool, h.client.Load, backend.PollerOptions{
		Host: o.Settings.Host, Seed: h.ledger.Home().Incarnation,
		PerSecond: h.pollsPerSecond,
	})
	h.quarantine = quarantine.NewTable(o.Logger, o.Registry)
	h.quarantine.OnGossipRecords = func() { h.node.Announce() }
	h.quarantine.CrashDetected = h.pool.RecordCrash
	h.quarantine.TrialHost = h.isTrialHost
	h.relay = h.newRelay()
	router := &homeRouter{self: o.Settings.Host, ledger: h.ledger, local: h.relay}
	h.node = h.newNode(router)
	router.peers = h.node
	h.relay.SetHomeRouter(router)
	h.watchDuty = h.newWatchDuty()
	h.hostList = newHostList(o.Store, h.pool, h.watchDuty.Watches)
	h.orderController = h.newOrderController()
	h.follower = &replica.Follower{Store: o.Store, Kind: configuration.Kind, Table: h.table.Table, Logger: o.Logger, Active: h.followsStore, WriteBack: true}
	h.server = link.NewDrainServer(&http.Server{Handler: h.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: o.Settings.Limits.HeaderBytes})
	h.server.Intake = h.newIntake()
	registerCollectors()
	h.subscribe()
	return h, nil
}

// acceptanceParser returns the parser for documents to be accepted: if the
// settings list the failure domains, a document must not refer to any other.
// Documents that are already accepted remain in force regardless of the
// settings.
func acceptanceParser(s *settings.Settings) configuration.Parser {
	var references contract.References
	if len(s.Distances) > 0 {
		references.FailureDomains = s.FailureDomains()
	}
	return func(file string, data []byte) (*contract.Document, error) {
		return contract.ParseDocumentFor(file, data, references)
	}
}

func newLedger(s *settings.Settings) *record.Ledger {
	epoch := s.Limits.KeepAddresses
	return record.NewLedger(record.Options{
		Host: s.Host, Incarnation: uint64(time.Now().UnixMicro()), EpochLength: epoch,
		RetainEpochs: uint64(s.Limits.RecordAge/epoch) + 1, MaxBytes: s.Limits.RecordBytes, MaxRecords: s.Limits.Records,
	})
}

func distancesOf(s *settings.Settings) *domain.Distances {
	fixed := make(map[domain.Pair]time.Duration)
	for _, distance := range s.Distances {
		fixed[domain.Pair{From: distance.From, To: distance.To}] = distance.Latency
	}
	return domain.NewDistances(fixed)
}

// signer returns a signer that signs event IDs with the event key and verifies
// them with the current and the previous event keys.
func (h *Host) signer() *relay.Signer {
	return relay.NewSigner(append([][]byte{h.settings.EventKey}, h.settings.PreviousEventKeys...)...)
}

func (h *Host) newRelay() *relay.Relay {
	limits := h.settings.Limits
	return relay.New(relay.Options{
		Configuration: h.table, Scheduler: h.scheduler, Backend: h.client, Organisations: h.organisations(),
		Signer: h.signer(), Ledger: h.ledger, Quarantine: h.quarantine, Metrics: relay.NewMetrics(h.options.Registry),
		MaxBodyBytes: int64(limits.BodyBytes), WriteTimeout: limits.WriteDeadline, KeepAlive: limits.KeepAlive,
		Accepting: func() bool { return !h.refusing.Load() }, Closing: h.closing.Load,
		OnLoadReport: func(address string, report backend.LoadReport) { h.pool.StreamReport(address, report, time.Now()) },
		OnBackend:    h.observeBackend,
		Starting:     func() bool { return !h.table.Complete() },
	})
}

func (h *Host) organisations() organisations { return organisations{h.tokens, h.table} }

func (h *Host) newNode(handler peer.Handler) *peer.Node {
	s := h.settings
	scheme := "http://"
	if s.TLS != nil {
		scheme = "https://"
	}
	return peer.New(peer.Options{
		Self: peer.Member{
			Host: s.Host, Incarnation: h.ledger.Home().Incarnation, FailureDomain: s.FailureDomain,
			PeerAddress: s.PeerAddress, CallerAddress: scheme + s.CallerAddress,
		},
		Network: h.options.Network, Seeds: s.Peers, Configuration: peerTable{h.table}, Handler: handler, Quarantine: h.quarantine, Backends: h.paths,
		Logger: h.logger, Registerer: h.options.Registry, ProbeInterval: h.options.ProbeInterval,
		Scope: peer.Scope{Near: h.distances.Near(s.FailureDomain, s.FailureDomains(), regionRadius)},
	})
}

// Members, Generation and OpenTunnel implement tunnel.Peers.

// Members returns all known entry hosts.
func (h *Host) Members() []peer.Member { return h.node.Members() }

// Generation increases with every change of Members.
func (h *Host) Generation() uint64 { return h.node.Generation() }

// OpenTunnel connects to a backend server from another entry host.
func (h *Host) OpenTunnel(ctx context.Context, host, address string) (net.Conn, error) {
	return h.node.OpenTunnel(ctx, host, address)
}

// regionRadius is the maximum one-way delay between failure domains of one
// region. The hosts of a region probe each other.
const regionRadius = 5 * time.Millisecond

// peerTable adapts the configuration to peer.ConfigurationTable.
type peerTable struct{ *configuration.Table }

// Adopt implements peer.ConfigurationTable. It returns no error, since the table
// counts documents that cannot be parsed.
func (t peerTable) Adopt(objects []store.Object) (int, error) {
	changed, _ := t.Table.Adopt(objects)
	return changed, nil
}

// updateSharers updates the hosts that divide limits. Suspected and leaving hosts still
// take requests.
func (h *Host) updateSharers() {
	var present []string
	for _, member := range h.node.Members() {
		if member.State != peer.StateGone {
			present = append(present, member.Host)
		}
	}
	h.sharers.SetPresent(present)
}

// isTrialHost reports whether this host tries requests with a quarantined or suspected
// part. A host that has not met its peers yet would be the one for every part.
func (h *Host) isTrialHost(part uint64) bool {
	return h.metPeers() && domain.TrialHost(h.Members(), part) == h.settings.Host
}

// metPeers reports whether this host has met its peers, or none of them within
// joinTimeout.
func (h *Host) metPeers() bool {
	select {
	case <-h.node.Joined():
		return true
	default:
		return time.Since(h.created) >= joinTimeout
	}
}

// limitShare returns this host's share of each limit that a document sets for the
// whole fleet.
func (h *Host) limitShare() float64 { return 1 / float64(h.sharers.Count()) }

// pollsPerSecond returns the rate of load polls, by default from the number of hosts
// that poll.
func (h *Host) pollsPerSecond() float64 {
	if h.options.PollsPerSecond > 0 {
		return h.options.PollsPerSecond
	}
	return backend.PollsPerSecond(h.sharers.Count())
}

// followsStore reports whether this host watches the documents in the store: it
// is one of the few watchers, or has the lease of the order controller.
func (h *Host) followsStore() bool { return h.watchDuty.Watches() || h.orderController.Holding() }

// subscribe registers the callbacks by which changes of one component reach the
// others.
func (h *Host) subscribe() {
	h.table.Subscribe(func() {
		h.pool.Update(h.table.Documents())
		h.applyDrains()
		h.hostList.apply(h.table.Documents())
		h.node.Announce()
	})
	h.hostList.changed = func() { h.hostList.apply(h.table.Documents()) }
	announcer := newAnnouncer(h.node)
	// Operators' drains are distributed with the configuration and are not
	// announced to peers: after the end of a drain, an announcement would stay in
	// effect on the peers until it expires.
	h.pool.OnChange(func() { announcer.announce(h.pool.Leaving(backend.SourceOperator), time.Now()) })
	h.node.Watch(h.updateSharers)
	h.node.Watch(func() {
		for _, server := range h.node.LeavingServers() {
			h.pool.MarkLeaving(server.Server, backend.SourcePeer, server.Until)
		}
	})
}

// applyDrains applies the operators' drains and evacuations in force to the pool.
func (h *Host) applyDrains() {
	for _, document := range h.table.Documents() {
		for _, server := range document.BackendServers {
			if h.table.Drained(server.Address) || h.table.Evacuated(server.FailureDomain) {
				h.pool.MarkLeaving(server.Address, backend.SourceOperator, time.Time{})
			} else {
				h.pool.ClearLeaving(server.Address, backend.SourceOperator)
			}
		}
	}
}

var failureKinds = map[backend.Evidence]backend.FailureKind{
	backend.NothingSent: backend.FailureRefusedConnection,
	backend.Refused:     backend.FailureStatus,
	backend.Silent:      backend.FailureSilence,
	backend.Broken:      backend.FailureReset,
	backend.Mismatch:    backend.FailureMismatch,
}

// observeBackend records the result of an exchange with a backend server in the
// pool.
func (h *Host) observeBackend(address string, err error) {
	if err == nil {
		h.pool.RecordSuccess(address)
		return
	}
	var call *backend.CallError
	if !errors.As(err, &call) {
		return
	}
	if kind, ok := failureKinds[call.Evidence]; ok {
		h.pool.RecordFailure(address, kind)
	}
}

// Run serves until Stop has finished, ctx is done, a component fails or another
// host with this name supersedes this one; it returns the error of the latter
// two. When ctx is done, requests in flight are cut off.
func (h *Host) Run(ctx context.Context) error {
	ctx, h.stop = context.WithCancel(ctx)
	defer close(h.stopped)
	defer h.stop()
	listener, err := h.options.Network.Listen(h.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "entry host: listen for callers")
	}
	defer h.scheduler.Close()
	defer h.client.Close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.serve(listener) })
	group.Go(func() error { return h.runNode(ctx) })
	group.Go(func() error { return ignoreCanceled(h.follower.Run(ctx)) })
	group.Go(func() error { return ignoreCanceled(h.watchDuty.Run(ctx)) })
	group.Go(func() error { h.poller.Run(ctx); return nil })
	group.Go(func() error { h.hostList.run(ctx); return nil })
	group.Go(func() error { return ignoreCanceled(h.orderController.Run(ctx)) })
	group.Go(func() error {
		<-ctx.Done()
		return h.server.Close()
	})
	h.logger.Info(msgServing, zap.String("caller_address", listener.Addr().String()))
	return group.Wait()
}

// runNode runs the membership node. A host that was superseded by another host
// with its name refuses new work and ends when its requests in flight have
// finished, or after Limits.StopBound.
//
// It does not end at once, because that would cut off its streams: they are still
// alive if the host was paused, was superseded meanwhile and then resumed.
func (h *Host) runNode(ctx context.Context) error {
	err := h.node.Run(ctx)
	var superseded *peer.SupersededError
	if !errors.As(err, &superseded) {
		return err
	}
	h.logger.Warn(msgSuperseded, zap.Error(err))
	h.leaving.Store(true)
	h.refusing.Store(true)
	h.ledger.Close()
	bounded, stop := context.WithTimeout(ctx, h.settings.Limits.StopBound)
	defer stop()
	h.awaitWork(bounded)
	h.finishAnswers(bounded)
	return err
}

func (h *Host) serve(listener net.Listener) error {
	var err error
	if tls := h.settings.TLS; tls != nil {
		err = h.server.ServeTLS(listener, tls.Certificate, tls.Key)
	} else {
		err = h.server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
