package peer

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"

	"github.com/papayasail/papayasail/internal/sleep"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/store"
)

const (
	// deliverPause is the pause between two deliveries, so that changes in quick
	// succession are delivered together.
	deliverPause = 200 * time.Millisecond
	// confirmTimeout is how long a host may take to confirm a delivery, and
	// relayTimeout a relay, which confirms after the hosts that it delivers to.
	confirmTimeout = 300 * time.Millisecond
	relayTimeout   = 2 * confirmTimeout
	// deliveryGrace is how long a host with an older version than another waits for
	// a delivery before it pulls.
	deliveryGrace = 500 * time.Millisecond
	// directDeliveries is the number of hosts up to which all get their delivery
	// from the distributor itself.
	directDeliveries = 16
	// deliveryBytes is the maximum size of the objects in one message, unless a single
	// one exceeds it: a relay with a slow link sends it to its hosts within
	// confirmTimeout.
	deliveryBytes = 48 << 10
	// compressedBytes is the size from which a message is compressed.
	compressedBytes = 16 << 10
	// maxDeliveryConnections is the number of connections kept for deliveries: the
	// square root of the largest failure domain.
	maxDeliveryConnections = 64

	deliveryConfirmed = "confirmed"
	deliveryRetried   = "retried" // confirmed only when the distributor itself delivered
	deliveryMissed    = "missed"
	deliveryGap       = "gap" // the receiver lacked earlier objects and pulled
)

// ChangeLog is an optional interface of a ConfigurationTable. Deliveries need it.
type ChangeLog interface {
	// TakeChanged returns the objects adopted since the last call, and the version
	// of the table at that call.
	TakeChanged() (objects []store.Object, previous store.Version)
}

// Distribution selects the hosts that pass changes on to the others. The zero
// value disables deliveries; changes then spread by gossip and pulls only.
//
// A distributor delivers each change of the configuration and each change of a
// member's state to the hosts of its failure domain, through relays: with n hosts in
// a domain, it sends about sqrt(n) messages for a change, a relay as many, and every
// host receives one. Each delivery is confirmed; what a relay does not confirm, the
// distributor delivers itself. Gossip has no bound for the last host, and each host
// sends and receives several messages for a change; it remains for hosts that
// deliveries do not reach.
type Distribution struct {
	// Distributes reports whether this host is a distributor.
	Distributes func() bool
	// Distributors returns the distributors of all failure domains.
	Distributors func() []string
}

// Distribute delivers the objects that have changed, if this host is a distributor.
func (n *Node) Distribute() { signal(n.deliverSignal) }

func (n *Node) deliversChanges() bool { return n.options.Distribution.Distributes != nil }

// reliesOnDeliveries reports whether urgent changes need no early probes of
// neighbours. Hosts that are loading do not distribute yet, and when all of them
// are, nobody does.
func (n *Node) reliesOnDeliveries() bool { return n.deliversChanges() && !n.loading.Load() }

func (n *Node) deliverLoop(ctx context.Context) error {
	changes, ok := n.options.Configuration.(ChangeLog)
	if !ok || !n.deliversChanges() {
		return nil
	}
	_, _ = changes.TakeChanged() // starts the log
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.deliverSignal:
		}
		if n.loading.Load() {
			continue // Loaded signals again
		}
		objects, previous := changes.TakeChanged()
		members := n.takeChangedMembers()
		if len(objects)+len(members) == 0 || !n.options.Distribution.Distributes() {
			continue
		}
		messages := deliveryMessages(objects, previous)
		if len(members) > 0 {
			messages = append([]*peerpb.DeliverRequest{{Members: membersToProto(members)}}, messages...)
		}
		n.deliver(ctx, messages, members)
		if err := sleep.For(ctx, deliverPause); err != nil {
			return err
		}
	}
}

