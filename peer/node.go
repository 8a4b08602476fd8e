// Package peer is how entry hosts know of each other: a membership by probes
// and passed-on news, the spreading of configuration and of leaving backend
// servers, and the passing of requests and records to their home.
//
// The membership is soft. It decides which addresses callers are given, who
// watches the platform and who takes over records; it never decides who may
// run a request.
//
// Locks: table.mu, leavingTable.mu, pool.mu and Node.mu are each taken alone.
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
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
	// ErrUnreachable means that the host did not answer; what was sent may
	// have reached it.
	ErrUnreachable = errors.New("peer: host unreachable")
	// ErrRefused means that the host answered and did not take what was sent.
	ErrRefused = errors.New("peer: host refused")
)

// SupersededError ends Run when the fleet knows this host's name with a
// higher incarnation: it was replaced, or its clock stepped back. Start again
// with an incarnation above Known, or not at all.
type SupersededError struct {
	Known uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	return errors.Newf("peer: replaced by incarnation %d", e.Known).Error()
}

// Node is this host's part in the fleet.
type Node struct {
	options  Options
	counters *counters
	logger   *zap.Logger
	table    *table
	leaving  *leavingTable
	control  *pool // probes, pulls
	data     *pool // forwards and hand-overs, so that they never hold up a probe
	server   *grpc.Server

	kick        chan struct{} // asks for an early round of probes
	pulls       chan Member   // asks for a pull from a member
	syncs       chan Member   // asks for a swap of the membership with a member
	doubts      chan Member   // asks for a probe of a member that others hold for alive
	notices     chan struct{} // asks for the watchers to be called
	joined      chan struct{} // closed after the first whole exchange with a peer
	joinedOnce  sync.Once
	eagerPulls  *rate.Limiter // pulls from hosts that are ahead
	repairPulls *rate.Limiter // pulls from hosts that merely differ
	syncLimit   *rate.Limiter

	refreshLimit *rate.Limiter

	mu           sync.Mutex           // guards all below
	digest       uint64               // of the membership when otherDigests was begun
	otherDigests map[uint64]time.Time // digests of others since, and when first heard
	differed     bool                 // the last digest heard

	watchers map[int]func()
	watchID  int
	random   *rand.Rand
	order    []string // hosts still to be probed in this round
	scope    []Member // neighbours at scopeAt
	scopeAt  uint64   // table generation
}

// New makes a node; Run starts it.
func New(options Options) *Node {
	o := options.withDefaults()
	c := newCounters(o.Registerer)
	n := &Node{
		options:      o,
		counters:     c,
		logger:       o.Logger,
		table:        newTable(o.Self),
		leaving:      &leavingTable{entries: make(map[string]*leavingEntry)},
		control:      newPool(o.Network, c, o.MaxConnections, o.IdleTimeout),
		data:         newPool(o.Network, c, o.MaxConnections, o.IdleTimeout),
		kick:         make(chan struct{}, 1),
		pulls:        make(chan Member, 1),
		syncs:        make(chan Member, 1),
		otherDigests: make(map[uint64]time.Time),
		doubts:       make(chan Member, doubtsHeld),
		notices:      make(chan struct{}, 1),
		joined:       make(chan struct{}),
		eagerPulls:   rate.NewLimiter(rate.Every(o.ProbeInterval/10), 4),
		repairPulls:  rate.NewLimiter(rate.Every(5*o.ProbeInterval), 1),
		syncLimit:    rate.NewLimiter(rate.Every(5*o.ProbeInterval), 2),
		refreshLimit: rate.NewLimiter(rate.Every(o.ProbeInterval), 1),
		watchers:     make(map[int]func()),
		random:       rand.New(rand.NewPCG(o.Seed, 1)),
	}
	o.Registerer.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "papayasail_peer_news_pending", Help: "Member records still to be passed on."},
		func() float64 { return float64(n.table.pending()) },
	))
	n.table.witness = witnessTime * o.ProbeInterval
	n.server = newServer(n)
	return n
}

// Run serves peers on the peer address and probes them until ctx ends. On a
// context's end it tells a few peers that this host is gone if Leave was
// called, and returns nil. A *SupersededError means that the host was replaced.
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
	group.Go(func() error { return n.pullLoop(ctx) })
	group.Go(func() error { return n.joinLoop(ctx) })
	group.Go(func() error { return n.doubtLoop(ctx) })
	group.Go(func() error { return n.notifyLoop(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		n.sayGoodbye()
		n.server.Stop()
		n.control.close()
		n.data.close()
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
	self := n.table.me()
	self.ConfigurationVersion = n.options.Configuration.Version()
	return self
}

// Members returns all known members with this host, ordered by name.
func (n *Node) Members() []Member {
	members := n.table.members()
	for i := range members {
		if members[i].Host == n.options.Self.Host {
			members[i].ConfigurationVersion = n.options.Configuration.Version()
		}
	}
	return members
}

// Generation rises with every change that Members shows, but for versions of
// the configuration, which change with each exchange. What is worked out from
// the members holds for as long as it stays.
func (n *Node) Generation() uint64 {
	generation, _, _ := n.table.state()
	return generation
}

// Joined is closed after the first exchange of the whole membership with a peer.
func (n *Node) Joined() <-chan struct{} { return n.joined }

// Watch calls f after changes of members or leaving servers, from one
// goroutine, several changes at once; the returned function ends that.
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

// Announce tells a few peers at once that the configuration changed here;
// without it they learn with the next probes.
func (n *Node) Announce() { signal(n.kick) }

// Leave tells the fleet that this host takes no new work; when Run ends it is
// announced as gone, with its successor ("": none).
func (n *Node) Leave(successor string) {
	n.table.leave(StateLeaving, successor)
	n.logger.Info("leaving", zap.String("successor", successor))
	signal(n.kick)
	signal(n.notices)
}

// SetStoreAway tells the fleet whether the platform's store answers this host.
func (n *Node) SetStoreAway(away bool) {
	if n.table.setStoreAway(away) {
		signal(n.kick)
		signal(n.notices)
	}
}

// MarkLeaving spreads that a backend server (IP:port) takes no new work until
// a time. An earlier end than the one known is ignored.
func (n *Node) MarkLeaving(server string, until time.Time) {
	if n.leaving.mark([]LeavingServer{{server, until}}, time.Now()) {
		signal(n.kick)
		signal(n.notices)
	}
}

// LeavingServers returns the backend servers that take no new work now,
// ordered by address.
func (n *Node) LeavingServers() []LeavingServer { return n.leaving.list(time.Now()) }

// Forward passes a request to its home and returns the answer. Errors:
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

// HandOver passes records to a successor. Errors as Forward, and ErrRefused.
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
		case <-n.notices:
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

// signal asks a loop to run once more; asking twice is the same.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
