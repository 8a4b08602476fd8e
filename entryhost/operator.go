package entryhost

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"goa.design/goa/v3/security"

	"github.com/papayasail/papayasail/audit"
	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/contract"
	"github.com/papayasail/papayasail/findings"
	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/store"
)

// operatorService serves operators and owning teams.
type operatorService struct{ host *Host }

var _ operator.Service = (*operatorService)(nil)

type operatorKey struct{}

// JWTAuth implements operator.Auther.
func (s *operatorService) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	known, ok := s.host.tokens.Operator(token)
	if !ok {
		return ctx, operatorProblem("unauthorized", http.StatusUnauthorized, "", 0)
	}
	return context.WithValue(ctx, operatorKey{}, known.Name), nil
}

func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

const storeRetryAfter = 2 * time.Second

// operatorProblem returns an error of the operators' interface. The class is also
// used as its reason.
func operatorProblem(class string, status int, detail string, retryAfter time.Duration) *operator.Problem {
	p := &operator.Problem{Name: class, Type: "urn:papayasail:" + class, Title: class, Status: status, Outcome: "not_run", Reason: class}
	if detail != "" {
		p.Detail = &detail
	}
	if retryAfter > 0 {
		milliseconds := retryAfter.Milliseconds()
		p.RetryAfterMs = &milliseconds
	}
	return p
}

// problemOf converts an error of the configuration packages into a problem.
func problemOf(err error) error {
	var list findings.List
	switch {
	case errors.As(err, &list):
		p := operatorProblem("invalid", http.StatusUnprocessableEntity, "the document has mistakes", 0)
		for _, f := range list {
			p.Findings = append(p.Findings, &operator.Finding{File: f.File, Line: f.Line, Column: f.Column, Message: f.Message})
		}
		return p
	case errors.Is(err, store.ErrNoObject):
		return operatorProblem("not_found", http.StatusNotFound, "no such service", 0)
	case errors.Is(err, store.ErrUnavailable):
		return operatorProblem("unavailable", http.StatusServiceUnavailable, "the platform's store is not reachable; nothing was changed", storeRetryAfter)
	}
	return operatorProblem("invalid", http.StatusUnprocessableEntity, err.Error(), 0)
}

// Put implements operator.Service.
func (s *operatorService) Put(ctx context.Context, p *operator.PutPayload) (*operator.Accepted, error) {
	result, err := s.host.acceptor.Put(ctx, configuration.Change{
		Service: p.Service, Document: []byte(p.Document), Expect: store.Version(p.ExpectVersion),
		ChangeID: p.ChangeID, Who: operatorName(ctx),
	})
	return accepted(result, err, p.Service, p.ChangeID)
}

// accepted returns the response to a change. If another change was accepted first,
// it returns a conflict that names that change and its author.
func accepted(result configuration.Result, err error, name, changeID string) (*operator.Accepted, error) {
	if err != nil && result.Outcome != configuration.Unknown {
		return nil, problemOf(err)
	}
	if result.Outcome == configuration.NotAccepted && result.Winner != nil {
		w := result.Winner
		return nil, operatorProblem("conflict", http.StatusConflict,
			fmt.Sprintf("version %d was made by change %s of %s at %s", result.Version, w.ChangeID, w.Who, w.When.Format(time.RFC3339)), 0)
	}
	answer := &operator.Accepted{ChangeID: changeID, Outcome: string(result.Outcome), Version: uint64(result.Version)}
	if result.Outcome == configuration.Unknown {
		settle := fmt.Sprintf("papayasail settle %s %s", name, changeID)
		answer.Settle = &settle
	}
	return answer, nil
}

// Get implements operator.Service. It returns the document in force on this host.
func (s *operatorService) Get(_ context.Context, p *operator.GetPayload) (*operator.GetResult, error) {
	source, version, ok := s.host.table.Source(p.Service)
	if !ok {
		return nil, problemOf(store.ErrNoObject)
	}
	return &operator.GetResult{Service: p.Service, Version: uint64(version), Document: source}, nil
}

// List implements operator.Service.
func (s *operatorService) List(context.Context, *operator.ListPayload) ([]*operator.ServiceInfo, error) {
	return s.host.services(), nil
}

func (h *Host) services() []*operator.ServiceInfo {
	infos := []*operator.ServiceInfo{}
	for _, document := range h.table.Documents() {
		_, version, _ := h.table.Document(document.Service)
		infos = append(infos, &operator.ServiceInfo{
			Service: document.Service, Version: uint64(version), Owner: document.Owner, Kind: string(document.Kind),
		})
	}
	return infos
}

