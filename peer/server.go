package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/papayasail/papayasail/peer/peerpb"
)

// service implements the gRPC service for other hosts.
type service struct {
	peerpb.UnimplementedPeerServer
	node *Node
}

// maxConcurrentSyncs is the maximum number of syncs that a host answers at the same
// time; others wait. An answer may contain all members, and when a fleet starts, all
// hosts sync with the same three seeds.
const maxConcurrentSyncs = 8

func newServer(n *Node) *grpc.Server {
	server := grpc.NewServer(
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(messageBytes),
		grpc.MaxSendMsgSize(messageBytes),
		grpc.MaxHeaderListSize(headerBytes),
		grpc.ConnectionTimeout(n.options.ProbeTimeout*10),
		// Failure: the other end of an idle connection dies without closing it,
		// and the connection is never released here. Idle connections are
		// closed, and silent ones in use are checked by keepalive pings.
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * n.options.IdleTimeout, Time: n.options.IdleTimeout}),
	)
	peerpb.RegisterPeerServer(server, &service{node: n})
	if n.options.Register != nil {
		n.options.Register(server)
	}
	return server
}

// Probe implements peerpb.PeerServer.
func (s *service) Probe(_ context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	n := s.node
	from := n.receive(request)
	answer := n.newProbe(from.Host)
	return &peerpb.ProbeResponse{
		From:                 answer.From,
		News:                 answer.News,
		ConfigurationVersion: answer.ConfigurationVersion,
		ConfigurationDigest:  answer.ConfigurationDigest,
		Leaving:              answer.Leaving,
		MembershipDigest:     answer.MembershipDigest,
		Suspects:             answer.Suspects,
		RateLimits:           answer.RateLimits,
		ServerCrashes:        answer.ServerCrashes,
		PartPasses:           answer.PartPasses,
		ColdServers:          answer.ColdServers,
	}, nil
}

// ProbeIndirect implements peerpb.PeerServer.
func (s *service) ProbeIndirect(ctx context.Context, request *peerpb.ProbeIndirectRequest) (*peerpb.ProbeIndirectResponse, error) {
	target := Member{Host: request.GetHost(), PeerAddress: request.GetPeerAddress()}
	ctx, cancel := context.WithTimeout(ctx, s.node.options.ProbeTimeout)
	defer cancel()
	member, err := s.node.exchange(ctx, target)
	if err != nil || member.Host != target.Host {
		return &peerpb.ProbeIndirectResponse{}, nil
	}
	return &peerpb.ProbeIndirectResponse{Reached: true, Member: member.toProto()}, nil
}

// Sync implements peerpb.PeerServer.
func (s *service) Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	n := s.node
	n.mergeMembers([]Member{memberFromProto(request.GetFrom())})
	select {
	case n.answeredSyncs <- struct{}{}:
		defer func() { <-n.answeredSyncs }()
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	n.mergeLeaving(request.GetLeaving())
	n.mergeQuarantine(request.GetSuspects())
	n.mergeRateLimits(request.GetRateLimits())
	n.mergeColdServers(request.GetColdServers())
	return &peerpb.SyncResponse{
		From:        n.table.localMember().toProto(),
		Members:     membersToProto(n.missingMembers(request.GetHave())),
		Leaving:     leavingToProto(n.leaving.list(time.Now())),
		Suspects:    quarantineToProto(n.options.Quarantine.All()),
		RateLimits:  rateLimitsToProto(n.options.RateLimits.RateLimits()),
		ColdServers: coldServersToProto(n.options.ColdServers.ColdServers()),
	}, nil
}

// Pull implements peerpb.PeerServer.
func (s *service) Pull(_ context.Context, request *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	return pullPage(s.node.options.Configuration, request), nil
}

// Forward implements peerpb.PeerServer.
func (s *service) Forward(ctx context.Context, request *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	s.node.countForward("in", request)
	response := s.node.options.Handler.Forward(ctx, request)
	s.node.countForward("out", response)
	return response, nil
}

// HandOver implements peerpb.PeerServer.
func (s *service) HandOver(ctx context.Context, request *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	s.node.countForward("in", request)
	if err := s.node.options.Handler.HandOver(ctx, request); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerpb.HandOverResponse{Accepted: uint64(len(request.GetRecords()))}, nil
}

