package allocation

import (
	"context"
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"github.com/papayasail/papayasail/allocation/allocationpb"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/migration"
	"github.com/papayasail/papayasail/placement"
)

// Register registers an allocator as a gRPC service for other entry hosts.
func Register(registrar grpc.ServiceRegistrar, allocator *Allocator) {
	allocationpb.RegisterAllocationServer(registrar, &server{allocator: allocator})
}

type server struct {
	allocationpb.UnimplementedAllocationServer
	allocator *Allocator
}

// Place implements allocationpb.AllocationServer.
func (s *server) Place(ctx context.Context, r *allocationpb.PlaceRequest) (*allocationpb.PlaceResponse, error) {
	placed := s.allocator.Place(ctx, r.GetHost(), r.GetFailureDomain(), partFromProto(r.GetPart()), requestFromProto(r, time.Now()), r.GetExcept())
	return placed.toProto(), nil
}

// Offer implements allocationpb.AllocationServer.
func (s *server) Offer(_ context.Context, r *allocationpb.OfferRequest) (*allocationpb.OfferResponse, error) {
	for _, o := range r.GetOffers() {
		s.allocator.offerTable.update(partFromProto(o.GetPart()), costsFromProto(o.GetBrief()), costsFromProto(o.GetLong()))
	}
	if revision := r.GetConfigurationRevision(); revision > 0 && s.allocator.OnRelayedRevision != nil {
		s.allocator.OnRelayedRevision(r.GetHost(), revision, time.Duration(r.GetVerifiedMs())*time.Millisecond)
	}
	return &allocationpb.OfferResponse{}, nil
}

func costsFromProto(list []float32) []float64 {
	costs := make([]float64, 0, len(list))
	for _, cost := range list {
		costs = append(costs, float64(cost))
	}
	return costs
}

func costsToProto(costs []float64) []float32 {
	list := make([]float32, 0, len(costs))
	for _, cost := range costs {
		list = append(list, float32(cost))
	}
	return list
}

// Report implements allocationpb.AllocationServer.
func (s *server) Report(_ context.Context, r *allocationpb.ReportRequest) (*allocationpb.ReportResponse, error) {
	loads, now := make(map[string]fleet.Load, len(r.GetLoads())), time.Now()
	for _, l := range r.GetLoads() {
		loads[l.GetServer()] = fleet.Load{
			Requests: int(l.GetRequests()), HeldTokens: int(l.GetHeldTokens()), UsedTokens: int(l.GetUsedTokens()),
			UnreadTokens: int(l.GetUnreadTokens()), BriefUnreadTokens: int(l.GetBriefUnreadTokens()),
			Pace: time.Duration(l.GetPaceUs()) * time.Microsecond, Born: l.GetBorn(),
			FirstEvent: firstEventFromProto(l, now),
		}
	}
	for _, e := range r.GetEvidence() {
		s.allocator.fleet.ApplyOutcomes(r.GetHost(), e.GetServer(), fleet.Evidence{
			Failed: int(e.GetFailed()), Answered: int(e.GetAnswered()), GapKept: int(e.GetGapKept()), GapMissed: int(e.GetGapMissed()), Born: e.GetBorn(),
		})
	}
	part := partFromProto(r.GetPart())
	s.allocator.fleet.SetOthers(r.GetHost(), part.Service, loads, part.share())
	response := &allocationpb.ReportResponse{}
	leaving := s.allocator.fleet.Leaving(part.Service)
	response.LeavingDigest = digestOf(leaving)
	if response.LeavingDigest != r.GetLeavingDigest() {
		for _, incarnation := range leaving {
			response.Leaving = append(response.Leaving, &allocationpb.ServerLife{Server: incarnation.ID, Born: incarnation.Born})
		}
	}
	for incarnation, left := range s.allocator.fleet.Shunned() {
		response.Shunned = append(response.Shunned, &allocationpb.ServerRest{Server: incarnation.ID, Born: incarnation.Born, LeftMs: uint32(left.Milliseconds())})
	}
	if s.allocator.Revision != nil {
		response.ConfigurationRevision = s.allocator.Revision()
	}
	if s.allocator.Evacuated != nil {
		response.EvacuationRevision = s.allocator.Evacuated()
	}
	return response, nil
}

// firstEventFromProto returns the first event in a load report received at the given
// time, or nil.
func firstEventFromProto(l *allocationpb.ServerLoad, now time.Time) *fleet.FirstEvent {
	rate, age := float64(l.GetReadingTokensPerMs()), time.Duration(l.GetReadingAgeMs())*time.Millisecond
	if !(rate > 0) || age >= fleet.FirstEventTTL {
		return nil
	}
	return &fleet.FirstEvent{TokensPerMs: rate, At: now.Add(-age)}
}

// digestOf identifies a list of incarnations. Zero, which stands for no list,
// is not the digest of the empty list.
func digestOf(incarnations []fleet.Incarnation) uint64 {
	digest := xxhash.New()
	for _, incarnation := range incarnations {
		_, _ = digest.WriteString(incarnation.ID)
		_, _ = digest.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(incarnation.Born)))
	}
	return digest.Sum64()
}