// History implements operator.Service.
func (s *operatorService) History(ctx context.Context, p *operator.HistoryPayload) ([]*operator.Change, error) {
	return changes(s.host.acceptor.History(ctx, p.Service))
}

// Audit implements operator.Service.
func (s *operatorService) Audit(ctx context.Context, _ *operator.AuditPayload) ([]*operator.Change, error) {
	return changes(s.host.acceptor.Trail(ctx))
}

func changes(entries []audit.Entry, err error) ([]*operator.Change, error) {
	if err != nil {
		return nil, problemOf(err)
	}
	rendered := make([]*operator.Change, len(entries))
	for i, e := range entries {
		rendered[i] = &operator.Change{
			ChangeID: e.ChangeID, Who: e.Who, When: e.When.UTC().Format(time.RFC3339Nano), What: string(e.What), Name: e.Name,
			FromVersion: uint64(e.From), ToVersion: uint64(e.To), Detail: &e.Detail,
		}
	}
	return rendered, nil
}

// Settle implements operator.Service.
func (s *operatorService) Settle(ctx context.Context, p *operator.SettlePayload) (*operator.Accepted, error) {
	result, err := s.host.acceptor.Settle(ctx, p.Service, p.ChangeID)
	return accepted(result, err, p.Service, p.ChangeID)
}

// Drain implements operator.Service.
func (s *operatorService) Drain(ctx context.Context, p *operator.DrainPayload) (*operator.Accepted, error) {
	result, err := s.host.acceptor.Drain(ctx, p.Address, p.End, p.ChangeID, operatorName(ctx))
	return accepted(result, err, p.Address, p.ChangeID)
}

// Evacuate implements operator.Service. A failure domain without any backend
// server is most likely misspelt: its evacuation can be ended but not started.
func (s *operatorService) Evacuate(ctx context.Context, p *operator.EvacuatePayload) (*operator.Accepted, error) {
	if !p.End && !s.host.hasServersIn(p.FailureDomain) {
		return nil, operatorProblem("not_found", http.StatusNotFound, fmt.Sprintf("no backend server is in failure domain %q", p.FailureDomain), 0)
	}
	result, err := s.host.acceptor.Evacuate(ctx, p.FailureDomain, p.End, p.ChangeID, operatorName(ctx))
	return accepted(result, err, p.FailureDomain, p.ChangeID)
}

func (h *Host) hasServersIn(domain string) bool {
	for _, document := range h.table.Documents() {
		if slices.ContainsFunc(document.BackendServers, func(b contract.BackendServer) bool { return b.FailureDomain == domain }) {
			return true
		}
	}
	return false
}

// Status implements operator.Service.
func (s *operatorService) Status(ctx context.Context, _ *operator.StatusPayload) (*operator.HostStatus, error) {
	h := s.host
	h.node.Refresh(ctx)
	status := &operator.HostStatus{
		Host: h.settings.Host, ConfigurationVersion: uint64(h.table.Version()), Services: h.services(),
		BackendServers: h.backendServers(), Members: h.members(), StoreReachable: h.follower.Reachable(),
	}
	return status, nil
}

func (h *Host) backendServers() []*operator.BackendServerStatus {
	servers := []*operator.BackendServerStatus{}
	for _, document := range h.table.Documents() {
		snapshot := h.pool.Snapshot(document.Service)
		if snapshot == nil {
			continue
		}
		for _, server := range snapshot.Servers {
			load := server.Load
			servers = append(servers, &operator.BackendServerStatus{
				Service: document.Service, Name: server.Name, Address: server.Address, FailureDomain: server.FailureDomain,
				State: string(server.State), Running: &load.Running, TokensHeld: &load.TokensHeld, TokenCapacity: &load.TokenCapacity,
			})
		}
	}
	return servers
}

func (h *Host) members() []*operator.MemberStatus {
	members := []*operator.MemberStatus{}
	for _, member := range h.node.Members() {
		version := uint64(member.ConfigurationVersion)
		if member.Host == h.settings.Host {
			version = uint64(h.table.Version())
		}
		members = append(members, &operator.MemberStatus{
			Host: member.Host, Incarnation: member.Incarnation, FailureDomain: member.FailureDomain,
			State: member.State.String(), ConfigurationVersion: version, CallerAddress: &member.CallerAddress,
		})
	}
	return members
}
