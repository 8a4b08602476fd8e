package entryhost

import (
	"context"
	"fmt"
	"net/http"

	"github.com/papayasail/papayasail/configuration"
	"github.com/papayasail/papayasail/gen/operator"
	"github.com/papayasail/papayasail/settings"
	"github.com/papayasail/papayasail/store"
)

// PutOrganisation implements operator.Service.
func (s *operatorService) PutOrganisation(ctx context.Context, p *operator.PutOrganisationPayload) (*operator.Accepted, error) {
	organisation := configuration.Organisation{Name: p.Name, Services: p.Services}
	for _, text := range p.TokenSha256 {
		hash, err := settings.ParseTokenHash(text)
		if err != nil {
			return nil, operatorProblem("invalid", http.StatusUnprocessableEntity, fmt.Sprintf("token_sha256 %q %v", text, err), 0)
		}
		organisation.TokenSHA256 = append(organisation.TokenSHA256, hash)
	}
	result, err := s.host.acceptor.PutOrganisation(ctx, configuration.OrganisationChange{
		Organisation: organisation, Expect: store.Version(p.ExpectVersion), ChangeID: p.ChangeID, Who: operatorName(ctx),
	})
	return acceptedOrganisation(result, err, p.Name, p.ChangeID)
}

// RemoveOrganisation implements operator.Service.
func (s *operatorService) RemoveOrganisation(ctx context.Context, p *operator.RemoveOrganisationPayload) (*operator.Accepted, error) {
	if p.ExpectVersion == 0 {
		return nil, operatorProblem("not_found", http.StatusNotFound, "no such organisation in force here", 0)
	}
	result, err := s.host.acceptor.RemoveOrganisation(ctx, configuration.OrganisationChange{
		Organisation: configuration.Organisation{Name: p.Name}, Expect: store.Version(p.ExpectVersion),
		ChangeID: p.ChangeID, Who: operatorName(ctx),
	})
	return acceptedOrganisation(result, err, p.Name, p.ChangeID)
}

// SettleOrganisation implements operator.Service.
func (s *operatorService) SettleOrganisation(ctx context.Context, p *operator.SettleOrganisationPayload) (*operator.Accepted, error) {
	result, err := s.host.acceptor.SettleOrganisation(ctx, p.Name, p.ChangeID)
	return acceptedOrganisation(result, err, p.Name, p.ChangeID)
}

// acceptedOrganisation is like accepted, but with the command that settles a
// change of an organisation.
func acceptedOrganisation(result configuration.Result, err error, name, changeID string) (*operator.Accepted, error) {
	answer, err := accepted(result, err, name, changeID)
	if err == nil && answer.Settle != nil {
		settle := fmt.Sprintf("papayasail organisation settle %s %s", name, changeID)
		answer.Settle = &settle
	}
	return answer, err
}

// ListOrganisations implements operator.Service. Paging limits the memory that one
// response takes on the host.
func (s *operatorService) ListOrganisations(_ context.Context, p *operator.ListOrganisationsPayload) ([]*operator.OrganisationInfo, error) {
	infos := []*operator.OrganisationInfo{}
	if p.Name != nil {
		if one, ok := s.host.table.OrganisationNamed(*p.Name); ok {
			infos = append(infos, organisationInfo(one))
		}
		return infos, nil
	}
	after := ""
	if p.After != nil {
		after = *p.After
	}
	for _, one := range s.host.table.Organisations(after, p.Limit) {
		infos = append(infos, organisationInfo(one))
	}
	return infos, nil
}

func organisationInfo(o *configuration.Organisation) *operator.OrganisationInfo {
	info := &operator.OrganisationInfo{Name: o.Name, Services: o.Services, Version: uint64(o.Version)}
	for _, token := range o.TokenSHA256 {
		info.TokenSha256 = append(info.TokenSha256, token.String())
	}
	return info
}