// TakeTurn implements allocationpb.AllocationServer.
func (s *server) TakeTurn(ctx context.Context, r *allocationpb.TakeTurnRequest) (*allocationpb.TakeTurnResponse, error) {
	to, err := s.allocator.TakeTurn(ctx, r.GetHost(), partFromProto(r.GetPart()), migration.Move{
		Source: r.GetSource(), Run: r.GetRun(), LostWork: int(r.GetSize()), Except: r.GetExcept(),
		Need: placement.Need{PromptTokens: int(r.GetHeldTokens()), OutputTokens: int(r.GetRemainingTokens())},
	})
	return &allocationpb.TakeTurnResponse{Destination: to.Server, Elsewhere: to.Elsewhere.toProto()}, err
}

// EndTurn implements allocationpb.AllocationServer.
func (s *server) EndTurn(_ context.Context, r *allocationpb.EndTurnRequest) (*allocationpb.EndTurnResponse, error) {
	s.allocator.EndTurn(partFromProto(r.GetPart()), r.GetSource(), r.GetRun())
	return &allocationpb.EndTurnResponse{}, nil
}

// requestFromProto returns the request of a message that was received now. Messages
// have times relative to now, because the clocks of hosts differ.
func requestFromProto(r *allocationpb.PlaceRequest, now time.Time) PlacementRequest {
	req := PlacementRequest{
		Request: r.GetRequest(), Fingerprint: r.GetFingerprint(),
		Need:    placement.Need{PromptTokens: int(r.GetPromptTokens()), OutputTokens: int(r.GetOutputTokens())},
		Settled: r.GetSettled(), Domains: r.GetDomains(),
		Organisation: r.GetOrganisation(), Rank: int(r.GetRank()), HonourShare: float64(r.GetHonourShare()), AskedBefore: r.GetAskedBefore(),
		Arrived: now.Add(-fromMs(r.GetArrivedMs())), Goal: now.Add(fromMs(r.GetOnTimeMs())), Deadline: now.Add(fromMs(r.GetDeadlineMs())),
		Hold: min(fromMs(r.GetHoldMs()), MaxHold),
	}
	if patience := r.GetPatienceMs(); patience > 0 {
		req.GiveUp = now.Add(fromMs(patience))
	}
	return req
}

// toProto returns the request as a message that is sent now.
func (r *PlacementRequest) toProto(now time.Time) *allocationpb.PlaceRequest {
	message := &allocationpb.PlaceRequest{
		Request: r.Request, Fingerprint: r.Fingerprint, PromptTokens: uint32(r.Need.PromptTokens), OutputTokens: uint32(r.Need.OutputTokens),
		Settled: r.Settled, Domains: r.Domains, Organisation: r.Organisation, Rank: uint32(max(0, r.Rank)), HoldMs: toMs(r.Hold), AskedBefore: r.AskedBefore,
	}
	if !r.Arrived.IsZero() {
		message.ArrivedMs = toMs(now.Sub(r.Arrived))
	}
	if !r.GiveUp.IsZero() {
		message.OnTimeMs, message.PatienceMs, message.DeadlineMs = toMs(r.Goal.Sub(now)), max(1, toMs(r.GiveUp.Sub(now))), toMs(r.Deadline.Sub(now))
		message.HonourShare = float32(r.HonourShare)
	}
	return message
}

func (p Placement) toProto() *allocationpb.PlaceResponse {
	return &allocationpb.PlaceResponse{
		Server: p.Server, Elsewhere: p.Elsewhere.toProto(), Refused: p.Refused, Reason: p.Reason, RetryAfterMs: toMs(p.RetryAfter),
		HeldMs: toMs(p.Held), ForecastMs: toMs(p.Forecast),
	}
}

func placementFromProto(r *allocationpb.PlaceResponse) Placement {
	return Placement{
		Server: r.GetServer(), Elsewhere: partFromProto(r.GetElsewhere()), Refused: r.GetRefused(), Reason: r.GetReason(),
		RetryAfter: fromMs(r.GetRetryAfterMs()), Held: fromMs(r.GetHeldMs()), Forecast: fromMs(r.GetForecastMs()),
	}
}

// toMs rounds down to ms; negative durations are zero.
func toMs(d time.Duration) uint32 { return uint32(min(max(0, d.Milliseconds()), math.MaxUint32)) }

func fromMs(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func partFromProto(p *allocationpb.Part) Part {
	return Part{Service: p.GetService(), Domain: p.GetFailureDomain(), Index: int(p.GetIndex()), Count: int(p.GetCount())}
}

// toProto returns the part as a protobuf message; nil if the part is empty.
func (p Part) toProto() *allocationpb.Part {
	if p.Service == "" {
		return nil
	}
	return &allocationpb.Part{Service: p.Service, FailureDomain: p.Domain, Index: uint32(p.Index), Count: uint32(p.Count)}
}
