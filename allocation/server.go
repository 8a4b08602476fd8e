package allocation

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/papayasail/papayasail/allocation/allocationpb"
	"github.com/papayasail/papayasail/evacuation"
	"github.com/papayasail/papayasail/fleet"
	"github.com/papayasail/papayasail/placement"
)

// Register serves an allocator to other entry hosts.
func Register(registrar grpc.ServiceRegistrar, allocator *Allocator) {
	allocationpb.RegisterAllocationServer(registrar, &server{allocator: allocator})
}

type server struct {
	allocationpb.UnimplementedAllocationServer
	allocator *Allocator
}

// Place implements allocationpb.AllocationServer.
func (s *server) Place(_ context.Context, r *allocationpb.PlaceRequest) (*allocationpb.PlaceResponse, error) {
	asked := Asked{
		Request: r.GetRequest(), Fingerprint: r.GetFingerprint(),
		Need: placement.Need{PromptTokens: int(r.GetPromptTokens()), OutputTokens: int(r.GetOutputTokens())},
	}
	return &allocationpb.PlaceResponse{
		Server: s.allocator.Place(r.GetHost(), r.GetFailureDomain(), partFrom(r.GetPart()), asked, r.GetExcept()),
	}, nil
}

// Report implements allocationpb.AllocationServer.
func (s *server) Report(_ context.Context, r *allocationpb.ReportRequest) (*allocationpb.ReportResponse, error) {
	loads := make(map[string]fleet.Load, len(r.GetLoads()))
	for _, l := range r.GetLoads() {
		loads[l.GetServer()] = fleet.Load{
			Requests: int(l.GetRequests()), HeldTokens: int(l.GetHeldTokens()), UsedTokens: int(l.GetUsedTokens()),
			UnreadTokens: int(l.GetUnreadTokens()), BriefUnreadTokens: int(l.GetBriefUnreadTokens()),
			Pace: time.Duration(l.GetPaceUs()) * time.Microsecond, Born: l.GetBorn(),
		}
	}
	for _, e := range r.GetEvidence() {
		s.allocator.fleet.Witness(r.GetHost(), e.GetServer(), fleet.Evidence{Failed: int(e.GetFailed()), Answered: int(e.GetAnswered()), Born: e.GetBorn()})
	}
	part := partFrom(r.GetPart())
	s.allocator.fleet.SetOthers(r.GetHost(), part.Service, loads, part.Holds)
	response := &allocationpb.ReportResponse{}
	for _, life := range s.allocator.fleet.Leaving(part.Service) {
		response.Leaving = append(response.Leaving, &allocationpb.ServerLife{Server: life.ID, Born: life.Born})
	}
	if s.allocator.Undisturbed != nil {
		response.UndisturbedMs = uint32(min(s.allocator.Undisturbed(), time.Hour).Milliseconds())
	}
	if s.allocator.Revision != nil {
		response.ConfigurationRevision = s.allocator.Revision()
	}
	return response, nil
}

// TakeTurn implements allocationpb.AllocationServer.
func (s *server) TakeTurn(ctx context.Context, r *allocationpb.TakeTurnRequest) (*allocationpb.TakeTurnResponse, error) {
	destination, err := s.allocator.TakeTurn(ctx, r.GetHost(), partFrom(r.GetPart()), evacuation.Move{
		Source: r.GetSource(), Run: r.GetRun(), Size: int(r.GetSize()),
		Need: placement.Need{PromptTokens: int(r.GetHeldTokens()), OutputTokens: int(r.GetRemainingTokens())},
	})
	return &allocationpb.TakeTurnResponse{Destination: destination}, err
}

// EndTurn implements allocationpb.AllocationServer.
func (s *server) EndTurn(_ context.Context, r *allocationpb.EndTurnRequest) (*allocationpb.EndTurnResponse, error) {
	s.allocator.EndTurn(partFrom(r.GetPart()), r.GetSource(), r.GetRun())
	return &allocationpb.EndTurnResponse{}, nil
}

func partFrom(p *allocationpb.Part) Part {
	return Part{Service: p.GetService(), Index: int(p.GetIndex()), Count: int(p.GetCount())}
}

func (p Part) message() *allocationpb.Part {
	return &allocationpb.Part{Service: p.Service, Index: uint32(p.Index), Count: uint32(p.Count)}
}
