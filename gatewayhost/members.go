package gatewayhost

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/failedcalls"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

const (
	msgRejoining = "fleet knows a newer life of this host; it joins as a newer one"

	// probeInterval is the interval between probes of peers. With it a dead host
	// is suspected within about a second; callers query addresses every second.
	probeInterval = 500 * time.Millisecond
	// suspicionTimeout is the time from suspicion until a host is declared gone.
	suspicionTimeout = 4 * time.Second
	// addressesTTL is how long callers may cache an address list.
	addressesTTL = time.Second
	// rejoinShift reserves the low bits of Generation for membership changes
	// within one incarnation.
	rejoinShift = 40
)

// newNode returns this host's membership node; for incarnation 0, the wall clock
// determines the incarnation.
func (h *Host) newNode(incarnation uint64, registerer prometheus.Registerer) *peer.Node {
	o := h.options
	node := peer.New(peer.Options{
		Self: peer.Member{
			Host: o.Name, Incarnation: incarnation, FailureDomain: o.Domain, Region: o.Region, PeerAddress: o.PeerAddress, CallerAddress: o.CallerAddress,
			Capacity: o.Capacity,
		},
		Network: o.Network, Seeds: o.Seeds, Configuration: gossipedTable{h.table}, Handler: noForwarding{}, Quarantine: h.quarantine,
		RateLimits: h.fleet, ColdServers: h.fleet, Backends: h.paths, Views: h.views,
		Logger: o.Logger,
		Register: func(registrar grpc.ServiceRegistrar) {
			allocation.Register(registrar, h.allocator)
			failedcalls.Register(registrar, h.failedCalls)
		},
		Registerer: registerer, ProbeInterval: probeInterval, SuspicionTimeout: suspicionTimeout,
		// Traffic between failure domains is expensive: this host probes, gossips
		// with and pulls from hosts of its own domain and only a few of others.
		Scope: peer.Scope{Near: []string{o.Domain}},
		// The hosts that watch the store are the first to have a change.
		Distribution: peer.Distribution{Distributes: h.watch.Watches, Distributors: h.watch.Watchers},
	})
	h.watchSharers(node)
	return node
}

// watchSharers keeps the hosts that divide what servers accept up to date.
func (h *Host) watchSharers(node *peer.Node) {
	known := node.Generation()
	node.Watch(func() {
		if generation := node.Generation(); generation != known {
			known = generation
			present, _ := sharerNames(node.Members())
			h.fleet.SetHosts(present)
		}
	})
}

// sharerNames returns the names of the members that may send requests, and of those that
// are gone. Suspected and leaving members still run.
func sharerNames(members []peer.Member) (present, gone []string) {
	for _, m := range members {
		if m.State == peer.StateGone {
			gone = append(gone, m.Host)
		} else {
			present = append(present, m.Host)
		}
	}
	return present, gone
}

// runNode runs the membership.
//
// Failure: the wall clock was set back between two starts, so this incarnation
// is lower than the previous one and the fleet regards the host as superseded.
// It rejoins with an incarnation above the one that the fleet has. The metrics
// of the old node keep their values; those of the new node are not exported.
func (h *Host) runNode(ctx context.Context) error {
	for {
		err := h.node.Load().Run(ctx)
		var superseded *peer.SupersededError
		if ctx.Err() != nil || !errors.As(err, &superseded) {
			return err
		}
		h.logger.Warn(msgRejoining, zap.Uint64("known", superseded.Known))
		next := h.newNode(superseded.Known+1, prometheus.NewRegistry())
		h.node.Store(next)
		if !h.booting.Load() {
			next.Loaded() // else boot does, which ends booting first
		}
		h.rejoins.Add(1)
	}
}

// Members returns all known entry hosts.
func (h *Host) Members() []peer.Member { return h.node.Load().Members() }

// Generation increases with every change of Members, except of the versions that
// members advertise, and when this host rejoins under a new incarnation.
func (h *Host) Generation() uint64 {
	return h.rejoins.Load()<<rejoinShift + h.node.Load().Generation()
}

// Watchers returns the hosts that watch the store.
func (h *Host) Watchers() []string { return h.watch.Watchers() }

// SetStoreUnreachable sets whether this host advertises to its peers that it cannot
// reach the store.
func (h *Host) SetStoreUnreachable(unreachable bool) { h.node.Load().SetStoreUnreachable(unreachable) }

// Self returns this host's own member record.
func (h *Host) Self() peer.Member { return h.node.Load().Self() }

// RequestView asks another entry host for its view of the store.
func (h *Host) RequestView(ctx context.Context, host string, request peer.ViewRequest) (peer.ViewAnswer, error) {
	return h.node.Load().RequestView(ctx, host, request)
}

// Call calls f with a gRPC connection to another entry host.
func (h *Host) Call(host string, f func(grpc.ClientConnInterface) error) error {
	return h.node.Load().Call(host, f)
}

// OpenTunnel connects to a backend server from another entry host.
func (h *Host) OpenTunnel(ctx context.Context, host, address string) (net.Conn, error) {
	return h.node.Load().OpenTunnel(ctx, host, address)
}

// hasLivePeers reports whether another entry host is alive.
func (h *Host) hasLivePeers() bool { return h.summary().peersLive }

// Addresses returns the addresses to which callers of a failure domain may
// connect, and how long they may cache them. ok is false if this host has no
// configuration yet: it has just started, may have no other members in its list
// and cannot serve requests. Callers then query another host.
func (h *Host) Addresses(callerDomain string) (addresses []string, keep time.Duration, ok bool) {
	if h.gateway.Configuration() == nil {
		return nil, 0, false
	}
	return h.summary().addressesFor(callerDomain, h.options.Name), addressesTTL, true
}

// gossipedTable adapts the replica table to peer.ConfigurationTable, so that stored
// objects are gossiped among peers.
type gossipedTable struct{ *replica.Table }

// Adopt implements peer.ConfigurationTable.
func (s gossipedTable) Adopt(objects []store.Object) (int, error) {
	count, found := s.Table.Adopt(objects)
	if len(found) > 0 {
		return count, found[0].Err
	}
	return count, nil
}

// noForwarding answers forwarded requests with an empty response and rejects
// handed-over records. Only entry hosts that serve papayasail's own caller API
// send them.
type noForwarding struct{}

var errNoForwarding = errors.New("gatewayhost: nothing is forwarded between hosts here")

// Forward implements peer.Handler.
func (noForwarding) Forward(context.Context, *peerpb.ForwardRequest) *peerpb.ForwardResponse {
	return &peerpb.ForwardResponse{}
}

// HandOver implements peer.Handler.
func (noForwarding) HandOver(context.Context, *peerpb.HandOverRequest) error { return errNoForwarding }
