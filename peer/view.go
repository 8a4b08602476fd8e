package peer

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/papayasail/papayasail/internal/moment"
	"github.com/papayasail/papayasail/peer/peerpb"
	"github.com/papayasail/papayasail/store"
)

// Views answers other hosts' requests for a view of the store.
type Views interface {
	// AnswerView returns what this host has. It first refreshes its own view if that is
	// older than the request accepts.
	AnswerView(ctx context.Context, request ViewRequest) ViewAnswer
}

// ViewRequest asks a host for its view of the store.
type ViewRequest struct {
	After  store.Version // the asking host has all changes up to it
	Have   []uint64      // hashes of newer objects that the asking host has
	MaxAge time.Duration // oldest view that it accepts
	// AskOthers makes the host ask other hosts for a newer view, not only the store.
	AskOthers bool
}

// ViewAnswer is a host's view of the store.
type ViewAnswer struct {
	Objects    []store.Object // newer than After, without those in Have, ordered by version
	CompleteTo store.Version  // the host has all changes up to it
	// Age is the time since these were all changes in the store; moment.Never: not known.
	Age       time.Duration
	Available Availability
	// More is set if Objects are only the first ones; CompleteTo is then that of Objects.
	More bool
}

// Availability is a time in which the store answered some host without a long pause, as far
// as a host knows. The zero value means that it knows of none.
type Availability struct {
	Since, Until time.Duration // ages of its begin and end
	AfterOutage  bool          // nobody is known to have read the store before
}

// RequestView asks a host for its view of the store. Errors: ErrUnknownHost, ErrHostGone,
// ErrUnreachable.
func (n *Node) RequestView(ctx context.Context, host string, request ViewRequest) (ViewAnswer, error) {
	member, err := n.lookUp(host)
	if err != nil {
		return ViewAnswer{}, err
	}
	message := &peerpb.ViewRequest{
		AfterVersion: uint64(request.After), Have: request.Have, MaxAgeMs: uint32(request.MaxAge.Milliseconds()), AskOthers: request.AskOthers,
	}
	var response *peerpb.ViewResponse
	err = n.data.call(member.PeerAddress, func(client peerpb.PeerClient) (err error) {
		response, err = client.View(ctx, message)
		return err
	})
	if err != nil {
		return ViewAnswer{}, errors.Mark(err, ErrUnreachable)
	}
	return ViewAnswer{
		Objects: objectsFromProto(response.GetObjects()), CompleteTo: store.Version(response.GetCompleteVersion()),
		Age: ageOf(response.GetAgeMs()), More: response.GetMore(),
		Available: Availability{
			Since: time.Duration(response.GetAvailableSinceMs()) * time.Millisecond, Until: time.Duration(response.GetAvailableUntilMs()) * time.Millisecond,
			AfterOutage: response.GetAfterOutage(),
		},
	}, nil
}

// View implements peerpb.PeerServer.
func (s *service) View(ctx context.Context, request *peerpb.ViewRequest) (*peerpb.ViewResponse, error) {
	if s.node.options.Views == nil {
		return nil, status.Error(codes.Unimplemented, "host has no view of the store")
	}
	answer := s.node.options.Views.AnswerView(ctx, ViewRequest{
		After: store.Version(request.GetAfterVersion()), Have: request.GetHave(),
		MaxAge: time.Duration(request.GetMaxAgeMs()) * time.Millisecond, AskOthers: request.GetAskOthers(),
	})
	response := viewPage(answer)
	if proto.Size(response) > compressedBytes {
		if err := grpc.SetSendCompressor(ctx, gzip.Name); err != nil {
			s.node.logger.Debug("answer is sent without compression")
		}
	}
	return response, nil
}

// viewPage returns an answer, or its first objects up to pullPageBytes. A page does not
// end between objects of the same version.
func viewPage(answer ViewAnswer) *peerpb.ViewResponse {
	response := &peerpb.ViewResponse{
		CompleteVersion:  uint64(answer.CompleteTo),
		AgeMs:            millisecondsUp(answer.Age),
		AvailableSinceMs: milliseconds(answer.Available.Since),
		AvailableUntilMs: millisecondsUp(answer.Available.Until),
		AfterOutage:      answer.Available.AfterOutage,
	}
	size := 0
	for i, object := range answer.Objects {
		p := objectToProto(object)
		size += proto.Size(p)
		if size > pullPageBytes && i > 0 && object.Version > answer.Objects[i-1].Version {
			response.More, response.CompleteVersion = true, uint64(answer.Objects[i-1].Version)
			break
		}
		response.Objects = append(response.Objects, p)
	}
	return response
}

// ageOf returns the age of a view in a message.
func ageOf(ms uint32) time.Duration {
	if ms == math.MaxUint32 {
		return moment.Never
	}
	return time.Duration(ms) * time.Millisecond
}

// milliseconds returns a duration for a message, rounded down, and millisecondsUp one that is
// not shorter.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func millisecondsUp(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()+1), math.MaxUint32))
}