func (n *Node) countForward(direction string, message proto.Message) {
	n.counters.forwardBytes.WithLabelValues(direction).Add(float64(proto.Size(message)))
}

// newProbe returns the content of a probe to addressee, or of the response to
// one.
func (n *Node) newProbe(addressee string) *peerpb.ProbeRequest {
	_, digest, _ := n.table.summary()
	crashes, passes := evidenceToProto(n.options.Quarantine.GossipEvidence())
	return &peerpb.ProbeRequest{
		From:                 n.senderRecord(addressee).toProto(),
		News:                 membersToProto(n.table.pickUpdates(addressee)),
		ConfigurationVersion: uint64(n.options.Configuration.Version()),
		ConfigurationDigest:  n.options.Configuration.Digest(),
		Leaving:              n.leaving.pickUpdates(),
		MembershipDigest:     digest,
		Suspects:             quarantineToProto(n.options.Quarantine.GossipRecords()),
		RateLimits:           rateLimitsToProto(n.options.RateLimits.GossipRateLimits()),
		ServerCrashes:        crashes,
		PartPasses:           passes,
		ColdServers:          coldServersToProto(n.options.ColdServers.GossipColdServers()),
	}
}

// senderRecord returns this host's own record for a probe. The short form is
// enough for a host that has the full record, which is likely while the digests
// match.
func (n *Node) senderRecord(addressee string) Member {
	self := n.table.localMember()
	to, known := n.table.member(addressee)
	if self.State != StateAlive || !known || to.State != StateAlive || n.lastDigestDiffered() {
		return self
	}
	return self.short()
}

// probeMessage is the common part of a probe and its response.
type probeMessage interface {
	GetFrom() *peerpb.Member
	GetNews() []*peerpb.Member
	GetConfigurationVersion() uint64
	GetConfigurationDigest() uint64
	GetLeaving() []*peerpb.LeavingServer
	GetMembershipDigest() uint64
	GetSuspects() []*peerpb.Suspect
	GetRateLimits() []*peerpb.RateLimit
	GetColdServers() []*peerpb.ColdServer
	GetServerCrashes() []*peerpb.ServerCrash
	GetPartPasses() []*peerpb.PartPass
}

// receive processes a probe or its response and returns its sender.
func (n *Node) receive(m probeMessage) Member {
	from := n.table.fillIn(memberFromProto(m.GetFrom()))
	records := membersFromProto(m.GetNews())
	n.table.noteDuplicates(records)
	n.mergeMembers(append(records, from))
	n.mergeLeaving(m.GetLeaving())
	n.mergeEvidence(m.GetServerCrashes(), m.GetPartPasses())
	n.mergeQuarantine(m.GetSuspects())
	n.mergeRateLimits(m.GetRateLimits())
	n.mergeColdServers(m.GetColdServers())
	if n.table.recordExchange(from.Host, from.Incarnation, versionOf(m), time.Now()) {
		signal(n.notifySignal)
	}
	n.compareConfiguration(from, m)
	n.compareMembership(from, m.GetMembershipDigest())
	return from
}

// mergeMembers merges received member records and triggers the resulting
// notifications, pushes and probes.
func (n *Node) mergeMembers(records []Member) {
	result := n.table.merge(records, time.Now())
	n.recordTransitions(result.transitions)
	n.queueChangedMembers(result.notable)
	n.queueDisputes(result.disputed)
	if result.changed {
		signal(n.notifySignal)
	}
	if result.urgent && !n.reliesOnDeliveries() {
		signal(n.pushSignal)
	}
}

func (n *Node) mergeLeaving(list []*peerpb.LeavingServer) {
	if len(list) > 0 && n.leaving.mark(leavingFromProto(list), time.Now()) {
		signal(n.pushSignal)
		signal(n.notifySignal)
	}
}

func membersFromProto(list []*peerpb.Member) []Member {
	members := make([]Member, 0, len(list)+1)
	for _, p := range list {
		members = append(members, memberFromProto(p))
	}
	return members
}

func membersToProto(list []Member) []*peerpb.Member {
	members := make([]*peerpb.Member, 0, len(list))
	for _, m := range list {
		members = append(members, m.toProto())
	}
	return members
}
