// Package peer connects the entry hosts of a fleet. It implements a gossip
// membership in the manner of SWIM (probes, suspicion and refutation), gossips
// leaving backend servers and quarantined requests, pulls configuration from
// peers, forwards requests to their home and hands records over to a successor.
//
// The membership is eventually consistent. It decides which addresses callers
// receive, which hosts watch the platform's store and which host takes over
// records; it never decides which host may run a request.
//
// Locks: table.mu, leavingTable.mu, pool.mu and Node.mu are never nested,
// except that Node.neighbours takes table.mu while it holds Node.mu.
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"github.com/papayasail/papayasail/peer/peerpb"
)

var (
	// ErrUnknownHost means that no member has this name.
	ErrUnknownHost = errors.New("peer: unknown host")
	// ErrHostGone means that the member has left or died.
	ErrHostGone = errors.New("peer: host is gone")
	// ErrUnreachable means that the host did not answer; it may have received
	// the request.
	ErrUnreachable = errors.New("peer: host unreachable")
	// ErrRefused means that the host answered and rejected handed-over records.
	ErrRefused = errors.New("peer: host refused")
)

// SupersededError is returned by Run when the fleet lists this host's name with
// a higher incarnation: the host was replaced, or its clock stepped back. The
// caller may only restart the node with an incarnation above Known.
type SupersededError struct {
	Known uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	return errors.Newf("peer: replaced by incarnation %d", e.Known).Error()
}

// Node is this host as a member of the fleet.
type Node struct {
	options    Options
	counters   *counters
	logger     *zap.Logger
	table      *table
	leaving    *leavingTable
	control    *pool // probes, pulls
	data       *pool // forwards, hand-overs and tunnels, so that they never delay a probe
	deliveries *pool // deliveries of changes
	server     *grpc.Server

	pushSignal     chan struct{} // requests an early round of probes
	pushSelfSignal chan struct{} // requests that this host's own record is passed on early
	deliverSignal  chan struct{} // requests a delivery of changed objects
	pulls          chan Member   // members to pull configuration from
	syncs          chan Member   // members to sync the membership with
	answeredSyncs  chan struct{} // has a token for each sync that is being answered
	disputes       chan Member   // members to probe because others list them as alive
	notifySignal   chan struct{} // requests a call of the watchers
	joined         chan struct{} // closed after the first sync with a seed
	joinedOnce     sync.Once
	loading        atomic.Bool   // until Loaded: deliveries are ignored and probes request no pulls
	eagerPulls     *rate.Limiter // pulls from hosts with a newer version
	repairPulls    *rate.Limiter // pulls from hosts with another digest and no newer version
	syncLimit      *rate.Limiter

	refreshLimit *rate.Limiter

	tunnels     atomic.Int64 // open for other hosts
	tunnelsDone atomic.Bool  // no more are opened

	mu              sync.Mutex           // guards all below
	digest          uint64               // own membership digest for which otherDigests was collected
	otherDigests    map[uint64]time.Time // other digests received since, with the time of the first receipt
	digestsDiffered bool                 // whether the last digest received differed

	changedMembers map[string]Member // by host: not delivered yet
	awaitsDelivery bool              // a timer of pullUnlessDelivered runs

	watchers map[int]func()
	watchID  int
	random   *rand.Rand
	order    []string // hosts left to probe in the current round
	scope    []Member // neighbours at table generation scopeAt
	scopeAt  uint64
}

// New returns a node, which Run starts.
func New(options Options) *Node {
	o := options.withDefaults()
	c := newCounters(o.Registerer)
	n := &Node{
		options:        o,
		counters:       c,
		logger:         o.Logger,
		table:          newTable(o.Self),
		leaving:        &leavingTable{entries: make(map[string]*leavingEntry)},
		control:        newPool(o.Network, c, o.MaxConnections, o.IdleTimeout),
		data:           newPool(o.Network, c, o.MaxConnections, o.IdleTimeout),
		deliveries:     newPool(o.Network, c, maxDeliveryConnections, o.IdleTimeout),
		pushSignal:     make(chan struct{}, 1),
		pushSelfSignal: make(chan struct{}, 1),
		deliverSignal:  make(chan struct{}, 1),
		pulls:          make(chan Member, 1),
		syncs:          make(chan Member, 1),
		answeredSyncs:  make(chan struct{}, maxConcurrentSyncs),
		otherDigests:   make(map[uint64]time.Time),
		changedMembers: make(map[string]Member),
		disputes:       make(chan Member, maxQueuedDisputes),
		notifySignal:   make(chan struct{}, 1),
		joined:         make(chan struct{}),
		eagerPulls:     rate.NewLimiter(rate.Every(o.ProbeInterval/10), 4),
		repairPulls:    rate.NewLimiter(rate.Every(5*o.ProbeInterval), 1),
		syncLimit:      rate.NewLimiter(rate.Every(5*o.ProbeInterval), 2),
		refreshLimit:   rate.NewLimiter(rate.Every(o.ProbeInterval), 1),
		watchers:       make(map[int]func()),
		random:         rand.New(rand.NewPCG(o.Seed, 1)),
	}
	o.Registerer.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "papayasail_peer_news_pending", Help: "Member records with gossip retransmissions left."},
		func() float64 { return float64(n.table.pending()) },
	))
	n.loading.Store(n.deliversChanges())
	n.table.exchangeWindow = exchangeIntervals * o.ProbeInterval
	n.server = newServer(n)
	return n
}

