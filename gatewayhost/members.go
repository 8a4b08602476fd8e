package gatewayhost

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/papayasail/papayasail/allocation"
	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/peer"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/replica"
	"github.com/papayasail/papayasail/store"
)

const (
	msgRenamed = "fleet knows a newer life of this host; it joins as a newer one"

	// probeInterval of peers: a host that dies is suspected within about a
	// second, as callers ask for addresses every second.
	probeInterval    = 500 * time.Millisecond
	suspicionTimeout = 4 * time.Second
	// addressesTTL is how long callers keep an answer.
	addressesTTL = time.Second
	// livesShift leaves room for the changes that one life of a host sees.
	livesShift = 40
)

// newNode makes this host's part in the membership; incarnation 0 is made
// from the time of day.
func (h *Host) newNode(incarnation uint64, registerer prometheus.Registerer) *peer.Node {
	o := h.options
	return peer.New(peer.Options{
		Self: peer.Member{
			Host: o.Name, Incarnation: incarnation, FailureDomain: o.Domain, PeerAddress: o.PeerAddress, CallerAddress: o.CallersAddress,
			Capacity: o.Capacity,
		},
		Network: o.Network, Seeds: o.Seeds, Configuration: spreading{h.table}, Handler: noForwarding{}, Suspects: h.quarantine,
		Logger:     o.Logger,
		Register:   func(registrar grpc.ServiceRegistrar) { allocation.Register(registrar, h.allocator) },
		Registerer: registerer, ProbeInterval: probeInterval, SuspicionTimeout: suspicionTimeout,
		// Bytes between failure domains are dear: probes, news and pulls stay
		// in the domain, but for a few hosts of others.
		Scope: peer.Scope{Near: []string{o.Domain}},
	})
}

// runNode runs the membership.
//
// Failure: the time of day was set back between two starts, so that this
// life's incarnation is below the last one's, and the fleet takes the host for
// replaced. It joins again above the one that the fleet knows. The counters of
// the node that ends stay as they are; the new one's are not served.
func (h *Host) runNode(ctx context.Context) error {
	for {
		err := h.node.Load().Run(ctx)
		var superseded *peer.SupersededError
		if ctx.Err() != nil || !errors.As(err, &superseded) {
			return err
		}
		h.logger.Warn(msgRenamed, zap.Uint64("known", superseded.Known))
		h.node.Store(h.newNode(superseded.Known+1, prometheus.NewRegistry()))
		h.lives.Add(1)
	}
}

// Members returns all known entry hosts.
func (h *Host) Members() []peer.Member { return h.node.Load().Members() }

// Generation rises with every change of Members but its versions, and when
// this host joins anew.
func (h *Host) Generation() uint64 {
	return h.lives.Load()<<livesShift + h.node.Load().Generation()
}

// SetStoreAway tells the fleet whether the store turns this host away.
func (h *Host) SetStoreAway(away bool) { h.node.Load().SetStoreAway(away) }

// Call calls a service of another entry host.
func (h *Host) Call(host string, f func(grpc.ClientConnInterface) error) error {
	return h.node.Load().Call(host, f)
}

func (h *Host) liveHosts() int {
	live := 0
	for _, m := range h.Members() {
		if m.State == peer.StateAlive {
			live++
		}
	}
	return max(1, live)
}

// othersLive reports whether another entry host takes requests.
func (h *Host) othersLive() bool {
	return slices.ContainsFunc(h.Members(), func(m peer.Member) bool { return m.State == peer.StateAlive && m.Host != h.options.Name })
}

// Addresses returns where callers of a failure domain may connect, and how long
// they may keep the answer. A host that has just started knows nobody but
// itself and can serve nothing: ok is false, and callers ask another one.
func (h *Host) Addresses(callerDomain string) (addresses []string, keep time.Duration, ok bool) {
	if h.gateway.Configuration() == nil {
		return nil, 0, false
	}
	for _, m := range domain.Spread(h.Members(), callerDomain) {
		addresses = append(addresses, m.CallerAddress)
	}
	return addresses, addressesTTL, true
}

// spreading lets peers spread what the host has of the store.
type spreading struct{ *replica.Table }

// Adopt implements peer.ConfigurationTable.
func (s spreading) Adopt(objects []store.Object) (int, error) {
	count, found := s.Table.Adopt(objects)
	if len(found) > 0 {
		return count, found[0].Err
	}
	return count, nil
}

// noForwarding refuses what only hosts with a callers' interface of our own
// pass to each other.
type noForwarding struct{}

var errNoForwarding = errors.New("gatewayhost: nothing is forwarded between hosts here")

// Forward implements peer.Handler.
func (noForwarding) Forward(context.Context, *peerpb.ForwardRequest) *peerpb.ForwardResponse {
	return &peerpb.ForwardResponse{}
}

// HandOver implements peer.Handler.
func (noForwarding) HandOver(context.Context, *peerpb.HandOverRequest) error { return errNoForwarding }