// queueChangedMembers queues the records of members whose state has changed for the
// next delivery.
func (n *Node) queueChangedMembers(members []Member) {
	if len(members) == 0 || !n.deliversChanges() {
		return
	}
	n.mu.Lock()
	for _, m := range members {
		n.changedMembers[m.Host] = m
	}
	n.mu.Unlock()
	signal(n.deliverSignal)
}

func (n *Node) takeChangedMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	members := slices.Collect(maps.Values(n.changedMembers))
	clear(n.changedMembers)
	return members
}

// deliver delivers messages to the hosts of this failure domain. The other
// distributors get the members of this domain that have changed, and learn that
// there is a newer version: usually they have it from the store.
func (n *Node) deliver(ctx context.Context, messages []*peerpb.DeliverRequest, changed []Member) {
	own := &peerpb.DeliverRequest{Members: membersToProto(slices.DeleteFunc(slices.Clone(changed), func(m Member) bool {
		return m.FailureDomain != n.options.Self.FailureDomain
	}))}
	var group sync.WaitGroup
	for _, m := range n.distributors() {
		if m.FailureDomain == n.options.Self.FailureDomain {
			continue
		}
		group.Go(func() {
			if len(own.GetMembers()) > 0 {
				_, err := n.sendDelivery(ctx, m, own, nil, confirmTimeout)
				n.countDelivery(err)
			}
			n.tryExchange(ctx, m)
		})
	}
	near := n.others(func(m Member) bool { return m.State != StateGone && m.FailureDomain == n.options.Self.FailureDomain })
	for _, g := range deliveryGroups(near) {
		group.Go(func() {
			for _, message := range messages {
				n.deliverToGroup(ctx, g, message)
			}
		})
	}
	group.Wait()
}

// distributors returns the other distributors that are not gone.
func (n *Node) distributors() []Member {
	hosts := n.options.Distribution.Distributors()
	return n.others(func(m Member) bool { return m.State != StateGone && slices.Contains(hosts, m.Host) })
}

// deliveryMessages divides objects, ordered by version, into messages of
// deliveryBytes.
func deliveryMessages(objects []store.Object, previous store.Version) []*peerpb.DeliverRequest {
	var messages []*peerpb.DeliverRequest
	size := 0
	for i, object := range objects {
		p := objectToProto(object)
		if size += proto.Size(p); i == 0 || size > deliveryBytes {
			messages = append(messages, &peerpb.DeliverRequest{PreviousVersion: uint64(previous)})
			size = proto.Size(p)
		}
		last := messages[len(messages)-1]
		last.Objects = append(last.Objects, p)
		previous = max(previous, object.Version)
	}
	return messages
}

// deliveryGroup is a relay with the hosts that it delivers to.
type deliveryGroup struct {
	relay Member
	hosts []Member
}

// deliveryGroups divides the hosts of a failure domain into groups of about equal
// size, as many as a group has hosts. Relays are live hosts with the highest
// capacity.
func deliveryGroups(hosts []Member) []deliveryGroup {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Host, b.Host))
	})
	count := len(hosts)
	if count > directDeliveries {
		count = int(math.Ceil(math.Sqrt(float64(count))))
	}
	groups := make([]deliveryGroup, count)
	for i, m := range hosts {
		if i < count {
			groups[i].relay = m
		} else {
			groups[i%count].hosts = append(groups[i%count].hosts, m)
		}
	}
	return groups
}

// deliverToGroup delivers to a relay, and directly to the hosts of its group that
// did not confirm through it.
func (n *Node) deliverToGroup(ctx context.Context, g deliveryGroup, message *peerpb.DeliverRequest) {
	missed := hostNames(g.hosts)
	response, err := n.sendDelivery(ctx, g.relay, message, missed, relayTimeout)
	n.countDelivery(err)
	if err == nil {
		missed = response.GetMissed()
	}
	var group sync.WaitGroup
	for _, m := range g.hosts {
		if !slices.Contains(missed, m.Host) {
			continue
		}
		group.Go(func() {
			result := deliveryRetried
			if _, err := n.sendDelivery(ctx, m, message, nil, confirmTimeout); err != nil {
				result = deliveryMissed // it pulls after the next probe
			}
			n.counters.deliveries.WithLabelValues(result).Inc()
		})
	}
	group.Wait()
}

