// Package tunnel connects to backend servers, through another entry host if this
// host's own path to a server fails.
//
// A tunnel carries the bytes of one connection, so that requests, streams and
// control calls, their deadlines, their cancellation and the evidence of whether
// they ran are the same as on a direct connection. It is one hop long: a host
// opens connections for others only directly.
package tunnel

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/papayasail/papayasail/link"
	"github.com/papayasail/papayasail/peer"
)

const (
	// dialTimeout bounds opening a connection, whichever way; directTimeout is a little
	// less, so that the direct result is known by then.
	dialTimeout   = 300 * time.Millisecond
	directTimeout = 250 * time.Millisecond
	// fallbackDelay is how long one way to a server is tried alone; round trips between
	// regions take 40 ms.
	fallbackDelay = 100 * time.Millisecond
	// retryHeadStart is how long a path that was lost is tried again alone. Callers that
	// ask whether a server has ended wait no longer than 100 ms.
	retryHeadStart = 20 * time.Millisecond
	// maxHelpers is the number of other hosts that one dial asks for a tunnel.
	maxHelpers = 5
)

// Peers are the other entry hosts.
type Peers interface {
	Members() []peer.Member
	// Generation increases with every change of Members.
	Generation() uint64
	// OpenTunnel connects to an address from another host. If that host answered but
	// opened no connection, the error is a *peer.TunnelError.
	OpenTunnel(ctx context.Context, host, address string) (net.Conn, error)
}

// Options configures a Network. All fields are required.
type Options struct {
	Host   string // name of this host
	Domain string // failure domain of this host
	Direct link.Network
	Peers  Peers
	// ServiceAt returns the service of the backend server at an address. ok is false if
	// there is none; such addresses are not dialled for other hosts.
	ServiceAt  func(address string) (service string, ok bool)
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// Network dials backend servers. It implements link.Network and
// peer.BackendDialer. All methods may be called from any goroutine.
type Network struct {
	options Options
	paths   *paths
	helpers *helpers
	dials   *prometheus.CounterVec // by result: direct, tunnel, failed

	mu       sync.Mutex // guards onSilent
	onSilent []func(address string)
}

var (
	_ link.Network       = (*Network)(nil)
	_ peer.BackendDialer = (*Network)(nil)
)

// NewNetwork returns a network that knows nothing of the paths to servers yet.
func NewNetwork(o Options) *Network {
	dials := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "papayasail_backend_dials_total", Help: "Connections opened to backend servers by this host for itself.",
	}, []string{"result"})
	o.Registerer.MustRegister(dials)
	return &Network{options: o, paths: newPaths(o.ServiceAt, o.Logger), helpers: newHelpers(o), dials: dials}
}

// OnSilent adds a callback for an address that did not answer a direct dial: open
// connections to it may be silent too. The callback must not block.
func (n *Network) OnSilent(callback func(address string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onSilent = append(n.onSilent, callback)
}

// Listen implements link.Network.
func (n *Network) Listen(address string) (net.Listener, error) {
	return n.options.Direct.Listen(address)
}

// CutOff implements peer.BackendDialer.
func (n *Network) CutOff(address string) bool {
	service, _ := n.options.ServiceAt(address)
	return n.paths.cutOff(service)
}

var errNotServer = errors.New("tunnel: no backend server has the address")

// DialForPeer implements peer.BackendDialer. It fails at once, with the error of the last
// dial, while this host's path to the server is known to be lost.
func (n *Network) DialForPeer(ctx context.Context, address string) (net.Conn, error) {
	if _, ok := n.options.ServiceAt(address); !ok {
		return nil, errors.Mark(errNotServer, peer.ErrTunnelRejected)
	}
	if err := n.paths.check(address); err != nil {
		return nil, err
	}
	return n.dialDirect(ctx, address)
}

// dialDirect dials a server from this host and records whether the path works. The
// result is recorded also if ctx is cancelled meanwhile.
func (n *Network) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
	defer cancel()
	conn, err := n.options.Direct.Dial(ctx, address)
	service, _ := n.options.ServiceAt(address)
	n.paths.record(address, service, err)
	if err != nil && !link.Refused(nil, err) {
		n.reportSilent(address)
	}
	return conn, err
}

func (n *Network) reportSilent(address string) {
	n.mu.Lock()
	callbacks := n.onSilent
	n.mu.Unlock()
	for _, callback := range callbacks {
		callback(address)
	}
}

// dialed is the result of one way to a server.
type dialed struct {
	conn   net.Conn
	err    error
	helper string // "": direct
}

// Dial implements link.Network. It dials directly unless the path is known to be
// lost, and asks other hosts one after the other when that fails or takes long. The
// error is link.Refused if nothing listens at the address: a host that is not cut off
// from the service has found that, or all hosts that were asked. It is link.ErrPathLost
// if it shows nothing about the server.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, helper, err := n.dial(ctx, address)
	switch {
	case err != nil:
		n.dials.WithLabelValues("failed").Inc()
	case helper != "":
		n.dials.WithLabelValues("tunnel").Inc()
	default:
		n.dials.WithLabelValues("direct").Inc()
	}
	return conn, err
}