// Run serves peers on the peer address and probes them until ctx ends. It then
// announces to a few peers that this host is gone, if Leave was called, and
// returns nil. A *SupersededError means that the host was replaced.
func (n *Node) Run(ctx context.Context) error {
	listener, err := n.options.Network.Listen(n.options.Self.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer: listen")
	}
	return n.serve(ctx, countedListener{listener, n.counters})
}

func (n *Node) serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreStopped(n.server.Serve(listener)) })
	group.Go(func() error { return n.probeLoop(ctx) })
	group.Go(func() error { return n.pushLoop(ctx) })
	group.Go(func() error { return n.deliverLoop(ctx) })
	group.Go(func() error { return n.pullLoop(ctx) })
	group.Go(func() error { return n.syncLoop(ctx) })
	group.Go(func() error { return n.joinLoop(ctx) })
	group.Go(func() error { return n.disputeLoop(ctx) })
	group.Go(func() error { return n.notifyLoop(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		n.announceGone()
		n.server.Stop()
		n.control.close()
		n.data.close()
		n.deliveries.close()
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func ignoreStopped(err error) error {
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// Self returns this host's own record.
func (n *Node) Self() Member {
	self := n.table.localMember()
	self.ConfigurationVersion = n.options.Configuration.Version()
	return self
}

// Members returns all members including this host, ordered by name.
func (n *Node) Members() []Member {
	members := n.table.members()
	for i := range members {
		if members[i].Host == n.options.Self.Host {
			members[i].ConfigurationVersion = n.options.Configuration.Version()
		}
	}
	return members
}

// Generation increases with every change of Members, except for configuration
// versions, which change with each exchange. Results derived from the members
// can be cached until it changes.
func (n *Node) Generation() uint64 {
	generation, _, _ := n.table.summary()
	return generation
}

// Joined returns a channel that is closed after the first full membership sync
// with a seed and, without deliveries, a pull of its configuration.
func (n *Node) Joined() <-chan struct{} { return n.joined }

// Loaded ends the time in which a host that gets deliveries loads its objects: with
// PullSnapshot, or in another way. Deliveries before that would be adopted without
// the objects that they follow.
func (n *Node) Loaded() {
	n.loading.Store(false)
	signal(n.deliverSignal)
}

// Watch calls f after changes of members or leaving servers, from a single
// goroutine; several changes may share one call. The returned function cancels
// the watch.
func (n *Node) Watch(f func()) (cancel func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.watchID
	n.watchID++
	n.watchers[id] = f
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.watchers, id)
	}
}

// Announce probes a few peers immediately, so that they receive a change of
// configuration or of quarantined requests before their next regular probe.
func (n *Node) Announce() { signal(n.pushSignal) }

// Leave announces to the fleet that this host accepts no new work. When Run
// ends the host is announced as gone, with its successor ("": none).
func (n *Node) Leave(successor string) {
	n.table.setSelfState(StateLeaving, successor)
	n.logger.Info("leaving", zap.String("successor", successor))
	signal(n.pushSelfSignal)
	signal(n.notifySignal)
}

// SetStoreUnreachable announces to the fleet whether the platform's store fails to
// answer this host.
func (n *Node) SetStoreUnreachable(unreachable bool) {
	if n.table.setStoreUnreachable(unreachable) {
		signal(n.pushSelfSignal)
		signal(n.notifySignal)
	}
}

// MarkLeaving gossips that a backend server (IP:port) accepts no new work until
// the given time. A time before the one already recorded is ignored.
func (n *Node) MarkLeaving(server string, until time.Time) {
	if n.leaving.mark([]LeavingServer{{server, until}}, time.Now()) {
		signal(n.pushSignal)
		signal(n.notifySignal)
	}
}

// LeavingServers returns the backend servers that currently accept no new work,
// ordered by address.
func (n *Node) LeavingServers() []LeavingServer { return n.leaving.list(time.Now()) }

// Forward sends a request to its home and returns the response. Errors:
// ErrUnknownHost, ErrHostGone, ErrUnreachable.
func (n *Node) Forward(ctx context.Context, host string, request *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	if host == n.options.Self.Host {
		return n.options.Handler.Forward(ctx, request), nil
	}
	var response *peerpb.ForwardResponse
	err := n.callData(host, request, func(client peerpb.PeerClient) (err error) {
		response, err = client.Forward(ctx, request)
		return err
	})
	return response, err
}

// HandOver sends records to a successor. Errors: those of Forward, and
// ErrRefused.
func (n *Node) HandOver(ctx context.Context, host string, request *peerpb.HandOverRequest) error {
	return n.callData(host, request, func(client peerpb.PeerClient) error {
		_, err := client.HandOver(ctx, request)
		return err
	})
}

func (n *Node) notifyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.notifySignal:
		}
		for _, f := range n.watcherList() {
			f()
		}
	}
}

func (n *Node) watcherList() []func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]func(), 0, len(n.watchers))
	for _, f := range n.watchers {
		list = append(list, f)
	}
	return list
}

// signal wakes the loop that receives from c, a channel with a buffer of one.
// Signals that arrive before the loop receives are merged into one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
