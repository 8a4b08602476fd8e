package entryhost

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"goa.design/goa/v3/security"

	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/domain"
	"github.com/papayasail/papayasail/gen/caller"
	"github.com/papayasail/papayasail/record"
)

// callerService implements the generated service for callers.
type callerService struct{ host *Host }

var _ caller.Service = (*callerService)(nil)

// JWTAuth implements caller.Auther.
func (s *callerService) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	if !s.host.organisations().isValidToken(token) {
		if token != "" && !s.host.table.Complete() {
			return ctx, startingProblem()
		}
		return ctx, &caller.Problem{Name: "unauthorized", Type: unauthorizedType, Title: "unauthorized", Status: http.StatusUnauthorized, Outcome: "not_run", Reason: "unauthorized"}
	}
	return ctx, nil
}

// startingProblem is the response to a token that this host may not have received
// yet, since its configuration is incomplete.
func startingProblem() *caller.Problem {
	retryAfter := time.Second.Milliseconds()
	reason := string(contract.ReasonNoConfiguration)
	return &caller.Problem{
		Name: "refused", Type: "urn:papayasail:" + reason, Title: reason, Status: http.StatusServiceUnavailable,
		Outcome: "not_run", Reason: reason, RetryAfterMs: &retryAfter,
	}
}

const unauthorizedType = "urn:papayasail:unauthorized"

// AddressesEndpoint returns the entry hosts to use. The order is random among
// equally near hosts, so that callers spread over them.
func (s *callerService) AddressesEndpoint(_ context.Context, payload *caller.AddressesPayload) (*caller.Addresses, error) {
	h := s.host
	from := h.settings.FailureDomain
	if payload.FailureDomain != nil {
		from = *payload.FailureDomain
	}
	members := h.node.Members()
	keep := min(domain.AnswerTTL(members, h.settings.Host), h.ledger.EpochLength())
	answer := &caller.Addresses{KeepSeconds: int(keep.Seconds())}
	epoch := record.EpochAt(time.Now(), h.ledger.EpochLength())
	for _, address := range domain.Addresses(members, h.distances, from, rand.Uint64()) {
		home := record.Home{Host: address.Host, Incarnation: address.Incarnation, Epoch: epoch}
		answer.Addresses = append(answer.Addresses, &caller.Address{
			URL: address.URL, Host: address.Host, FailureDomain: address.FailureDomain, Home: home.String(),
		})
	}
	return answer, nil
}

// Generate is served by the relay; see Host.handler.
func (s *callerService) Generate(context.Context, *caller.GeneratePayload, caller.GenerateServerStream) error {
	panic("entryhost: the relay serves this route")
}

// Call is served by the relay; see Host.handler.
func (s *callerService) Call(context.Context, *caller.CallPayload, io.ReadCloser) (io.ReadCloser, error) {
	panic("entryhost: the relay serves this route")
}