// dial is Dial, and returns the host that helped; "": none.
func (n *Network) dial(ctx context.Context, address string) (conn net.Conn, helper string, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	service, _ := n.options.ServiceAt(address)
	attempt := &attempt{network: n, address: address, service: service, results: make(chan dialed, 1+maxHelpers)}
	return attempt.run(ctx)
}

// Lost reports whether this host reaches the server at an address only through other
// hosts. It dials the server.
func (n *Network) Lost(ctx context.Context, address string) bool {
	conn, helper, err := n.dial(ctx, address)
	if err != nil {
		return errors.Is(err, link.ErrPathLost)
	}
	conn.Close()
	return helper != ""
}

// attempt is one call of dial.
type attempt struct {
	network *Network
	address string
	service string
	results chan dialed
	pending int      // ways whose result is outstanding
	asked   bool     // helpers were chosen
	helpers []string // hosts still to ask
	direct  error    // of the direct dial, this one or the last; nil: it is pending
	last    error    // of the helper that answered last
	refused error    // a refusal by a host that is not cut off from the service; nil: none
	differs bool     // a way failed other than by a refusal
}

// run tries the ways to the server until one succeeds, all have failed or ctx ends.
func (a *attempt) run(ctx context.Context) (net.Conn, string, error) {
	headStart := fallbackDelay
	if a.network.paths.isLost(a.address) {
		headStart = retryHeadStart
	}
	if err := a.network.paths.check(a.address); err != nil {
		a.recordFailure(dialed{err: err})
		a.askNext(ctx)
	} else {
		a.start(func() dialed {
			conn, err := a.network.dialDirect(ctx, a.address)
			return dialed{conn: conn, err: err}
		})
	}
	fallback := time.NewTimer(headStart)
	defer fallback.Stop()
	for a.pending > 0 {
		select {
		case result := <-a.results:
			a.pending--
			if result.err == nil {
				if result.helper != "" {
					a.network.paths.recordTunnel(a.address, a.service)
				}
				go a.closeLate(a.pending)
				return result.conn, result.helper, nil
			}
			a.recordFailure(result)
			a.askNext(ctx)
		case <-fallback.C:
			fallback.Reset(fallbackDelay)
			a.askNext(ctx)
		case <-ctx.Done():
			go a.closeLate(a.pending)
			return nil, "", a.timedOut(ctx.Err())
		}
	}
	return nil, "", a.failure()
}

func (a *attempt) start(dial func() dialed) {
	a.pending++
	go func() { a.results <- dial() }()
}

func (a *attempt) recordFailure(failed dialed) {
	if failed.helper == "" {
		a.direct = failed.err
		a.differs = a.differs || !link.Refused(nil, failed.err)
		return
	}
	a.last = failed.err
	var answer *peer.TunnelError
	if !errors.As(failed.err, &answer) || !answer.Refused() {
		a.differs = true
		return
	}
	if answer.Conclusive() {
		a.refused = failed.err
	}
}

// failure returns the error of the whole attempt; nil if nothing has failed yet.
func (a *attempt) failure() error {
	err := errors.CombineErrors(a.direct, a.last)
	switch {
	case a.refused != nil:
		return a.refused
	case err != nil && !a.differs && a.pending == 0:
		return errors.Mark(err, syscall.ECONNREFUSED)
	case err != nil && a.network.paths.cutOff(a.service):
		return errors.Mark(errors.Newf("tunnel: %v", err), link.ErrPathLost)
	}
	return err
}

// timedOut returns the error of the whole attempt if ctx ends before all ways have failed.
// It shows nothing about the server if this host is cut off from the service.
func (a *attempt) timedOut(err error) error {
	if failure := a.failure(); failure != nil {
		return errors.CombineErrors(failure, err)
	}
	if a.network.paths.cutOff(a.service) {
		return errors.Mark(err, link.ErrPathLost)
	}
	return err
}

// askNext asks the next host for a tunnel, if any is left.
func (a *attempt) askNext(ctx context.Context) {
	if !a.asked {
		a.asked, a.helpers = true, a.network.helpers.choose(a.service, maxHelpers)
	}
	if len(a.helpers) == 0 {
		return
	}
	helper := a.helpers[0]
	a.helpers = a.helpers[1:]
	a.start(func() dialed {
		conn, err := a.network.options.Peers.OpenTunnel(ctx, helper, a.address)
		if ctx.Err() != context.Canceled { // else another way succeeded first
			a.network.helpers.record(helper, a.service, err)
		}
		return dialed{conn: conn, err: err, helper: helper}
	})
}

// closeLate closes the connections of ways that succeed after another one was taken.
func (a *attempt) closeLate(pending int) {
	for range pending {
		if late := <-a.results; late.err == nil {
			late.conn.Close()
		}
	}
}