func hostNames(members []Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Host)
	}
	return names
}

func (n *Node) countDelivery(err error) {
	result := deliveryConfirmed
	if err != nil {
		result = deliveryMissed
	}
	n.counters.deliveries.WithLabelValues(result).Inc()
}

func (n *Node) sendDelivery(ctx context.Context, to Member, message *peerpb.DeliverRequest, forwardTo []string, timeout time.Duration) (*peerpb.DeliverResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &peerpb.DeliverRequest{
		From: n.options.Self.Host, PreviousVersion: message.GetPreviousVersion(), Objects: message.GetObjects(), Members: message.GetMembers(),
		ForwardTo: forwardTo,
	}
	var options []grpc.CallOption
	if proto.Size(request) > compressedBytes {
		options = append(options, grpc.UseCompressor(gzip.Name))
	}
	var response *peerpb.DeliverResponse
	err := n.deliveries.call(to.PeerAddress, func(client peerpb.PeerClient) (err error) {
		response, err = client.Deliver(ctx, request, options...)
		return err
	})
	return response, err
}

// Deliver implements peerpb.PeerServer.
func (s *service) Deliver(ctx context.Context, request *peerpb.DeliverRequest) (*peerpb.DeliverResponse, error) {
	missed := make(chan []string, 1)
	go func() { missed <- s.node.forwardDelivery(ctx, request) }()
	s.node.receiveDelivery(request)
	return &peerpb.DeliverResponse{Missed: <-missed}, nil
}

// forwardDelivery delivers a message to the hosts that it names and returns those
// that did not confirm.
func (n *Node) forwardDelivery(ctx context.Context, message *peerpb.DeliverRequest) []string {
	var mu sync.Mutex // guards missed
	var missed []string
	var group sync.WaitGroup
	for _, host := range message.GetForwardTo() {
		group.Go(func() {
			member, err := n.lookUp(host)
			if err == nil {
				_, err = n.sendDelivery(ctx, member, message, nil, confirmTimeout)
			}
			n.countDelivery(err)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				missed = append(missed, host)
			}
		})
	}
	group.Wait()
	return missed
}

// receiveDelivery merges delivered members and adopts delivered objects. A host
// that lacks earlier objects pulls instead, since adopting later ones would hide the
// gap. A starting host gets them with its snapshot or after it.
func (n *Node) receiveDelivery(message *peerpb.DeliverRequest) {
	n.mergeMembers(membersFromProto(message.GetMembers()))
	if n.loading.Load() || len(message.GetObjects()) == 0 {
		return
	}
	table := n.options.Configuration
	if table.Version() < store.Version(message.GetPreviousVersion()) {
		n.counters.deliveries.WithLabelValues(deliveryGap).Inc()
		if member, ok := n.table.member(message.GetFrom()); ok {
			n.requestPull(member)
		}
		return
	}
	// Objects that cannot be applied are counted and logged by the table.
	if count, _ := table.Adopt(objectsFromProto(message.GetObjects())); count > 0 {
		signal(n.notifySignal)
	}
}

// pullUnlessDelivered pulls from a host with a newer version if no delivery brings
// that version within deliveryGrace.
func (n *Node) pullUnlessDelivered(from Member, newest store.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.awaitsDelivery {
		return
	}
	n.awaitsDelivery = true
	time.AfterFunc(deliveryGrace, func() {
		n.mu.Lock()
		n.awaitsDelivery = false
		n.mu.Unlock()
		if n.options.Configuration.Version() < newest && n.eagerPulls.Allow() {
			n.requestPull(from)
		}
	})
}
